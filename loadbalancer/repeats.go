package loadbalancer

// This file holds the rules that bind each send: repeat safety, drains and cold budgets; every send passes
// send.

// may says whether the four rules allow this send.
func (b *Balancer) may(now float64, r *request, w *worker) bool {
	if r.done || now >= r.Deadline || len(r.attempts) >= b.MaxAttempts || r.flying > 0 && !b.ParallelAttempts ||
		w.State != Ready || !w.runs(r) {
		return false
	}
	return r.repeats(now, w) && b.coldRoom(now, w) >= b.burden(r)
}

// repeats says whether every attempt that may have run may also be sent to w.
func (r *request) repeats(now float64, w *worker) bool {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.mayHaveRun && !repeats(now, r.class, a, w) {
			return false
		}
	}
	return true
}

// repeats says whether a job that may have run as a may also be sent to w.
func repeats(now float64, c *Class, a *attempt, w *worker) bool {
	switch {
	case c.RetrySafety == RetrySafe:
		return true
	case c.RetrySafety == RetryUnsafe || now >= a.sent+c.DedupWindow:
		return false
	case c.DedupScope == DedupZone:
		return w.Zone == a.w.Zone && w.Zone >= 0 // two zones that nobody knows are not known to be the same
	case c.DedupScope == DedupCell:
		return w.Cell == a.w.Cell
	}
	return true
}

// send is the one gate.
func (b *Balancer) send(now float64, r *request, w *worker) {
	if !b.may(now, r, w) {
		return
	}
	b.sent(now, r, w)
	b.act.Send(r.ID, w.ID, 0)
}
