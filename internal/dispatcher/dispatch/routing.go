// Package routing is the core: it owns every req and every fetch, lets brain decide, and sees to it that each
// req gets exactly one final answer. It knows no wire: fronts and backends are behind the interfaces here.
//
// All of it belongs to one goroutine. Whatever a backend or a front does from within an action of the
// Balancer is queued and handled after the event at hand, so the Balancer is never re-entered.
package dispatch

import (
	"hash/fnv"
	"math"

	"cinderroad/internal/shared/invariant"
	"cinderroad/internal/shared/slotmap"
	"cinderroad/loadbalancer"
)

// Timer withdraws a deadline.
type Timer interface{ Stop() }

// Clock is the time, and the one structure that deadlines hang in.
type Clock interface {
	Now() float64
	At(at float64, do func()) Timer
}

// Verdict is the kind of a final answer.
type Verdict uint8

// The final answers.
const (
	Served       Verdict = iota
	Rejected             // it did not run, a retry is harmless
	Failed               // nothing is promised
	Disconnected         // to the books alone: the client has gone before an answer
	Requeued             // to the books alone: a refusal that the front took for itself
)

// Answer is the one final answer of a req.
type Answer struct {
	Verdict    Verdict
	Body       []byte  // of Served
	RetryAfter float64 // of Refused: when to come back, in seconds; 0 names no wait
}

// Requester is the front's side of a req.
type Requester interface {
	Answer(a Answer)
}

// RequestID names a req, AttemptID a fetch; either misses once what it named is over.
type (
	RequestID slotmap.Handle
	AttemptID slotmap.Handle
)

// Job is what a front hands in.
type Job struct {
	Class         int // place in the settings' classes; out of range is a class nobody knows
	Skill         uint32
	Slots, Memory float64
	Work          float64 // hinted, 0 is no hint
	Deadline      float64 // clock time at which the client gives up
	Payload       any     // the front's own form of the job, for the backends that understand it
	ID, Front     string  // how the front names the job and itself, for the books
}

// Attempt is one attempt as a backend sees it.
type Attempt struct {
	ID       AttemptID
	Worker   loadbalancer.WorkerID
	Deadline float64 // when the core stops waiting
	Payload  any
}

// Outcome is how a fetch ended.
type Outcome struct {
	Result          loadbalancer.Result
	InvalidJob      bool // the backend says that the job itself is bad
	StaleConnection bool // a connection that had rested was found dead: no word on the backend
	Body            []byte
	Report          []float32
}

// Backend carries fetches to one worker. A call may come from within an action: what it causes is told to
// the core by Started, Progress and Ended, which may be called at any time.
type Backend interface {
	// Start carries out a fetch.
	Start(f Attempt)
	// Cancel gives up a fetch, of which nothing more is to be told; it says whether the fetch may have run.
	Cancel(id AttemptID) (mayHaveRun bool)
	// ResetConnections drops connections that rest, and those at work once they are done: the worker was restarted.
	ResetConnections()
	// Probe asks for health and load; done is called once.
	Probe(done func(result loadbalancer.Result, report []float32))
}

// Member is a worker of the list and its backend.
type Member struct {
	loadbalancer.Worker
	Backend Backend
	Name    string // as given to Number

	listed loadbalancer.Worker // as its front listed it; Worker is what the decisions see
	drainTimes
}

// Discovery asks for the list where it does not come by itself.
type Discovery interface {
	Watch(on bool)
	Fetch()
}

// Counts are the core's figures since the start.
type Counts struct {
	Requests      uint64                             `json:"Reqs"`
	Served        uint64                             `json:"Served"`
	Rejected      uint64                             `json:"Refused"`
	Failed        uint64                             `json:"Failed"`
	Disconnected  uint64                             `json:"Gone"`
	Attempts      uint64                             `json:"Fetches"`
	Retries       uint64                             `json:"Repeats"`
	Cancellations uint64                             `json:"Cancels"`
	Probes        uint64                             `json:"Probes"`
	Results       [loadbalancer.Withdrawn + 1]uint64 `json:"Results"`  // ends of fetches by result
	InvalidJobs   uint64                             `json:"Unusable"` // failed since backends could do nothing with them
	Overdue       uint64                             `json:"Overdue"`  // answered by the core because the decisions had not
	OpenRequests  int                                `json:"OpenReqs"`
	OpenAttempts  int                                `json:"OpenFetches"`
}

// Dispatcher is the dispatcher between its fronts and its backends.
type Dispatcher struct {
	Discovery Discovery
	Observer  Observer // keeps books; nil is nobody
	AuditMark uint64   // of what is in force, for the books: answers and sends carry it; 0 is none
	Log       func(line string)

	clock         Clock
	balancer      *loadbalancer.Balancer
	requests      slotmap.Map[*request]
	attempts      slotmap.Map[*attempt]
	requestsByID  map[loadbalancer.RequestID]*request
	lastID        loadbalancer.RequestID
	members       map[loadbalancer.WorkerID]*Member
	workerIDs     map[string]loadbalancer.WorkerID
	exclusions    map[string]Exclusion
	restrictions  map[string]Restriction // by what others know
	paused        bool                   // nobody gets anything new
	settings      loadbalancer.Settings
	readyMembers  int          // members that are ready
	answerRecord  AnswerRecord // for the observer, made anew for each req
	events        []func()
	handlingEvent bool
	counts        Counts
}

type request struct {
	handle        slotmap.Handle
	id            loadbalancer.RequestID
	job           Job
	requester     Requester
	attempts      []*attempt // by attempt
	running       int
	answered      bool
	invalidVotes  int // backends that say so
	deadlineGuard Timer
	arrivedAt     float64
}

type attempt struct {
	handle     slotmap.Handle
	request    *request
	index      int
	member     *Member
	timer      Timer
	deadlineAt float64
	ended      bool

	sentAt, startedAt, endedAt float64
	hedged                     bool   // another was out when it was sent
	auditMark                  uint64 // of the core when it was sent
	result                     loadbalancer.Result
}

// overdueGrace is how long after a client's deadline the core itself answers, should the decisions not have.
const overdueGrace = 0.005

// New makes a core; Start begins its life.
func New(set loadbalancer.Settings, seed uint64, clock Clock) (*Dispatcher, error) {
	c := &Dispatcher{clock: clock, requestsByID: map[loadbalancer.RequestID]*request{}, members: map[loadbalancer.WorkerID]*Member{},
		workerIDs: map[string]loadbalancer.WorkerID{}, exclusions: map[string]Exclusion{}, settings: set,
		Log: func(string) {}}
	bal, err := loadbalancer.New(set, seed, actions{c})
	if err != nil {
		return nil, err
	}
	c.balancer = bal
	return c, nil
}

// Start begins the decisions' life.
func (c *Dispatcher) Start() { c.handle(func() { c.balancer.Start(c.clock.Now()) }) }

// Counts returns the figures so far.
func (c *Dispatcher) Counts() Counts {
	n := c.counts
	n.OpenRequests, n.OpenAttempts = c.requests.Len(), c.attempts.Len()
	return n
}

// handle runs an event after those before it: one event at a time reaches the Balancer.
func (c *Dispatcher) handle(event func()) {
	c.events = append(c.events, event)
	if c.handlingEvent {
		return
	}
	c.handlingEvent = true
	for len(c.events) > 0 {
		next := c.events[0]
		c.events = c.events[1:]
		next()
	}
	c.events, c.handlingEvent = nil, false
}

// Submit accepts a job; its one answer goes to asker, perhaps before Take returns.
func (c *Dispatcher) Submit(job Job, asker Requester) RequestID {
	r := &request{job: job, requester: asker, arrivedAt: c.clock.Now()}
	r.handle = c.requests.Insert(r)
	for r.id = c.lastID + 1; r.id == 0 || r.id == math.MaxUint32 || c.requestsByID[r.id] != nil; r.id++ {
	} // the last number is the sweep's timer
	c.lastID = r.id
	c.requestsByID[r.id] = r
	c.counts.Requests++
	r.deadlineGuard = c.clock.At(job.Deadline+overdueGrace, func() { c.handle(func() { c.answerOverdue(r) }) })
	c.handle(func() {
		if r.answered {
			return
		}
		c.balancer.HandleRequest(c.clock.Now(), &loadbalancer.Request{ID: r.id, Class: job.Class, Skill: job.Skill, Slots: job.Slots,
			Memory: job.Memory, Work: job.Work, Deadline: job.Deadline})
	})
	return RequestID(r.handle)
}

// HandleDisconnect tells that the client has left: nothing is owed any more.
func (c *Dispatcher) HandleDisconnect(id RequestID) {
	c.handle(func() {
		r, ok := c.requests.Get(slotmap.Handle(id))
		if !ok || r.answered {
			return
		}
		c.counts.Disconnected++
		c.markAnswered(r)
		c.recordAnswer(r, Disconnected, ReasonNone, 0, -1)
		c.balancer.HandleDisconnect(c.clock.Now(), r.id)
		c.forget(r)
	})
}

// answerOverdue guards the promise of one final answer against decisions that forgot a req.
func (c *Dispatcher) answerOverdue(r *request) {
	if r.answered {
		return
	}
	c.counts.Overdue++
	c.answer(r, Answer{Verdict: Failed}, ReasonOverdue, -1)
	c.balancer.HandleDisconnect(c.clock.Now(), r.id)
	c.forget(r)
}

// answer gives the one final answer; won is the attempt that served it.
func (c *Dispatcher) answer(r *request, a Answer, why Reason, won int) {
	invariant.Check(!r.answered, "a req is answered once")
	if r.answered {
		return
	}
	switch a.Verdict {
	case Served:
		c.counts.Served++
	case Rejected:
		c.counts.Rejected++
	default:
		c.counts.Failed++
	}
	c.markAnswered(r)
	r.requester.Answer(a)
	v := a.Verdict
	if by, ok := r.requester.(Requeuer); ok && v == Rejected && by.Requeued() {
		v = Requeued
	}
	c.recordAnswer(r, v, why, a.RetryAfter, won)
}

func (c *Dispatcher) markAnswered(r *request) {
	r.answered = true
	r.deadlineGuard.Stop()
}

// forget lets go of a req that has its answer and no fetch out.
func (c *Dispatcher) forget(r *request) {
	if r.answered && r.running == 0 && c.requests.Remove(r.handle) {
		delete(c.requestsByID, r.id)
	}
}

// ConfirmSend says whether a fetch whose first byte has not gone out may still be sent: its req must be open, its
// time not over, and its worker must still want new work. If not, result is what it ended as.
func (c *Dispatcher) ConfirmSend(id AttemptID) (result loadbalancer.Result, clear bool) {
	f, ok := c.attempts.Get(slotmap.Handle(id))
	switch {
	case !ok || f.ended || f.request.answered || c.clock.Now() >= f.deadlineAt:
		return loadbalancer.Withdrawn, false
	case f.member.State != loadbalancer.Ready:
		return loadbalancer.ConnectFailed, false
	}
	f.member.lastStart = c.clock.Now()
	return loadbalancer.OK, true
}

// WorkerID numbers the worker of a name. The number is drawn from the name alone, since dispatchers that share
// nothing must agree on a worker's place in the turns of cold starts.
func (c *Dispatcher) WorkerID(name string) loadbalancer.WorkerID {
	if id, ok := c.workerIDs[name]; ok {
		return id
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	id := loadbalancer.WorkerID(h.Sum32())
	for c.members[id] != nil {
		id++
	}
	c.workerIDs[name], c.members[id] = id, &Member{}
	return id
}

// HandleStarted tells that a fetch's job has begun.
func (c *Dispatcher) HandleStarted(id AttemptID) {
	if f, ok := c.attempts.Get(slotmap.Handle(id)); ok && f.startedAt == 0 {
		f.startedAt = c.clock.Now()
	}
	c.reportProgress(id, loadbalancer.ProgressUpdate{Started: true})
}

// HandleProgress tells the share of a fetch's job that is done.
func (c *Dispatcher) HandleProgress(id AttemptID, share float64) {
	c.reportProgress(id, loadbalancer.ProgressUpdate{Fraction: share})
}

func (c *Dispatcher) reportProgress(id AttemptID, n loadbalancer.ProgressUpdate) {
	c.handle(func() {
		if f, ok := c.attempts.Get(slotmap.Handle(id)); ok && !f.ended {
			n.Request, n.Attempt = f.request.id, f.index
			c.balancer.HandleProgress(c.clock.Now(), &n)
		}
	})
}

// HandleOutcome tells how a fetch ended; only the first word on a fetch counts.
func (c *Dispatcher) HandleOutcome(id AttemptID, e Outcome) {
	c.handle(func() {
		if f, ok := c.attempts.Get(slotmap.Handle(id)); ok && !f.ended {
			c.endAttempt(f, e)
		}
	})
}

// endAttempt turns the end of a fetch into the Balancer's one Outcome for the Send.
func (c *Dispatcher) endAttempt(f *attempt, e Outcome) {
	invariant.Check(!f.ended, "a fetch ends once")
	f.ended, f.endedAt, f.result = true, c.clock.Now(), e.Result
	f.timer.Stop()
	c.attempts.Remove(f.handle)
	r := f.request
	r.running--
	switch {
	case e.Result == loadbalancer.OK && !r.answered:
		c.answer(r, Answer{Verdict: Served, Body: e.Body}, ReasonNone, f.index)
	case e.InvalidJob: // no blame for the backend; a second one that says so settles it, and the client is told
		e.Result = loadbalancer.Cancelled
		f.result = e.Result
		if r.invalidVotes++; r.invalidVotes > 1 && !r.answered {
			c.counts.InvalidJobs++
			c.answer(r, Answer{Verdict: Failed}, ReasonInvalidJob, -1)
		}
	}
	if c.Observer != nil {
		t := f.record()
		c.Observer.ObserveAttempt(&t)
		if len(e.Report) > 0 {
			c.Observer.ObserveLoadReport(t.Worker, f.endedAt, e.Report, false)
		}
	}
	c.counts.Results[e.Result]++
	c.balancer.HandleOutcome(c.clock.Now(), &loadbalancer.Outcome{Request: r.id, Attempt: f.index, Worker: f.member.ID,
		Result: e.Result, ClientAnswered: r.answered, StaleConnection: e.StaleConnection, Report: e.Report})
	c.forget(r)
}

// UpdateMembers takes the director's news. What has left the list stays known: a fetch may still be out there.
func (c *Dispatcher) UpdateMembers(kind loadbalancer.ListKind, members []Member) {
	c.handle(func() {
		if kind == loadbalancer.ListFull || kind == loadbalancer.ListCached {
			named := make(map[loadbalancer.WorkerID]bool, len(members))
			for i := range members {
				named[members[i].ID] = true
			}
			for id, m := range c.members {
				m.listed.State = loadbalancer.Departed
				if !named[id] {
					was := m.State
					m.State = loadbalancer.Departed
					c.trackState(m, was)
				}
			}
		}
		workers := make([]loadbalancer.Worker, 0, len(members))
		for i := range members {
			m := c.members[members[i].ID]
			if m == nil {
				m = &Member{}
				c.members[members[i].ID] = m
			}
			was := m.State
			members[i].drainTimes = m.drainTimes
			*m = members[i]
			m.listed = m.Worker
			c.applyOverrides(m)
			c.trackState(m, was)
			workers = append(workers, m.Worker)
		}
		if c.Observer != nil {
			c.Observer.ObserveMembers(kind, members)
		}
		c.balancer.UpdateWorkers(c.clock.Now(), kind, workers)
		c.forgetDeparted()
	})
}

// trackState notes that the decisions see a member in another state than before.
func (c *Dispatcher) trackState(m *Member, was loadbalancer.WorkerState) {
	switch {
	case was == m.State:
	case m.State == loadbalancer.Ready:
		c.readyMembers++
	case was == loadbalancer.Ready:
		c.readyMembers--
		c.trackDrain(m)
	}
}

// maxDeparted is how many members that left may be kept before all of them are forgotten.
const maxDeparted = 64

// forgetDeparted forgets members that have left the list, once there are many: machines come and go for as long as the
// process runs. A fetch that is still out keeps its own hold of its member.
func (c *Dispatcher) forgetDeparted() {
	gone := 0
	for _, m := range c.members {
		if m.State == loadbalancer.Departed {
			gone++
		}
	}
	if gone <= maxDeparted {
		return
	}
	for id, m := range c.members {
		if m.State == loadbalancer.Departed {
			delete(c.members, id)
			delete(c.workerIDs, m.Name)
		}
	}
}
