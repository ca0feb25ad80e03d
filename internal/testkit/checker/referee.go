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
	bounds Limits
	now    func() time.Time

	mutex     sync.Mutex
	tries     map[string]*try
	draining  map[string]time.Time // runners, since when the list shows it
	evacuated map[string]time.Time // zones, since when it is acknowledged
	asked     map[string][]time.Time
	repeated  map[string][]time.Time // of a service
	breaches  []Violation
}

type try struct {
	Attempt
	arrivals int
	runs     int
	refused  bool
}

// New makes a referee; now nil is the clock of the machine.
func New(b Limits, now func() time.Time) *Checker {
	if now == nil {
		now = time.Now
	}
	return &Checker{bounds: b, now: now, tries: make(map[string]*try), draining: make(map[string]time.Time),
		evacuated: make(map[string]time.Time), asked: make(map[string][]time.Time), repeated: make(map[string][]time.Time)}
}

var seed = maphash.MakeSeed()

// Hash tells bodies apart within this process.
func Hash(body []byte) uint64 { return maphash.Bytes(seed, body) }

// Report notes a breach that somebody else found.
func (r *Checker) Report(rule Rule, format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.note(rule, format, args...)
}

func (r *Checker) note(rule Rule, format string, args ...any) {
	r.breaches = append(r.breaches, Violation{At: r.now(), Rule: rule, Description: fmt.Sprintf(format, args...)})
}

// RequestSent notes a try before its client sends it.
func (r *Checker) RequestSent(t Attempt) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tries[t.ID] = &try{Attempt: t}
	if t.Route == nil {
		return
	}
	for _, service := range t.Route.Services {
		r.asked[service] = append(r.asked[service], r.now())
	}
}

// RequestReceived notes a request that a runner got and did not answer with 421.
func (r *Checker) RequestReceived(a ReceivedRequest) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	t := r.tries[a.ID]
	if t == nil {
		r.note(UnexpectedRequest, "runner %s got try %q, which no client sent", a.Runner.ID, a.ID)
		return
	}
	t.arrivals++
	if t.arrivals > 1 {
		r.repeated[a.Runner.Service] = append(r.repeated[a.Runner.Service], r.now())
	}
	r.checkSame(t, a)
	r.checkPlace(t, a.Runner)
}

func (r *Checker) checkSame(t *try, a ReceivedRequest) {
	if a.Method != t.Method || a.URI != t.URI || a.Host != t.Host {
		r.note(UnexpectedRequest, "try %s was sent as %s %s%s and arrived as %s %s%s", t.ID, t.Method, t.Host, t.URI, a.Method,
			a.Host, a.URI)
	}
	if a.Body != t.Body {
		r.note(UnexpectedRequest, "the body of try %s was changed", t.ID)
	}
}

func (r *Checker) checkPlace(t *try, runner *Runner) {
	now := r.now()
	if t.Route == nil || !slices.Contains(t.Route.Services, runner.Service) {
		r.note(WrongService, "try %s of %s arrived at service %s", t.ID, routeName(t.Route), runner.Service)
		return
	}
	if len(t.Route.HomeRegions) > 0 && !slices.Contains(t.Route.HomeRegions, runner.Region) {
		r.note(WrongRegion, "try %s of %s arrived in region %s", t.ID, t.Route.Name, runner.Region)
	}
	if since, is := r.draining[runner.ID]; is && now.Sub(since) > r.bounds.DrainGrace {
		r.note(SentToDraining, "runner %s got try %s %v after the list showed it as draining", runner.ID, t.ID, now.Sub(since))
	}
	if since, is := r.evacuated[runner.Zone]; is && now.Sub(since) > r.bounds.EvacuationGrace {
		r.note(SentToEvacuatedZone, "zone %s got try %s %v after its evacuation", runner.Zone, t.ID, now.Sub(since))
	}
}

func routeName(route *Route) string {
	if route == nil {
		return "no route"
	}
	return route.Name
}

// ExecutionStarted notes that a runner has begun work on a try.
func (r *Checker) ExecutionStarted(runner *Runner, id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	t := r.tries[id]
	if t == nil {
		return // noted when it arrived
	}
	t.runs++
	if t.Route == nil || t.Route.Idempotent {
		return
	}
	if t.runs > 1 {
		r.note(DuplicateExecution, "try %s of %s ran %d times", id, t.Route.Name, t.runs)
	}
	if t.refused {
		r.note(ExecutedAfterRejection, "try %s of %s ran at %s after it was refused", id, t.Route.Name, runner.ID)
	}
}

// RequestRejected notes an answer to a client that promises that the try has not run and will not.
func (r *Checker) RequestRejected(id string, status int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	t := r.tries[id]
	if t == nil || t.Route == nil || t.Route.Idempotent {
		return
	}
	t.refused = true
	if t.runs > 0 {
		r.note(ExecutedAfterRejection, "try %s of %s was answered with %d though it ran", id, t.Route.Name, status)
	}
}

// RunnerDraining notes when the platform's list shows a runner as draining.
func (r *Checker) RunnerDraining(runner string, since time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.draining[runner] = since
}

// ZoneEvacuated notes an acknowledged evacuation.
func (r *Checker) ZoneEvacuated(zone string, since time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.evacuated[zone] = since
}

// ZoneRestored notes that an evacuation is taken back.
func (r *Checker) ZoneRestored(zone string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.evacuated, zone)
}

// Retries is how often services were sent a try again.
func (r *Checker) Retries() (n int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, times := range r.repeated {
		n += len(times)
	}
	return n
}

// Finish checks what only the whole run shows, and returns all breaches.
func (r *Checker) Finish() []Violation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for service, times := range r.repeated {
		r.checkBudget(service, times)
	}
	return slices.Clone(r.breaches)
}

// Violations are the breaches so far.
func (r *Checker) Violations() []Violation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.breaches)
}

// checkBudget looks at the window that ends with each repeat.
func (r *Checker) checkBudget(service string, repeats []time.Time) {
	window := r.bounds.RetryWindow
	if window <= 0 {
		return
	}
	for i, end := range repeats {
		first, _ := slices.BinarySearchFunc(repeats, end.Add(-window), time.Time.Compare)
		requests := max(r.askedBetween(service, end.Add(-window), end), r.askedBetween(service, end.Add(-2*window),
			end.Add(-window)),
			r.askedBetween(service, end.Add(-3*window/2), end.Add(-window/2)))
		if most := r.bounds.RetryRatio*float64(requests) + r.bounds.RetryAllowance; float64(i+1-first) > most {
			r.note(RetryBudgetExceeded, "service %s was sent %d repeats in %v, at most %.1f are allowed", service, i+1-first, window, most)
			return
		}
	}
}

func (r *Checker) askedBetween(service string, from, to time.Time) int {
	times := r.asked[service]
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
	return end - first
}
