// Package referee holds what clients asked for against what runners were sent and what came back, and notes each rule
// of the protocol that was broken. Stand-ins for clients, runners and the platform report to one referee.
package checker

import (
	"fmt"
	"hash/maphash"
	"slices"
	"sync"
	"time"
)

// Rule names a rule of the protocol.
type Rule string

// The rules that are checked.
const (
	MisdeliveredAnswer     Rule = "MIXED"    // a client got something other than its own request's answer
	UnexpectedRequest      Rule = "UNASKED"  // a runner got a request that no client sent, or a changed one
	DuplicateExecution     Rule = "TWICE"    // a request that is not idempotent ran more than once
	ExecutedAfterRejection Rule = "REFUSED"  // a request ran though its client was promised that it would not
	WrongService           Rule = "ROUTE"    // a service ran a request that no configuration lets go to it
	SentToDraining         Rule = "DRAIN"    // a runner that drains was sent a request too late
	WrongRegion            Rule = "HOME"     // a request with homes arrived elsewhere
	SentToEvacuatedZone    Rule = "EVAC"     // an evacuated zone was sent a request too late
	SlowStartOverload      Rule = "FAILBACK" // a cold runner was sent more than it bears
	StreamOrder            Rule = "ORDER"    // a stream lacked a piece, had it twice, or was joined from two runs
	RetryBudgetExceeded    Rule = "BUDGET"   // requests were repeated more often than is allowed
	ValidRequestDenied     Rule = "DENIED"   // a proper request was answered with a 3xx or 4xx
	ConfigurationMismatch  Rule = "CONFIG"   // what was read back is not what was acknowledged
)

// Violation is a rule that was broken.
type Violation struct {
	At          time.Time
	Rule        Rule
	Description string
}

// String is the breach on one line.
func (b Violation) String() string {
	return fmt.Sprintf("rule=%s at=%s what=%q", b.Rule, b.At.Format("15:04:05.000"), b.Description)
}

// Route is what a configuration says of a route, as far as the referee needs it.
type Route struct {
	Name        string
	Services    []string // that any configuration lets it go to
	HomeRegions []string // regions; empty: anywhere
	Idempotent  bool
}

// Attempt is what a client sends.
type Attempt struct {
	ID, Method, Host, URI string
	Body                  uint64 // by Hash
	Route                 *Route // nil: no configuration has one
}

// Runner is who a request arrives at.
type Runner struct {
	ID, Service, Zone, Region string
}

// ReceivedRequest is a request as a runner got it.
type ReceivedRequest struct {
	Runner                *Runner
	ID, Method, Host, URI string
	Body                  uint64
}

// Limits are the times and shares that rules hold from.
type Limits struct {
	DrainGrace, EvacuationGrace time.Duration
	RetryRatio                  float64
	RetryWindow                 time.Duration
	RetryAllowance              float64
}

// Checker collects. Its methods may be called from any goroutine.
type Checker struct {
	limits Limits
	now    func() time.Time

	mutex        sync.Mutex
	attempts     map[string]*attemptRecord
	draining     map[string]time.Time // runners, since when the list shows it
	evacuated    map[string]time.Time // zones, since when it is acknowledged
	requestTimes map[string][]time.Time
	retryTimes   map[string][]time.Time // of a service
	violations   []Violation
}

type attemptRecord struct {
	Attempt
	arrivals int
	runs     int
	rejected bool
}

// New makes a referee; now nil is the clock of the machine.
func New(limits Limits, now func() time.Time) *Checker {
	if now == nil {
		now = time.Now
	}
	return &Checker{limits: limits, now: now, attempts: make(map[string]*attemptRecord), draining: make(map[string]time.Time),
		evacuated: make(map[string]time.Time), requestTimes: make(map[string][]time.Time), retryTimes: make(map[string][]time.Time)}
}

var seed = maphash.MakeSeed()

// Hash tells bodies apart within this process.
func Hash(body []byte) uint64 { return maphash.Bytes(seed, body) }

// Report notes a breach that somebody else found.
func (c *Checker) Report(rule Rule, format string, args ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.addViolation(rule, format, args...)
}

func (c *Checker) addViolation(rule Rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{At: c.now(), Rule: rule, Description: fmt.Sprintf(format, args...)})
}

// RequestSent notes a try before its client sends it.
func (c *Checker) RequestSent(attempt Attempt) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.attempts[attempt.ID] = &attemptRecord{Attempt: attempt}
	if attempt.Route == nil {
		return
	}
	for _, service := range attempt.Route.Services {
		c.requestTimes[service] = append(c.requestTimes[service], c.now())
	}
}

// RequestReceived notes a request that a runner got and did not answer with 421.
func (c *Checker) RequestReceived(received ReceivedRequest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	attempt := c.attempts[received.ID]
	if attempt == nil {
		c.addViolation(UnexpectedRequest, "runner %s got try %q, which no client sent", received.Runner.ID, received.ID)
		return
	}
	attempt.arrivals++
	if attempt.arrivals > 1 {
		c.retryTimes[received.Runner.Service] = append(c.retryTimes[received.Runner.Service], c.now())
	}
	c.checkUnchanged(attempt, received)
	c.checkDestination(attempt, received.Runner)
}

func (c *Checker) checkUnchanged(attempt *attemptRecord, received ReceivedRequest) {
	if received.Method != attempt.Method || received.URI != attempt.URI || received.Host != attempt.Host {
		c.addViolation(UnexpectedRequest, "try %s was sent as %s %s%s and arrived as %s %s%s", attempt.ID, attempt.Method, attempt.Host, attempt.URI, received.Method,
			received.Host, received.URI)
	}
	if received.Body != attempt.Body {
		c.addViolation(UnexpectedRequest, "the body of try %s was changed", attempt.ID)
	}
}

func (c *Checker) checkDestination(attempt *attemptRecord, runner *Runner) {
	now := c.now()
	if attempt.Route == nil || !slices.Contains(attempt.Route.Services, runner.Service) {
		c.addViolation(WrongService, "try %s of %s arrived at service %s", attempt.ID, routeName(attempt.Route), runner.Service)
		return
	}
	if len(attempt.Route.HomeRegions) > 0 && !slices.Contains(attempt.Route.HomeRegions, runner.Region) {
		c.addViolation(WrongRegion, "try %s of %s arrived in region %s", attempt.ID, attempt.Route.Name, runner.Region)
	}
	if since, is := c.draining[runner.ID]; is && now.Sub(since) > c.limits.DrainGrace {
		c.addViolation(SentToDraining, "runner %s got try %s %v after the list showed it as draining", runner.ID, attempt.ID, now.Sub(since))
	}
	if since, is := c.evacuated[runner.Zone]; is && now.Sub(since) > c.limits.EvacuationGrace {
		c.addViolation(SentToEvacuatedZone, "zone %s got try %s %v after its evacuation", runner.Zone, attempt.ID, now.Sub(since))
	}
}

func routeName(route *Route) string {
	if route == nil {
		return "no route"
	}
	return route.Name
}

// ExecutionStarted notes that a runner has begun work on a try.
func (c *Checker) ExecutionStarted(runner *Runner, id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	attempt := c.attempts[id]
	if attempt == nil {
		return // noted when it arrived
	}
	attempt.runs++
	if attempt.Route == nil || attempt.Route.Idempotent {
		return
	}
	if attempt.runs > 1 {
		c.addViolation(DuplicateExecution, "try %s of %s ran %d times", id, attempt.Route.Name, attempt.runs)
	}
	if attempt.rejected {
		c.addViolation(ExecutedAfterRejection, "try %s of %s ran at %s after it was refused", id, attempt.Route.Name, runner.ID)
	}
}

// RequestRejected notes an answer to a client that promises that the try has not run and will not.
func (c *Checker) RequestRejected(id string, status int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	attempt := c.attempts[id]
	if attempt == nil || attempt.Route == nil || attempt.Route.Idempotent {
		return
	}
	attempt.rejected = true
	if attempt.runs > 0 {
		c.addViolation(ExecutedAfterRejection, "try %s of %s was answered with %d though it ran", id, attempt.Route.Name, status)
	}
}

// RunnerDraining notes when the platform's list shows a runner as draining.
func (c *Checker) RunnerDraining(runner string, since time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.draining[runner] = since
}

// ZoneEvacuated notes an acknowledged evacuation.
func (c *Checker) ZoneEvacuated(zone string, since time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.evacuated[zone] = since
}

// ZoneRestored notes that an evacuation is taken back.
func (c *Checker) ZoneRestored(zone string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.evacuated, zone)
}

// Retries is how often services were sent a try again.
func (c *Checker) Retries() (n int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, times := range c.retryTimes {
		n += len(times)
	}
	return n
}

// Finish checks what only the whole run shows, and returns all breaches.
func (c *Checker) Finish() []Violation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for service, times := range c.retryTimes {
		c.checkRetryBudget(service, times)
	}
	return slices.Clone(c.violations)
}

// Violations are the breaches so far.
func (c *Checker) Violations() []Violation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.violations)
}

// checkRetryBudget looks at the window that ends with each repeat.
func (c *Checker) checkRetryBudget(service string, retryTimes []time.Time) {
	window := c.limits.RetryWindow
	if window <= 0 {
		return
	}
	for i, end := range retryTimes {
		first, _ := slices.BinarySearchFunc(retryTimes, end.Add(-window), time.Time.Compare)
		requests := max(c.requestsBetween(service, end.Add(-window), end), c.requestsBetween(service, end.Add(-2*window),
			end.Add(-window)),
			c.requestsBetween(service, end.Add(-3*window/2), end.Add(-window/2)))
		if allowed := c.limits.RetryRatio*float64(requests) + c.limits.RetryAllowance; float64(i+1-first) > allowed {
			c.addViolation(RetryBudgetExceeded, "service %s was sent %d repeats in %v, at most %.1f are allowed", service, i+1-first, window, allowed)
			return
		}
	}
}

func (c *Checker) requestsBetween(service string, from, to time.Time) int {
	times := c.requestTimes[service]
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
	return end - first
}
