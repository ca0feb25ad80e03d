package policysim

import (
	"time"

	"cinderroad/internal/system/placement"
	"cinderroad/internal/testkit/engine"
)

// simulatedRunner is an incarnation of a runner.
type simulatedRunner struct {
	sim        *simulation
	service    *Service
	info       placement.Runner
	engine     engine.Machine
	slowStart  engine.Cold
	attempts   map[*engine.Task]*attempt
	up         bool
	silent     bool // down, and nobody hears of it
	listed     bool
	nextWakeup time.Duration // the earliest that is on the agenda; 0: none
}

// handleRequest takes a request that a proxy has sent.
func (h *simulatedRunner) handleRequest(s *attempt) {
	if !h.up {
		if !h.silent {
			s.respond(func() { s.handleEnd(placement.ConnectFailed) })
		}
		return
	}
	if s.ended { // its client has left meanwhile
		return
	}
	if h.slowStart.Arrive(h.sim.now) {
		h.stop(false)
		s.respond(func() { s.handleEnd(placement.Interrupted) })
		return
	}
	task, taken := h.engine.Submit(h.sim.now, s.engineRequest())
	if !taken {
		s.respond(func() { s.handleEnd(placement.Rejected) })
		return
	}
	s.task = task
	h.attempts[task] = s
	h.advance()
}

// cancel ends a request whose proxy has closed the connection.
func (h *simulatedRunner) cancel(s *attempt) {
	if s.task == nil || !h.up {
		return
	}
	h.engine.Cancel(h.sim.now, s.task)
	delete(h.attempts, s.task)
	h.advance()
}

// stop ends the incarnation.
func (h *simulatedRunner) stop(dark bool) {
	h.up, h.silent = false, dark
	for _, event := range h.engine.Stop(h.sim.now) {
		h.handleEvent(event)
	}
}

// advance handles what has happened and has itself called again when something will.
func (h *simulatedRunner) advance() {
	for _, event := range h.engine.Advance(h.sim.now) {
		h.handleEvent(event)
	}
	next, is := h.engine.Next()
	if !is || h.nextWakeup != 0 && h.nextWakeup <= next {
		return
	}
	h.nextWakeup = next
	h.sim.at(next, func() {
		if h.nextWakeup == next {
			h.nextWakeup = 0
		}
		if h.up {
			h.advance()
		}
	})
}

func (h *simulatedRunner) handleEvent(event engine.Event) {
	s := h.attempts[event.Task]
	if event.Kind == engine.PartRead {
		h.sim.counters.countPrefill(event.Task, event.Index)
		return
	}
	if s == nil {
		return
	}
	switch event.Kind {
	case engine.Emitted:
		s.respond(s.handleEvent)
	case engine.Finished:
		delete(h.attempts, event.Task)
		s.respond(func() { s.handleEnd(placement.Succeeded) })
	case engine.Expired:
		delete(h.attempts, event.Task)
		s.respond(func() { s.handleEnd(placement.Rejected) })
	case engine.CutOff:
		delete(h.attempts, event.Task)
		s.respond(func() { s.handleEnd(placement.Failed) })
	case engine.Lost:
		delete(h.attempts, event.Task)
		if !h.silent {
			s.respond(func() { s.handleEnd(placement.Interrupted) })
		}
	}
}
