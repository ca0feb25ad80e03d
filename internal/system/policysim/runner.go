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
	engine     engine.Server
	slowStart  engine.SlowStart
	attempts   map[*engine.Task]*attempt
	up         bool          // false once it has crashed; it never comes back, another incarnation replaces it
	silent     bool          // down without closing its connections
	listed     bool          // the proxies' list of runners has it
	nextWakeup time.Duration // earliest event that is scheduled for it; 0: none
}

// handleRequest handles a request that a proxy has sent.
func (r *simulatedRunner) handleRequest(a *attempt) {
	if !r.up {
		if !r.silent {
			a.respond(func() { a.handleEnd(placement.ConnectFailed) })
		}
		return
	}
	if a.ended { // its client has cancelled it
		return
	}
	if r.slowStart.RecordArrival(r.sim.now) {
		r.stop(false) // it crashes, and closes its connections
		a.respond(func() { a.handleEnd(placement.Interrupted) })
		return
	}
	task, accepted := r.engine.Submit(r.sim.now, a.engineRequest())
	if !accepted {
		a.respond(func() { a.handleEnd(placement.Rejected) })
		return
	}
	a.task = task
	r.attempts[task] = a
	r.advance()
}

// cancel ends a request whose proxy has closed the connection.
func (r *simulatedRunner) cancel(a *attempt) {
	if a.task == nil || !r.up {
		return
	}
	r.engine.Cancel(r.sim.now, a.task)
	delete(r.attempts, a.task)
	r.advance()
}

// stop ends the incarnation. A silent one does not close its connections.
func (r *simulatedRunner) stop(silent bool) {
	r.up = false
	r.silent = silent
	for _, event := range r.engine.Stop(r.sim.now) {
		r.handleEvent(event)
	}
}

// advance handles the engine's events up to now and schedules itself for the next one.
func (r *simulatedRunner) advance() {
	for _, event := range r.engine.Advance(r.sim.now) {
		r.handleEvent(event)
	}
	next, pending := r.engine.Next()
	if !pending || r.nextWakeup != 0 && r.nextWakeup <= next {
		return
	}
	r.nextWakeup = next
	r.sim.at(next, func() {
		if r.nextWakeup == next {
			r.nextWakeup = 0
		}
		if r.up {
			r.advance()
		}
	})
}

// handleEvent passes an event of the engine on to the proxy of its attempt.
func (r *simulatedRunner) handleEvent(event engine.Event) {
	a := r.attempts[event.Task]
	if event.Kind == engine.ChunkPrefilled {
		r.sim.counters.countPrefill(event.Task, event.Index)
		return
	}
	if a == nil {
		return
	}
	switch event.Kind {
	case engine.Emitted:
		a.respond(a.handleEvent)
	case engine.Finished:
		delete(r.attempts, event.Task)
		a.respond(func() { a.handleEnd(placement.Succeeded) })
	case engine.Expired:
		delete(r.attempts, event.Task)
		a.respond(func() { a.handleEnd(placement.Rejected) })
	case engine.TimedOut:
		delete(r.attempts, event.Task)
		a.respond(func() { a.handleEnd(placement.Failed) })
	case engine.Lost:
		delete(r.attempts, event.Task)
		if !r.silent {
			a.respond(func() { a.handleEnd(placement.Interrupted) })
		}
	}
}
