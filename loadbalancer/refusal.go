package loadbalancer

import (
	"math"
	"slices"
)

// This file holds final answers that are not a worker's: when a request is given up, refused or failed.

// isUnservable says that no send the rules allow can ever serve the request: it may have run, and nobody listed is
// left of the group that drops its repeats, or drops them no longer. The client is better told now.
func (b *Balancer) isUnservable(now float64, request *requestState) bool {
	return request.inFlight == 0 && request.mayHaveRun() && !slices.ContainsFunc(b.workers, func(worker *workerState) bool {
		return worker.State != Departed && worker.canRun(request) && request.mayRepeatOn(now, worker)
	})
}

// isHopeless says that even the best worker would start the job too late: refusing early beats failing late.
// All classes have one limit: if each waited as its own aim bears, the patient would starve the others.
func (b *Balancer) isHopeless(worker *workerState, request *requestState) bool {
	return b.expectedWait(worker, request) > b.maxWait
}

// retryAfter is when a refused client should ask again: once the worker that is free first has worked its
// queue down to what may wait there, and not before the next plan can know of it.
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

// mayReject says whether the client may be told that a retry is harmless.
func (b *Balancer) mayReject(request *requestState) bool {
	return request.class.RetrySafety == RetrySafe || !request.mayHaveRun() || request.class.RetrySafety == RetryDeduplicated && request.class.DedupScope == DedupAll
}

// answerWithoutWorker gives the one final answer: a refusal where it is known to be harmless, else a failure.
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
