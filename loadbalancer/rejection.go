package loadbalancer

import (
	"math"
	"slices"
)

// This file decides final answers that are not a worker's: when a request is given up, rejected or
// failed.

// isUnservable reports whether no send that the rules allow can ever serve the request: it may have run,
// and no listed worker of the group that drops its duplicates is left, or the group drops them no longer.
// Failing now lets the client act sooner.
func (b *Balancer) isUnservable(now float64, request *requestState) bool {
	if request.inFlight > 0 || !request.mayHaveRun() {
		return false
	}
	return !slices.ContainsFunc(b.workers, func(worker *workerState) bool {
		return worker.State != Departed && worker.canRun(request) && request.mayRepeatOn(now, worker)
	})
}

// isHopeless reports whether even the best worker would start the job too late: rejecting early beats
// failing late. All classes have one limit: if each waited as long as its own target allows, the patient
// ones would starve the others.
func (b *Balancer) isHopeless(worker *workerState, request *requestState) bool {
	return b.expectedWait(worker, request) > b.maxWait
}

// retryAfter is when a rejected client should ask again: once the worker that is free first has worked
// its queue down to what may wait there, and not before the next plan can know of it.
func (b *Balancer) retryAfter(request *requestState) float64 {
	if !b.MayRetryAfter {
		return 0
	}
	wait := b.MaxRetryAfter
	for _, worker := range b.workers {
		if worker.State == Ready && worker.canRun(request) {
			wait = math.Min(wait, b.expectedWait(worker, request)-b.maxWait)
		}
	}
	return math.Min(math.Max(wait, b.tightestObjective), b.MaxRetryAfter)
}

// mayReject reports whether a rejection, which promises that a retry is harmless, is allowed.
func (b *Balancer) mayReject(request *requestState) bool {
	class := request.class
	if class.RetrySafety == RetrySafe || !request.mayHaveRun() {
		return true
	}
	return class.RetrySafety == RetryDeduplicated && class.DedupScope == DedupAll
}

// answerWithoutWorker gives the one final answer: a rejection if that is known to be harmless, else a
// failure.
func (b *Balancer) answerWithoutWorker(now float64, request *requestState) {
	if request.answered {
		return
	}
	if b.mayReject(request) {
		b.actions.Reject(request.ID, b.retryAfter(request))
	} else {
		b.actions.Fail(request.ID)
	}
	b.finishRequest(request, nil)
	b.release(request)
}
