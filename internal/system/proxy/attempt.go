package proxy

import (
	"net/http"
	"time"

	"cinderroad/internal/shared/httpwire"
	"cinderroad/internal/system/placement"
)

// attempt is one transmission of a request to one runner.
type attempt struct {
	exchange     *exchange
	choice       placement.Choice
	tracked      *placement.Attempt
	conn         *runnerConn   // carries the request; nil before it is sent and after the attempt
	connected    bool          // a connection to the runner was established and the request written to it
	sentAt       time.Duration // on the proxy's clock
	lastEventAt  time.Duration // when the last event of the response arrived
	progress     placement.Progress
	eventCounter eventCounter
	verdict      verdict
}

// verdict classifies a response by its head.
type verdict uint8

const (
	verdictRelay       verdict = iota // forward the response to the client
	verdictNotRun                     // the runner guarantees that the request was not executed
	verdictWrongRunner                // the address belongs to another incarnation
	verdictFailure                    // the runner failed; it may have executed the request
	verdictInvalid                    // not a response that may be forwarded
)

// provesNotRun reports whether the runner guarantees that the request was not and will not be executed.
func (v verdict) provesNotRun() bool { return v == verdictNotRun || v == verdictWrongRunner }

// classify derives the verdict from the head of a runner's response.
func classify(head *httpwire.ResponseHead) verdict {
	failed := isFailureStatus(head.Status)
	switch {
	case head.Status == http.StatusMisdirectedRequest:
		return verdictWrongRunner
	case failed && head.Header.Has(headerNotRun):
		return verdictNotRun
	case failed:
		return verdictFailure
	case head.Status < http.StatusMultipleChoices && !head.Header.Has(headerSeal):
		return verdictInvalid
	}
	return verdictRelay
}

// isFailureStatus reports whether a runner's status says that it failed, or did not execute the request in time.
func isFailureStatus(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return true
	}
	return status >= http.StatusInternalServerError
}

// requestSent reports whether the kernel has accepted the last byte of the request.
func (a *attempt) requestSent() bool { return a.conn != nil && a.conn.requestSent() }

// cancel aborts the attempt and closes its connection, which cannot be reused.
func (a *attempt) cancel() {
	if conn := a.conn; conn != nil {
		a.conn = nil
		conn.attempt = nil
		conn.close()
	}
}

// end reports the outcome of the attempt to the placer. The attempt must not be used afterwards.
func (a *attempt) end(outcome placement.Outcome) {
	x := a.exchange
	if x.attempt == a {
		x.attempt = nil
	}
	if a.conn != nil {
		a.conn.attempt = nil
		a.conn = nil
	}
	now := x.proxy.now()
	if a.connected {
		a.progress.Duration = now - a.sentAt
	}
	x.proxy.placer.EndAttempt(now, a.tracked, outcome, a.progress)
}

// noteSent records that the request was written to a connection.
func (a *attempt) noteSent() {
	x := a.exchange
	a.connected = true
	a.sentAt = x.proxy.now()
	if x.state != exchangeRelaying {
		x.transition(exchangeAwaiting)
	}
}

// noteEvents records events of the response, or the first bytes of one that is not an event stream.
func (a *attempt) noteEvents(events int) {
	if events == 0 {
		return
	}
	x := a.exchange
	now := x.proxy.now()
	if a.progress.TimeToFirstEvent == 0 {
		a.progress.TimeToFirstEvent = max(now-a.sentAt, 1)
		x.proxy.placer.HandleFirstEvent(now, a.tracked)
		x.proxy.peers.notifyResponding(a.tracked)
		events--
		a.progress.Events++
	} else {
		a.progress.LongestEventGap = max(a.progress.LongestEventGap, now-a.lastEventAt)
	}
	for range events {
		x.proxy.placer.HandleEvent(now, a.tracked)
	}
	a.progress.Events += events
	a.lastEventAt = now
}

// handleHead processes the head of the runner's response. It may end the attempt; the connection then discards the rest
// of the response.
func (a *attempt) handleHead(head *httpwire.ResponseHead) {
	x := a.exchange
	a.verdict = classify(head)
	if a.verdict == verdictRelay && x.response.started && !x.response.canContinueWith(head) {
		a.verdict = verdictFailure
	}
	switch a.verdict {
	case verdictRelay:
		x.relayHead(head)
	case verdictNotRun:
		x.recordAttempt(a, notRun)
		a.end(placement.Rejected)
		x.retryOrGiveUp(parseRetryAfter(head))
	case verdictWrongRunner:
		x.recordAttempt(a, notRun)
		runner := a.choice.Runner
		a.cancel()
		a.end(placement.Misdirected)
		x.proxy.pool.closeIdleOf(runner)
		x.retryOrGiveUp(0)
	case verdictFailure:
		x.handleFailure(a, head)
	case verdictInvalid:
		a.handleLost(possiblyRun)
	}
}

// handleLost ends an attempt whose connection was lost or delivered something that is no response to it.
func (a *attempt) handleLost(mayHaveRun bool) {
	x := a.exchange
	if !a.connected {
		x.recordAttempt(a, notRun)
		a.cancel()
		a.end(placement.ConnectFailed)
		if x.request.Unreached() > maxConnectFailures || x.proxy.now() >= x.request.Deadline {
			x.giveUp(shortRetryAfter)
			return
		}
		x.place()
		return
	}
	x.recordAttempt(a, mayHaveRun)
	a.cancel()
	a.end(placement.Interrupted)
	x.retryOrGiveUp(0)
}

// handleFailure processes a failure response of the runner, which may have executed the request. The response is
// forwarded to the client unless another runner takes the request.
func (x *exchange) handleFailure(attempt *attempt, head *httpwire.ResponseHead) {
	x.recordAttempt(attempt, possiblyRun)
	x.attempt = nil
	if sent, _ := x.retry(); sent {
		attempt.end(placement.Failed)
		return
	}
	x.attempt = attempt
	if x.response.started {
		attempt.end(placement.Failed)
		x.abort()
		return
	}
	if impliesNotRun(head.Status) {
		attempt.end(placement.Failed)
		x.proxy.Counters.Failed++
		x.respond(localResponse{status: http.StatusBadGateway, body: "runner failed"})
		return
	}
	x.relayHead(head)
}

// impliesNotRun reports whether a status would tell the client that the request was not executed.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// handleConnFailure ends an attempt whose connection has failed.
func (a *attempt) handleConnFailure(mayHaveRun bool) {
	if a.verdict == verdictFailure && a.exchange.response.started { // the runner's own failure response was being forwarded
		a.end(placement.Failed)
		a.exchange.abort()
		return
	}
	a.handleLost(mayHaveRun)
}
