package proxy

import (
	"time"

	"cinderroad/internal/system/placement"
)

// cancel ends the request without a runner's answer. pause is after which the client may come back; 0: not known.
func (x *exchange) giveUp(pause time.Duration) {
	switch {
	case x.response.started:
		x.abort()
	case x.request.MayHaveRun:
		x.proxy.Counters.Failed++
		x.respond(localResponse{status: 502, body: "runner failed"})
	default:
		if pause <= 0 {
			pause = defaultRetryAfter
		}
		x.proxy.Counters.Rejected++
		x.respond(localResponse{status: 503, retryAfter: pause, body: "no room"})
	}
}

// handleDeadline ends the request at its deadline. An answer under way has a moment more: its runner stops by itself, and what
// it sent last may be on its way. The client must have the end within 0.25 s of the route's time, of which deadlineGrace leaves
// 0.1 s for the way of the request and of the answer and for a late turn of the loop.
func (x *exchange) handleDeadline() {
	switch {
	case x.state == exchangeReceiving:
		x.finish()
		x.session.rejectWith(408, "request not whole in time")
	case x.response.started:
		x.deadlineTimer = x.proxy.runAt(x.proxy.now()+deadlineGrace, x.abort)
	case x.request.MayHaveRun || x.attempt != nil && x.attempt.connected: // with a part of it, the runner may have begun
		x.cancelAttempt(x.deadlineOutcome())
		x.proxy.Counters.Failed++
		x.respond(localResponse{status: 504, body: "no answer in time"})
	default:
		x.cancelAttempt(placement.Cancelled)
		x.proxy.Counters.Rejected++
		x.respond(localResponse{status: 503, retryAfter: shortRetryAfter, body: "no runner reached in time"})
	}
}

// endForShutdown ends a request whose answer has not begun, since the process ends.
func (x *exchange) endForShutdown() {
	if x.state == exchangeReceiving {
		x.finish()
		x.session.rejectWith(503, "the proxy ends")
		return
	}
	x.request.MayHaveRun = x.request.MayHaveRun || x.attempt != nil && x.attempt.connected // with a part of it, the runner may have begun
	x.cancelAttempt(placement.Cancelled)
	x.giveUp(shortRetryAfter)
}

// deadlineOutcome is what the deadline says of the runner: little, unless it had the time that an answer should take.
func (x *exchange) deadlineOutcome() placement.Outcome {
	a := x.attempt
	if a != nil && a.requestSent() && x.proxy.now()-a.sentAt >= x.request.Route.LatencyTarget {
		return placement.TimedOut
	}
	return placement.Cancelled
}

// cancelAttempt breaks the attempt under way off, if there is one.
func (x *exchange) cancelAttempt(outcome placement.Outcome) {
	if a := x.attempt; a != nil {
		a.cancel()
		a.end(outcome)
	}
}

// handleClientGone ends an exchange whose client has left; its session is closed already.
func (x *exchange) handleClientGone() {
	x.cancelAttempt(placement.Cancelled)
	x.proxy.Counters.Aborted++
	x.finish()
}

// abort breaks off an answer that cannot be completed.
func (x *exchange) abort() {
	x.cancelAttempt(placement.Cancelled)
	x.proxy.Counters.Aborted++
	s, framed := x.session, x.response.isDelimited()
	x.finish()
	s.abort(framed)
}

// respond ends the request with an answer of the proxy itself.
func (x *exchange) respond(response localResponse) {
	response.tryID = x.tryID
	response.noBody = x.head.Method == "HEAD"
	s := x.session
	x.finish()
	s.respond(response)
}

// finish lets go of what the exchange holds.
func (x *exchange) finish() {
	if x.state == exchangeFinished {
		return
	}
	x.transition(exchangeFinished)
	x.deadlineTimer.Stop()
	x.releaseBody()
	x.proxy.openExchanges--
	if x.session.exchange == x {
		x.session.exchange = nil
	}
	x.proxy.exitWhenDrained()
}
