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
	state            *callState
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
func (sim *simulation) startClientAttempt(state *callState) {
	state.clientAttempts++
	state.attemptStart = sim.now
	state.lastEventAt = sim.now
	state.proxy = sim.nextProxyIn(state.call.Zone)
	sim.scheduleTimeout(state, state.clientAttempts)
	sim.after(sim.scenario.ClientLatency, func() { sim.handleAtProxy(state) })
}

// nextProxyIn is the next proxy of a zone.
func (sim *simulation) nextProxyIn(zone string) *proxy {
	for range sim.proxies {
		sim.proxyTurn++
		if p := sim.proxies[sim.proxyTurn%len(sim.proxies)]; p.zone == zone {
			return p
		}
	}
	return sim.proxies[0]
}

// handleAtProxy is the arrival of a try at the proxy.
func (sim *simulation) handleAtProxy(state *callState) {
	if state.finished {
		return
	}
	c := state.call
	model := ""
	if c.Class.Type == configuration.Streaming {
		model = modelName
	}
	state.request = &placement.Request{Route: sim.routes[c.Class.Name], Service: c.Class.Service, Model: model, Chunks: c.Chunks,
		InputTokens: c.PromptTokens(), MaxOutputTokens: c.OutputTokens, BodyBytes: 2 * c.PromptTokens(), ArrivedAt: sim.now, Deadline: sim.deadline(state)}
	sim.dispatch(state)
}

func (sim *simulation) deadline(state *callState) time.Duration {
	return state.call.At + state.call.Class.Deadline
}

// silenceTimeout is how long a client bears silence.
func (s *callState) silenceTimeout() time.Duration {
	class := s.call.Class
	return max(minSilenceTimeout, targetTimeoutFactor*class.LatencyTarget, gapTimeoutFactor*class.EventGapTarget)
}

// scheduleTimeout ends a try whose client has waited for too long.
func (sim *simulation) scheduleTimeout(state *callState, try int) {
	until := sim.deadline(state)
	if state.call.Class.Type == configuration.Streaming {
		until = min(until, state.lastEventAt+state.silenceTimeout())
	}
	sim.at(max(until, sim.now), func() {
		if state.finished || state.clientAttempts != try {
			return
		}
		if state.lastEventAt+state.silenceTimeout() > sim.now && sim.now < sim.deadline(state) {
			sim.scheduleTimeout(state, try)
			return
		}
		sim.abandon(state)
	})
}

// abandon is a client's leaving.
func (sim *simulation) abandon(state *callState) {
	if s := state.active; s != nil {
		state.active = nil
		outcome := placement.Cancelled
		if s.progress.Events == 0 && sim.now-s.sentAt >= state.silenceTimeout() {
			outcome = placement.TimedOut
		}
		s.ended = true
		sim.after(sim.scenario.ClientLatency, func() { s.closeCancelled(outcome) })
	}
	sim.finish(state, Failed)
}

// retry begins another try after a wait, if the client has one left.
func (sim *simulation) retry(state *callState, wait time.Duration) bool {
	remaining := sim.deadline(state) - sim.now
	if state.clientAttempts > state.call.Class.ClientRetries || remaining <= 0 {
		return false
	}
	const waitShare = 3 // of the time left, that a client waits at most
	sim.after(min(wait, remaining/waitShare), func() { sim.startClientAttempt(state) })
	return true
}

// handleRejection is the arrival of a refusal at the client.
func (sim *simulation) handleRejection(state *callState, wait time.Duration) {
	if state.finished {
		return
	}
	const earlyFraction = 4 // a refusal within this part of the target costs less
	if state.clientAttempts == 1 && sim.now-state.attemptStart <= state.call.Class.LatencyTarget/earlyFraction {
		state.rejectedEarly = true
	}
	if !sim.retry(state, wait) {
		sim.finish(state, Rejected)
	}
}

// handleFailure is the arrival of a failure at the client.
func (sim *simulation) handleFailure(state *callState) {
	if state.finished {
		return
	}
	if !sim.routes[state.call.Class.Name].IsIdempotent() || !sim.retry(state, 0) {
		sim.finish(state, Failed)
	}
}

// handleCompletion is the arrival of the last byte at the client.
func (sim *simulation) handleCompletion(state *callState) {
	if state.finished {
		return
	}
	outcome := InTime
	class := state.call.Class
	if class.Type != configuration.Streaming {
		state.timeToFirstEvent = sim.now - state.call.At
	}
	if state.timeToFirstEvent > class.LatencyTarget || class.EventGapTarget > 0 && state.longestEventGap > class.EventGapTarget {
		outcome = Late
	}
	if outcome == Late && state.rejectedEarly && state.clientAttempts == 2 && state.timeToFirstEvent-(state.attemptStart-state.call.At) <= class.LatencyTarget {
		outcome = InTimeAfterRejection
	}
	sim.finish(state, outcome)
}

// handleEvent is the arrival of an event at the client.
func (sim *simulation) handleEvent(state *callState) {
	if state.finished {
		return
	}
	if state.events == 0 {
		state.timeToFirstEvent = sim.now - state.call.At
	} else {
		state.longestEventGap = max(state.longestEventGap, sim.now-state.lastEventAt)
	}
	state.events++
	state.lastEventAt = sim.now
}

func (sim *simulation) finish(state *callState, outcome Outcome) {
	state.finished = true
	state.outcome = outcome
}
