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

// Stop withdraws a deadline.
type Stop interface{ Stop() }

// Clock is the time, and the one structure that deadlines hang in.
type Clock interface {
	Now() float64
	At(at float64, do func()) Stop
}

// Verdict is the kind of a final answer.
type Verdict uint8

// The final answers.
const (
	Served   Verdict = iota
	Refused          // it did not run, a retry is harmless
	Failed           // nothing is promised
	Left             // to the books alone: the client has gone before an answer
	Returned         // to the books alone: a refusal that the front took for itself
)

// Answer is the one final answer of a req.
type Answer struct {
	Verdict Verdict
	Body    []byte  // of Served
	Wait    float64 // of Refused: when to come back, in seconds; 0 names no wait
}

// Asker is the front's side of a req.
type Asker interface {
	Answer(a Answer)
}

// ReqID names a req, FetchID a fetch; either misses once what it named is over.
type (
	ReqID   slotmap.Handle
	FetchID slotmap.Handle
)

// Job is what a front hands in.
type Job struct {
	Class         int // place in the settings' classes; out of range is a class nobody knows
	Skill         uint32
	Slots, Memory float64
	Work          float64 // hinted, 0 is no hint
	Deadline      float64 // clock time at which the client gives up
	Load          any     // the front's own form of the job, for the backends that understand it
	ID, Front     string  // how the front names the job and itself, for the books
}

// Fetch is one attempt as a backend sees it.
type Fetch struct {
	ID       FetchID
	Worker   loadbalancer.WorkerID
	Deadline float64 // when the core stops waiting
	Load     any
}

// End is how a fetch ended.
type End struct {
	Result   loadbalancer.Result
	Unusable bool // the backend says that the job itself is bad
	Worn     bool // a connection that had rested was found dead: no word on the backend
	Body     []byte
	Report   []float32
}

// Backend carries fetches to one worker. A call may come from within an action: what it causes is told to
// the core by Started, Progress and Ended, which may be called at any time.
type Backend interface {
	// Begin carries out a fetch.
	Begin(f Fetch)
	// Drop gives up a fetch, of which nothing more is to be told; it says whether the fetch may have run.
	Drop(id FetchID) (mayHaveRun bool)
	// Renew drops connections that rest, and those at work once they are done: the worker was restarted.
	Renew()
	// Probe asks for health and load; done is called once.
	Probe(done func(result loadbalancer.Result, report []float32))
}

// Member is a worker of the list and its backend.
type Member struct {
	loadbalancer.Worker
	Backend Backend
	Name    string // as given to Number

	told loadbalancer.Worker // as its front listed it; Worker is what the decisions see
	book
}

// Director asks for the list where it does not come by itself.
type Director interface {
	Watch(on bool)
	Fetch()
}

// Counts are the core's figures since the start.
type Counts struct {
	Reqs        uint64                             `json:"Reqs"`
	Served      uint64                             `json:"Served"`
	Refused     uint64                             `json:"Refused"`
	Failed      uint64                             `json:"Failed"`
	Gone        uint64                             `json:"Gone"`
	Fetches     uint64                             `json:"Fetches"`
	Repeats     uint64                             `json:"Repeats"`
	Cancels     uint64                             `json:"Cancels"`
	Probes      uint64                             `json:"Probes"`
	Results     [loadbalancer.Withdrawn + 1]uint64 `json:"Results"`  // ends of fetches by result
	Unusable    uint64                             `json:"Unusable"` // failed since backends could do nothing with them
	Overdue     uint64                             `json:"Overdue"`  // answered by the core because the decisions had not
	OpenReqs    int                                `json:"OpenReqs"`
	OpenFetches int                                `json:"OpenFetches"`
}

// Core is the dispatcher between its fronts and its backends.
type Core struct {
	Director Director
	Observer Observer // keeps books; nil is nobody
	Mark     uint64   // of what is in force, for the books: answers and sends carry it; 0 is none
	Log      func(line string)

	clock   Clock
	bal     *loadbalancer.Balancer
	reqs    slotmap.Map[*req]
	fetches slotmap.Map[*fetch]
	byID    map[loadbalancer.RequestID]*req
	nextID  loadbalancer.RequestID
	members map[loadbalancer.WorkerID]*Member
	byName  map[string]loadbalancer.WorkerID
	out     map[string]Exclusion
	held    map[string]Held // by what others know
	paused  bool            // nobody gets anything new
	set     loadbalancer.Settings
	ready   int   // members that are ready
	last    Final // for the observer, made anew for each req
	queue   []func()
	busy    bool
	counts  Counts
}

type req struct {
	h        slotmap.Handle
	id       loadbalancer.RequestID
	job      Job
	asker    Asker
	fetches  []*fetch // by attempt
	live     int
	answered bool
	unusable int // backends that say so
	guard    Stop
	arrived  float64
}

type fetch struct {
	h        slotmap.Handle
	r        *req
	attempt  int
	member   *Member
	deadline Stop
	ends     float64
	over     bool

	sent, started, ended float64
	copy                 bool   // another was out when it was sent
	mark                 uint64 // of the core when it was sent
	result               loadbalancer.Result
}

// overdueAfter is how long after a client's deadline the core itself answers, should the decisions not have.
const overdueAfter = 0.005

// New makes a core; Start begins its life.
func New(set loadbalancer.Settings, seed uint64, clock Clock) (*Core, error) {
	c := &Core{clock: clock, byID: map[loadbalancer.RequestID]*req{}, members: map[loadbalancer.WorkerID]*Member{},
		byName: map[string]loadbalancer.WorkerID{}, out: map[string]Exclusion{}, set: set,
		Log: func(string) {}}
	bal, err := loadbalancer.New(set, seed, actions{c})
	if err != nil {
		return nil, err
	}
	c.bal = bal
	return c, nil
}

// Start begins the decisions' life.
func (c *Core) Start() { c.do(func() { c.bal.Start(c.clock.Now()) }) }

// Counts returns the figures so far.
func (c *Core) Counts() Counts {
	n := c.counts
	n.OpenReqs, n.OpenFetches = c.reqs.Len(), c.fetches.Len()
	return n
}

// do runs an event after those before it: one event at a time reaches the Balancer.
func (c *Core) do(event func()) {
	c.queue = append(c.queue, event)
	if c.busy {
		return
	}
	c.busy = true
	for len(c.queue) > 0 {
		next := c.queue[0]
		c.queue = c.queue[1:]
		next()
	}
	c.queue, c.busy = nil, false
}

// Take accepts a job; its one answer goes to asker, perhaps before Take returns.
func (c *Core) Take(job Job, asker Asker) ReqID {
	r := &req{job: job, asker: asker, arrived: c.clock.Now()}
	r.h = c.reqs.Insert(r)
	for r.id = c.nextID + 1; r.id == 0 || r.id == math.MaxUint32 || c.byID[r.id] != nil; r.id++ {
	} // the last number is the sweep's timer
	c.nextID = r.id
	c.byID[r.id] = r
	c.counts.Reqs++
	r.guard = c.clock.At(job.Deadline+overdueAfter, func() { c.do(func() { c.overdue(r) }) })
	c.do(func() {
		if r.answered {
			return
		}
		c.bal.HandleRequest(c.clock.Now(), &loadbalancer.Request{ID: r.id, Class: job.Class, Skill: job.Skill, Slots: job.Slots,
			Memory: job.Memory, Work: job.Work, Deadline: job.Deadline})
	})
	return ReqID(r.h)
}

// Gone tells that the client has left: nothing is owed any more.
func (c *Core) Gone(id ReqID) {
	c.do(func() {
		r, ok := c.reqs.Get(slotmap.Handle(id))
		if !ok || r.answered {
			return
		}
		c.counts.Gone++
		c.settle(r)
		c.observe(r, Left, NoReason, 0, -1)
		c.bal.HandleDisconnect(c.clock.Now(), r.id)
		c.forget(r)
	})
}

// overdue guards the promise of one final answer against decisions that forgot a req.
func (c *Core) overdue(r *req) {
	if r.answered {
		return
	}
	c.counts.Overdue++
	c.answer(r, Answer{Verdict: Failed}, Overdue, -1)
	c.bal.HandleDisconnect(c.clock.Now(), r.id)
	c.forget(r)
}

// answer gives the one final answer; won is the attempt that served it.
func (c *Core) answer(r *req, a Answer, why Reason, won int) {
	invariant.Check(!r.answered, "a req is answered once")
	if r.answered {
		return
	}
	switch a.Verdict {
	case Served:
		c.counts.Served++
	case Refused:
		c.counts.Refused++
	default:
		c.counts.Failed++
	}
	c.settle(r)
	r.asker.Answer(a)
	v := a.Verdict
	if by, ok := r.asker.(Returner); ok && v == Refused && by.Returned() {
		v = Returned
	}
	c.observe(r, v, why, a.Wait, won)
}

func (c *Core) settle(r *req) {
	r.answered = true
	r.guard.Stop()
}

// forget lets go of a req that has its answer and no fetch out.
func (c *Core) forget(r *req) {
	if r.answered && r.live == 0 && c.reqs.Remove(r.h) {
		delete(c.byID, r.id)
	}
}

// Clear says whether a fetch whose first byte has not gone out may still be sent: its req must be open, its
// time not over, and its worker must still want new work. If not, result is what it ended as.
func (c *Core) Clear(id FetchID) (result loadbalancer.Result, clear bool) {
	f, ok := c.fetches.Get(slotmap.Handle(id))
	switch {
	case !ok || f.over || f.r.answered || c.clock.Now() >= f.ends:
		return loadbalancer.Withdrawn, false
	case f.member.State != loadbalancer.Ready:
		return loadbalancer.ConnectFailed, false
	}
	f.member.started = c.clock.Now()
	return loadbalancer.OK, true
}

// Number numbers the worker of a name. The number is drawn from the name alone, since dispatchers that share
// nothing must agree on a worker's place in the turns of cold starts.
func (c *Core) Number(name string) loadbalancer.WorkerID {
	if id, ok := c.byName[name]; ok {
		return id
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	id := loadbalancer.WorkerID(h.Sum32())
	for c.members[id] != nil {
		id++
	}
	c.byName[name], c.members[id] = id, &Member{}
	return id
}

// Started tells that a fetch's job has begun.
func (c *Core) Started(id FetchID) {
	if f, ok := c.fetches.Get(slotmap.Handle(id)); ok && f.started == 0 {
		f.started = c.clock.Now()
	}
	c.note(id, loadbalancer.ProgressUpdate{Started: true})
}

// Progress tells the share of a fetch's job that is done.
func (c *Core) Progress(id FetchID, share float64) {
	c.note(id, loadbalancer.ProgressUpdate{Fraction: share})
}

func (c *Core) note(id FetchID, n loadbalancer.ProgressUpdate) {
	c.do(func() {
		if f, ok := c.fetches.Get(slotmap.Handle(id)); ok && !f.over {
			n.Request, n.Attempt = f.r.id, f.attempt
			c.bal.HandleProgress(c.clock.Now(), &n)
		}
	})
}

// Ended tells how a fetch ended; only the first word on a fetch counts.
func (c *Core) Ended(id FetchID, e End) {
	c.do(func() {
		if f, ok := c.fetches.Get(slotmap.Handle(id)); ok && !f.over {
			c.end(f, e)
		}
	})
}

// end turns the end of a fetch into the Balancer's one Outcome for the Send.
func (c *Core) end(f *fetch, e End) {
	invariant.Check(!f.over, "a fetch ends once")
	f.over, f.ended, f.result = true, c.clock.Now(), e.Result
	f.deadline.Stop()
	c.fetches.Remove(f.h)
	r := f.r
	r.live--
	switch {
	case e.Result == loadbalancer.OK && !r.answered:
		c.answer(r, Answer{Verdict: Served, Body: e.Body}, NoReason, f.attempt)
	case e.Unusable: // no blame for the backend; a second one that says so settles it, and the client is told
		e.Result = loadbalancer.Cancelled
		f.result = e.Result
		if r.unusable++; r.unusable > 1 && !r.answered {
			c.counts.Unusable++
			c.answer(r, Answer{Verdict: Failed}, Unusable, -1)
		}
	}
	if c.Observer != nil {
		t := f.try()
		c.Observer.Tried(&t)
		if len(e.Report) > 0 {
			c.Observer.Reported(t.Worker, f.ended, e.Report, false)
		}
	}
	c.counts.Results[e.Result]++
	c.bal.HandleOutcome(c.clock.Now(), &loadbalancer.Outcome{Request: r.id, Attempt: f.attempt, Worker: f.member.ID,
		Result: e.Result, ClientAnswered: r.answered, StaleConnection: e.Worn, Report: e.Report})
	c.forget(r)
}

// List takes the director's news. What has left the list stays known: a fetch may still be out there.
func (c *Core) List(kind loadbalancer.ListKind, members []Member) {
	c.do(func() {
		if kind == loadbalancer.ListFull || kind == loadbalancer.ListCached {
			named := make(map[loadbalancer.WorkerID]bool, len(members))
			for i := range members {
				named[members[i].ID] = true
			}
			for id, m := range c.members {
				m.told.State = loadbalancer.Departed
				if !named[id] {
					was := m.State
					m.State = loadbalancer.Departed
					c.became(m, was)
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
			members[i].book = m.book
			*m = members[i]
			m.told = m.Worker
			c.overlay(m)
			c.became(m, was)
			workers = append(workers, m.Worker)
		}
		if c.Observer != nil {
			c.Observer.Listed(kind, members)
		}
		c.bal.UpdateWorkers(c.clock.Now(), kind, workers)
		c.prune()
	})
}

// became notes that the decisions see a member in another state than before.
func (c *Core) became(m *Member, was loadbalancer.WorkerState) {
	switch {
	case was == m.State:
	case m.State == loadbalancer.Ready:
		c.ready++
	case was == loadbalancer.Ready:
		c.ready--
		c.drained(m)
	}
}

// manyGone is how many members that left may be kept before all of them are forgotten.
const manyGone = 64

// prune forgets members that have left the list, once there are many: machines come and go for as long as the
// process runs. A fetch that is still out keeps its own hold of its member.
func (c *Core) prune() {
	gone := 0
	for _, m := range c.members {
		if m.State == loadbalancer.Departed {
			gone++
		}
	}
	if gone <= manyGone {
		return
	}
	for id, m := range c.members {
		if m.State == loadbalancer.Departed {
			delete(c.members, id)
			delete(c.byName, m.Name)
		}
	}
}
