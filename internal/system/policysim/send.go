package policysim

import (
	"time"

	"cinderroad/internal/system/placement"
	"cinderroad/internal/testkit/engine"
)

// dispatch sends a try to the runner that the policy chooses, or refuses it.
func (sim *simulation) dispatch(state *callState) {
	policy := state.proxy.policy
	choice, refusal := policy.Place(sim.now, state.request)
	if refusal != nil {
		sim.counters.rejections[refusal.Reason]++
		sim.after(sim.scenario.ClientLatency, func() { sim.handleRejection(state, refusal.RetryAfter) })
		return
	}
	runner := sim.runnerByID(choice.Runner)
	s := &attempt{sim: sim, state: state, request: state.request, priority: choice.Priority, runner: runner, sentAt: sim.now, lastEventAt: sim.now}
	if s.priority < 0 {
		s.priority = engine.DefaultPriority
	}
	s.placementAttempt = policy.StartAttempt(sim.now, state.request, choice)
	state.request.TriedRunners = append(state.request.TriedRunners, choice.Runner)
	state.active = s
	sim.counters.countAttempt(state, runner)
	sim.after(s.latency(), func() { runner.handleRequest(s) })
}

func (sim *simulation) runnerByID(id string) *simulatedRunner {
	for _, runner := range sim.runners {
		if runner.info.ID == id {
			return runner
		}
	}
	panic("experiment: a policy chose runner " + id + ", which there is not")
}

// engineRequest is what the runner is asked to do: what the client has of a stream is not generated again.
func (a *attempt) engineRequest() *engine.Request {
	call := a.state.call
	r := &engine.Request{Model: a.request.Model, Out: call.OutputTokens, Work: call.Work, Priority: a.priority,
		Deadline: a.request.Deadline}
	for _, part := range call.Chunks {
		r.Parts = append(r.Parts, engine.Part{ID: part.ID, Tokens: part.Tokens})
	}
	if done := a.state.events * a.sim.scenario.tokensPerEvent(call.Class.Service); done > 0 {
		r.Done = min(done, r.Out-1)
	}
	return r
}

func (a *attempt) latency() time.Duration {
	return a.sim.scenario.latency(a.state.proxy.zone, a.runner.info.Zone)
}

// respond does something at the proxy, once a message from the runner has got there.
func (a *attempt) respond(do func()) { a.sim.after(a.latency(), do) }

// handleEvent is the arrival of an event at the proxy.
func (a *attempt) handleEvent() {
	if a.ended {
		return
	}
	sim := a.sim
	policy := a.state.proxy.policy
	if a.progress.Events == 0 {
		a.progress.TimeToFirstEvent = sim.now - a.sentAt
		policy.HandleFirstEvent(sim.now, a.placementAttempt)
	} else {
		a.progress.LongestEventGap = max(a.progress.LongestEventGap, sim.now-a.lastEventAt)
		policy.HandleEvent(sim.now, a.placementAttempt)
	}
	a.progress.Events++
	a.lastEventAt = sim.now
	sim.after(sim.scenario.ClientLatency, func() { sim.handleEvent(a.state) })
}

// closeCancelled tells the policy of the end of an attempt that the client has left, and the runner too.
func (a *attempt) closeCancelled(outcome placement.Outcome) {
	sim := a.sim
	a.progress.Duration = sim.now - a.sentAt
	a.state.proxy.policy.EndAttempt(sim.now, a.placementAttempt, outcome, a.progress)
	sim.after(a.latency(), func() { a.runner.cancel(a) })
}

// handleEnd is the arrival of an attempt's end at the proxy.
func (a *attempt) handleEnd(outcome placement.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	sim, state := a.sim, a.state
	state.active = nil
	a.progress.Duration = sim.now - a.sentAt
	if outcome == placement.Succeeded && a.progress.TimeToFirstEvent == 0 {
		a.progress.TimeToFirstEvent = a.progress.Duration
	}
	state.proxy.policy.EndAttempt(sim.now, a.placementAttempt, outcome, a.progress)
	switch outcome {
	case placement.Succeeded:
		sim.after(sim.scenario.ClientLatency, func() { sim.handleCompletion(state) })
	case placement.Rejected, placement.Misdirected, placement.ConnectFailed:
		sim.retryOrReport(state, func() { sim.handleRejection(state, 0) })
	default:
		a.request.MayHaveRun = true
		sim.retryOrReport(state, func() { sim.handleFailure(state) })
	}
}

// retryOrReport sends a try to another runner if it may be; otherwise the client is told.
func (sim *simulation) retryOrReport(state *callState, tell func()) {
	if state.proxy.policy.MayRetry(sim.now, state.request) {
		sim.counters.retries++
		sim.dispatch(state)
		return
	}
	sim.after(sim.scenario.ClientLatency, tell)
}
