package loadbalancer

import (
	"cmp"
	"math"
	"slices"

	"cinderroad/internal/shared/capacity"
)

// This file holds what a worker that returned cold is trusted with, and how instances share it.

// warmth is the share of capacity a worker is sure to have: one returning cold cannot meet its ceilings yet.
func (b *Balancer) warmth(now float64, worker *workerState) float64 {
	if worker.StartedAt <= 0 || now-worker.StartedAt >= b.SlowStartDuration {
		return 1
	}
	return capacity.Warmth(b.SlowStartInitialShare, now-worker.StartedAt, b.SlowStartDuration)
}

// slowStartOwnSlots is the room on a cold worker whose turn few instances hold: their slots there are nobody else's.
func (b *Balancer) slowStartOwnSlots(now float64, worker *workerState) float64 {
	warmth := b.warmth(now, worker)
	if warmth >= 1 {
		return math.Inf(-1) // nearly all workers, in every plan: nothing is worked out for them
	}
	if holders, mine := b.slowStartTurn(now, worker, b.slowStartBudget(now, worker)); mine && holders < b.Instances {
		return math.Max(warmth*b.slotsOf(worker)/float64(holders), 1) - worker.ownSlots
	}
	return math.Inf(-1)
}

// slowStartBudgetLeft is the work that may still be sent to a cold worker within the fall time. The others spend theirs
// unseen, so instances take turns of one fall time.
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

// slowStartBudget is the work that all may send to a cold worker within the fall time, in one turn; a part of it
// while others may not count us. Capacity: the smallest size seen of its kind, or of all; mean pace.
func (b *Balancer) slowStartBudget(now float64, worker *workerState) float64 {
	kind := b.kindOf(worker)
	workRate := b.warmth(now, worker) * cmp.Or(kind.slots, b.minSlots) / math.Max(b.meanPace, kind.pace)
	return b.budgetShare * slowStartTurnShare * b.OverloadMultiple * workRate * b.OverloadWindow
}

// slowStartTurn says how many instances hold a cold worker's turn and whether this is one of them, from a place drawn
// from the worker and the turn: as many at once as a budget carries of the largest jobs. Where that is not
// everyone, no more than fill its warm slots with what each sends, half the fall multiple times over: each is
// sure of a slot, which it seldom fills all the time, and what two turns have out stays under the multiple.
func (b *Balancer) slowStartTurn(now float64, worker *workerState, budget float64) (holders int, mine bool) {
	maxHolders := math.Min(budget/slices.Max(b.meanWork), float64(b.Instances))
	if maxHolders < float64(b.Instances) {
		maxHolders = math.Min(maxHolders, b.OverloadMultiple/2*b.warmth(now, worker)*b.slotsOf(worker)/math.Min(b.meanOwnSlots, 1))
	}
	holders = int(math.Max(1, maxHolders))
	turn := uint64(int64((now - worker.StartedAt) / b.OverloadWindow)) // a start told ahead of our clock is below 0
	return holders, b.turnOrder(worker, turn) < holders
}
