package loadbalancer

import (
	"fmt"
	"math"
)

// RetrySafety says what running a request of a class twice may do.
type RetrySafety uint8

// The kinds of retry safety.
const (
	RetrySafe         RetrySafety = iota // harmless
	RetryDeduplicated                    // the workers of DedupScope drop duplicates within DedupWindow
	RetryUnsafe                          // harmful
)

// DedupScope is the group of workers that drops duplicates of a RetryDeduplicated request.
type DedupScope uint8

// The scopes of a deduplicated class.
const (
	DedupAll  DedupScope = iota // all workers
	DedupZone                   // those of a zone
	DedupCell                   // those of a cell
)

// ReportField is the meaning of one value of a load report.
type ReportField uint8

// The fields that the decisions use; FieldIgnored marks a position to be skipped.
const (
	FieldIgnored     ReportField = iota
	FieldInFlight                // requests that the worker holds
	FieldUtilization             // share of its cores that is busy
	FieldFreeSlots               // slots not taken by running jobs
	FieldFreeMemory              // memory units not taken by running jobs
	FieldQueued                  // requests that wait
)

// Class describes one class of requests. Times are in seconds.
type Class struct {
	Name           string
	Objective      float64 // an answer within this (plus Stretch) has the full value
	Stretch        float64 // the objective grows by this multiple of the job's own work
	Deadline       float64 // the client waits this long for all attempts together
	DedupWindow    float64 // RetryDeduplicated: how long the group drops duplicates
	Value          float64 // of an answer in time, relative to other classes
	LateValueShare float64 // share of the value that an answer after the objective has
	RetrySafety    RetrySafety
	DedupScope     DedupScope
	Kind           int // machine kind that runs the class; -1 is any
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name        string
	QuotaPerSec float64 // requests a second over all dispatchers that are within its quota; 0 is no limit
}

// Settings are the facts that a Balancer starts with. Times are in seconds.
type Settings struct {
	Classes               []Class
	Tenants               []Tenant
	Zones                 int           // number of zones
	Zone                  int           // of this dispatcher
	Instances             int           // dispatchers that share the workers
	Instance              int           // the number of this dispatcher among them, from 0
	ReportFields          []ReportField // of a load report, in order
	ReportsByProbe        bool          // load reports come with probe results only
	ListOnRequest         bool          // the worker list must be watched or fetched, it is not pushed
	MayProbe              bool          // load reports may be polled
	MayCancel             bool          // attempts in flight may be cancelled
	ParallelAttempts      bool          // two attempts of a request may be in flight together
	MayRetryAfter         bool          // a rejection may carry a wait
	MaxAttempts           int           // of one request
	MaxRetryAfter         float64       // longest wait that a rejection may carry
	ReportsStart          bool          // workers report when a job starts
	Tick                  float64       // events come in batches at least this far apart
	AnswerSlack           float64       // a final answer still counts this long after the deadline
	ListRefreshInterval   float64       // ListOnRequest: without a watch the list must be refreshed this often
	SlowStartDuration     float64       // slow start of a worker ends this long after its start
	SlowStartInitialShare float64       // share of its capacity that a worker starts with, at least
	OverloadMultiple      float64       // a worker in slow start fails if sent more than this multiple of its capacity
	OverloadWindow        float64       // within this time; also the length of a turn of slow start
	OverQuotaValue        float64       // value of a request beyond its tenant's quota, as a fraction
}

// validate returns an error for the first field that is missing or invalid. Errors name the fields
// by names close to the keys of the settings file, which operators know.
func (s *Settings) validate() error {
	invalid := func(field string, value any) error {
		return fmt.Errorf("loadbalancer: settings: bad %s: %v", field, value)
	}
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
		value    float64
		positive bool
	}{
		{"MaxRetryAfter", s.MaxRetryAfter, false},
		{"Tick", s.Tick, true},
		{"AnswerSlack", s.AnswerSlack, false},
		{"AskWithin", s.ListRefreshInterval, s.ListOnRequest},
		{"ColdTime", s.SlowStartDuration, false},
		{"FallMultiple", s.OverloadMultiple, true},
		{"FallTime", s.OverloadWindow, true},
		{"OverShareWorth", s.OverQuotaValue, false},
	} {
		if !isFinite(field.value) || field.value < 0 || field.positive && field.value == 0 {
			return invalid(field.name, field.value)
		}
	}
	if !(s.SlowStartInitialShare > 0 && s.SlowStartInitialShare <= 1) {
		return invalid("ColdShare", s.SlowStartInitialShare)
	}
	return nil
}

// validate returns an error for the first invalid field.
func (c *Class) validate(index int) error {
	invalid := func(field string, value any) error {
		return fmt.Errorf("loadbalancer: settings: bad Classes[%d].%s: %v", index, field, value)
	}
	for _, field := range []struct {
		name     string
		value    float64
		positive bool
	}{
		{"Objective", c.Objective, true},
		{"Deadline", c.Deadline, true},
		{"Stretch", c.Stretch, false},
		{"Window", c.DedupWindow, c.RetrySafety == RetryDeduplicated},
		{"Worth", c.Value, false},
		{"LateShare", c.LateValueShare, false},
	} {
		if !isFinite(field.value) || field.value < 0 || field.positive && field.value == 0 {
			return invalid(field.name, field.value)
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

func isFinite(value float64) bool { return !math.IsNaN(value) && !math.IsInf(value, 0) }
