// Package brain decides for a dispatcher that pushes jobs to workers: where a request goes, when it is
// tried again or copied, and when it is answered without having been served. This file is its interface;
// its decisions are in the files that deploy/balancer.toml names as its policy, on the core that package capacity shares
// with the system's placement.
//
// The caller owns the network. It creates one Balancer for each dispatcher process, calls one method for
// each event from a single goroutine, with a clock that never goes back, and carries out the Actions the
// Balancer calls meanwhile. It delivers exactly one Outcome for each Send and each timer that was set.
// After a kill it drops the Balancer and makes a new one; nothing is kept between lives.
package loadbalancer

import (
	"fmt"
	"math"
)

// Ids are chosen by the caller and carry no meaning.
type (
	// RequestID names a request; an id is never used twice in one life of a Balancer.
	RequestID uint32
	// WorkerID names a worker; it stays the same when the worker restarts.
	WorkerID uint32
)

// RetrySafety tells what repeating a request of a class may do.
type RetrySafety uint8

// The effects of a repeat: harmless, dropped by the worker's group for a while, or harmful.
const (
	RetrySafe RetrySafety = iota
	RetryDeduplicated
	RetryUnsafe
)

// DedupScope is the group of workers that drops repeats of a keyed request.
type DedupScope uint8

// The scopes of a keyed class.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// ReportField is one value of a load report.
type ReportField uint8

// The fields the decisions use; FieldIgnored marks a position to be skipped.
const (
	FieldIgnored     ReportField = iota
	FieldInFlight                // requests the worker holds
	FieldUtilization             // share of its cores that is busy
	FieldFreeSlots               // slots not taken by running jobs
	FieldFreeMemory              // memory units not taken by running jobs
	FieldQueued                  // requests that wait
)

// Class describes one class of requests. Times are in seconds.
type Class struct {
	Name           string
	Objective      float64 // an answer within this (plus Stretch) earns the full worth
	Stretch        float64 // the objective grows by this multiple of the job's own work
	Deadline       float64 // the client waits this long in all
	DedupWindow    float64 // keyed: how long the group drops repeats
	Value          float64
	LateValueShare float64 // share of the worth paid for an answer after the objective
	RetrySafety    RetrySafety
	DedupScope     DedupScope
	Kind           int // machine kind that runs the class; -1 is any
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name        string
	QuotaPerSec float64 // requests a second over all dispatchers that count as within the share; 0 is no limit
}

// Settings are the facts a Balancer starts with. Times are in seconds.
type Settings struct {
	Classes               []Class
	Tenants               []Tenant
	Zones                 int // number of zones
	Zone                  int // the dispatcher's own
	Instances             int // dispatchers that share the workers
	Instance              int // the dispatcher's number among them, counting from 0
	ReportFields          []ReportField
	ReportsByProbe        bool // load reports come with probe results only
	ListOnRequest         bool // the worker list must be watched or fetched
	MayProbe              bool
	MayCancel             bool
	ParallelAttempts      bool // two attempts of a request may be in flight together
	MayRetryAfter         bool // a refusal may carry a wait
	MaxAttempts           int
	MaxRetryAfter         float64
	ReportsStart          bool    // workers tell when a job starts
	Tick                  float64 // events come in batches at least this far apart
	AnswerSlack           float64 // a final answer still counts this long after the deadline
	ListRefreshInterval   float64 // ListOnRequest: without a watch the list must be asked for this often
	SlowStartDuration     float64 // a worker is warm this long after its start
	SlowStartInitialShare float64 // share of its capacity a worker starts with, at least
	OverloadMultiple      float64 // a cold worker sent more than this multiple of its present capacity
	OverloadWindow        float64 // within this span falls over
	OverQuotaValue        float64 // worth of a request beyond its tenant's share, as a fraction
}

// Request is an arrival.
type Request struct {
	ID       RequestID
	Class    int
	Skill    uint32 // what a worker must be able to do; 0 is what workers without Skills do
	Tenant   int
	Slots    float64
	Memory   float64 // taken for completeness: room is counted in slots alone, see docs/architecture.md
	Work     float64 // hinted work in seconds on a standard core; 0 is no hint
	Deadline float64 // clock time at which the client gives up
}

// WorkerState is what the list says of a worker.
type WorkerState uint8

// The states of a worker in the list.
const (
	Departed WorkerState = iota
	Ready
	Draining
)

// Worker is one entry of the worker list.
type Worker struct {
	ID        WorkerID
	Zone      int
	Kind      int
	Cell      int
	State     WorkerState
	Weight    float64  // relative size; 0 is not told
	StartedAt float64  // clock time of its last start; 0 is long ago
	Skills    []uint32 // what it can do; none is skill 0 alone
}

// ListKind tells how the entries of a list event apply.
type ListKind uint8

// The kinds of list event.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // the complete list
	ListCached                 // the complete list as an earlier life held it
	ListFailed                 // a call failed or the watch broke; no entries
)

// Result is how an attempt or a probe ended.
type Result uint8

// The results; Full, ConnectFailed and Moot prove that the job never ran.
const (
	OK Result = iota
	Error
	Rejected
	Timeout
	ConnectFailed
	Reset
	Cancelled
	Withdrawn
)

// Outcome ends one attempt. Attempts of a request count from 0 in the order of their sends.
type Outcome struct {
	Request         RequestID
	Attempt         int
	Worker          WorkerID
	Result          Result
	ClientAnswered  bool      // the client has its answer
	StaleConnection bool      // a connection that had rested broke, which says nothing of the worker
	Report          []float32 // in the order of Settings.Report; empty when none came
}

// ProgressUpdate is news of an attempt in flight.
type ProgressUpdate struct {
	Request  RequestID
	Attempt  int
	Started  bool    // the job has started
	Fraction float64 // otherwise: the share done
}

// Actions carries out what a Balancer decides. Calls are made only from within an event method.
type Actions interface {
	// Send starts the next attempt; timeout 0 lasts until the client's deadline.
	Send(id RequestID, worker WorkerID, timeout float64)
	// Reject is a final answer: the job did not run, a retry is harmless; wait 0 names no wait.
	Reject(id RequestID, wait float64)
	// Fail is a final answer that promises nothing.
	Fail(id RequestID)
	Cancel(id RequestID, attempt int)
	Probe(worker WorkerID)
	SetTimer(token uint32, at float64)
	// Watch subscribes to list changes; Fetch asks for the whole list once.
	Watch(on bool)
	Fetch()
	Log(line string)
}

func isFinite(value float64) bool { return !math.IsNaN(value) && !math.IsInf(value, 0) }

// validate names the first field that is missing or makes no sense.
func (s *Settings) validate() error {
	invalid := func(field string, v any) error { return fmt.Errorf("brain: settings: bad %s: %v", field, v) }
	if len(s.Classes) == 0 {
		return invalid("Classes", "none given")
	}
	for i := range s.Classes {
		if err := s.Classes[i].validate(i); err != nil {
			return err
		}
	}
	for i, tenant := range s.Tenants {
		if !isFinite(tenant.QuotaPerSec) || tenant.QuotaPerSec < 0 {
			return invalid(fmt.Sprintf("Tenants[%d].QuotaPerSec", i), tenant.QuotaPerSec)
		}
	}
	if s.Zones < 1 {
		return invalid("Zones", s.Zones)
	}
	if s.Zone < 0 || s.Zone >= s.Zones {
		return invalid("Zone", s.Zone)
	}
	if s.Instances < 1 {
		return invalid("Instances", s.Instances)
	}
	if s.Instance < 0 || s.Instance >= s.Instances {
		return invalid("Me", s.Instance)
	}
	if s.MaxAttempts < 1 {
		return invalid("MaxAttempts", s.MaxAttempts)
	}
	for _, field := range []struct {
		name     string
		v        float64
		positive bool
	}{
		{"MaxRetryAfter", s.MaxRetryAfter, false}, {"Tick", s.Tick, true}, {"AnswerSlack", s.AnswerSlack, false},
		{"AskWithin", s.ListRefreshInterval, s.ListOnRequest}, {"ColdTime", s.SlowStartDuration, false},
		{"FallMultiple", s.OverloadMultiple, true}, {"FallTime", s.OverloadWindow, true},
		{"OverShareWorth", s.OverQuotaValue, false},
	} {
		if !isFinite(field.v) || field.v < 0 || field.positive && field.v == 0 {
			return invalid(field.name, field.v)
		}
	}
	if !(s.SlowStartInitialShare > 0 && s.SlowStartInitialShare <= 1) {
		return invalid("ColdShare", s.SlowStartInitialShare)
	}
	return nil
}

func (c *Class) validate(index int) error {
	invalid := func(field string, v any) error {
		return fmt.Errorf("brain: settings: bad Classes[%d].%s: %v", index, field, v)
	}
	for _, field := range []struct {
		name     string
		v        float64
		positive bool
	}{
		{"Objective", c.Objective, true}, {"Deadline", c.Deadline, true}, {"Stretch", c.Stretch, false},
		{"Window", c.DedupWindow, c.RetrySafety == RetryDeduplicated}, {"Worth", c.Value, false}, {"LateShare", c.LateValueShare, false},
	} {
		if !isFinite(field.v) || field.v < 0 || field.positive && field.v == 0 {
			return invalid(field.name, field.v)
		}
	}
	if c.RetrySafety > RetryUnsafe {
		return invalid("Effect", c.RetrySafety)
	}
	if c.DedupScope > DedupCell {
		return invalid("Scope", c.DedupScope)
	}
	if c.Kind < -1 {
		return invalid("Kind", c.Kind)
	}
	return nil
}
