package loadbalancer

import (
	"math"
	"slices"
)

// This file holds final answers that are not a worker's: when a request is given up, refused or failed.

// lost says that no send the rules allow can ever serve the request: it may have run, and nobody listed is
// left of the group that drops its repeats, or drops them no longer. The client is better told now.
func (b *Balancer) lost(now float64, r *request) bool {
	return r.flying == 0 && r.ran() && !slices.ContainsFunc(b.workers, func(w *worker) bool {
		return w.State != Departed && w.runs(r) && r.repeats(now, w)
	})
}

// hopeless says that even the best worker would start the job too late: refusing early beats failing late.
// All classes have one limit: if each waited as its own aim bears, the patient would starve the others.
func (b *Balancer) hopeless(w *worker, r *request) bool { return b.wait(w, r) > b.patience }

// comeBack is when a refused client should ask again: once the worker that is free first has worked its
// queue down to what may wait there, and not before the next plan can know of it.
func (b *Balancer) comeBack(r *request) float64 {
	if !b.MayRetryAfter {
		return 0
	}
	least := b.MaxRetryAfter
	for _, w := range b.workers {
		if w.State == Ready && w.runs(r) {
			least = math.Min(least, b.wait(w, r)-b.patience)
		}
	}
	return math.Min(math.Max(least, b.limit), b.MaxRetryAfter)
}

// mayRefuse says whether the client may be told that a retry is harmless.
func (b *Balancer) mayRefuse(r *request) bool {
	return r.class.RetrySafety == RetrySafe || !r.ran() || r.class.RetrySafety == RetryDeduplicated && r.class.DedupScope == DedupAll
}

// answer gives the one final answer: a refusal where it is known to be harmless, else a failure.
func (b *Balancer) answer(now float64, r *request) {
	if r.done {
		return
	}
	if b.mayRefuse(r) {
		b.act.Reject(r.ID, b.comeBack(r))
	} else {
		b.act.Fail(r.ID)
	}
	b.finish(r, nil)
	b.release(r)
}
