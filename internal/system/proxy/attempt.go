package proxy

import (
	"time"

	"cinderroad/internal/shared/httpwire"
	"cinderroad/internal/system/placement"
)

// attempt is a send of a request to one runner.
type attempt struct {
	exchange *exchange
	choice   placement.Choice
	booked   *placement.Attempt
	link     *link // that carries it; nil before and after
	up       bool  // a connection to the runner was there
	sentAt   time.Duration
	last     time.Duration // when the last event came
	progress placement.Progress
	counter  eventCounter
	verdict  verdict
}

// verdict is what the head of a runner's answer says.
type verdict uint8

const (
	passOn      verdict = iota // the answer goes to the client
	notRun                     // the runner says that it did not run the request
	wrongRunner                // another incarnation has the address
	failure                    // the runner failed; it may have run the request
	spoilt                     // no answer that may be passed on
)

// saysNotRun says whether the runner has told that the request did not run and will not.
func (v verdict) saysNotRun() bool { return v == notRun || v == wrongRunner }

// judge reads the head of a runner's answer.
func judge(h *httpwire.ResponseHead) verdict {
	said := h.Header.Has(fieldNotRun)
	switch {
	case h.Status == 421:
		return wrongRunner
	case said && (h.Status >= 500 || h.Status == 429 || h.Status == 408):
		return notRun
	case h.Status >= 500 || h.Status == 429 || h.Status == 408:
		return failure
	case h.Status < 300 && !h.Header.Has(fieldSeal):
		return spoilt
	}
	return passOn
}

// sentWhole says whether the system has taken the last byte of the request.
func (a *attempt) sentWhole() bool { return a.link != nil && a.link.sentWhole() }

// cancel breaks the attempt off: its connection is of no more use.
func (a *attempt) cancel() {
	if l := a.link; l != nil {
		a.link = nil
		l.attempt = nil
		l.close()
	}
}

// end tells the placer how the attempt ended. It must not be used any more.
func (a *attempt) end(o placement.Outcome) {
	x := a.exchange
	if x.attempt == a {
		x.attempt = nil
	}
	if a.link != nil {
		a.link.attempt = nil
		a.link = nil
	}
	now := x.proxy.now()
	if a.up {
		a.progress.Duration = now - a.sentAt
	}
	x.proxy.placer.EndAttempt(now, a.booked, o, a.progress)
}

// began notes that the request has been given to a connection.
func (a *attempt) began() {
	x := a.exchange
	a.up = true
	a.sentAt = x.proxy.now()
	if x.state != relaying {
		x.transition(awaiting)
	}
}

// shown notes events of the answer, or its first bytes.
func (a *attempt) shown(events int) {
	if events == 0 {
		return
	}
	x := a.exchange
	now := x.proxy.now()
	if a.progress.TimeToFirstEvent == 0 {
		a.progress.TimeToFirstEvent = max(now-a.sentAt, 1)
		x.proxy.placer.HandleFirstEvent(now, a.booked)
		x.proxy.peers.tellAnswers(a.booked)
		events--
		a.progress.Events++
	} else {
		a.progress.LongestEventGap = max(a.progress.LongestEventGap, now-a.last)
	}
	for range events {
		x.proxy.placer.HandleEvent(now, a.booked)
	}
	a.progress.Events += events
	a.last = now
}

// headCame takes the head of the runner's answer. It may end the attempt, whose connection then reads the rest away.
func (a *attempt) headCame(h *httpwire.ResponseHead) {
	x := a.exchange
	a.verdict = judge(h)
	if a.verdict == passOn && x.answer.begun && !x.answer.goesOnWith(h) {
		a.verdict = failure
	}
	switch a.verdict {
	case passOn:
		x.relay(h)
	case notRun:
		x.tried(a, false)
		a.end(placement.Rejected)
		x.goOn(retryAfter(h))
	case wrongRunner:
		x.tried(a, false)
		runner := a.choice.Runner
		a.cancel()
		a.end(placement.Misdirected)
		x.proxy.pool.drop(runner)
		x.goOn(0)
	case failure:
		x.failed(a, h)
	case spoilt:
		a.lost(true)
	}
}

// lost ends an attempt whose connection was lost, or brought what is no answer to it.
func (a *attempt) lost(mayHaveRun bool) {
	x := a.exchange
	if !a.up {
		x.tried(a, false)
		x.unreached++
		a.cancel()
		a.end(placement.ConnectFailed)
		if x.unreached > mostUnreached || x.proxy.now() >= x.request.Deadline {
			x.giveUp(soon)
			return
		}
		x.place()
		return
	}
	x.tried(a, mayHaveRun)
	a.cancel()
	a.end(placement.Interrupted)
	x.goOn(0)
}

// goOn sends the request to another runner after an attempt that brought nothing, or gives up.
func (x *exchange) goOn(pause time.Duration) {
	if sent, refused := x.again(); !sent {
		x.giveUp(max(pause, refused))
	}
}

// failed takes a failure of the runner's own, which may have run the request. It is passed on unless another runner
// takes the request.
func (x *exchange) failed(a *attempt, h *httpwire.ResponseHead) {
	x.tried(a, true)
	x.attempt = nil
	if sent, _ := x.again(); sent {
		a.end(placement.Failed)
		return
	}
	x.attempt = a
	if x.answer.begun {
		a.end(placement.Failed)
		x.abort()
		return
	}
	if h.Status == 429 || h.Status == 503 || h.Status == 408 { // would promise that it has not run
		a.end(placement.Failed)
		x.proxy.Figures.Failed++
		x.reply(ownAnswer{status: 502, body: "runner failed"})
		return
	}
	x.relay(h)
}

// retryAfter is when a runner that was full may be asked again; 0: it does not say.
func retryAfter(h *httpwire.ResponseHead) time.Duration {
	seconds := seconds(h.Header.Get(fieldRetryAfter))
	return max(0, min(seconds, mostWait))
}
