package gearman

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/loadbalancer"
)

// noSkill is a skill that no job needs. Every Gearman worker has it, so that even one without abilities differs from the
// platform's backends, which have no skills: it must never be given their jobs.
const noSkill = math.MaxUint32

// worker is the worker side of a connection. It implements dispatch.Backend.
type worker struct {
	peer       *peer
	name       string // of the dispatcher's member, made of the connection's slot
	member     loadbalancer.Worker
	abilities  map[string]float64  // functions to time limits in seconds; 0 is the job's own deadline
	asleep     bool                // sent PRE_SLEEP: wake it with NOOP when there is a job
	unassigned []*attempt          // attempts that wait for GRAB_JOB, by priority, then arrival
	running    map[string]*attempt // by job handle
}

// addAbility adds a function that the worker can run, with a time limit in seconds (0 is none). The first one makes the
// connection a backend of the dispatcher.
func (p *peer) addAbility(name string, limit float64) {
	fn := p.server.functions[name]
	if fn == nil {
		p.server.log.Info("gearman: worker registered an unknown function", zap.String("function", name))
		return
	}
	if p.worker == nil {
		network, ok := p.server.config.networkOf(p.conn.Peer().Addr())
		if !ok {
			p.server.log.Warn("gearman: worker from an unknown network rejected", zap.Stringer("from", p.conn.Peer()))
			return
		}
		p.worker = &worker{
			peer:      p,
			abilities: map[string]float64{},
			running:   map[string]*attempt{},
			// Slot numbers are reused, so the dispatcher's table of names stays bounded as workers come and go.
			name: fmt.Sprintf("gearman/%d", uint32(p.handle)),
			member: loadbalancer.Worker{
				Zone:      network.zoneIndex,
				Kind:      network.kindIndex,
				Cell:      network.Cell,
				Weight:    1,
				StartedAt: p.connectedAt,
			},
		}
	}
	p.worker.member.ID = p.server.dispatcher.WorkerID(p.worker.name)
	if previous, known := p.worker.abilities[name]; !known || previous != limit {
		p.worker.abilities[name] = limit
		p.worker.publish()
	}
}

// publish updates the dispatcher's member. A worker without abilities is draining, not departed: it may still run jobs.
func (w *worker) publish() {
	w.member.State = loadbalancer.Draining
	w.member.Skills = []uint32{noSkill}
	for name := range w.abilities {
		w.member.State = loadbalancer.Ready
		w.member.Skills = append(w.member.Skills, w.peer.server.functions[name].skill)
	}
	slices.Sort(w.member.Skills)
	w.peer.server.dispatcher.UpdateMembers(loadbalancer.ListDelta, []dispatch.Member{{Worker: w.member, Backend: w, Name: w.name}})
}

// removeAbility removes one ability. Attempts that need it and were not assigned yet never ran, and are returned to the
// dispatcher; running ones may finish. The worker may be nil.
func (w *worker) removeAbility(name string) {
	if w == nil {
		return
	}
	delete(w.abilities, name)
	w.publish()
	w.returnUnservable()
}

// removeAllAbilities does what removeAbility does, for every ability.
func (w *worker) removeAllAbilities() {
	if w == nil {
		return
	}
	clear(w.abilities)
	w.publish()
	w.returnUnservable()
}

// returnUnservable returns to the dispatcher the unassigned attempts whose function the worker no longer has. It changes
// the queue before it reports: the dispatcher may call Start again from HandleOutcome.
func (w *worker) returnUnservable() {
	var returned []*attempt
	w.unassigned = slices.DeleteFunc(w.unassigned, func(a *attempt) bool {
		_, isAble := w.abilities[a.job.function.Name]
		if !isAble {
			returned = append(returned, a)
		}
		return !isAble
	})
	for _, a := range returned {
		w.peer.server.dispatcher.HandleOutcome(a.id, dispatch.Outcome{Result: loadbalancer.ConnectFailed})
	}
}

// depart removes the worker of a closed connection from the dispatcher. A job whose assignment was written completely
// may have run, whatever status the worker sent.
func (w *worker) depart() {
	w.member.State = loadbalancer.Departed
	w.peer.server.dispatcher.UpdateMembers(loadbalancer.ListDelta, []dispatch.Member{{Worker: w.member, Backend: w, Name: w.name}})
	clear(w.abilities)
	w.returnUnservable()
	handles := make([]string, 0, len(w.running))
	for handle := range w.running {
		handles = append(handles, handle)
	}
	slices.Sort(handles)
	for _, handle := range handles {
		result := loadbalancer.Reset
		if w.peer.conn.Written() < w.running[handle].assignmentEnd { // not written completely: cannot have begun
			result = loadbalancer.ConnectFailed
		}
		w.running[handle].finish(dispatch.Outcome{Result: result})
	}
}

// Start implements dispatch.Backend: the attempt waits until the worker asks for a job.
func (w *worker) Start(dispatched dispatch.Attempt) {
	j, isJob := dispatched.Payload.(*job)
	if _, isAble := w.abilities[functionName(j)]; !isJob || !isAble {
		w.peer.server.dispatcher.HandleOutcome(dispatched.ID, dispatch.Outcome{Result: loadbalancer.ConnectFailed})
		return
	}
	a := &attempt{id: dispatched.ID, job: j, worker: w}
	at, _ := slices.BinarySearchFunc(w.unassigned, a, func(x, y *attempt) int { // first come, first served within a priority
		if x.job.priority <= y.job.priority {
			return -1
		}
		return 1
	})
	w.unassigned = slices.Insert(w.unassigned, at, a)
	if w.asleep {
		w.asleep = false
		w.peer.send(Noop)
	}
}

// functionName returns a job's function; empty for no job.
func functionName(j *job) string {
	if j == nil {
		return ""
	}
	return j.function.Name
}

// Cancel implements dispatch.Backend: it reports whether the attempt may have been started. Gearman cannot cancel a
// running job; its result is dropped.
func (w *worker) Cancel(id dispatch.AttemptID) bool {
	for i, a := range w.unassigned {
		if a.id == id {
			w.unassigned = slices.Delete(w.unassigned, i, i+1)
			return false
		}
	}
	for _, a := range w.running {
		if a.id == id {
			a.settle()
		}
	}
	return true
}

// ResetConnections implements dispatch.Backend. There is nothing to reset: a worker is its one connection, and a
// restarted process has a new one.
func (w *worker) ResetConnections() {}

// Probe implements dispatch.Backend: a worker is healthy while its connection is open.
func (w *worker) Probe(done func(loadbalancer.Result, []float32)) { done(loadbalancer.OK, w.load()) }

// load returns the load report that the dispatcher expects. Gearman workers send none, but run one job at a time, so at
// the end of a job one is idle with a free slot; other fields are unknown (-1).
func (w *worker) load() []float32 {
	values := make([]float32, len(w.peer.server.reportFields))
	for i, field := range w.peer.server.reportFields {
		switch field {
		case loadbalancer.FieldInFlight, loadbalancer.FieldUtilization: // 0: the worker is idle
		case loadbalancer.FieldFreeSlots:
			values[i] = 1
		default:
			values[i] = -1
		}
	}
	return values
}

// handleWorkerPacket handles a packet of a worker, which may come before it has offered any function.
func (p *peer) handleWorkerPacket(packet Packet) {
	w := p.worker
	switch packet.Kind {
	case CanDo:
		p.addAbility(packet.Args[0], 0)
	case CanDoTimeout:
		seconds, err := strconv.ParseUint(packet.Args[1], 10, 31)
		if err != nil {
			p.send(Error, codeBadPacket, "time-out is no number")
			return
		}
		p.addAbility(packet.Args[0], float64(seconds))
	case CantDo:
		w.removeAbility(packet.Args[0])
	case ResetAbilities:
		w.removeAllAbilities()
	case PreSleep:
		if w != nil {
			w.asleep = len(w.unassigned) == 0
			if !w.asleep {
				p.send(Noop)
			}
		}
	case GrabJob, GrabJobUniq, GrabJobAll:
		if w != nil {
			w.asleep = false
		}
		if w == nil || !w.grab(packet.Kind) {
			p.send(NoJob)
		}
	default:
		var a *attempt
		if w != nil {
			a = w.running[packet.Args[0]]
		}
		if a == nil {
			p.server.Counts.StrayWork++ // of an attempt that has ended, or of none
			return
		}
		a.handleReport(packet)
	}
}

// grab assigns the next job that may still be sent, and reports whether there was one. ConfirmSend checks drain and
// deadline again, since the attempt counts as sent only here.
func (w *worker) grab(kind Kind) bool {
	s := w.peer.server
	for len(w.unassigned) > 0 {
		a := w.unassigned[0]
		w.unassigned = w.unassigned[1:]
		j := a.job
		result, confirmed := s.dispatcher.ConfirmSend(a.id)
		// If it still runs a cancelled attempt of this job, their reports could not be told apart: they carry the handle only.
		if confirmed && w.running[j.handle] != nil {
			result = loadbalancer.ConnectFailed
			confirmed = false
		}
		if !confirmed {
			s.dispatcher.HandleOutcome(a.id, dispatch.Outcome{Result: result})
			continue
		}
		w.running[j.handle] = a
		j.running++
		if j.running == 1 {
			j.function.running++
		}
		switch kind {
		case GrabJob:
			w.peer.send(JobAssign, j.handle, j.function.Name, j.data)
		case GrabJobUniq:
			w.peer.send(JobAssignUniq, j.handle, j.function.Name, j.unique, j.data)
		default:
			w.peer.send(JobAssignAll, j.handle, j.function.Name, j.unique, "", j.data)
		}
		a.assignmentEnd = w.peer.conn.Written() + uint64(w.peer.conn.Unsent())
		if limit := w.abilities[j.function.Name]; limit > 0 {
			a.timeLimit = s.loop.At(s.loop.Now()+limit, func() { a.finish(dispatch.Outcome{Result: loadbalancer.Timeout}) })
		}
		s.dispatcher.HandleStarted(a.id)
		return true
	}
	return false
}
