package loadbalancer

// This file holds the events that tell of attempts and of clients; what they lead to is decided elsewhere.

// HandleProgress takes news of a running attempt.
func (b *Balancer) HandleProgress(now float64, n *ProgressUpdate) {
	a, r := b.attempt(n.Request, n.Attempt)
	switch {
	case a == nil:
	case n.Started && a.started == 0:
		b.started(now, r, a)
	case !n.Started && a.started > 0 && n.Fraction > a.share && n.Fraction <= 1:
		a.share = n.Fraction
		if r.Work > 0 { // else one long job would speak for the worker again and again
			b.learnPace(a.w, (now-a.started)/n.Fraction, r.cost)
		}
	}
}

// HandleOutcome takes the end of an attempt.
func (b *Balancer) HandleOutcome(now float64, o *Outcome) {
	a, r := b.attempt(o.Request, o.Attempt)
	if a == nil {
		return
	}
	a.mayHaveRun = o.Result != Rejected && o.Result != ConnectFailed && o.Result != Withdrawn
	r.landed(a)
	b.learnReport(now, a.w, o.Report)
	if !o.StaleConnection {
		b.learnOutcome(now, r, a, o.Result)
	}
	if o.ClientAnswered {
		b.finish(r, nil)
	}
	if !r.done && r.flying == 0 {
		b.try(now, r)
	}
	b.release(r)
}

// HandleFirstByte marks a streamed answer that has begun: the client owns it now.
func (b *Balancer) HandleFirstByte(now float64, id RequestID, attempt int) {
	if a, r := b.attempt(id, attempt); a != nil {
		b.finish(r, a)
	}
}

// HandleDisconnect takes a client that has left.
func (b *Balancer) HandleDisconnect(now float64, id RequestID) {
	if r := b.requests[id]; r != nil {
		b.finish(r, nil)
		b.release(r)
	}
}

// finish notes that the client has its answer; what is still out, but for the stream it owns, is withdrawn.
func (b *Balancer) finish(r *request, stream *attempt) {
	if r.done {
		return
	}
	b.close(r)
	for i := range r.attempts {
		if &r.attempts[i] != stream {
			b.cancel(r, i)
		}
	}
}
