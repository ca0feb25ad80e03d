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
	Zone   string            // of the proxy
	Region string            // of the proxy
	Zones  map[string]string // region by zone, for runners that report none

	// Within RetryWindow, all proxies together may send RetryRatio retries for each first attempt and RetryAllowance more.
	RetryRatio     float64
	RetryWindow    time.Duration
	RetryAllowance float64

	// In any second, all proxies together may send to a runner in slow start SlowStartFactor times its service's
	// SlowStartRate and SlowStartAllowance requests more.
	SlowStartFactor    float64
	SlowStartAllowance float64
}

// validate returns one error for each invalid option. It names them as the settings do.
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
		name  string
		value float64
	}{
		{"RetryRatio", o.RetryRatio}, {"RetryExtra", o.RetryAllowance},
		{"ColdExcess", o.SlowStartFactor}, {"ColdSlack", o.SlowStartAllowance},
	} {
		if math.IsNaN(option.value) || math.IsInf(option.value, 0) || option.value < 0 {
			bad(option.name, option.value)
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
	random    capacity.Random          // breaks ties
	services  map[string]*serviceState // by name
	runners   map[string]*runnerState  // by id
	byKey     map[uint64]*runnerState  // by runnerState.key
	evacuated map[string]bool          // by zone
	routes    map[string]*routeStats   // by name
	regions   []regionStats            // in the order in which they were first seen

	startedAt           time.Duration // of the first call
	started             bool
	lastCallAt          time.Duration // of the last call
	countedFrom         time.Duration // from then on all other proxies count this one
	proxyCount          int           // proxies that may be sending; 0: not known yet
	pendingProxyCount   int           // a lower count that does not apply yet; 0: none
	pendingProxyCountAt time.Duration // when it applies
	selfKey             uint64        // of this proxy
	peers               []peer        // empty: only their number is known
	plannedAt           time.Duration // when the plan was last rebuilt
	latencyTarget       float64       // tightest target of the requested routes, initialTarget at most; in seconds
	longestTimeout      float64       // longest timeout of the requested routes, initialTimeout at least; in seconds
	lastAttemptID       uint64
	restored            map[string]runnerSnapshot // by runner, until SetRunners names it
	restoredSpeeds      map[string]float64        // by service
	receivesNotices     bool                      // another proxy has announced a prompt
	lastNoticeAt        time.Duration             // of the last announced prompt
	noticeCount         int                       // announced prompts in this period
	noticeThreshold     float64                   // prefill weight in slots from which own prompts are announced
}

// New checks the options and returns a Placer that knows nothing yet. The seed decides how ties are broken.
func New(options Options, seed uint64) (*Placer, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	return &Placer{
		options:         options,
		random:          capacity.Random(seed),
		services:        map[string]*serviceState{},
		runners:         map[string]*runnerState{},
		byKey:           map[uint64]*runnerState{},
		evacuated:       map[string]bool{},
		routes:          map[string]*routeStats{},
		latencyTarget:   initialTarget,
		longestTimeout:  initialTimeout,
		noticeThreshold: minNoticeThreshold,
	}, nil
}

// recordCall notes that the Placer was called. After a start, and after a pause in which the process was frozen, other
// proxies may not count this one for a while.
func (p *Placer) recordCall(now time.Duration) {
	if !p.started {
		p.started = true
		p.startedAt = now
		p.plannedAt = now
		p.countedFrom = now + joinDelay
	} else if now-p.lastCallAt > sleepThreshold {
		p.countedFrom = now + joinDelay
	}
	p.lastCallAt = now
}
