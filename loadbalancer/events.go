package loadbalancer

// This file holds the events that tell of attempts and of clients; what they lead to is decided elsewhere.

// HandleProgress takes news of a running attempt.
func (b *Balancer) HandleProgress(now float64, update *ProgressUpdate) {
	attempt, request := b.findAttempt(update.Request, update.Attempt)
	switch {
	case attempt == nil:
	case update.Started && attempt.startedAt == 0:
		b.handleJobStart(now, request, attempt)
	case !update.Started && attempt.startedAt > 0 && update.Fraction > attempt.fraction && update.Fraction <= 1:
		attempt.fraction = update.Fraction
		if request.Work > 0 { // else one long job would speak for the worker again and again
			b.learnPace(attempt.worker, (now-attempt.startedAt)/update.Fraction, request.cost)
		}
	}
}

// HandleOutcome takes the end of an attempt.
func (b *Balancer) HandleOutcome(now float64, outcome *Outcome) {
	attempt, request := b.findAttempt(outcome.Request, outcome.Attempt)
	if attempt == nil {
		return
	}
	attempt.mayHaveRun = outcome.Result != Rejected && outcome.Result != ConnectFailed && outcome.Result != Withdrawn
	request.endAttempt(attempt)
	b.learnReport(now, attempt.worker, outcome.Report)
	if !outcome.StaleConnection {
		b.learnOutcome(now, request, attempt, outcome.Result)
	}
	if outcome.ClientAnswered {
		b.finishRequest(request, nil)
	}
	if !request.answered && request.inFlight == 0 {
		b.attemptNext(now, request)
	}
	b.release(request)
}

// HandleFirstByte marks a streamed answer that has begun: the client owns it now.
func (b *Balancer) HandleFirstByte(now float64, id RequestID, attempt int) {
	if attempt, request := b.findAttempt(id, attempt); attempt != nil {
		b.finishRequest(request, attempt)
	}
}

// HandleDisconnect takes a client that has left.
func (b *Balancer) HandleDisconnect(now float64, id RequestID) {
	if request := b.requests[id]; request != nil {
		b.finishRequest(request, nil)
		b.release(request)
	}
}

// finishRequest notes that the client has its answer; what is still out, but for the stream it owns, is withdrawn.
func (b *Balancer) finishRequest(request *requestState, stream *attemptState) {
	if request.answered {
		return
	}
	b.closeRequest(request)
	for i := range request.attempts {
		if &request.attempts[i] != stream {
			b.cancel(request, i)
		}
	}
}
