package dispatch

import (
	"cinderroad/loadbalancer"
)

// drainGrace is how long after a drain was told new work may still start, in seconds.
const drainGrace = 0.3

// Observer keeps books. It is called on the core's goroutine, within events: it must be quick, must not call the core,
// and may keep nothing it is passed beyond the call.
type Observer interface {
	// Answered hears each final answer, and each req whose client has left before one.
	Answered(f *Final)
	// Tried hears the end of each attempt.
	Tried(t *Try)
	// Listed hears the members of a list event as their front lists them.
	Listed(kind loadbalancer.ListKind, members []Member)
	// Reported hears a load report, in the order of the settings' fields; probed says that a probe brought it.
	Reported(worker loadbalancer.WorkerID, at float64, report []float32, probed bool)
	// Drained hears, drainGrace after a drain was told, how much of that time was left when the last job started: all
	// of it if none has started since, below 0 if one started too late.
	Drained(worker loadbalancer.WorkerID, margin float64)
}

// Reason says why a req was not served.
type Reason uint8

// The reasons. Those from Evacuated on are given by a front without the core.
const (
	NoReason     Reason = iota
	NoMember            // the list holds nobody who is ready
	NoRoom              // everybody is too full for it to start in time
	Full                // the last attempt was turned away
	Unreachable         // the last attempt found nobody
	Withdrawn           // the last attempt was called off before its first byte
	TooLate             // its time was over
	BackendError        // the last attempt failed at the backend
	Broken              // the last attempt's connection broke
	Silent              // the last attempt was never answered
	Cancelled           // the last attempt was cancelled
	Unusable            // backends could do nothing with it
	UnknownClass        // nobody knows what a repeat of it may do
	Overdue             // the decisions had forgotten it
	Evacuated           // the front is emptied
	NoMemory            // nowhere to hold its body
	OutOfLease          // what this dispatcher knows is too old to send by
	Reasons             // how many there are
)

var reasonNames = [Reasons]string{"", "no_member", "no_room", "full", "unreachable", "withdrawn", "too_late", "backend_error",
	"broken", "silent", "cancelled", "unusable", "unknown_class", "overdue", "evacuated", "no_memory",
	"out_of_lease"}

// String is the reason as figures and logs name it; empty for none.
func (r Reason) String() string { return reasonNames[r] }

// Final is what became of a req. Times are of the core's clock.
type Final struct {
	ID, Front string
	Class     int // -1 is one that nobody knows
	Verdict   Verdict
	Reason    Reason
	Arrived   float64
	Aim       float64 // an answer until then is in time, by the class's objective and the hinted work
	Answered  float64
	Started   float64 // when the first attempt's job started, as far as was told; 0 is never
	Wait      float64 // of a refusal: when to come back
	Won       int     // the attempt that served it; -1 is none
	Tries     []Try   // those that are out have no end yet
	Mark      uint64  // the core's when it was answered
}

// Late says whether the answer came after the class's objective.
func (f *Final) Late() bool { return f.Answered > f.Aim }

// Try is one attempt.
type Try struct {
	Worker  loadbalancer.WorkerID
	Node    string // the member's name
	Class   int
	Attempt int
	Copy    bool // sent while another was out
	Sent    float64
	Started float64 // 0: not told
	Ended   float64 // 0: still out
	Result  loadbalancer.Result
	Mark    uint64 // the core's when it was sent
}

// Returner is an Asker that may take a refusal for itself and hand the job in again, instead of telling anybody.
type Returner interface {
	// Returned says whether the last answer was taken so.
	Returned() bool
}

// book is what is noted of a member beside what its list says.
type book struct {
	started float64 // when a fetch to it last began
	drained float64 // when a drain was last told; 0 is not
}

// observe tells the books what became of a req.
func (c *Core) observe(r *req, v Verdict, reason Reason, wait float64, won int) {
	if c.Observer == nil {
		return
	}
	f := &c.last
	*f = Final{ID: r.job.ID, Front: r.job.Front, Class: r.job.Class, Verdict: v, Reason: reason, Arrived: r.arrived,
		Answered: c.clock.Now(), Wait: wait, Won: won, Mark: c.Mark, Tries: f.Tries[:0]}
	f.Aim = c.aim(&r.job, r.arrived)
	if f.Class < 0 || f.Class >= len(c.set.Classes) {
		f.Class = -1
	}
	for _, t := range r.fetches {
		f.Tries = append(f.Tries, t.try())
		if t.started > 0 && (f.Started == 0 || t.started < f.Started) {
			f.Started = t.started
		}
	}
	c.Observer.Answered(f)
}

// aim is until when an answer is in time.
func (c *Core) aim(job *Job, arrived float64) float64 {
	if job.Class < 0 || job.Class >= len(c.set.Classes) {
		return job.Deadline
	}
	class := &c.set.Classes[job.Class]
	return min(arrived+class.Objective+class.Stretch*job.Work, job.Deadline)
}

func (f *fetch) try() Try {
	return Try{Worker: f.member.ID, Node: f.member.Name, Class: f.r.job.Class, Attempt: f.attempt, Copy: f.copy, Sent: f.sent,
		Started: f.started, Ended: f.ended, Result: f.result, Mark: f.mark}
}

// Turn notes a job that a front has answered without the core.
func (c *Core) Turn(job Job, v Verdict, reason Reason, wait float64) {
	now := c.clock.Now()
	c.do(func() { c.observe(&req{job: job, arrived: now}, v, reason, wait, -1) })
}

// why works out why the decisions did not have a req served: they do not say.
func (c *Core) why(r *req) Reason {
	if r.job.Class < 0 || r.job.Class >= len(c.set.Classes) {
		return UnknownClass
	}
	late := c.clock.Now() >= r.job.Deadline-3*max(c.set.Tick, overdueAfter)
	if n := len(r.fetches); n > 0 && !(late && r.live > 0) {
		if why := ends[r.fetches[n-1].result]; why != NoReason && r.fetches[n-1].over {
			return why
		}
	}
	switch {
	case late:
		return TooLate
	case c.ready == 0:
		return NoMember
	}
	return NoRoom
}

// ends are the reasons that the end of an attempt gives.
var ends = [loadbalancer.Withdrawn + 1]Reason{loadbalancer.Error: BackendError, loadbalancer.Rejected: Full, loadbalancer.Timeout: Silent,
	loadbalancer.ConnectFailed: Unreachable, loadbalancer.Reset: Broken, loadbalancer.Cancelled: Cancelled, loadbalancer.Withdrawn: Withdrawn}

// drained notes that a member no longer wants new work; it was ready before.
func (c *Core) drained(m *Member) {
	now := c.clock.Now()
	m.drained = now
	if c.Observer == nil {
		return
	}
	id := m.ID
	c.clock.At(now+drainGrace, func() {
		c.do(func() {
			if m.drained == now {
				c.Observer.Drained(id, drainGrace-max(0, m.started-now))
			}
		})
	})
}

// Standing is what the decisions hold of a worker.
func (c *Core) Standing(worker loadbalancer.WorkerID) (loadbalancer.WorkerStatus, bool) {
	return c.bal.WorkerStatus(c.clock.Now(), worker)
}
