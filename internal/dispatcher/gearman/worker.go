package gearman

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/loadbalancer"
)

// noSkill is a skill that no job needs. Every Gearman worker has it, so that none of them, whatever else it
// can do, passes for a backend of the platform, which has no skills.
const noSkill = math.MaxUint32

// worker is a worker's connection: a backend of the core.
type worker struct {
	peer       *peer
	name       string
	member     loadbalancer.Worker
	abilities  map[string]float64 // its functions and how long a job may run, 0 for as long as the job has
	asleep     bool
	unassigned []*attempt // sent by the decisions, not assigned yet
	running    map[string]*attempt
}

// attempt is one attempt at a job.
type attempt struct {
	id            dispatch.AttemptID
	job           *job
	worker        *worker
	timeLimit     *eventloop.Timer
	output        []outputPacket
	outputBytes   int
	assignmentEnd uint64 // bytes written on the connection once the assignment has gone out whole
	settled       bool   // nothing more is to be told to the core
}

// addAbility adds what a worker can do; the first makes the connection a backend.
func (p *peer) addAbility(name string, limit float64) {
	fn := p.server.functions[name]
	if fn == nil {
		p.server.log.Info("gearman: worker offers a function that is not configured", zap.String("function", name))
		return
	}
	if p.worker == nil {
		network, ok := p.server.config.networkOf(p.conn.Peer().Addr())
		if !ok {
			p.server.log.Warn("gearman: worker from a network that is not configured", zap.Stringer("from", p.conn.Peer()))
			return
		}
		p.worker = &worker{peer: p, abilities: map[string]float64{}, running: map[string]*attempt{},
			// The number is the slot's, so that workers that come and go leave no trail behind.
			name: fmt.Sprintf("gearman/%d", uint32(p.handle)),
			member: loadbalancer.Worker{Zone: network.zoneIndex,
				Kind: network.kindIndex, Cell: network.Cell, Weight: 1, StartedAt: p.connectedAt}}
	}
	p.worker.member.ID = p.server.dispatcher.WorkerID(p.worker.name)
	if previous, had := p.worker.abilities[name]; !had || previous != limit {
		p.worker.abilities[name] = limit
		p.worker.publish()
	}
}

// publish tells the core what the worker can do now. One that can do nothing drains.
func (w *worker) publish() {
	w.member.State, w.member.Skills = loadbalancer.Draining, []uint32{noSkill}
	for name := range w.abilities {
		w.member.State = loadbalancer.Ready
		w.member.Skills = append(w.member.Skills, w.peer.server.functions[name].skill)
	}
	slices.Sort(w.member.Skills)
	w.peer.server.dispatcher.UpdateMembers(loadbalancer.ListDelta, []dispatch.Member{{Worker: w.member, Backend: w, Name: w.name}})
}

// removeAbilities takes abilities away, the named one or all: that is a drain. What waits for a grab never ran and goes
// elsewhere; what runs may finish.
func (w *worker) removeAbilities(name string, all bool) {
	if w == nil {
		return
	}
	if all {
		clear(w.abilities)
	} else {
		delete(w.abilities, name)
	}
	w.publish()
	w.returnUnservable()
}

// returnUnservable hands back what waits here and may not be given to this worker any more.
func (w *worker) returnUnservable() {
	var returned []*attempt
	w.unassigned = slices.DeleteFunc(w.unassigned, func(a *attempt) bool {
		_, can := w.abilities[a.job.function.Name]
		if !can {
			returned = append(returned, a)
		}
		return !can
	})
	for _, a := range returned {
		w.peer.server.dispatcher.HandleOutcome(a.id, dispatch.Outcome{Result: loadbalancer.ConnectFailed})
	}
}

// depart ends what the worker had: what it was assigned may have run, whatever it told before.
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
		if w.peer.conn.Written() < w.running[handle].assignmentEnd { // never went out whole: no worker can have begun it
			result = loadbalancer.ConnectFailed
		}
		w.running[handle].finish(dispatch.Outcome{Result: result})
	}
}

// Start implements dispatch.Backend: the job waits until the worker grabs it.
func (w *worker) Start(dispatched dispatch.Attempt) {
	j, ok := dispatched.Payload.(*job)
	if _, can := w.abilities[functionName(j)]; !ok || !can {
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

func functionName(j *job) string {
	if j == nil {
		return ""
	}
	return j.function.Name
}

// Cancel implements dispatch.Backend. Gearman has no word to call a running job off: its result is dropped.
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

// ResetConnections implements dispatch.Backend: a worker is its one connection, and a new process would have a new one.
func (w *worker) ResetConnections() {}

// Probe implements dispatch.Backend: a connection that is open is all there is to know.
func (w *worker) Probe(done func(loadbalancer.Result, []float32)) { done(loadbalancer.OK, w.load()) }

// load is the worker's load report: it tells none itself, but does one job at a time and has just ended one.
func (w *worker) load() []float32 {
	values := make([]float32, len(w.peer.server.reportFields))
	for i, field := range w.peer.server.reportFields {
		switch field {
		case loadbalancer.FieldInFlight, loadbalancer.FieldUtilization:
		case loadbalancer.FieldFreeSlots:
			values[i] = 1
		default:
			values[i] = -1
		}
	}
	return values
}

// handleWorkerPacket takes a packet of the worker's side.
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
		w.removeAbilities(packet.Args[0], false)
	case ResetAbilities:
		w.removeAbilities("", true)
	case PreSleep:
		if w != nil {
			if w.asleep = len(w.unassigned) == 0; !w.asleep {
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
			p.server.Counts.StrayWork++ // the end of a fetch that was given up, or of nothing
			return
		}
		a.handleReport(packet)
	}
}

// grab assigns the next job that may still be sent. The fetch counts as sent here, so this is where drain and
// deadline are looked at again.
func (w *worker) grab(kind Kind) bool {
	s := w.peer.server
	for len(w.unassigned) > 0 {
		a := w.unassigned[0]
		w.unassigned = w.unassigned[1:]
		j := a.job
		result, confirmed := s.dispatcher.ConfirmSend(a.id)
		if confirmed && w.running[j.handle] != nil { // still at an attempt that was given up: two could not be told apart
			result, confirmed = loadbalancer.ConnectFailed, false
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

// handleReport takes what a worker says of a job it has. Data and warnings wait for the job's end: should the fetch
// fail and another be made, the client must not get both.
func (a *attempt) handleReport(packet Packet) {
	j := a.job
	switch packet.Kind {
	case WorkStatus:
		if a.settled || j.ended {
			return
		}
		j.numerator, j.denominator = packet.Args[1], packet.Args[2]
		j.notify(WorkStatus, j.numerator, j.denominator)
		numerator, err1 := strconv.ParseFloat(j.numerator, 64)
		denominator, err2 := strconv.ParseFloat(j.denominator, 64)
		if err1 == nil && err2 == nil && denominator > 0 && numerator > 0 && numerator <= denominator {
			a.worker.peer.server.dispatcher.HandleProgress(a.id, numerator/denominator)
		}
	case WorkData, WorkWarning:
		if a.outputBytes += len(packet.Args[1]); a.outputBytes > maxDataBytes {
			a.finish(dispatch.Outcome{Result: loadbalancer.Error, Report: a.worker.load()})
			return
		}
		a.output = append(a.output, outputPacket{packet.Kind, packet.Args[1]})
	case WorkComplete:
		if !j.ended && !a.settled {
			j.output = a.output
		}
		a.finish(dispatch.Outcome{Result: loadbalancer.OK, Body: []byte(packet.Args[1]), Report: a.worker.load()})
	case WorkException:
		if !j.ended && !a.settled {
			j.exception = packet.Args[1]
		}
		a.finish(dispatch.Outcome{Result: loadbalancer.Error, Report: a.worker.load()})
	case WorkFail:
		a.finish(dispatch.Outcome{Result: loadbalancer.Error, Report: a.worker.load()})
	}
}

// finish takes the fetch off the worker and tells the core how it ended.
func (a *attempt) finish(outcome dispatch.Outcome) {
	if a.worker.running[a.job.handle] != a {
		return
	}
	delete(a.worker.running, a.job.handle)
	a.timeLimit.Stop()
	if a.job.running--; a.job.running == 0 {
		a.job.function.running--
	}
	if !a.settled {
		a.settled = true
		a.worker.peer.server.dispatcher.HandleOutcome(a.id, outcome)
	}
}

// settle gives the fetch up; the worker may go on with it for as long as it likes.
func (a *attempt) settle() { a.settled = true }
