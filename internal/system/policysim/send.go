package policysim

import (
	"time"

	"cinderroad/internal/system/placement"
	"cinderroad/internal/testkit/engine"
)

// send sends a try to the runner that the policy chooses, or refuses it.
func (w *world) send(v *visit) {
	policy := v.proxy.policy
	choice, refusal := policy.Place(w.now, v.request)
	if refusal != nil {
		w.books.refusals[refusal.Reason]++
		w.after(w.scenario.Client, func() { w.turnedAway(v, refusal.RetryAfter) })
		return
	}
	h := w.host(choice.Runner)
	s := &send{world: w, visit: v, request: v.request, priority: choice.Priority, host: h, at: w.now, heard: w.now}
	if s.priority < 0 {
		s.priority = engine.DefaultPriority
	}
	s.attempt = policy.StartAttempt(w.now, v.request, choice)
	v.request.TriedRunners = append(v.request.TriedRunners, choice.Runner)
	v.sending = s
	w.books.sent(v, h)
	w.after(s.delay(), func() { h.arrive(s) })
}

func (w *world) host(id string) *host {
	for _, h := range w.hosts {
		if h.runner.ID == id {
			return h
		}
	}
	panic("experiment: a policy chose runner " + id + ", which there is not")
}

// order is what the runner is asked to do: what the client has of a stream is not generated again.
func (s *send) order() *engine.Request {
	call := s.visit.call
	r := &engine.Request{Model: s.request.Model, Out: call.Out, Work: call.Work, Priority: s.priority,
		Deadline: s.request.Deadline}
	for _, part := range call.Parts {
		r.Parts = append(r.Parts, engine.Part{ID: part.ID, Tokens: part.Tokens})
	}
	if done := s.visit.events * s.world.scenario.stride(call.Class.Service); done > 0 {
		r.Done = min(done, r.Out-1)
	}
	return r
}

func (s *send) delay() time.Duration {
	return s.world.scenario.delay(s.visit.proxy.zone, s.host.runner.Zone)
}

// answer does something at the proxy, once a message from the runner has got there.
func (s *send) answer(do func()) { s.world.after(s.delay(), do) }

// event is the arrival of an event at the proxy.
func (s *send) event() {
	if s.ended {
		return
	}
	w := s.world
	policy := s.visit.proxy.policy
	if s.progress.Events == 0 {
		s.progress.TimeToFirstEvent = w.now - s.at
		policy.HandleFirstEvent(w.now, s.attempt)
	} else {
		s.progress.LongestEventGap = max(s.progress.LongestEventGap, w.now-s.heard)
		policy.HandleEvent(w.now, s.attempt)
	}
	s.progress.Events++
	s.heard = w.now
	w.after(w.scenario.Client, func() { w.progressed(s.visit) })
}

// close tells the policy of the end of an attempt that the client has left, and the runner too.
func (s *send) close(o placement.Outcome) {
	w := s.world
	s.progress.Duration = w.now - s.at
	s.visit.proxy.policy.EndAttempt(w.now, s.attempt, o, s.progress)
	w.after(s.delay(), func() { s.host.cancel(s) })
}

// end is the arrival of an attempt's end at the proxy.
func (s *send) end(o placement.Outcome) {
	if s.ended {
		return
	}
	s.ended = true
	w, v := s.world, s.visit
	v.sending = nil
	s.progress.Duration = w.now - s.at
	if o == placement.Succeeded && s.progress.TimeToFirstEvent == 0 {
		s.progress.TimeToFirstEvent = s.progress.Duration
	}
	v.proxy.policy.EndAttempt(w.now, s.attempt, o, s.progress)
	switch o {
	case placement.Succeeded:
		w.after(w.scenario.Client, func() { w.served(v) })
	case placement.Rejected, placement.Misdirected, placement.ConnectFailed:
		w.again(v, func() { w.turnedAway(v, 0) })
	default:
		s.request.MayHaveRun = true
		w.again(v, func() { w.failed(v) })
	}
}

// again sends a try to another runner if it may be; otherwise the client is told.
func (w *world) again(v *visit, tell func()) {
	if v.proxy.policy.MayRetry(w.now, v.request) {
		w.books.repeats++
		w.send(v)
		return
	}
	w.after(w.scenario.Client, tell)
}
