package loadbalancer

// This file holds the events that tell of attempts and of clients; what they lead to is decided elsewhere.

// OnNote takes news of a running attempt.
func (b *Balancer) OnNote(now float64, n *Note) {
	a, r := b.attempt(n.Request, n.Attempt)
	switch {
	case a == nil:
	case n.Started && a.started == 0:
		b.started(now, r, a)
	case !n.Started && a.started > 0 && n.Share > a.share && n.Share <= 1:
		a.share = n.Share
		if r.Work > 0 { // else one long job would speak for the worker again and again
			b.learnPace(a.w, (now-a.started)/n.Share, r.cost)
		}
	}
}

// OnOutcome takes the end of an attempt.
func (b *Balancer) OnOutcome(now float64, o *Outcome) {
	a, r := b.attempt(o.Request, o.Attempt)
	if a == nil {
		return
	}
	a.mayHaveRun = o.Result != Full && o.Result != ConnectFailed && o.Result != Moot
	r.landed(a)
	b.learnReport(now, a.w, o.Report)
	if !o.Worn {
		b.learnOutcome(now, r, a, o.Result)
	}
	if o.Closed {
		b.finish(r, nil)
	}
	if !r.done && r.flying == 0 {
		b.try(now, r)
	}
	b.release(r)
}

// OnFirst marks a streamed answer that has begun: the client owns it now.
func (b *Balancer) OnFirst(now float64, id RequestID, attempt int) {
	if a, r := b.attempt(id, attempt); a != nil {
		b.finish(r, a)
	}
}

// OnGone takes a client that has left.
func (b *Balancer) OnGone(now float64, id RequestID) {
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
