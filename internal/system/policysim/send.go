package policysim

import (
	"time"

	"cinderroad/internal/system/placement"
	"cinderroad/internal/testkit/engine"
)

// dispatch sends a try to the runner that the policy chooses, or refuses it.
func (w *simulation) dispatch(v *callState) {
	policy := v.proxy.policy
	choice, refusal := policy.Place(w.now, v.request)
	if refusal != nil {
		w.counters.rejections[refusal.Reason]++
		w.after(w.scenario.ClientLatency, func() { w.handleRejection(v, refusal.RetryAfter) })
		return
	}
	h := w.runnerByID(choice.Runner)
	s := &attempt{sim: w, call: v, request: v.request, priority: choice.Priority, runner: h, sentAt: w.now, lastEventAt: w.now}
	if s.priority < 0 {
		s.priority = engine.DefaultPriority
	}
	s.placementAttempt = policy.StartAttempt(w.now, v.request, choice)
	v.request.TriedRunners = append(v.request.TriedRunners, choice.Runner)
	v.active = s
	w.counters.countAttempt(v, h)
	w.after(s.latency(), func() { h.handleRequest(s) })
}

func (w *simulation) runnerByID(id string) *simulatedRunner {
	for _, h := range w.runners {
		if h.info.ID == id {
			return h
		}
	}
	panic("experiment: a policy chose runner " + id + ", which there is not")
}

// engineRequest is what the runner is asked to do: what the client has of a stream is not generated again.
func (s *attempt) engineRequest() *engine.Request {
	call := s.call.call
	r := &engine.Request{Model: s.request.Model, Out: call.OutputTokens, Work: call.Work, Priority: s.priority,
		Deadline: s.request.Deadline}
	for _, part := range call.Chunks {
		r.Parts = append(r.Parts, engine.Part{ID: part.ID, Tokens: part.Tokens})
	}
	if done := s.call.events * s.sim.scenario.tokensPerEvent(call.Class.Service); done > 0 {
		r.Done = min(done, r.Out-1)
	}
	return r
}

func (s *attempt) latency() time.Duration {
	return s.sim.scenario.latency(s.call.proxy.zone, s.runner.info.Zone)
}

// respond does something at the proxy, once a message from the runner has got there.
func (s *attempt) respond(do func()) { s.sim.after(s.latency(), do) }

// handleEvent is the arrival of an event at the proxy.
func (s *attempt) handleEvent() {
	if s.ended {
		return
	}
	w := s.sim
	policy := s.call.proxy.policy
	if s.progress.Events == 0 {
		s.progress.TimeToFirstEvent = w.now - s.sentAt
		policy.HandleFirstEvent(w.now, s.placementAttempt)
	} else {
		s.progress.LongestEventGap = max(s.progress.LongestEventGap, w.now-s.lastEventAt)
		policy.HandleEvent(w.now, s.placementAttempt)
	}
	s.progress.Events++
	s.lastEventAt = w.now
	w.after(w.scenario.ClientLatency, func() { w.handleEvent(s.call) })
}

// closeCancelled tells the policy of the end of an attempt that the client has left, and the runner too.
func (s *attempt) closeCancelled(o placement.Outcome) {
	w := s.sim
	s.progress.Duration = w.now - s.sentAt
	s.call.proxy.policy.EndAttempt(w.now, s.placementAttempt, o, s.progress)
	w.after(s.latency(), func() { s.runner.cancel(s) })
}

// handleEnd is the arrival of an attempt's end at the proxy.
func (s *attempt) handleEnd(o placement.Outcome) {
	if s.ended {
		return
	}
	s.ended = true
	w, v := s.sim, s.call
	v.active = nil
	s.progress.Duration = w.now - s.sentAt
	if o == placement.Succeeded && s.progress.TimeToFirstEvent == 0 {
		s.progress.TimeToFirstEvent = s.progress.Duration
	}
	v.proxy.policy.EndAttempt(w.now, s.placementAttempt, o, s.progress)
	switch o {
	case placement.Succeeded:
		w.after(w.scenario.ClientLatency, func() { w.handleCompletion(v) })
	case placement.Rejected, placement.Misdirected, placement.ConnectFailed:
		w.retryOrReport(v, func() { w.handleRejection(v, 0) })
	default:
		s.request.MayHaveRun = true
		w.retryOrReport(v, func() { w.handleFailure(v) })
	}
}

// retryOrReport sends a try to another runner if it may be; otherwise the client is told.
func (w *simulation) retryOrReport(v *callState, tell func()) {
	if v.proxy.policy.MayRetry(w.now, v.request) {
		w.counters.retries++
		w.dispatch(v)
		return
	}
	w.after(w.scenario.ClientLatency, tell)
}
