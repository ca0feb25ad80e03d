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
	p       *peer
	name    string
	member  loadbalancer.Worker
	can     map[string]float64 // its functions and how long a job may run, 0 for as long as the job has
	asleep  bool
	waiting []*fetch // sent by the decisions, not assigned yet
	running map[string]*fetch
}

// fetch is one attempt at a job.
type fetch struct {
	id      dispatch.AttemptID
	job     *job
	w       *worker
	limit   *eventloop.Timer
	output  []packet
	size    int
	mark    uint64 // bytes written on the connection once the assignment has gone out whole
	stopped bool   // nothing more is to be told to the core
}

// ability adds what a worker can do; the first makes the connection a backend.
func (p *peer) ability(name string, limit float64) {
	f := p.s.functions[name]
	if f == nil {
		p.s.log.Info("gearman: worker offers a function that is not configured", zap.String("function", name))
		return
	}
	if p.worker == nil {
		place, ok := p.s.config.place(p.conn.Peer().Addr())
		if !ok {
			p.s.log.Warn("gearman: worker from a network that is not configured", zap.Stringer("from", p.conn.Peer()))
			return
		}
		p.worker = &worker{p: p, can: map[string]float64{}, running: map[string]*fetch{},
			// The number is the slot's, so that workers that come and go leave no trail behind.
			name: fmt.Sprintf("gearman/%d", uint32(p.h)),
			member: loadbalancer.Worker{Zone: place.zone,
				Kind: place.kind, Cell: place.Cell, Weight: 1, StartedAt: p.connected}}
	}
	p.worker.member.ID = p.s.core.WorkerID(p.worker.name)
	if was, had := p.worker.can[name]; !had || was != limit {
		p.worker.can[name] = limit
		p.worker.list()
	}
}

// list tells the core what the worker can do now. One that can do nothing drains.
func (w *worker) list() {
	w.member.State, w.member.Skills = loadbalancer.Draining, []uint32{noSkill}
	for name := range w.can {
		w.member.State = loadbalancer.Ready
		w.member.Skills = append(w.member.Skills, w.p.s.functions[name].skill)
	}
	slices.Sort(w.member.Skills)
	w.p.s.core.UpdateMembers(loadbalancer.ListDelta, []dispatch.Member{{Worker: w.member, Backend: w, Name: w.name}})
}

// lose takes abilities away, the named one or all: that is a drain. What waits for a grab never ran and goes
// elsewhere; what runs may finish.
func (w *worker) lose(name string, all bool) {
	if w == nil {
		return
	}
	if all {
		clear(w.can)
	} else {
		delete(w.can, name)
	}
	w.list()
	w.sweep()
}

// sweep hands back what waits here and may not be given to this worker any more.
func (w *worker) sweep() {
	var back []*fetch
	w.waiting = slices.DeleteFunc(w.waiting, func(t *fetch) bool {
		_, can := w.can[t.job.f.Name]
		if !can {
			back = append(back, t)
		}
		return !can
	})
	for _, t := range back {
		w.p.s.core.HandleOutcome(t.id, dispatch.Outcome{Result: loadbalancer.ConnectFailed})
	}
}

// leave ends what the worker had: what it was assigned may have run, whatever it told before.
func (w *worker) leave() {
	w.member.State = loadbalancer.Departed
	w.p.s.core.UpdateMembers(loadbalancer.ListDelta, []dispatch.Member{{Worker: w.member, Backend: w, Name: w.name}})
	clear(w.can)
	w.sweep()
	handles := make([]string, 0, len(w.running))
	for handle := range w.running {
		handles = append(handles, handle)
	}
	slices.Sort(handles)
	for _, handle := range handles {
		result := loadbalancer.Reset
		if w.p.conn.Written() < w.running[handle].mark { // never went out whole: no worker can have begun it
			result = loadbalancer.ConnectFailed
		}
		w.running[handle].end(dispatch.Outcome{Result: result})
	}
}

// Start implements dispatch.Backend: the job waits until the worker grabs it.
func (w *worker) Start(f dispatch.Attempt) {
	j, ok := f.Payload.(*job)
	if _, can := w.can[jobName(j)]; !ok || !can {
		w.p.s.core.HandleOutcome(f.ID, dispatch.Outcome{Result: loadbalancer.ConnectFailed})
		return
	}
	t := &fetch{id: f.ID, job: j, w: w}
	at, _ := slices.BinarySearchFunc(w.waiting, t, func(x, y *fetch) int { // first come, first served within a priority
		if x.job.priority <= y.job.priority {
			return -1
		}
		return 1
	})
	w.waiting = slices.Insert(w.waiting, at, t)
	if w.asleep {
		w.asleep = false
		w.p.send(Noop)
	}
}

func jobName(j *job) string {
	if j == nil {
		return ""
	}
	return j.f.Name
}

// Cancel implements dispatch.Backend. Gearman has no word to call a running job off: its result is dropped.
func (w *worker) Cancel(id dispatch.AttemptID) bool {
	for i, t := range w.waiting {
		if t.id == id {
			w.waiting = slices.Delete(w.waiting, i, i+1)
			return false
		}
	}
	for _, t := range w.running {
		if t.id == id {
			t.stop()
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
	values := make([]float32, len(w.p.s.report))
	for i, field := range w.p.s.report {
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

// work takes a packet of the worker's side.
func (p *peer) work(q Packet) {
	w := p.worker
	switch q.Kind {
	case CanDo:
		p.ability(q.Args[0], 0)
	case CanDoTimeout:
		seconds, err := strconv.ParseUint(q.Args[1], 10, 31)
		if err != nil {
			p.send(Error, errPacket, "time-out is no number")
			return
		}
		p.ability(q.Args[0], float64(seconds))
	case CantDo:
		w.lose(q.Args[0], false)
	case ResetAbilities:
		w.lose("", true)
	case PreSleep:
		if w != nil {
			if w.asleep = len(w.waiting) == 0; !w.asleep {
				p.send(Noop)
			}
		}
	case GrabJob, GrabJobUniq, GrabJobAll:
		if w != nil {
			w.asleep = false
		}
		if w == nil || !w.grab(q.Kind) {
			p.send(NoJob)
		}
	default:
		var t *fetch
		if w != nil {
			t = w.running[q.Args[0]]
		}
		if t == nil {
			p.s.Counts.StrayWork++ // the end of a fetch that was given up, or of nothing
			return
		}
		t.news(q)
	}
}

// grab assigns the next job that may still be sent. The fetch counts as sent here, so this is where drain and
// deadline are looked at again.
func (w *worker) grab(how Kind) bool {
	s := w.p.s
	for len(w.waiting) > 0 {
		t := w.waiting[0]
		w.waiting = w.waiting[1:]
		j := t.job
		result, clear := s.core.ConfirmSend(t.id)
		if clear && w.running[j.handle] != nil { // still at an attempt that was given up: two could not be told apart
			result, clear = loadbalancer.ConnectFailed, false
		}
		if !clear {
			s.core.HandleOutcome(t.id, dispatch.Outcome{Result: result})
			continue
		}
		w.running[j.handle] = t
		j.running++
		if j.running == 1 {
			j.f.running++
		}
		switch how {
		case GrabJob:
			w.p.send(JobAssign, j.handle, j.f.Name, j.data)
		case GrabJobUniq:
			w.p.send(JobAssignUniq, j.handle, j.f.Name, j.unique, j.data)
		default:
			w.p.send(JobAssignAll, j.handle, j.f.Name, j.unique, "", j.data)
		}
		t.mark = w.p.conn.Written() + uint64(w.p.conn.Unsent())
		if limit := w.can[j.f.Name]; limit > 0 {
			t.limit = s.loop.At(s.loop.Now()+limit, func() { t.end(dispatch.Outcome{Result: loadbalancer.Timeout}) })
		}
		s.core.HandleStarted(t.id)
		return true
	}
	return false
}

// news takes what a worker says of a job it has. Data and warnings wait for the job's end: should the fetch
// fail and another be made, the client must not get both.
func (t *fetch) news(q Packet) {
	j := t.job
	switch q.Kind {
	case WorkStatus:
		if t.stopped || j.over {
			return
		}
		j.num, j.den = q.Args[1], q.Args[2]
		j.tell(WorkStatus, j.num, j.den)
		num, err1 := strconv.ParseFloat(j.num, 64)
		den, err2 := strconv.ParseFloat(j.den, 64)
		if err1 == nil && err2 == nil && den > 0 && num > 0 && num <= den {
			t.w.p.s.core.HandleProgress(t.id, num/den)
		}
	case WorkData, WorkWarning:
		if t.size += len(q.Args[1]); t.size > maxData {
			t.end(dispatch.Outcome{Result: loadbalancer.Error, Report: t.w.load()})
			return
		}
		t.output = append(t.output, packet{q.Kind, q.Args[1]})
	case WorkComplete:
		if !j.over && !t.stopped {
			j.output = t.output
		}
		t.end(dispatch.Outcome{Result: loadbalancer.OK, Body: []byte(q.Args[1]), Report: t.w.load()})
	case WorkException:
		if !j.over && !t.stopped {
			j.exception = q.Args[1]
		}
		t.end(dispatch.Outcome{Result: loadbalancer.Error, Report: t.w.load()})
	case WorkFail:
		t.end(dispatch.Outcome{Result: loadbalancer.Error, Report: t.w.load()})
	}
}

// end takes the fetch off the worker and tells the core how it ended.
func (t *fetch) end(e dispatch.Outcome) {
	if t.w.running[t.job.handle] != t {
		return
	}
	delete(t.w.running, t.job.handle)
	t.limit.Stop()
	if t.job.running--; t.job.running == 0 {
		t.job.f.running--
	}
	if !t.stopped {
		t.stopped = true
		t.w.p.s.core.HandleOutcome(t.id, e)
	}
}

// stop gives the fetch up; the worker may go on with it for as long as it likes.
func (t *fetch) stop() { t.stopped = true }
