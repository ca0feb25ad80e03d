package placement

import (
	"errors"
	"fmt"
	"math"
	"time"

	"cinderroad/internal/shared/capacity"
)

// Options are the location of a proxy and the budgets of the deployment.
type Options struct {
	Zone, Region       string
	Zones              map[string]string // region of each zone
	RetryRatio         float64
	RetryWindow        time.Duration
	RetryAllowance     float64
	SlowStartFactor    float64
	SlowStartAllowance float64
}

// validate returns one error for each option that makes no sense. It names them as the settings do.
func (o *Options) validate() error {
	var findings []error
	bad := func(field string, v any) { findings = append(findings, fmt.Errorf("placement: bad %s: %v", field, v)) }
	if o.Zone == "" {
		bad("Zone", "empty")
	}
	if o.Region == "" {
		bad("Region", "empty")
	}
	for _, f := range []struct {
		name string
		v    float64
	}{{"RetryRatio", o.RetryRatio}, {"RetryExtra", o.RetryAllowance}, {"ColdExcess", o.SlowStartFactor}, {"ColdSlack", o.SlowStartAllowance}} {
		if math.IsNaN(f.v) || math.IsInf(f.v, 0) || f.v < 0 {
			bad(f.name, f.v)
		}
	}
	if o.RetryWindow <= 0 {
		bad("RetryWindow", o.RetryWindow)
	}
	return errors.Join(findings...)
}

// Placer decides which runner takes each request of a proxy.
type Placer struct {
	options   Options
	random    capacity.Random
	services  map[string]*serviceState
	runners   map[string]*runnerState
	byKey     map[uint64]*runnerState
	evacuated map[string]bool
	routes    map[string]*routeStats
	regions   []regionStats

	startedAt           time.Duration // when it first was told anything
	started             bool
	lastCallAt          time.Duration // when it was last asked or told anything
	countedFrom         time.Duration // from then on the others count this proxy
	proxyCount          int           // that may be sending; 0: not told yet
	pendingProxyCount   int           // the count that was told last, where it is lower
	pendingProxyCountAt time.Duration
	selfKey             uint64
	peers               []peer // empty: only their number was told
	plannedAt           time.Duration
	latencyTarget       float64 // tightest aim of a route seen, in seconds
	longestTimeout      float64 // longest time-out of a route seen
	lastAttemptID       uint64
	restored            map[string]runnerSnapshot
	restoredSpeeds      map[string]float64
	notified            bool          // another proxy has told of a prompt
	lastNoticeAt        time.Duration // when one did last
	noticeCount         int           // notices of prompts in this period
	noticeThreshold     float64       // slots that the reading of a prompt takes for the others to be told
}

// New checks the options and returns a Placer that knows nothing yet. The seed decides how ties are broken.
func New(o Options, seed uint64) (*Placer, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	return &Placer{options: o, random: capacity.Random(seed), services: map[string]*serviceState{}, runners: map[string]*runnerState{}, byKey: map[uint64]*runnerState{},
		evacuated: map[string]bool{}, routes: map[string]*routeStats{}, latencyTarget: initialTarget, longestTimeout: initialTimeout,
		noticeThreshold: minNoticeThreshold}, nil
}

// recordCall notes that the Placer was called. After a start, and after a pause in which the process was frozen, other
// proxies may not count this one for a while.
func (p *Placer) recordCall(now time.Duration) {
	if !p.started {
		p.started, p.startedAt, p.plannedAt = true, now, now
		p.countedFrom = now + joinDelay
	} else if now-p.lastCallAt > sleepThreshold {
		p.countedFrom = now + joinDelay
	}
	p.lastCallAt = now
}
