package processconfig

import (
	"time"

	"cinderroad/internal/system/jsonfield"
	"cinderroad/internal/system/shutdown"
)

// Timing holds the bounds of the deployment that the guarantees refer to. A field that the file lacks has the default
// of defaultTiming.
type Timing struct {
	GracePeriod  time.Duration // from the signal to stop until the platform kills the process
	CatchUp      time.Duration // after the loss of a control replica, until its successor has its vote
	DrainWithin  time.Duration // until a draining runner gets no new requests
	ConfigWithin time.Duration // until an acknowledged configuration is in force at all proxies
	Evacuate     time.Duration // until an evacuated zone gets no new requests
	AckWithin    time.Duration // until the control API acknowledges or rejects a change
	TTLMax       time.Duration // greatest time to live of a directory record
	MergeWithin  time.Duration // after a network partition, until all control machines count what each has acknowledged

	RetryRatio     float64       // retries for each request that all proxies together may make
	RetryWindow    time.Duration // in which requests and retries are counted
	RetryAllowance float64       // retries beyond the ratio that all proxies together may make in a window

	// SlowStartFactor times a service's slow start rate, plus SlowStartAllowance requests per second, is what a
	// runner in slow start can take.
	SlowStartFactor    float64
	SlowStartAllowance float64
}

// defaultTiming returns the bounds for fields that the file lacks: the shorter ones of plausible deployments, and no
// retry or slow start budget that is not granted.
func defaultTiming() Timing {
	return Timing{
		AckWithin:          5 * time.Second,
		CatchUp:            4 * time.Second,
		DrainWithin:        3 * time.Second,
		GracePeriod:        shutdown.DefaultGracePeriod,
		ConfigWithin:       2500 * time.Millisecond,
		Evacuate:           5 * time.Second,
		TTLMax:             5 * time.Second,
		RetryRatio:         0.1,
		RetryWindow:        10 * time.Second,
		RetryAllowance:     0,
		SlowStartFactor:    1,
		SlowStartAllowance: 0,
	}
}

// readField reads a field of the timing. Unknown fields and null ones are ignored.
func (t *Timing) readField(name string, value jsonfield.Value) {
	if value.IsNull() {
		return
	}
	if number := t.numberField(name); number != nil {
		*number = readNonNegativeOrNull(value)
		return
	}
	base, unit := jsonfield.SplitDurationUnit(name)
	if bound := t.durationField(base); bound != nil && unit > 0 {
		*bound, _ = value.Duration(unit)
	}
}

// numberField returns where the number of a field is stored; nil if the field holds none.
func (t *Timing) numberField(name string) *float64 {
	switch name {
	case "retry_ratio":
		return &t.RetryRatio
	case "retry_extra":
		return &t.RetryAllowance
	case "cold_excess":
		return &t.SlowStartFactor
	case "cold_slack":
		return &t.SlowStartAllowance
	}
	return nil
}

// durationField returns where the duration of a field is stored, by the field's name without its unit; nil if the field
// holds none.
func (t *Timing) durationField(base string) *time.Duration {
	bounds := map[string]*time.Duration{
		"ack_within":    &t.AckWithin,
		"catch_up":      &t.CatchUp,
		"drain_within":  &t.DrainWithin,
		"grace_period":  &t.GracePeriod,
		"config_within": &t.ConfigWithin,
		"evacuate":      &t.Evacuate,
		"ttl_max":       &t.TTLMax,
		"merge_within":  &t.MergeWithin,
		"retry_window":  &t.RetryWindow,
	}
	if bound := bounds[base]; bound != nil {
		return bound
	}
	if isUnusedBound(base) {
		return new(time.Duration)
	}
	return nil
}

// isUnusedBound reports whether a field holds a bound of the platform that no program uses. Such a field is checked like the
// others, so that a mistake in the file is found before a program depends on it.
func isUnusedBound(base string) bool {
	switch base {
	case "seed_lag", "reuse_after", "in_touch", "lost_slack", "go_back", "stretch", "recovery", "pass":
		return true
	}
	return false
}
