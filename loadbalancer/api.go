package loadbalancer

// Ids are chosen by the caller and carry no meaning.
type (
	// RequestID names a request; an id is never used twice with one Balancer.
	RequestID uint32
	// WorkerID names a worker; it stays the same when the worker restarts.
	WorkerID uint32
)

// Request is an arrival.
type Request struct {
	ID       RequestID
	Class    int     // index in Settings.Classes
	Skill    uint32  // the skill that a worker must have; 0 is what workers without Skills have
	Tenant   int     // index in Settings.Tenants
	Slots    float64 // that the job takes; not above 0: one
	Memory   float64 // not used by the decisions: capacity is counted in slots alone, see docs/architecture.md
	Work     float64 // hinted work in seconds on a standard core; 0 is no hint
	Deadline float64 // clock time at which the client gives up
}

// WorkerState is the state of a worker in the list.
type WorkerState uint8

// The states of a worker in the list.
const (
	Departed WorkerState = iota // not listed
	Ready
	Draining // finishes its jobs and gets no new ones
)

// Worker is one entry of the worker list.
type Worker struct {
	ID        WorkerID
	Zone      int
	Kind      int
	Cell      int
	State     WorkerState
	Weight    float64  // relative size; 0 is not known
	StartedAt float64  // clock time of its last start; 0 is long ago
	Skills    []uint32 // none is skill 0 alone
}

// ListKind says how the entries of a list event apply.
type ListKind uint8

// The kinds of list events.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // the complete list
	ListCached                 // the complete list as an earlier process stored it
	ListFailed                 // a call failed or the watch broke; no entries
)

// Result is how an attempt or a probe ended.
type Result uint8

// The results; Rejected, ConnectFailed and Withdrawn prove that the job never ran.
const (
	OK            Result = iota
	Error                // the worker answered with an error
	Rejected             // the worker did not take the job: at capacity, or draining
	Timeout              // no answer in time
	ConnectFailed        // no connection was established
	Reset                // the connection broke
	Cancelled            // by Actions.Cancel
	Withdrawn            // by the caller, before the job was sent
)

// Outcome ends one attempt. The attempts of a request count from 0 in the order of their sends.
type Outcome struct {
	Request         RequestID
	Attempt         int
	Worker          WorkerID
	Result          Result
	ClientAnswered  bool      // the client has its answer
	StaleConnection bool      // an idle connection broke, which says nothing of the worker
	Report          []float32 // in the order of Settings.ReportFields; empty if none came
}

// ProgressUpdate reports the progress of an attempt in flight.
type ProgressUpdate struct {
	Request  RequestID
	Attempt  int
	Started  bool    // the job has started
	Fraction float64 // otherwise: the share of the work that is done
}

// Actions carries out what a Balancer decides. A Balancer calls it only from within an event method; the
// implementation must not call the Balancer back.
type Actions interface {
	// Send starts the next attempt; timeout 0 lasts until the client's deadline.
	Send(id RequestID, worker WorkerID, timeout float64)
	// Reject is a final answer: the job did not run, a retry is harmless; wait 0 names no wait.
	Reject(id RequestID, wait float64)
	// Fail is a final answer that promises nothing.
	Fail(id RequestID)
	// Cancel withdraws an attempt in flight; its outcome still comes.
	Cancel(id RequestID, attempt int)
	// Probe asks a worker for a load report; HandleProbeResult gets it.
	Probe(worker WorkerID)
	// SetTimer has HandleTimer called with the token at a time.
	SetTimer(token uint32, at float64)
	// Watch subscribes to list changes, or ends that.
	Watch(on bool)
	// Fetch requests the complete list once.
	Fetch()
	// Log writes a line for operators.
	Log(line string)
}
