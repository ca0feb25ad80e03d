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
func New(settings loadbalancer.Settings, seed uint64, clock Clock) (*Dispatcher, error) {
	d := &Dispatcher{clock: clock, requestsByID: map[loadbalancer.RequestID]*request{}, members: map[loadbalancer.WorkerID]*Member{},
		workerIDs: map[string]loadbalancer.WorkerID{}, exclusions: map[string]Exclusion{}, settings: settings,
		Log: func(string) {}}
	balancer, err := loadbalancer.New(settings, seed, actions{d})
	if err != nil {
		return nil, err
	}
	d.balancer = balancer
	return d, nil
}

// Start begins the decisions' life.
func (d *Dispatcher) Start() { d.handle(func() { d.balancer.Start(d.clock.Now()) }) }

// Counts returns the figures so far.
func (d *Dispatcher) Counts() Counts {
	counts := d.counts
	counts.OpenRequests, counts.OpenAttempts = d.requests.Len(), d.attempts.Len()
	return counts
}

// handle runs an event after those before it: one event at a time reaches the Balancer.
func (d *Dispatcher) handle(event func()) {
	d.events = append(d.events, event)
	if d.handlingEvent {
		return
	}
	d.handlingEvent = true
	for len(d.events) > 0 {
		next := d.events[0]
		d.events = d.events[1:]
		next()
	}
	d.events, d.handlingEvent = nil, false
}

// Submit accepts a job; its one answer goes to asker, perhaps before Take returns.
func (d *Dispatcher) Submit(job Job, requester Requester) RequestID {
	request := &request{job: job, requester: requester, arrivedAt: d.clock.Now()}
	request.handle = d.requests.Insert(request)
	for request.id = d.lastID + 1; request.id == 0 || request.id == math.MaxUint32 || d.requestsByID[request.id] != nil; request.id++ {
	} // the last number is the sweep's timer
	d.lastID = request.id
	d.requestsByID[request.id] = request
	d.counts.Requests++
	request.deadlineGuard = d.clock.At(job.Deadline+overdueGrace, func() { d.handle(func() { d.answerOverdue(request) }) })
	d.handle(func() {
		if request.answered {
			return
		}
		d.balancer.HandleRequest(d.clock.Now(), &loadbalancer.Request{ID: request.id, Class: job.Class, Skill: job.Skill, Slots: job.Slots,
			Memory: job.Memory, Work: job.Work, Deadline: job.Deadline})
	})
	return RequestID(request.handle)
}

// HandleDisconnect tells that the client has left: nothing is owed any more.
func (d *Dispatcher) HandleDisconnect(id RequestID) {
	d.handle(func() {
		request, ok := d.requests.Get(slotmap.Handle(id))
		if !ok || request.answered {
			return
		}
		d.counts.Disconnected++
		d.markAnswered(request)
		d.recordAnswer(request, Disconnected, ReasonNone, 0, -1)
		d.balancer.HandleDisconnect(d.clock.Now(), request.id)
		d.forget(request)
	})
}

// answerOverdue guards the promise of one final answer against decisions that forgot a req.
func (d *Dispatcher) answerOverdue(request *request) {
	if request.answered {
		return
	}
	d.counts.Overdue++
	d.answer(request, Answer{Verdict: Failed}, ReasonOverdue, -1)
	d.balancer.HandleDisconnect(d.clock.Now(), request.id)
	d.forget(request)
}

// answer gives the one final answer; won is the attempt that served it.
func (d *Dispatcher) answer(request *request, answer Answer, reason Reason, winner int) {
	invariant.Check(!request.answered, "a req is answered once")
	if request.answered {
		return
	}
	switch answer.Verdict {
	case Served:
		d.counts.Served++
	case Rejected:
		d.counts.Rejected++
	default:
		d.counts.Failed++
	}
	d.markAnswered(request)
	request.requester.Answer(answer)
	verdict := answer.Verdict
	if requeuer, ok := request.requester.(Requeuer); ok && verdict == Rejected && requeuer.Requeued() {
		verdict = Requeued
	}
	d.recordAnswer(request, verdict, reason, answer.RetryAfter, winner)
}

func (d *Dispatcher) markAnswered(request *request) {
	request.answered = true
	request.deadlineGuard.Stop()
}

// forget lets go of a req that has its answer and no fetch out.
func (d *Dispatcher) forget(request *request) {
	if request.answered && request.running == 0 && d.requests.Remove(request.handle) {
		delete(d.requestsByID, request.id)
	}
}

// ConfirmSend says whether a fetch whose first byte has not gone out may still be sent: its req must be open, its
// time not over, and its worker must still want new work. If not, result is what it ended as.
func (d *Dispatcher) ConfirmSend(id AttemptID) (result loadbalancer.Result, confirmed bool) {
	attempt, ok := d.attempts.Get(slotmap.Handle(id))
	switch {
	case !ok || attempt.ended || attempt.request.answered || d.clock.Now() >= attempt.deadlineAt:
		return loadbalancer.Withdrawn, false
	case attempt.member.State != loadbalancer.Ready:
		return loadbalancer.ConnectFailed, false
	}
	attempt.member.lastStart = d.clock.Now()
	return loadbalancer.OK, true
}

// WorkerID numbers the worker of a name. The number is drawn from the name alone, since dispatchers that share
// nothing must agree on a worker's place in the turns of cold starts.
func (d *Dispatcher) WorkerID(name string) loadbalancer.WorkerID {
	if id, ok := d.workerIDs[name]; ok {
		return id
	}
	hash := fnv.New32a()
	hash.Write([]byte(name))
	id := loadbalancer.WorkerID(hash.Sum32())
	for d.members[id] != nil {
		id++
	}
	d.workerIDs[name], d.members[id] = id, &Member{}
	return id
}

// HandleStarted tells that a fetch's job has begun.
func (d *Dispatcher) HandleStarted(id AttemptID) {
	if attempt, ok := d.attempts.Get(slotmap.Handle(id)); ok && attempt.startedAt == 0 {
		attempt.startedAt = d.clock.Now()
	}
	d.reportProgress(id, loadbalancer.ProgressUpdate{Started: true})
}

// HandleProgress tells the share of a fetch's job that is done.
func (d *Dispatcher) HandleProgress(id AttemptID, fraction float64) {
	d.reportProgress(id, loadbalancer.ProgressUpdate{Fraction: fraction})
}

func (d *Dispatcher) reportProgress(id AttemptID, update loadbalancer.ProgressUpdate) {
	d.handle(func() {
		if attempt, ok := d.attempts.Get(slotmap.Handle(id)); ok && !attempt.ended {
			update.Request, update.Attempt = attempt.request.id, attempt.index
			d.balancer.HandleProgress(d.clock.Now(), &update)
		}
	})
}

// HandleOutcome tells how a fetch ended; only the first word on a fetch counts.
func (d *Dispatcher) HandleOutcome(id AttemptID, outcome Outcome) {
	d.handle(func() {
		if attempt, ok := d.attempts.Get(slotmap.Handle(id)); ok && !attempt.ended {
			d.endAttempt(attempt, outcome)
		}
	})
}

// endAttempt turns the end of a fetch into the Balancer's one Outcome for the Send.
func (d *Dispatcher) endAttempt(attempt *attempt, outcome Outcome) {
	invariant.Check(!attempt.ended, "a fetch ends once")
	attempt.ended, attempt.endedAt, attempt.result = true, d.clock.Now(), outcome.Result
	attempt.timer.Stop()
	d.attempts.Remove(attempt.handle)
	request := attempt.request
	request.running--
	switch {
	case outcome.Result == loadbalancer.OK && !request.answered:
		d.answer(request, Answer{Verdict: Served, Body: outcome.Body}, ReasonNone, attempt.index)
	case outcome.InvalidJob: // no blame for the backend; a second one that says so settles it, and the client is told
		outcome.Result = loadbalancer.Cancelled
		attempt.result = outcome.Result
		if request.invalidVotes++; request.invalidVotes > 1 && !request.answered {
			d.counts.InvalidJobs++
			d.answer(request, Answer{Verdict: Failed}, ReasonInvalidJob, -1)
		}
	}
	if d.Observer != nil {
		record := attempt.record()
		d.Observer.ObserveAttempt(&record)
		if len(outcome.Report) > 0 {
			d.Observer.ObserveLoadReport(record.Worker, attempt.endedAt, outcome.Report, false)
		}
	}
	d.counts.Results[outcome.Result]++
	d.balancer.HandleOutcome(d.clock.Now(), &loadbalancer.Outcome{Request: request.id, Attempt: attempt.index, Worker: attempt.member.ID,
		Result: outcome.Result, ClientAnswered: request.answered, StaleConnection: outcome.StaleConnection, Report: outcome.Report})
	d.forget(request)
}

// UpdateMembers takes the director's news. What has left the list stays known: a fetch may still be out there.
func (d *Dispatcher) UpdateMembers(kind loadbalancer.ListKind, members []Member) {
	d.handle(func() {
		if kind == loadbalancer.ListFull || kind == loadbalancer.ListCached {
			listed := make(map[loadbalancer.WorkerID]bool, len(members))
			for i := range members {
				listed[members[i].ID] = true
			}
			for id, member := range d.members {
				member.listed.State = loadbalancer.Departed
				if !listed[id] {
					oldState := member.State
					member.State = loadbalancer.Departed
					d.trackState(member, oldState)
				}
			}
		}
		workers := make([]loadbalancer.Worker, 0, len(members))
		for i := range members {
			member := d.members[members[i].ID]
			if member == nil {
				member = &Member{}
				d.members[members[i].ID] = member
			}
			oldState := member.State
			members[i].drainTimes = member.drainTimes
			*member = members[i]
			member.listed = member.Worker
			d.applyOverrides(member)
			d.trackState(member, oldState)
			workers = append(workers, member.Worker)
		}
		if d.Observer != nil {
			d.Observer.ObserveMembers(kind, members)
		}
		d.balancer.UpdateWorkers(d.clock.Now(), kind, workers)
		d.forgetDeparted()
	})
}

// trackState notes that the decisions see a member in another state than before.
func (d *Dispatcher) trackState(member *Member, oldState loadbalancer.WorkerState) {
	switch {
	case oldState == member.State:
	case member.State == loadbalancer.Ready:
		d.readyMembers++
	case oldState == loadbalancer.Ready:
		d.readyMembers--
		d.trackDrain(member)
	}
}

// maxDeparted is how many members that left may be kept before all of them are forgotten.
const maxDeparted = 64

// forgetDeparted forgets members that have left the list, once there are many: machines come and go for as long as the
// process runs. A fetch that is still out keeps its own hold of its member.
func (d *Dispatcher) forgetDeparted() {
	departed := 0
	for _, member := range d.members {
		if member.State == loadbalancer.Departed {
			departed++
		}
	}
	if departed <= maxDeparted {
		return
	}
	for id, member := range d.members {
		if member.State == loadbalancer.Departed {
			delete(d.members, id)
			delete(d.workerIDs, member.Name)
		}
	}
}
