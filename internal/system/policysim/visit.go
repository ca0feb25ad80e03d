package policysim

import (
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/placement"
	"cinderroad/internal/testkit/engine"
)

// modelName is the model that all engines serve.
const modelName = "m"

// Patience of clients: a stream is given up after a silence of the longest of these.
const (
	minSilenceTimeout   = 2 * time.Second
	targetTimeoutFactor = 4 // multiple of the target
	gapTimeoutFactor    = 8 // multiple of the longest pause in time
)

// callState is a client's call with all its tries.
type callState struct {
	call             *Call
	proxy            *proxy
	request          *placement.Request
	clientAttempts   int // of the client
	attemptStart     time.Duration
	rejectedEarly    bool // its first try, early and with nothing at work on it
	events           int
	lastEventAt      time.Duration // the last event, or the begin of the try
	timeToFirstEvent time.Duration // from the call's begin to the first event
	longestEventGap  time.Duration // the longest pause
	active           *attempt      // nil: nothing is at work on it
	finished         bool
	outcome          Outcome
}

// attempt is an attempt at a runner.
type attempt struct {
	sim              *simulation
	call             *callState
	request          *placement.Request
	priority         int
	runner           *simulatedRunner
	placementAttempt *placement.Attempt
	task             *engine.Task
	sentAt           time.Duration
	lastEventAt      time.Duration
	progress         placement.Progress
	ended            bool
}

// startClientAttempt is the begin of a try, at the client.
func (w *simulation) startClientAttempt(v *callState) {
	v.clientAttempts++
	v.attemptStart = w.now
	v.lastEventAt = w.now
	v.proxy = w.nextProxyIn(v.call.Zone)
	w.scheduleTimeout(v, v.clientAttempts)
	w.after(w.scenario.ClientLatency, func() { w.handleAtProxy(v) })
}

// nextProxyIn is the next proxy of a zone.
func (w *simulation) nextProxyIn(zone string) *proxy {
	for range w.proxies {
		w.proxyTurn++
		if p := w.proxies[w.proxyTurn%len(w.proxies)]; p.zone == zone {
			return p
		}
	}
	return w.proxies[0]
}

// handleAtProxy is the arrival of a try at the proxy.
func (w *simulation) handleAtProxy(v *callState) {
	if v.finished {
		return
	}
	c := v.call
	model := ""
	if c.Class.Type == configuration.Streaming {
		model = modelName
	}
	v.request = &placement.Request{Route: w.routes[c.Class.Name], Service: c.Class.Service, Model: model, Chunks: c.Chunks,
		InputTokens: c.PromptTokens(), MaxOutputTokens: c.OutputTokens, BodyBytes: 2 * c.PromptTokens(), ArrivedAt: w.now, Deadline: w.deadline(v)}
	w.dispatch(v)
}

func (w *simulation) deadline(v *callState) time.Duration { return v.call.At + v.call.Class.Deadline }

// silenceTimeout is how long a client bears silence.
func (v *callState) silenceTimeout() time.Duration {
	class := v.call.Class
	return max(minSilenceTimeout, targetTimeoutFactor*class.LatencyTarget, gapTimeoutFactor*class.EventGapTarget)
}

// scheduleTimeout ends a try whose client has waited for too long.
func (w *simulation) scheduleTimeout(v *callState, try int) {
	until := w.deadline(v)
	if v.call.Class.Type == configuration.Streaming {
		until = min(until, v.lastEventAt+v.silenceTimeout())
	}
	w.at(max(until, w.now), func() {
		if v.finished || v.clientAttempts != try {
			return
		}
		if v.lastEventAt+v.silenceTimeout() > w.now && w.now < w.deadline(v) {
			w.scheduleTimeout(v, try)
			return
		}
		w.abandon(v)
	})
}

// abandon is a client's leaving.
func (w *simulation) abandon(v *callState) {
	if s := v.active; s != nil {
		v.active = nil
		outcome := placement.Cancelled
		if s.progress.Events == 0 && w.now-s.sentAt >= v.silenceTimeout() {
			outcome = placement.TimedOut
		}
		s.ended = true
		w.after(w.scenario.ClientLatency, func() { s.closeCancelled(outcome) })
	}
	w.finish(v, Failed)
}

// retry begins another try after a wait, if the client has one left.
func (w *simulation) retry(v *callState, wait time.Duration) bool {
	left := w.deadline(v) - w.now
	if v.clientAttempts > v.call.Class.ClientRetries || left <= 0 {
		return false
	}
	const waitShare = 3 // of the time left, that a client waits at most
	w.after(min(wait, left/waitShare), func() { w.startClientAttempt(v) })
	return true
}

// handleRejection is the arrival of a refusal at the client.
func (w *simulation) handleRejection(v *callState, wait time.Duration) {
	if v.finished {
		return
	}
	const early = 4 // a refusal within this part of the target costs less
	if v.clientAttempts == 1 && w.now-v.attemptStart <= v.call.Class.LatencyTarget/early {
		v.rejectedEarly = true
	}
	if !w.retry(v, wait) {
		w.finish(v, Rejected)
	}
}

// handleFailure is the arrival of a failure at the client.
func (w *simulation) handleFailure(v *callState) {
	if v.finished {
		return
	}
	if !w.routes[v.call.Class.Name].IsIdempotent() || !w.retry(v, 0) {
		w.finish(v, Failed)
	}
}

// handleCompletion is the arrival of the last byte at the client.
func (w *simulation) handleCompletion(v *callState) {
	if v.finished {
		return
	}
	outcome := InTime
	class := v.call.Class
	if class.Type != configuration.Streaming {
		v.timeToFirstEvent = w.now - v.call.At
	}
	if v.timeToFirstEvent > class.LatencyTarget || class.EventGapTarget > 0 && v.longestEventGap > class.EventGapTarget {
		outcome = Late
	}
	if outcome == Late && v.rejectedEarly && v.clientAttempts == 2 && v.timeToFirstEvent-(v.attemptStart-v.call.At) <= class.LatencyTarget {
		outcome = InTimeAfterRejection
	}
	w.finish(v, outcome)
}

// handleEvent is the arrival of an event at the client.
func (w *simulation) handleEvent(v *callState) {
	if v.finished {
		return
	}
	if v.events == 0 {
		v.timeToFirstEvent = w.now - v.call.At
	} else {
		v.longestEventGap = max(v.longestEventGap, w.now-v.lastEventAt)
	}
	v.events++
	v.lastEventAt = w.now
}

func (w *simulation) finish(v *callState, o Outcome) {
	v.finished = true
	v.outcome = o
}
