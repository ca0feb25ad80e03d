package policysim

import (
	"time"

	"cinderroad/internal/system/placement"
	"cinderroad/internal/testkit/engine"
)

// dispatch sends a call to the runner that the policy chooses, or rejects it.
func (sim *simulation) dispatch(state *callState) {
	policy := state.proxy.policy
	choice, rejection := policy.Place(sim.now, state.request)
	if rejection != nil {
		sim.counters.rejections[rejection.Reason]++
		sim.after(sim.scenario.ClientLatency, func() { sim.handleRejection(state, rejection.RetryAfter) })
		return
	}
	runner := sim.runnerByID(choice.Runner)
	a := &attempt{
		sim:         sim,
		state:       state,
		request:     state.request,
		priority:    choice.Priority,
		runner:      runner,
		sentAt:      sim.now,
		lastEventAt: sim.now,
	}
	if a.priority < 0 { // the policy leaves it to the engine
		a.priority = engine.DefaultPriority
	}
	a.placementAttempt = policy.StartAttempt(sim.now, state.request, choice)
	state.active = a
	sim.counters.countAttempt(state, runner)
	sim.after(a.latency(), func() { runner.handleRequest(a) })
}

func (sim *simulation) runnerByID(id string) *simulatedRunner {
	for _, runner := range sim.runners {
		if runner.info.ID == id {
			return runner
		}
	}
	panic("policysim: a policy chose runner " + id + ", which does not exist")
}

// engineRequest returns the work for the engine. Events that the client has already received are not generated again.
func (a *attempt) engineRequest() *engine.Request {
	call := a.state.call
	r := &engine.Request{
		Model:        a.request.Model,
		OutputTokens: call.OutputTokens,
		Work:         call.Work,
		Priority:     a.priority,
		Deadline:     a.request.Deadline,
	}
	for _, chunk := range call.Chunks {
		r.Chunks = append(r.Chunks, engine.Chunk{ID: chunk.ID, Tokens: chunk.Tokens})
	}
	if done := a.state.events * a.sim.scenario.tokensPerEvent(call.Class.Service); done > 0 {
		r.ResumedTokens = min(done, r.OutputTokens-1)
	}
	return r
}

func (a *attempt) latency() time.Duration {
	return a.sim.scenario.latency(a.state.proxy.zone, a.runner.info.Zone)
}

// respond runs do at the proxy, once a message from the runner has arrived there.
func (a *attempt) respond(do func()) { a.sim.after(a.latency(), do) }

// handleEvent handles an event of the stream at the proxy.
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

// closeCancelled tells the policy and the runner that the client has cancelled an attempt.
func (a *attempt) closeCancelled(outcome placement.Outcome) {
	sim := a.sim
	a.progress.Duration = sim.now - a.sentAt
	a.state.proxy.policy.EndAttempt(sim.now, a.placementAttempt, outcome, a.progress)
	sim.after(a.latency(), func() { a.runner.cancel(a) })
}

// handleEnd handles the end of an attempt at the proxy.
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
	state.request.RecordAttempt(a.runner.info.ID, outcome != placement.ConnectFailed)
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

// retryOrReport dispatches the call again if the policy permits a retry; otherwise it reports to the client.
func (sim *simulation) retryOrReport(state *callState, report func()) {
	if state.proxy.policy.MayRetry(sim.now, state.request) {
		sim.counters.retries++
		sim.dispatch(state)
		return
	}
	sim.after(sim.scenario.ClientLatency, report)
}

// attempt is an attempt of a call at a runner.
type attempt struct {
	sim              *simulation
	state            *callState
	request          *placement.Request
	priority         int // of the engine's request
	runner           *simulatedRunner
	placementAttempt *placement.Attempt
	task             *engine.Task
	sentAt           time.Duration
	lastEventAt      time.Duration // or sentAt before the first event
	progress         placement.Progress
	ended            bool
}
