package loadbalancer

import (
	"math"

	"cinderroad/internal/shared/capacity"
)

// This file holds the choice of the worker that a request is sent to.

// rank orders workers for a job: room in the own zone, room elsewhere, no room, too slow, tried, set aside.
func (b *Balancer) rank(now float64, request *requestState, worker *workerState) int {
	switch {
	case worker.ejection.IsEjected(now):
		return 5
	case request.hasTried(worker):
		return 4
	case now+request.cost*worker.pace > request.target && worker.pace > peerFactor*b.meanPace:
		return 3 // so much slower than its peers that this job would end late even if alone
	case worker.spareSlots < request.slotsNeeded:
		return 2
	case b.zoneOf(worker) != b.Zone:
		return 1
	}
	return 0
}

// selectWorker is the ordinary path: the ready worker with most room, own zone first, then the nearest; if none has
// room, the one least over its ceiling. Ties break at random.
func (b *Balancer) selectWorker(now float64, request *requestState) (best *workerState, bestRank int) {
	var selection capacity.Selection[*workerState]
	for _, worker := range b.workers {
		if !b.isEligible(now, request, worker) {
			continue
		}
		offer := capacity.Candidate{Rank: b.rank(now, request, worker), SpareCapacity: worker.spareSlots}
		if offer.Rank == 1 {
			offer.Distance = b.distance(worker)
		}
		selection.Add(worker, offer, &b.random)
	}
	return selection.Best, selection.Candidate.Rank
}

// tieBreak breaks ties between workers that tell nothing: at random, in proportion to their weights in the list.
func (b *Balancer) tieBreak(worker *workerState) float64 {
	uniform, weight := (float64(b.random.Next()>>11)+0.5)/(1<<53), 1.0
	if worker.Weight > 0 && isFinite(worker.Weight) {
		weight = worker.Weight / b.meanWeight
	}
	return tieWidth * (math.Log(weight) - math.Log(-math.Log(uniform)))
}

// distance counts in eighths of the tightest objective: zones that differ by less share the spill.
func (b *Balancer) distance(worker *workerState) float64 {
	return math.Floor(b.zoneLatencies[b.zoneOf(worker)] * 8 / b.tightestObjective)
}

// soonestStart is the worker that would start the job first, of those that are only full: the least full one may
// be so slow that it starts it last.
func (b *Balancer) soonestStart(now float64, request *requestState) (best *workerState) {
	for _, worker := range b.workers {
		if b.isEligible(now, request, worker) && b.rank(now, request, worker) <= 2 && (best == nil || b.expectedWait(worker, request) < b.expectedWait(best, request)) {
			best = worker
		}
	}
	return best
}
