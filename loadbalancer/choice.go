package loadbalancer

import (
	"math"

	"cinderroad/internal/shared/capacity"
)

// This file holds the choice of the worker that a request is sent to.

// rank orders workers for a job: room in the own zone, room elsewhere, no room, too slow, tried, set aside.
func (b *Balancer) rank(now float64, r *request, w *worker) int {
	switch {
	case w.standing.IsEjected(now):
		return 5
	case r.tried(w):
		return 4
	case now+r.cost*w.pace > r.aim && w.pace > peerFactor*b.pace:
		return 3 // so much slower than its peers that this job would end late even if alone
	case w.room < r.size:
		return 2
	case b.zone(w) != b.Zone:
		return 1
	}
	return 0
}

// pick is the ordinary path: the ready worker with most room, own zone first, then the nearest; if none has
// room, the one least over its ceiling. Ties break at random.
func (b *Balancer) pick(now float64, r *request) (best *worker, bestRank int) {
	var choice capacity.Selection[*worker]
	for _, w := range b.workers {
		if !b.may(now, r, w) {
			continue
		}
		offer := capacity.Candidate{Rank: b.rank(now, r, w), SpareCapacity: w.room}
		if offer.Rank == 1 {
			offer.Distance = b.distance(w)
		}
		choice.Add(w, offer, &b.rng)
	}
	return choice.Best, choice.Candidate.Rank
}

// draw breaks ties between workers that tell nothing: at random, in proportion to their weights in the list.
func (b *Balancer) draw(w *worker) float64 {
	u, weight := (float64(b.rng.Next()>>11)+0.5)/(1<<53), 1.0
	if w.Weight > 0 && finite(w.Weight) {
		weight = w.Weight / b.weight
	}
	return tieWidth * (math.Log(weight) - math.Log(-math.Log(u)))
}

// distance counts in eighths of the tightest objective: zones that differ by less share the spill.
func (b *Balancer) distance(w *worker) float64 { return math.Floor(b.far[b.zone(w)] * 8 / b.limit) }

// soonest is the worker that would start the job first, of those that are only full: the least full one may
// be so slow that it starts it last.
func (b *Balancer) soonest(now float64, r *request) (best *worker) {
	for _, w := range b.workers {
		if b.may(now, r, w) && b.rank(now, r, w) <= 2 && (best == nil || b.wait(w, r) < b.wait(best, r)) {
			best = w
		}
	}
	return best
}
