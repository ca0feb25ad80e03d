package loadbalancer

import (
	"math"

	"cinderroad/internal/shared/capacity"
)

// This file decides which worker a request is sent to.

// The ranks of workers for a job; the lowest is selected.
const (
	rankSpareLocal  = iota // spare capacity, in the own zone
	rankSpareRemote        // spare capacity, in another zone: the nearest first
	rankNoSpare            // the one least over its limit
	rankTooSlow            // so slow that the job would be late even alone
	rankTried              // an attempt of this request went there
	rankEjected
)

// rank orders workers for a job: spare capacity in the own zone, spare capacity elsewhere, none, too
// slow, tried, ejected.
func (b *Balancer) rank(now float64, request *requestState, worker *workerState) int {
	switch {
	case worker.ejection.IsEjected(now):
		return rankEjected
	case request.hasTried(worker):
		return rankTried
	case b.isTooSlow(now, request, worker):
		return rankTooSlow
	case worker.spareSlots < request.slotsNeeded:
		return rankNoSpare
	case b.zoneOf(worker) != b.Zone:
		return rankSpareRemote
	}
	return rankSpareLocal
}

// isTooSlow reports whether a worker is so much slower than its peers that the job would be late even alone.
func (b *Balancer) isTooSlow(now float64, request *requestState, worker *workerState) bool {
	runTime := request.cost * worker.pace
	return now+runTime > request.target && worker.pace > peerFactor*b.meanPace
}

// selectWorker selects the eligible worker with the most spare capacity, in the own zone first, then in
// the nearest; if none has any, the one least over its limit. Ties are broken at random. It returns nil
// if no worker is eligible.
func (b *Balancer) selectWorker(now float64, request *requestState) (best *workerState, bestRank int) {
	var selection capacity.Selection[*workerState]
	for _, worker := range b.workers {
		if !b.isEligible(now, request, worker) {
			continue
		}
		offer := capacity.Candidate{Rank: b.rank(now, request, worker), SpareCapacity: worker.spareSlots}
		if offer.Rank == rankSpareRemote {
			offer.Distance = b.distance(worker)
		}
		selection.Add(worker, offer, &b.random)
	}
	return selection.Best, selection.Candidate.Rank
}

// tieBreak orders workers that report nothing: at random, in proportion to their weights in the list. The
// greatest of log(weight) plus Gumbel noise, -log(-log(uniform)), is each worker's with that probability.
func (b *Balancer) tieBreak(worker *workerState) float64 {
	const mantissaBits = 53
	uniform := (float64(b.random.Next()>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	weight := 1.0
	if worker.Weight > 0 && isFinite(worker.Weight) {
		weight = worker.Weight / b.meanWeight
	}
	noise := -math.Log(-math.Log(uniform))
	return tieWidth * (math.Log(weight) + noise)
}

// distance is the latency of the worker's zone in steps of an eighth of the tightest objective: zones
// that differ by less share what overflows.
func (b *Balancer) distance(worker *workerState) float64 {
	return math.Floor(b.zoneLatencies[b.zoneOf(worker)] * distanceSteps / b.tightestObjective)
}

// soonestStart selects the worker that would start the job first, of those that are only full: the least
// full one may be so slow that it starts it last.
func (b *Balancer) soonestStart(now float64, request *requestState) (best *workerState) {
	for _, worker := range b.workers {
		if !b.isEligible(now, request, worker) {
			continue
		}
		if b.rank(now, request, worker) > rankNoSpare {
			continue
		}
		if best == nil || b.expectedWait(worker, request) < b.expectedWait(best, request) {
			best = worker
		}
	}
	return best
}
