package policysim

import (
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/placement"
)

// modelName is the model that all engines serve.
const modelName = "m"

// bytesPerToken is the size of a token in a request's body.
const bytesPerToken = 2

// Limits of a client's patience: it cancels a stream after a time without an event that is the longest of these.
const (
	minSilenceTimeout   = 2 * time.Second
	targetTimeoutFactor = 4 // times the latency target
	gapTimeoutFactor    = 8 // times the event gap target
)

// callState is the state of a client's call, with all its attempts.
type callState struct {
	call             *Call
	proxy            *proxy
	request          *placement.Request
	clientAttempts   int           // that the client has made
	attemptStart     time.Duration // of the client's latest attempt
	rejectedEarly    bool          // the first attempt was rejected within a quarter of the latency target
	events           int           // that the client has received
	lastEventAt      time.Duration // of the last event, or the attempt's start
	timeToFirstEvent time.Duration // from the call's start
	longestEventGap  time.Duration
	active           *attempt // nil: no attempt is pending
	finished         bool
	outcome          Outcome
}

// startClientAttempt starts an attempt of the client.
func (sim *simulation) startClientAttempt(state *callState) {
	state.clientAttempts++
	state.attemptStart = sim.now
	state.lastEventAt = sim.now
	state.proxy = sim.nextProxyIn(state.call.Zone)
	sim.scheduleTimeout(state, state.clientAttempts)
	sim.after(sim.scenario.ClientLatency, func() { sim.handleAtProxy(state) })
}

// nextProxyIn returns the next proxy of a zone, in turn.
func (sim *simulation) nextProxyIn(zone string) *proxy {
	for range sim.proxies {
		sim.proxyTurn++
		if p := sim.proxies[sim.proxyTurn%len(sim.proxies)]; p.zone == zone {
			return p
		}
	}
	return sim.proxies[0]
}

// handleAtProxy handles the client's attempt at the proxy.
func (sim *simulation) handleAtProxy(state *callState) {
	if state.finished {
		return
	}
	c := state.call
	model := ""
	if c.Class.Type == configuration.Streaming {
		model = modelName
	}
	state.request = &placement.Request{
		Route:           sim.routes[c.Class.Name],
		Service:         c.Class.Service,
		Model:           model,
		Chunks:          c.Chunks,
		InputTokens:     c.PromptTokens(),
		MaxOutputTokens: c.OutputTokens,
		BodyBytes:       bytesPerToken * c.PromptTokens(),
		ArrivedAt:       sim.now,
		Deadline:        sim.deadline(state),
	}
	sim.dispatch(state)
}

func (sim *simulation) deadline(state *callState) time.Duration {
	return state.call.At + state.call.Class.Deadline
}

// silenceTimeout returns the longest time without an event that the client accepts.
func (s *callState) silenceTimeout() time.Duration {
	class := s.call.Class
	return max(minSilenceTimeout, targetTimeoutFactor*class.LatencyTarget, gapTimeoutFactor*class.EventGapTarget)
}

// scheduleTimeout ends an attempt whose client has waited for too long.
func (sim *simulation) scheduleTimeout(state *callState, clientAttempt int) {
	until := sim.deadline(state)
	if state.call.Class.Type == configuration.Streaming {
		until = min(until, state.lastEventAt+state.silenceTimeout())
	}
	sim.at(max(until, sim.now), func() {
		if state.finished || state.clientAttempts != clientAttempt {
			return
		}
		if state.lastEventAt+state.silenceTimeout() > sim.now && sim.now < sim.deadline(state) {
			sim.scheduleTimeout(state, clientAttempt)
			return
		}
		sim.abandon(state)
	})
}

// abandon cancels the call on behalf of its client.
func (sim *simulation) abandon(state *callState) {
	if a := state.active; a != nil {
		state.active = nil
		outcome := placement.Cancelled
		if a.progress.Events == 0 && sim.now-a.sentAt >= state.silenceTimeout() {
			outcome = placement.TimedOut
		}
		a.ended = true
		sim.after(sim.scenario.ClientLatency, func() { a.closeCancelled(outcome) })
	}
	sim.finish(state, Failed)
}

// retry starts another attempt of the client after a wait, and reports whether it has one left.
func (sim *simulation) retry(state *callState, wait time.Duration) bool {
	remaining := sim.deadline(state) - sim.now
	if state.clientAttempts > state.call.Class.ClientRetries || remaining <= 0 {
		return false
	}
	const waitDivisor = 3 // a client waits for a third of the remaining time at most
	sim.after(min(wait, remaining/waitDivisor), func() { sim.startClientAttempt(state) })
	return true
}

// handleRejection handles a rejection at the client.
func (sim *simulation) handleRejection(state *callState, wait time.Duration) {
	if state.finished {
		return
	}
	const earlyDivisor = 4 // a rejection within a quarter of the target costs less value
	if state.clientAttempts == 1 && sim.now-state.attemptStart <= state.call.Class.LatencyTarget/earlyDivisor {
		state.rejectedEarly = true
	}
	if !sim.retry(state, wait) {
		sim.finish(state, Rejected)
	}
}

// handleFailure handles a failure at the client.
func (sim *simulation) handleFailure(state *callState) {
	if state.finished {
		return
	}
	if !sim.routes[state.call.Class.Name].IsIdempotent() || !sim.retry(state, 0) {
		sim.finish(state, Failed)
	}
}

// handleCompletion handles the last byte of a response at the client.
func (sim *simulation) handleCompletion(state *callState) {
	if state.finished {
		return
	}
	outcome := InTime
	class := state.call.Class
	if class.Type != configuration.Streaming {
		state.timeToFirstEvent = sim.now - state.call.At
	}
	lateGap := class.EventGapTarget > 0 && state.longestEventGap > class.EventGapTarget
	if state.timeToFirstEvent > class.LatencyTarget || lateGap {
		outcome = Late
	}
	sinceAttempt := state.timeToFirstEvent - (state.attemptStart - state.call.At)
	if outcome == Late && state.rejectedEarly && state.clientAttempts == 2 && sinceAttempt <= class.LatencyTarget {
		outcome = InTimeAfterRejection
	}
	sim.finish(state, outcome)
}

// handleEvent handles an event of a stream at the client.
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
