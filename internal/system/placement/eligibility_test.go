package placement

import (
	"testing"
	"time"
)

// exclusion makes all of a placer's runners ineligible for a request.
type exclusion func(p *Placer, runners []Runner, r *Request, now time.Duration)

// exclusions are the rules that make a runner ineligible, by name.
var exclusions = map[string]exclusion{
	"draining": excludeEach(func(runner *Runner) { runner.Draining = true }),
	"draining, with time": excludeEach(func(runner *Runner) {
		runner.Draining = true
		runner.TerminatesAt = testStart + time.Hour
	}),
	"terminates too soon": excludeEach(func(runner *Runner) {
		runner.TerminatesAt = testStart + 100*time.Millisecond
	}),
	"other models":  excludeEach(func(runner *Runner) { runner.Models = []string{"other"} }),
	"other service": excludeEach(func(runner *Runner) { runner.Service = "other" }),
	"not listed": func(p *Placer, _ []Runner, _ *Request, now time.Duration) {
		p.SetRunners(now, nil)
	},
	"evacuated":                                      evacuateZones,
	"outside the home regions":                       moveHomeRegion,
	"slow start, over its share":                     exceedSlowStartShare,
	"slow start, unknown number of proxies":          forgetProxyCount,
	"slow start, this proxy has just started":        joinLate,
	"slow start, the share belongs to other proxies": joinManyProxies,
	"no connection left":                             useAllConnections,
}

// excludeEach returns an exclusion by a change to each runner.
func excludeEach(change func(runner *Runner)) exclusion {
	return func(p *Placer, runners []Runner, _ *Request, now time.Duration) {
		for i := range runners {
			change(&runners[i])
		}
		p.SetRunners(now, runners)
	}
}

func evacuateZones(p *Placer, runners []Runner, _ *Request, now time.Duration) {
	zones := map[string]bool{}
	for _, runner := range runners {
		zones[runner.Zone] = true
	}
	p.SetEvacuatedZones(now, zones)
}

func moveHomeRegion(_ *Placer, _ []Runner, r *Request, _ time.Duration) {
	route := *r.Route
	route.HomeRegions = []string{"elsewhere"}
	r.Route = &route
}

// startSlowly lists all runners as in slow start.
func startSlowly(p *Placer, runners []Runner, now time.Duration) {
	for i := range runners {
		runners[i].SlowStartUntil = now + time.Minute
	}
	p.SetRunners(now, runners)
}

func exceedSlowStartShare(p *Placer, runners []Runner, r *Request, now time.Duration) {
	startSlowly(p, runners, now)
	for _, runner := range runners {
		p.StartAttempt(now, testRequest(now, runner.Service, r.Route), Choice{Runner: runner.ID})
	}
}

func forgetProxyCount(p *Placer, runners []Runner, _ *Request, now time.Duration) {
	startSlowly(p, runners, now)
	p.proxyCount = 0
}

func joinLate(p *Placer, runners []Runner, _ *Request, now time.Duration) {
	startSlowly(p, runners, now)
	p.countedFrom = now + time.Millisecond
}

func joinManyProxies(p *Placer, runners []Runner, _ *Request, now time.Duration) {
	startSlowly(p, runners, now)
	p.SetProxyCount(now, 300)
}

func useAllConnections(p *Placer, runners []Runner, r *Request, now time.Duration) {
	for _, runner := range runners {
		for range p.connectionLimit(p.runners[runner.ID]) {
			p.StartAttempt(now, testRequest(now, runner.Service, r.Route), Choice{Runner: runner.ID})
		}
	}
}

// A rule that excludes all runners holds on the ordinary path, on the fallback to the runner least over its limit, and on
// retries that have no other runner left.
func TestEligibilityHoldsOnEveryPath(t *testing.T) {
	for _, service := range []string{"api", "llm"} {
		for name, exclude := range exclusions {
			t.Run(service+", "+name, func(t *testing.T) { testEligibility(t, service, exclude) })
		}
	}
}

func testEligibility(t *testing.T, service string, exclude exclusion) {
	t.Helper()
	for path, prepare := range map[string]func(p *Placer, r *Request){
		"ordinary": func(p *Placer, r *Request) {},
		"fallback": func(p *Placer, r *Request) { overload(p, 1000) },
		"ejected and saturated": func(p *Placer, r *Request) {
			for _, runner := range p.runners {
				runner.ejection.EjectedUntil = (testStart + time.Hour).Seconds()
				runner.saturatedUntil = testStart + time.Hour
			}
		},
		"retry": func(p *Placer, r *Request) {
			r.TriedRunners = []string{service + "-1"}
			p.services[service].retryBudget.record(testStart, p.options.RetryWindow, false)
		},
		"all but one tried": func(p *Placer, r *Request) { r.TriedRunners = []string{service + "-1", service + "-2"} },
	} {
		now := testStart
		runners := testRunners(service, 3)
		p := startedTestPlacer(t, runners)
		r := testRequest(now, service, testRoute())
		prepare(p, r)
		if c, rejection := p.Place(now, r); rejection != nil || c.Runner == "" {
			t.Fatalf("%s: no runner is eligible from the start: %v", path, rejection)
		}
		exclude(p, runners, r, now)
		c, rejection := p.Place(now, r)
		if rejection == nil {
			t.Fatalf("%s: sent to %s", path, c.Runner)
		}
		if rejection.RetryAfter <= 0 || rejection.RetryAfter > time.Second || rejection.Reason == "" {
			t.Errorf("%s: rejection %+v", path, rejection)
		}
	}
}
