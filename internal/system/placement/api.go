// Package placement decides which runner takes a request of the system, after the design shared with the dispatcher
// (package capacity): ceilings learnt from outcomes, spare room rebuilt each period, the most room among serving runners
// of the route's service in the nearest allowed region. It adds what only engines need: tokens, kept prompt parts and
// streams. It does no I/O and has no clock; one goroutine calls it.
package placement

import (
	"net/netip"
	"time"

	"cinderroad/internal/system/configuration"
)

// Runner is a runner as the feed tells it. Times are of the caller's steady clock.
type Runner struct {
	ID             string
	Service        string
	Address        netip.AddrPort
	Zone           string
	Region         string
	Capacity       int
	Draining       bool
	SlowStartUntil time.Duration // 0: warm
	TerminatesAt   time.Duration // of a short notice; 0: not told
	Models         []string
}

// Chunk is a part of a prompt, in order from its start.
type Chunk struct {
	ID     uint64
	Tokens int
}

// Request is what a client wants, and what has been tried for it.
type Request struct {
	Route           *configuration.Route
	Service         string // drawn from the route's shares
	Model           string
	Chunks          []Chunk
	InputTokens     int
	MaxOutputTokens int // the most; 0: not told
	BodyBytes       int // of its body
	ArrivedAt       time.Duration
	Deadline        time.Duration // the earlier of the client's and the route's
	TriedRunners    []string      // runners that attempts were sent to
	MayHaveRun      bool          // an attempt was sent whole to a runner that did not say that it had not run

	connectFailures int // attempts of which no connection came up: they never arrived, and cost no retry budget
}

// Choice is where a request goes.
type Choice struct {
	Runner   string
	Address  netip.AddrPort
	Priority int // 0 to 9, 0 first; -1: none
}

// Rejection says that no runner should take the request now. Nothing of it has run unless Request.MayHaveRun.
type Rejection struct {
	RetryAfter time.Duration
	Reason     string // for the log, a constant
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Succeeded     Outcome = iota // whole answer
	Rejected                     // the runner said that it did not run it: full, or too late
	Misdirected                  // 421: another incarnation has the address
	Failed                       // an answer that failed: 5xx of the runner's own
	Interrupted                  // connection lost, spoilt bytes, answer broken off
	TimedOut                     // no answer in time
	ConnectFailed                // no connection came up: surely not run
	Cancelled                    // the client left or the deadline passed; says little of the runner
)

// Attempt is a send that is under way.
type Attempt struct {
	ID      uint64
	Runner  string
	Request *Request

	reservation
}

// Progress is what an attempt has shown when it ends.
type Progress struct {
	TimeToFirstEvent time.Duration // from the send to the first event or byte; 0: none came
	LongestEventGap  time.Duration
	Events           int
	Duration         time.Duration
}

// Placer is what the proxy asks of the decisions.
//
//	func New(o Options, seed uint64) (*Placer, error)
//	func (p *Placer) SetServices(now, services []*configuration.Service)
//	func (p *Placer) SetRunners(now, runners []Runner)       // the whole set; ids are incarnations
//	func (p *Placer) SetEvacuatedZones(now, zones map[string]bool)
//	func (p *Placer) SetProxyCount(now, n int)                   // proxies that may be sending, for the shared budgets
//	func (p *Placer) SetPeers(now, self uint64, peers []uint64) // their keys, self among them; instead of SetProxyCount
//	func (p *Placer) Heard(now, Notice)                       // what another proxy tells of a runner
//	func (p *Placer) Place(now, *Request) (Choice, *Refusal)  // one of them; a choice is not booked yet
//	func (p *Placer) Sent(now, *Request, Choice) *Attempt     // books room, tokens, budgets
//	func (p *Placer) HandleFirstEvent(now, *Attempt); Event(now, *Attempt)
//	func (p *Placer) Ended(now, *Attempt, Outcome, Progress)
//	func (p *Placer) MayRetry(now, *Request) bool             // tries, idempotence, deadline and the shared retry budget
//	func (p *Placer) Tick(now) (next time.Duration)           // rebuilds the plan each period
//	func (p *Placer) Learnt() []byte; Recall(now, []byte) error // ceilings that outlive a restart

// Options are what a Placer starts with: where it stands, and the deployment's budgets.
type Options struct {
	Zone, Region       string
	Zones              map[string]string // region of each zone
	RetryRatio         float64
	RetryWindow        time.Duration
	RetryAllowance     float64
	SlowStartFactor    float64
	SlowStartAllowance float64
}
