// Package checker compares what clients sent with what runners received and with the answers that came back, and
// records each violation of the protocol's rules. Fake clients, runners and the platform of a run report to one
// Checker.
package checker

import (
	"fmt"
	"hash/maphash"
	"slices"
	"sync"
	"time"
)

// Rule identifies a rule of the protocol; its value stands in reports.
type Rule string

// The rules that are checked.
const (
	MisdeliveredAnswer     Rule = "MIXED"    // a client received something other than the answer to its own request
	UnexpectedRequest      Rule = "UNASKED"  // a runner received a request that no client sent, or an altered one
	DuplicateExecution     Rule = "TWICE"    // a request that isn't idempotent was executed more than once
	ExecutedAfterRejection Rule = "REFUSED"  // a request was executed though its client had been told that it was not and won't be
	WrongService           Rule = "ROUTE"    // a request reached a service that no configuration routes it to
	SentToDraining         Rule = "DRAIN"    // a draining runner was sent a request after the grace period
	WrongRegion            Rule = "HOME"     // a request reached a region other than its home regions
	SentToEvacuatedZone    Rule = "EVAC"     // an evacuated zone was sent a request after the grace period
	SlowStartOverload      Rule = "FAILBACK" // a runner in slow start was sent more than its limit
	StreamOrder            Rule = "ORDER"    // a stream lacked an event, repeated one, or mixed two executions
	RetryBudgetExceeded    Rule = "BUDGET"   // requests were retried more often than the budget allows
	ValidRequestDenied     Rule = "DENIED"   // a valid request was answered with a 3xx or 4xx
	ConfigurationMismatch  Rule = "CONFIG"   // a configuration that was read isn't the acknowledged one
	LostRequest            Rule = "LOST"     // a request was cut off around planned work, or what was acknowledged is gone
	StaleRead              Rule = "STALE"    // a counter was read without an addition that had to be part of it
	LateEnd                Rule = "GRACE"    // a process did not end within the grace period, or not with status 0
	ReportedViolation      Rule = "LOG"      // a process logged a violated invariant
	NotRecovered           Rule = "RECOVER"  // a machine does not serve in time after the last fault
)

// Violation is one recorded violation of a rule.
type Violation struct {
	At          time.Time
	Rule        Rule
	Description string
}

// String formats the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("rule=%s at=%s what=%q", v.Rule, v.At.Format("15:04:05.000"), v.Description)
}

// Route is the part of a configured route that the checker needs.
type Route struct {
	Name        string
	Services    []string // all that any version of the configuration routes it to
	HomeRegions []string // empty: any region
	Idempotent  bool
}

// Attempt is one request as a client sends it. An answer that asks for a retry leads to another attempt.
type Attempt struct {
	ID, Method, Host, URI string
	Body                  uint64 // from Hash
	Route                 *Route // nil: no configuration has a route for it
	Address               string // of the machine that it is sent to
}

// Runner identifies the receiver of a request.
type Runner struct {
	ID, Service, Zone, Region string
}

// ReceivedRequest is a request as a runner received it.
type ReceivedRequest struct {
	Runner                *Runner
	ID, Method, Host, URI string
	Body                  uint64
}

// Limits are the grace periods and the retry budget of the rules.
type Limits struct {
	DrainGrace      time.Duration // requests may still reach a draining runner
	EvacuationGrace time.Duration // requests may still reach an evacuated zone
	RetryRatio      float64       // retries allowed for each request within RetryWindow
	RetryWindow     time.Duration // 0: retries are not limited
	RetryAllowance  float64       // retries allowed on top of that

	GracePeriod        time.Duration // from SIGTERM until a process is killed
	ConfigurationDelay time.Duration // after which a configuration or a SIGHUP has taken effect
	InTouch            time.Duration // for which a machine must have been left alone for rules with a bound in time
	// Machines holds what was done to the machines. If it is nil, rules with a bound in time hold for all machines, and
	// that of lost requests is not checked.
	Machines *Machines
}

// Checker records requests and violations. Its methods may be called from any goroutine.
type Checker struct {
	limits Limits
	now    func() time.Time

	mutex        sync.Mutex
	attempts     map[string]*attemptRecord
	draining     map[string]time.Time   // by runner ID: when the platform's list first shows it as draining
	evacuated    map[string]time.Time   // by zone: when the evacuation was acknowledged
	requestTimes map[string][]time.Time // by service that a request's route may lead to, in order
	retryTimes   map[string][]time.Time // by service that received the retry, in order
	cuts         []Cut
	late         []lateArrival
	ended        map[string]bool // runners that have ended or stopped to respond
	violations   []Violation
}

type attemptRecord struct {
	Attempt
	arrivals int  // at runners
	runs     int  // executions that were started
	rejected bool // its client was told that it was not executed and won't be
	broken   bool // a runner ended an answer early
	runners  []string
}

// lateArrival is a violation of a bound in time, if the machine was in touch.
type lateArrival struct {
	address   string
	violation Violation
}

// New returns a checker; a nil now stands for time.Now.
func New(limits Limits, now func() time.Time) *Checker {
	if now == nil {
		now = time.Now
	}
	return &Checker{
		limits:       limits,
		now:          now,
		attempts:     make(map[string]*attemptRecord),
		draining:     make(map[string]time.Time),
		evacuated:    make(map[string]time.Time),
		requestTimes: make(map[string][]time.Time),
		retryTimes:   make(map[string][]time.Time),
		ended:        make(map[string]bool),
	}
}

var seed = maphash.MakeSeed()

// Hash identifies a body within this process; hashes of two processes can't be compared.
func Hash(body []byte) uint64 { return maphash.Bytes(seed, body) }

// Report records a violation that the caller detected.
func (c *Checker) Report(rule Rule, format string, args ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.addViolation(rule, format, args...)
}

func (c *Checker) addViolation(rule Rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{At: c.now(), Rule: rule, Description: fmt.Sprintf(format, args...)})
}

// addLate adds a violation of a bound in time, which counts only if the machine turns out to have been in touch.
func (c *Checker) addLate(address string, rule Rule, format string, args ...any) {
	if c.limits.Machines == nil {
		c.addViolation(rule, format, args...)
		return
	}
	violation := Violation{At: c.now(), Rule: rule, Description: fmt.Sprintf(format, args...)}
	c.late = append(c.late, lateArrival{address: address, violation: violation})
}

// ReportLate records a violation of a bound in time by a machine that the caller detected. It counts only if the machine
// turns out to have been in touch.
func (c *Checker) ReportLate(address string, rule Rule, format string, args ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.addLate(address, rule, format, args...)
}

// checkLate adds the violations of bounds in time by machines that were in touch. Trouble is known now that was recorded
// after its effect.
func (c *Checker) checkLate() {
	for _, late := range c.late {
		from := late.violation.At.Add(-c.limits.InTouch - noticeDelay)
		if c.limits.Machines.InTouch(late.address, from, late.violation.At.Add(noticeDelay)) {
			c.violations = append(c.violations, late.violation)
		}
	}
	c.late = nil
}

// RequestSent records an attempt; call it before the request is sent.
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

// RequestReceived records a request that a runner received; one that it answers with 421 must not be reported.
func (c *Checker) RequestReceived(received ReceivedRequest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	attempt := c.attempts[received.ID]
	if attempt == nil {
		c.addViolation(UnexpectedRequest, "runner %s got attempt %q, which no client sent", received.Runner.ID, received.ID)
		return
	}
	attempt.arrivals++
	attempt.runners = append(attempt.runners, received.Runner.ID)
	if attempt.arrivals > 1 {
		c.retryTimes[received.Runner.Service] = append(c.retryTimes[received.Runner.Service], c.now())
	}
	c.checkUnchanged(attempt, received)
	c.checkDestination(attempt, received.Runner)
}

func (c *Checker) checkUnchanged(attempt *attemptRecord, received ReceivedRequest) {
	if received.Method != attempt.Method || received.URI != attempt.URI || received.Host != attempt.Host {
		c.addViolation(UnexpectedRequest, "attempt %s was sent as %s %s%s and arrived as %s %s%s", attempt.ID,
			attempt.Method, attempt.Host, attempt.URI, received.Method, received.Host, received.URI)
	}
	if received.Body != attempt.Body {
		c.addViolation(UnexpectedRequest, "the body of attempt %s was changed", attempt.ID)
	}
}

func (c *Checker) checkDestination(attempt *attemptRecord, runner *Runner) {
	now := c.now()
	if attempt.Route == nil || !slices.Contains(attempt.Route.Services, runner.Service) {
		c.addViolation(WrongService, "attempt %s of %s arrived at service %s", attempt.ID, routeName(attempt.Route), runner.Service)
		return
	}
	if len(attempt.Route.HomeRegions) > 0 && !slices.Contains(attempt.Route.HomeRegions, runner.Region) {
		c.addViolation(WrongRegion, "attempt %s of %s arrived in region %s", attempt.ID, attempt.Route.Name, runner.Region)
	}
	if since, draining := c.draining[runner.ID]; draining && now.Sub(since) > c.limits.DrainGrace {
		c.addLate(attempt.Address, SentToDraining, "runner %s got attempt %s %v after the list showed it as draining",
			runner.ID, attempt.ID, now.Sub(since))
	}
	if since, evacuated := c.evacuated[runner.Zone]; evacuated && now.Sub(since) > c.limits.EvacuationGrace {
		c.addLate(attempt.Address, SentToEvacuatedZone, "zone %s got attempt %s %v after its evacuation",
			runner.Zone, attempt.ID, now.Sub(since))
	}
}

func routeName(route *Route) string {
	if route == nil {
		return "no route"
	}
	return route.Name
}

// ExecutionStarted records that a runner has started to execute an attempt.
func (c *Checker) ExecutionStarted(runner *Runner, id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	attempt := c.attempts[id]
	if attempt == nil {
		return // RequestReceived has reported it
	}
	attempt.runs++
	if attempt.Route == nil || attempt.Route.Idempotent {
		return
	}
	if attempt.runs > 1 {
		c.addViolation(DuplicateExecution, "attempt %s of %s ran %d times", id, attempt.Route.Name, attempt.runs)
	}
	if attempt.rejected {
		c.addViolation(ExecutedAfterRejection, "attempt %s of %s ran at %s after it was rejected", id, attempt.Route.Name, runner.ID)
	}
}

// RequestRejected records an answer that tells the client that the attempt wasn't executed and won't be.
func (c *Checker) RequestRejected(id string, status int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	attempt := c.attempts[id]
	if attempt == nil || attempt.Route == nil || attempt.Route.Idempotent {
		return
	}
	attempt.rejected = true
	if attempt.runs > 0 {
		c.addViolation(ExecutedAfterRejection, "attempt %s of %s was answered with %d though it ran", id, attempt.Route.Name, status)
	}
}

// RunnerDraining records when the platform's list first shows a runner as draining.
func (c *Checker) RunnerDraining(runner string, since time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.draining[runner] = since
}

// ZoneEvacuated records an acknowledged evacuation.
func (c *Checker) ZoneEvacuated(zone string, since time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.evacuated[zone] = since
}

// ZoneRestored records the end of an evacuation.
func (c *Checker) ZoneRestored(zone string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.evacuated, zone)
}

// Retries counts the repeated arrivals of attempts at services.
func (c *Checker) Retries() (n int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, times := range c.retryTimes {
		n += len(times)
	}
	return n
}

// Finish checks the rules that need the complete run, and returns all violations.
func (c *Checker) Finish() []Violation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for service, times := range c.retryTimes {
		c.checkRetryBudget(service, times)
	}
	c.checkLate()
	c.checkCuts()
	return slices.Clone(c.violations)
}

// Violations returns the violations recorded so far.
func (c *Checker) Violations() []Violation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.violations)
}

// checkRetryBudget checks the window before each retry against the requests of the busiest of three windows: that one,
// the one before it, and the one halfway between. At most one violation is reported for a service.
func (c *Checker) checkRetryBudget(service string, retryTimes []time.Time) {
	window := c.limits.RetryWindow
	if window <= 0 {
		return
	}
	for i, end := range retryTimes {
		first, _ := slices.BinarySearchFunc(retryTimes, end.Add(-window), time.Time.Compare)
		retries := i + 1 - first
		requests := max(
			c.requestsBetween(service, end.Add(-window), end),
			c.requestsBetween(service, end.Add(-2*window), end.Add(-window)),
			c.requestsBetween(service, end.Add(-3*window/2), end.Add(-window/2)),
		)
		allowed := c.limits.RetryRatio*float64(requests) + c.limits.RetryAllowance
		if float64(retries) > allowed {
			c.addViolation(RetryBudgetExceeded, "service %s was sent %d retries in %v, at most %.1f are allowed",
				service, retries, window, allowed)
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
