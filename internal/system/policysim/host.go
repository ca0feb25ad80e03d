package policysim

import (
	"time"

	"cinderroad/internal/system/placement"
	"cinderroad/internal/testkit/engine"
)

// host is an incarnation of a runner.
type host struct {
	world   *world
	service *Service
	runner  placement.Runner
	machine engine.Machine
	cold    engine.Cold
	sends   map[*engine.Task]*send
	up      bool
	dark    bool // down, and nobody hears of it
	listed  bool
	wake    time.Duration // the earliest that is on the agenda; 0: none
}

// arrive takes a request that a proxy has sent.
func (h *host) arrive(s *send) {
	if !h.up {
		if !h.dark {
			s.answer(func() { s.end(placement.ConnectFailed) })
		}
		return
	}
	if s.ended { // its client has left meanwhile
		return
	}
	if h.cold.Arrive(h.world.now) {
		h.stop(false)
		s.answer(func() { s.end(placement.Interrupted) })
		return
	}
	task, taken := h.machine.Submit(h.world.now, s.order())
	if !taken {
		s.answer(func() { s.end(placement.Rejected) })
		return
	}
	s.task = task
	h.sends[task] = s
	h.pump()
}

// cancel ends a request whose proxy has closed the connection.
func (h *host) cancel(s *send) {
	if s.task == nil || !h.up {
		return
	}
	h.machine.Cancel(h.world.now, s.task)
	delete(h.sends, s.task)
	h.pump()
}

// stop ends the incarnation.
func (h *host) stop(dark bool) {
	h.up, h.dark = false, dark
	for _, event := range h.machine.Stop(h.world.now) {
		h.handle(event)
	}
}

// pump handles what has happened and has itself called again when something will.
func (h *host) pump() {
	for _, event := range h.machine.Advance(h.world.now) {
		h.handle(event)
	}
	next, is := h.machine.Next()
	if !is || h.wake != 0 && h.wake <= next {
		return
	}
	h.wake = next
	h.world.at(next, func() {
		if h.wake == next {
			h.wake = 0
		}
		if h.up {
			h.pump()
		}
	})
}

func (h *host) handle(event engine.Event) {
	s := h.sends[event.Task]
	if event.Kind == engine.PartRead {
		h.world.books.partRead(event.Task, event.Index)
		return
	}
	if s == nil {
		return
	}
	switch event.Kind {
	case engine.Emitted:
		s.answer(s.event)
	case engine.Finished:
		delete(h.sends, event.Task)
		s.answer(func() { s.end(placement.Succeeded) })
	case engine.Expired:
		delete(h.sends, event.Task)
		s.answer(func() { s.end(placement.Rejected) })
	case engine.CutOff:
		delete(h.sends, event.Task)
		s.answer(func() { s.end(placement.Failed) })
	case engine.Lost:
		delete(h.sends, event.Task)
		if !h.dark {
			s.answer(func() { s.end(placement.Interrupted) })
		}
	}
}
