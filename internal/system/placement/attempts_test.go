package placement

import (
	"testing"
	"time"

	"cinderroad/internal/system/configuration"
)

// spendRetryBudget leaves no retry in the budget of a service.
func spendRetryBudget(t *testing.T, p *Placer, service string) {
	t.Helper()
	budget := &p.services[service].retryBudget
	for range 10000 {
		if !budget.allows(testStart, p.retryPolicy()) {
			return
		}
		budget.record(testStart, p.options.RetryWindow, true)
	}
	t.Fatal("the retry budget has no end")
}

// TestPassedOverRunnerIsNoAttempt: a request whose runner had no connection to spare is still to have its first attempt,
// which the retry budget does not bound.
func TestPassedOverRunnerIsNoAttempt(t *testing.T) {
	p := startedTestPlacer(t, testRunners("api", 3))
	spendRetryBudget(t, p, "api")
	request := testRequest(testStart, "api", testRoute())
	first, rejection := p.Place(testStart, request)
	if rejection != nil {
		t.Fatal(rejection)
	}
	request.PassOver(first.Runner)
	second, rejection := p.Place(testStart, request)
	if rejection != nil || second.Runner == first.Runner {
		t.Fatalf("%+v, %+v", second, rejection)
	}
	request.RecordAttempt(second.Runner, true)
	if _, rejection := p.Place(testStart, request); rejection == nil || rejection.Reason != reasonRetryBudgetSpent {
		t.Errorf("a retry beyond the budget: %+v", rejection)
	}
}

// TestAttemptsThatCount: runners that were not reached leave the route's maximum of attempts as it is.
func TestAttemptsThatCount(t *testing.T) {
	for _, tc := range []struct {
		name       string
		connected  []bool // of each attempt
		passedOver int
		want       bool // another attempt is allowed
	}{
		{"none", nil, 0, true},
		{"one", []bool{true}, 0, true},
		{"two", []bool{true, true}, 0, false},
		{"one, and one without a connection", []bool{false, true}, 0, true},
		{"one, and two passed over", []bool{true}, 2, true},
		{"two, and one without a connection", []bool{true, false, true}, 0, false},
	} {
		p := startedTestPlacer(t, testRunners("api", 9))
		route := testRoute()
		route.MaxAttempts = 2
		request := testRequest(testStart, "api", route)
		for _, connected := range tc.connected {
			request.RecordAttempt("api-1", connected)
		}
		for range tc.passedOver {
			request.PassOver("api-2")
		}
		if got := p.MayRetry(testStart, request); got != tc.want {
			t.Errorf("%s: %v", tc.name, got)
		}
	}
}

// TestRemovedRoutesStopCounting: the tightest target and the longest timeout go back once the routes that had them are
// changed or removed.
func TestRemovedRoutesStopCounting(t *testing.T) {
	p := startedTestPlacer(t, testRunners("api", 3))
	route := func(name string, target, timeout time.Duration) *configuration.Route {
		r := testRoute()
		r.Name = name
		r.LatencyTarget = target
		r.Timeout = timeout
		return r
	}
	check := func(when string, target, timeout float64) {
		t.Helper()
		if p.latencyTarget != target || p.longestTimeout != timeout {
			t.Errorf("%s: target %v s, timeout %v s; want %v and %v", when, p.latencyTarget, p.longestTimeout, target, timeout)
		}
	}
	tight := route("tight", 100*time.Millisecond, time.Second)
	long := route("long", 2*time.Second, time.Minute)
	other := route("other", 400*time.Millisecond, 6*time.Second)
	p.statsOf(tight).meanDuration = 0.25
	p.statsOf(long)
	p.statsOf(other)
	check("all requested", 0.1, 60)
	p.UpdateRoutes(testStart, nil, []string{"long"})
	check("the long one removed", 0.1, 6)
	changed := route("tight", 300*time.Millisecond, time.Second)
	p.UpdateRoutes(testStart, []*configuration.Route{changed, route("new", time.Millisecond, time.Hour)}, nil)
	check("the tight one changed, another added that nobody requests", 0.3, 6)
	if mean := p.statsOf(changed).meanDuration; mean != 0.25 {
		t.Errorf("the changed route's mean duration is %v", mean)
	}
	p.UpdateRoutes(testStart, nil, []string{"tight", "other"})
	check("all removed", initialTarget, initialTimeout)
}

// TestConnectionsBeforeTheProxiesAreCounted: until the number of proxies is known a proxy takes a part of the connections
// that leaves enough to others.
func TestConnectionsBeforeTheProxiesAreCounted(t *testing.T) {
	p := newTestPlacer(t, "m", 1)
	p.SetServices(testStart, testServices())
	p.SetRunners(testStart, testRunners("api", 1))
	runner := p.runners["api-0"]
	const maxConnections = 100 // of testServices
	if limit := p.connectionLimit(runner); limit*AssumedProxies > maxConnections {
		t.Errorf("%d connections of %d while the number of proxies is unknown", limit, maxConnections)
	}
	p.SetProxyCount(testStart, 2)
	if limit := p.connectionLimit(runner); limit != 45 {
		t.Errorf("%d connections of %d for two proxies", limit, maxConnections)
	}
}

// TestSlowStartWithoutAllowance: a runner whose limit is a request a second gets one a second, from one of the proxies.
func TestSlowStartWithoutAllowance(t *testing.T) {
	runners := testRunners("api", 1)
	runners[0].SlowStartUntil = testStart + time.Hour
	services := testServices()
	services[0].SlowStartRate = 1
	for _, tc := range []struct {
		factor   float64
		min, max int // in ten seconds
	}{
		{1, 9, 10},
		{1.2, 9, 10},
		{0.9, 0, 0}, // a single request would exceed the limit
	} {
		keys := []uint64{0x9e3779b97f4a7c15, 0xc2b2ae3d27d4eb4f, 0x165667b19e3779f9}
		sent := 0
		for i, key := range keys {
			options := testOptions("m")
			options.SlowStartAllowance = 0
			options.SlowStartFactor = tc.factor
			p, err := New(options, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			p.SetServices(testStart, services)
			p.SetRunners(testStart, runners)
			p.SetPeers(testStart, key, keys)
			for now := testStart; now < testStart+joinDelay+10*time.Second; now += 50 * time.Millisecond {
				p.Tick(now)
				request := testRequest(now, "api", testRoute())
				if choice, rejection := p.Place(now, request); rejection == nil {
					sent++
					p.EndAttempt(now, p.StartAttempt(now, request, choice), Succeeded, Progress{Duration: time.Millisecond})
				}
			}
		}
		if sent < tc.min || sent > tc.max {
			t.Errorf("factor %v: %d requests in ten seconds, want %d to %d", tc.factor, sent, tc.min, tc.max)
		}
	}
}
