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
	Zones              map[string]string // region by zone, for runners that report none
	RetryRatio         float64
	RetryWindow        time.Duration
	RetryAllowance     float64
	SlowStartFactor    float64
	SlowStartAllowance float64
}

// validate returns one error for each option that makes no sense. It names them as the settings do.
func (o *Options) validate() error {
	var problems []error
	bad := func(field string, v any) { problems = append(problems, fmt.Errorf("placement: bad %s: %v", field, v)) }
	if o.Zone == "" {
		bad("Zone", "empty")
	}
	if o.Region == "" {
		bad("Region", "empty")
	}
	for _, option := range []struct {
		name string
		v    float64
	}{{"RetryRatio", o.RetryRatio}, {"RetryExtra", o.RetryAllowance}, {"ColdExcess", o.SlowStartFactor}, {"ColdSlack", o.SlowStartAllowance}} {
		if math.IsNaN(option.v) || math.IsInf(option.v, 0) || option.v < 0 {
			bad(option.name, option.v)
		}
	}
	if o.RetryWindow <= 0 {
		bad("RetryWindow", o.RetryWindow)
	}
	return errors.Join(problems...)
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

	startedAt           time.Duration // of the first call
	started             bool
	lastCallAt          time.Duration // of the last call
	countedFrom         time.Duration // from then on all other proxies count this one
	proxyCount          int           // proxies that may be sending; 0: not known yet
	pendingProxyCount   int           // a lower count that does not apply yet; 0: none
	pendingProxyCountAt time.Duration
	selfKey             uint64
	peers               []peer // empty: only their number is known
	plannedAt           time.Duration
	latencyTarget       float64 // tightest target of a route seen, in seconds
	longestTimeout      float64 // longest timeout of a route seen, in seconds
	lastAttemptID       uint64
	restored            map[string]runnerSnapshot
	restoredSpeeds      map[string]float64
	notified            bool          // another proxy has announced a prompt
	lastNoticeAt        time.Duration // of the last announced prompt
	noticeCount         int           // announced prompts in this period
	noticeThreshold     float64       // prefill weight in slots from which own prompts are announced
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
