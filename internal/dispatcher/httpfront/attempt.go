package httpfront

import (
	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/loadbalancer"
)

// attempt is a running attempt.
type attempt struct {
	id         dispatch.AttemptID
	key        callbackKey
	call       *Call
	deadline   float64
	connection *connection // until the answer; nil once the backend has accepted the job
	sent       bool        // the last byte of the request has been written
}

// callbackKey is how a callback names an attempt: a backend has at most one attempt at a call at a time.
type callbackKey struct{ id, runner string }

// written reports whether the last byte of the request has been written.
func (a *attempt) written() bool {
	return a.sent || a.connection != nil && a.connection.wroteAny && a.connection.conn.Unsent() == 0
}

// endAttempt ends an attempt and reports its outcome.
func (p *Pool) endAttempt(attempt *attempt, outcome dispatch.Outcome) {
	p.forget(attempt)
	p.dispatcher.HandleOutcome(attempt.id, outcome)
}

// forget removes an attempt. An answer that is still due is read and ignored.
func (p *Pool) forget(attempt *attempt) {
	delete(p.byCallback, attempt.key)
	delete(p.byID, attempt.id)
	if connection := attempt.connection; connection != nil {
		connection.exchange = nil
		attempt.connection = nil
		if connection.connected { // bounds the wait for the answer, which a dead backend never sends
			connection.setTimeout(p.options.ProbeTimeout)
		}
	}
}

// handleResponse handles a backend's answer: 202 accepts the job, and callbacks report the rest; all else ends the attempt.
func (p *Pool) handleResponse(attempt *attempt, response *Response) {
	attempt.connection = nil
	attempt.sent = true
	if response.Status == 202 {
		return // callbacks report the rest
	}
	outcome := dispatch.Outcome{
		Result: loadbalancer.Error,
		Report: ParseLoadReport(response.Header.Get("X-Load-Report")).Values(p.options.ReportFields),
	}
	switch {
	case (response.Status == 503 || response.Status == 504) && response.Header.Get("X-Rejected") == "1":
		outcome.Result = loadbalancer.Rejected
	case response.Status >= 400 && response.Status < 500 && response.Status != 408 && response.Status != 429:
		outcome.InvalidJob = true // another backend would reject the request, too
	}
	p.endAttempt(attempt, outcome)
}

// Knows reports whether a callback names a running attempt.
func (p *Pool) Knows(callback *Callback) bool {
	return p.byCallback[callbackKey{callback.ID, callback.Runner}] != nil
}

// HandleCallback handles a callback. One that was handled before, or is for an attempt that has ended, has no effect.
func (p *Pool) HandleCallback(callback Callback) {
	attempt := p.byCallback[callbackKey{callback.ID, callback.Runner}]
	if attempt == nil || !attempt.written() {
		p.StrayCallbacks++
		return
	}
	outcome := dispatch.Outcome{Report: callback.Load.Values(p.options.ReportFields)}
	switch callback.State {
	case callbackStarted:
		p.dispatcher.HandleStarted(attempt.id)
		return
	case callbackRunning:
		p.dispatcher.HandleProgress(attempt.id, callback.Progress)
		return
	case callbackDone:
		outcome.Result = loadbalancer.OK
		outcome.Body = []byte(callback.Result)
	case callbackReturned:
		outcome.Result = loadbalancer.Rejected
	case callbackLost:
		outcome.Result = loadbalancer.Reset
	default: // failed, and states that are not known: it may have run
		outcome.Result = loadbalancer.Error
	}
	p.endAttempt(attempt, outcome)
}
