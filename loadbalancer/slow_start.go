package loadbalancer

import (
	"cmp"
	"math"
	"slices"

	"cinderroad/internal/shared/capacity"
)

// This file decides what a worker in slow start gets, and how instances share it.

// warmth is the share of capacity that a worker is sure to have: in slow start it cannot reach its limits
// yet.
func (b *Balancer) warmth(now float64, worker *workerState) float64 {
	if worker.StartedAt <= 0 || now-worker.StartedAt >= b.SlowStartDuration {
		return 1
	}
	return capacity.Warmth(b.SlowStartInitialShare, now-worker.StartedAt, b.SlowStartDuration)
}

// slowStartOwnSlots is the spare capacity on a worker in slow start whose turn few instances hold: their
// slots there are nobody else's. It is minus infinity where this does not apply.
func (b *Balancer) slowStartOwnSlots(now float64, worker *workerState) float64 {
	warmth := b.warmth(now, worker)
	if warmth >= 1 {
		return math.Inf(-1) // nearly all workers: skip the computation
	}
	holders, mine := b.slowStartTurn(now, worker, b.slowStartBudget(now, worker))
	if mine && holders < b.Instances {
		return math.Max(warmth*b.slotsOf(worker)/float64(holders), 1) - worker.ownSlots
	}
	return math.Inf(-1)
}

// slowStartBudgetLeft is the work that may still be sent to a worker in slow start within the overload
// window. What other instances send is not known here, so instances take turns of one overload window.
func (b *Balancer) slowStartBudgetLeft(now float64, worker *workerState) float64 {
	if b.warmth(now, worker) >= 1 {
		return math.Inf(1)
	}
	budget := b.slowStartBudget(now, worker)
	holders, mine := b.slowStartTurn(now, worker, budget)
	if !mine {
		return 0
	}
	return budget/float64(holders) - b.slowStartSpent(now, worker)
}

// slowStartBudget is the work that all may send to a worker in slow start within the overload window, in
// one turn; a part of it while others may not count this instance. Its capacity is the fewest slots seen
// of its kind, or of all, at mean pace.
func (b *Balancer) slowStartBudget(now float64, worker *workerState) float64 {
	kind := b.kindOf(worker)
	workRate := b.warmth(now, worker) * cmp.Or(kind.slots, b.minSlots) / math.Max(b.meanPace, kind.pace)
	return b.budgetShare * slowStartTurnShare * b.OverloadMultiple * workRate * b.OverloadWindow
}

// slowStartTurn returns how many instances hold the turn of a worker in slow start and whether this is
// one of them, by an order drawn from the worker and the turn: as many at once as the budget bears of the
// largest jobs. Where that is not everyone, no more than fill its warm slots with what each sends, half
// the overload multiple times over: each is sure of a slot, which it seldom fills all the time, and what
// two turns have in flight stays under the multiple.
func (b *Balancer) slowStartTurn(now float64, worker *workerState, budget float64) (holders int, mine bool) {
	maxHolders := math.Min(budget/slices.Max(b.meanWork), float64(b.Instances))
	if maxHolders < float64(b.Instances) {
		warmSlots := b.OverloadMultiple / 2 * b.warmth(now, worker) * b.slotsOf(worker)
		maxHolders = math.Min(maxHolders, warmSlots/math.Min(b.meanOwnSlots, 1))
	}
	holders = int(math.Max(1, maxHolders))
	// The number is below 0 before it is converted if the reported start is ahead of our clock.
	turn := uint64(int64((now - worker.StartedAt) / b.OverloadWindow))
	return holders, b.turnOrder(worker, turn) < holders
}

// spansPerWindow is how many spans an overload window is counted in.
const spansPerWindow = 3

// slowStartSpent is the work sent to a worker within the overload window, rounded up to four spans of a
// third of it.
func (b *Balancer) slowStartSpent(now float64, worker *workerState) float64 {
	span := int64(math.Floor(now / (b.OverloadWindow / spansPerWindow)))
	if span-worker.sentSpan >= int64(len(worker.sentWork)) {
		worker.sentWork = [4]float64{}
		worker.sentSpan = span
	}
	for worker.sentSpan < span {
		worker.sentSpan++
		worker.sentWork[worker.sentSpan&3] = 0
	}
	return worker.sentWork[0] + worker.sentWork[1] + worker.sentWork[2] + worker.sentWork[3]
}

// slowStartCost is the work that a request counts against a budget: a hint below its class's mean is not
// trusted.
func (b *Balancer) slowStartCost(request *requestState) float64 {
	return math.Max(request.cost, b.meanWork[request.Class])
}
