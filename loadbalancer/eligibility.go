package loadbalancer

// This file holds the rules that bind each send: retry safety, drains and slow start budgets. Every send
// passes send.

// isEligible reports whether the rules allow this send.
func (b *Balancer) isEligible(now float64, request *requestState, worker *workerState) bool {
	switch {
	case request.answered || now >= request.Deadline:
		return false
	case len(request.attempts) >= b.MaxAttempts:
		return false
	case request.inFlight > 0 && !b.ParallelAttempts:
		return false
	case worker.State != Ready || !worker.canRun(request):
		return false
	case !request.mayRepeatOn(now, worker):
		return false
	}
	return b.slowStartBudgetLeft(now, worker) >= b.slowStartCost(request)
}

// mayRepeatOn reports whether every attempt that may have run may also be sent to the worker.
func (r *requestState) mayRepeatOn(now float64, worker *workerState) bool {
	for i := range r.attempts {
		attempt := &r.attempts[i]
		if attempt.mayHaveRun && !mayRepeat(now, r.class, attempt, worker) {
			return false
		}
	}
	return true
}

// mayRepeat reports whether a job that may have run as an attempt may also be sent to the worker.
func mayRepeat(now float64, class *Class, attempt *attemptState, worker *workerState) bool {
	switch {
	case class.RetrySafety == RetrySafe:
		return true
	case class.RetrySafety == RetryUnsafe || now >= attempt.sentAt+class.DedupWindow:
		return false
	case class.DedupScope == DedupZone:
		return worker.Zone == attempt.worker.Zone && worker.Zone >= 0 // two unknown zones may differ
	case class.DedupScope == DedupCell:
		return worker.Cell == attempt.worker.Cell
	}
	return true
}

// send is the only place that sends.
func (b *Balancer) send(now float64, request *requestState, worker *workerState) {
	if !b.isEligible(now, request, worker) {
		return
	}
	b.recordSend(now, request, worker)
	b.actions.Send(request.ID, worker.ID, 0)
}
