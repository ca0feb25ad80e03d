package emulator

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"cinderroad/internal/testkit/checker"
)

// lifeRecorder records what is done to processes, and checks how they end. It implements processObserver.
type lifeRecorder struct {
	deployment  *deployment
	checker     *checker.Checker
	machines    *checker.Machines
	gracePeriod time.Duration

	mu       sync.Mutex
	lateEnds []lateEnd
}

// lateEnd is a process that took longer than the grace period to end.
type lateEnd struct {
	address  string
	from, to time.Time
	text     string
}

// endDelay is by how much the end of a process may be seen late.
const endDelay = 100 * time.Millisecond

// addressOf returns the address under which the trouble of a machine is recorded.
func (d *deployment) addressOf(m *machine) string {
	if m.class == coreClass {
		return checker.Core
	}
	return m.addressWithPort(d.ports.front).String()
}

// namesOf returns the names under which trouble of a machine is recorded: beside its address, control machines have their own.
func (d *deployment) namesOf(m *machine) []string {
	if m.class == coreClass {
		return []string{checker.Core, m.name}
	}
	return []string{d.addressOf(m)}
}

// signalled records a signal before it is sent.
func (r *lifeRecorder) signalled(p *process, signal syscall.Signal, at time.Time, first bool) {
	address := r.deployment.addressOf(p.machine)
	switch {
	case signal == syscall.SIGHUP && p.program == proxy:
		r.machines.Reloaded(address, at)
	case signal == syscall.SIGTERM && first && p.program == proxy:
		r.machines.Stopped(address, at)
	}
	for _, name := range r.deployment.namesOf(p.machine) {
		switch signal {
		case syscall.SIGKILL:
			r.machines.UnplannedTrouble(name, at, at)
		case syscall.SIGTERM:
			r.machines.PlannedTrouble(name, at, at)
		}
	}
}

// lifeEnded checks how a process ended that had got a signal.
func (r *lifeRecorder) lifeEnded(p *process, ended life) {
	killedInTime := !ended.killed.IsZero() && ended.killed.Sub(ended.stopped) < r.gracePeriod
	if ended.stopped.IsZero() || killedInTime {
		return
	}
	took := ended.ended.Sub(ended.stopped)
	whileStarting := ended.endedBy(syscall.SIGTERM) && ended.stopped.Sub(ended.started) < startTrouble
	if !ended.status.Success() && !whileStarting {
		r.checker.Report(checker.LateEnd, "%s on %s ended with %v, %v after SIGTERM", p.program, p.machine.name, ended.status, took)
	}
	if took > r.gracePeriod+endDelay {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.lateEnds = append(r.lateEnds, lateEnd{
			address: r.deployment.addressOf(p.machine),
			from:    ended.stopped,
			to:      ended.ended,
			text:    fmt.Sprintf("%s on %s ended %v after SIGTERM", p.program, p.machine.name, took),
		})
	}
}

// startedAgain records the trouble of a machine from the first signal of a life to the next start. Beyond SIGTERM, it was not
// planned.
func (r *lifeRecorder) startedAgain(p *process, ended life, at time.Time) {
	for _, name := range r.deployment.namesOf(p.machine) {
		switch {
		case !ended.killed.IsZero():
			r.machines.UnplannedTrouble(name, ended.killed, at)
		case ended.stopped.IsZero():
			r.machines.UnplannedTrouble(name, ended.ended, at)
		}
		if !ended.stopped.IsZero() {
			r.machines.PlannedTrouble(name, ended.stopped, at)
		}
	}
}

// squeezedEndDelay is by how much a process may end late on a machine that wants for the processor, and for how long before
// the end of the grace period that counts.
const squeezedEndDelay = 2 * time.Second

// checkEnds reports processes that ended late.
func (r *lifeRecorder) checkEnds() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, end := range r.lateEnds {
		due := end.from.Add(r.gracePeriod)
		excused := end.to.Before(due.Add(squeezedEndDelay)) &&
			r.machines.WasSqueezed(end.address, due.Add(-squeezedEndDelay), end.to.Add(slowdownInterval))
		if !excused {
			r.checker.Report(checker.LateEnd, "%s, %v is allowed", end.text, r.gracePeriod)
		}
	}
	r.lateEnds = nil
}
