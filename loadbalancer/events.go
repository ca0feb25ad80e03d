package loadbalancer

// This file holds the events of attempts and clients; what they lead to is decided in the policy files.

// HandleProgress applies a progress update. Updates of attempts that are not in flight are ignored.
func (b *Balancer) HandleProgress(now float64, update *ProgressUpdate) {
	attempt, request := b.findAttempt(update.Request, update.Attempt)
	switch {
	case attempt == nil:
	case update.Started && attempt.startedAt == 0:
		b.handleJobStart(now, request, attempt)
	case !update.Started && attempt.startedAt > 0 && update.Fraction > attempt.fraction && update.Fraction <= 1:
		attempt.fraction = update.Fraction
		if request.Work > 0 { // else one long job would count for the worker again and again
			b.learnPace(attempt.worker, (now-attempt.startedAt)/update.Fraction, request.cost)
		}
	}
}

// HandleOutcome applies the end of an attempt. A second outcome of an attempt is ignored.
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

// HandleFirstByte records that a streamed answer has begun: from now on it is the client's, and is not
// retried.
func (b *Balancer) HandleFirstByte(now float64, id RequestID, attempt int) {
	if attempt, request := b.findAttempt(id, attempt); attempt != nil {
		b.finishRequest(request, attempt)
	}
}

// HandleDisconnect records that a client has disconnected. It gets no answer.
func (b *Balancer) HandleDisconnect(now float64, id RequestID) {
	if request := b.requests[id]; request != nil {
		b.finishRequest(request, nil)
		b.release(request)
	}
}
