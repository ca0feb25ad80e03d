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

// InvalidSettingError is the error of New for a value that a setting can't have.
type InvalidSettingError struct {
	List  string // Classes or Tenants, whose entry is invalid; empty: a field of Settings itself is
	Index int    // in List
	Field string // of the entry, or of Settings
	Value any
}

// Error names the field as it is written in Go. Package settings of the dispatcher has the keys of its settings file.
func (e *InvalidSettingError) Error() string {
	path := e.Field
	if e.List != "" {
		path = fmt.Sprintf("%s[%d].%s", e.List, e.Index, e.Field)
	}
	return fmt.Sprintf("loadbalancer: settings: bad %s: %v", path, e.Value)
}

// numberSetting is a setting that must be finite and not negative, or above 0 if it is positive.
type numberSetting struct {
	field    string
	value    float64
	positive bool
}

// isValid reports whether the setting has a value that it can have.
func (n *numberSetting) isValid() bool {
	if !isFinite(n.value) || n.value < 0 {
		return false
	}
	return n.value > 0 || !n.positive
}

// firstInvalid returns the field and the value of the first invalid number; an empty field if there is none.
func firstInvalid(numbers []numberSetting) (field string, value float64) {
	for i := range numbers {
		if number := &numbers[i]; !number.isValid() {
			return number.field, number.value
		}
	}
	return "", 0
}

// validate returns an *InvalidSettingError for the first invalid field.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return &InvalidSettingError{Field: "Classes", Value: "none given"}
	}
	for i := range s.Classes {
		if field, value := s.Classes[i].invalidField(); field != "" {
			return &InvalidSettingError{List: "Classes", Index: i, Field: field, Value: value}
		}
	}
	for i, tenant := range s.Tenants {
		if !isFinite(tenant.QuotaPerSec) || tenant.QuotaPerSec < 0 {
			return &InvalidSettingError{List: "Tenants", Index: i, Field: "QuotaPerSec", Value: tenant.QuotaPerSec}
		}
	}
	if field, value := s.invalidField(); field != "" {
		return &InvalidSettingError{Field: field, Value: value}
	}
	return nil
}

// invalidField returns the first invalid field that is no list, and its value; an empty name if there is none.
func (s *Settings) invalidField() (field string, value any) {
	switch {
	case s.Zones < 1:
		return "Zones", s.Zones
	case s.Zone < 0 || s.Zone >= s.Zones:
		return "Zone", s.Zone
	case s.Instances < 1:
		return "Instances", s.Instances
	case s.Instance < 0 || s.Instance >= s.Instances:
		return "Instance", s.Instance
	case s.MaxAttempts < 1:
		return "MaxAttempts", s.MaxAttempts
	case !(s.SlowStartInitialShare > 0 && s.SlowStartInitialShare <= 1): // negated, so that NaN is invalid too
		return "SlowStartInitialShare", s.SlowStartInitialShare
	}
	return firstInvalid([]numberSetting{
		{"MaxRetryAfter", s.MaxRetryAfter, false},
		{"Tick", s.Tick, true},
		{"AnswerSlack", s.AnswerSlack, false},
		{"ListRefreshInterval", s.ListRefreshInterval, s.ListOnRequest},
		{"SlowStartDuration", s.SlowStartDuration, false},
		{"OverloadMultiple", s.OverloadMultiple, true},
		{"OverloadWindow", s.OverloadWindow, true},
		{"OverQuotaValue", s.OverQuotaValue, false},
	})
}

// invalidField returns the first invalid field of a class, and its value; an empty name if there is none.
func (c *Class) invalidField() (field string, value any) {
	switch {
	case c.RetrySafety > RetryUnsafe:
		return "RetrySafety", c.RetrySafety
	case c.DedupScope > DedupCell:
		return "DedupScope", c.DedupScope
	case c.Kind < -1:
		return "Kind", c.Kind
	}
	return firstInvalid([]numberSetting{
		{"Objective", c.Objective, true},
		{"Deadline", c.Deadline, true},
		{"Stretch", c.Stretch, false},
		{"DedupWindow", c.DedupWindow, c.RetrySafety == RetryDeduplicated},
		{"Value", c.Value, false},
		{"LateValueShare", c.LateValueShare, false},
	})
}

func isFinite(value float64) bool { return !math.IsNaN(value) && !math.IsInf(value, 0) }
