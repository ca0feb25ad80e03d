package loadbalancer

import (
	"cmp"
	"math"
	"slices"

	"cinderroad/internal/shared/capacity"
)

// This file holds what a worker that returned cold is trusted with, and how instances share it.

// warmth is the share of capacity a worker is sure to have: one returning cold cannot meet its ceilings yet.
func (b *Balancer) warmth(now float64, w *worker) float64 {
	if w.StartedAt <= 0 || now-w.StartedAt >= b.SlowStartDuration {
		return 1
	}
	return capacity.Warmth(b.SlowStartInitialShare, now-w.StartedAt, b.SlowStartDuration)
}

// ownRoom is the room on a cold worker whose turn few instances hold: their slots there are nobody else's.
func (b *Balancer) ownRoom(now float64, w *worker) float64 {
	warmth := b.warmth(now, w)
	if warmth >= 1 {
		return math.Inf(-1) // nearly all workers, in every plan: nothing is worked out for them
	}
	if holders, mine := b.turn(now, w, b.coldBudget(now, w)); mine && holders < b.Instances {
		return math.Max(warmth*b.sizeOf(w)/float64(holders), 1) - w.own
	}
	return math.Inf(-1)
}

// coldRoom is the work that may still be sent to a cold worker within the fall time. The others spend theirs
// unseen, so instances take turns of one fall time.
func (b *Balancer) coldRoom(now float64, w *worker) float64 {
	if b.warmth(now, w) >= 1 {
		return math.Inf(1)
	}
	budget := b.coldBudget(now, w)
	holders, mine := b.turn(now, w, budget)
	if !mine {
		return 0
	}
	return budget/float64(holders) - b.spent(now, w)
}

// coldBudget is the work that all may send to a cold worker within the fall time, in one turn; a part of it
// while others may not count us. Capacity: the smallest size seen of its kind, or of all; mean pace.
func (b *Balancer) coldBudget(now float64, w *worker) float64 {
	kind := b.kind(w)
	capacity := b.warmth(now, w) * cmp.Or(kind.size, b.leastSize) / math.Max(b.pace, kind.pace)
	return b.part * coldTurn * b.OverloadMultiple * capacity * b.OverloadWindow
}

// turn says how many instances hold a cold worker's turn and whether this is one of them, from a place drawn
// from the worker and the turn: as many at once as a budget carries of the largest jobs. Where that is not
// everyone, no more than fill its warm slots with what each sends, half the fall multiple times over: each is
// sure of a slot, which it seldom fills all the time, and what two turns have out stays under the multiple.
func (b *Balancer) turn(now float64, w *worker, budget float64) (holders int, mine bool) {
	most := math.Min(budget/slices.Max(b.work), float64(b.Instances))
	if most < float64(b.Instances) {
		most = math.Min(most, b.OverloadMultiple/2*b.warmth(now, w)*b.sizeOf(w)/math.Min(b.demand, 1))
	}
	holders = int(math.Max(1, most))
	turn := uint64(int64((now - w.StartedAt) / b.OverloadWindow)) // a start told ahead of our clock is below 0
	return holders, b.order(w, turn) < holders
}
