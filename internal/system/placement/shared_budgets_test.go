package placement

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cinderroad/internal/system/configuration"
)

// proxyGroup is several proxies with views that differ, in virtual time.
type proxyGroup struct {
	t              *rapid.T
	now            time.Duration
	services       []*configuration.Service
	runners        []Runner
	proxies        []*groupProxy
	useKeys        bool // they know each other by keys
	lastSeed       uint64
	requests       []time.Duration // requests that arrived
	retries        []time.Duration // attempts beyond the first of a request that arrived
	slowStartSends map[string][]time.Duration

	slowStartAllowance float64 // Options.SlowStartAllowance of all proxies
}

type groupProxy struct {
	placer      *Placer
	key         uint64
	startedAt   time.Duration
	frozenUntil time.Duration // the process does not run before
}

// newProxyGroup draws a group of proxies; it begins long enough after its start for all to know each other.
func newProxyGroup(t *rapid.T, runners []Runner) *proxyGroup {
	group := &proxyGroup{
		t:              t,
		now:            testStart,
		services:       testServices(),
		runners:        runners,
		useKeys:        rapid.Bool().Draw(t, "keys"),
		slowStartSends: map[string][]time.Duration{},

		slowStartAllowance: rapid.SampledFrom([]float64{5, 0}).Draw(t, "slow start allowance"),
	}
	for range rapid.SampledFrom([]int{1, 2, 3, 7, 12, 24}).Draw(t, "proxies") {
		group.join()
	}
	for _, proxy := range group.proxies {
		group.sendPeers(proxy)
	}
	return group
}

// join starts a proxy. It knows of all others at once; they learn of it later.
func (g *proxyGroup) join() {
	g.lastSeed++
	options := testOptions([]string{"m", "t", "p"}[g.lastSeed%3])
	options.SlowStartAllowance = g.slowStartAllowance
	placer, err := New(options, g.lastSeed)
	if err != nil {
		g.t.Fatal(err)
	}
	proxy := &groupProxy{placer: placer, key: g.lastSeed * 0x9e3779b97f4a7c15, startedAt: g.now}
	g.proxies = append(g.proxies, proxy)
	placer.SetServices(g.now, g.services)
	placer.SetRunners(g.now, g.runners)
	g.sendPeers(proxy)
}

// sendPeers sends a proxy the list of all proxies.
func (g *proxyGroup) sendPeers(proxy *groupProxy) {
	if !g.useKeys {
		proxy.placer.SetProxyCount(g.now, len(g.proxies))
		return
	}
	var keys []uint64
	for _, other := range g.proxies {
		keys = append(keys, other.key)
	}
	proxy.placer.SetPeers(g.now, proxy.key, keys)
}

// step advances the time. Each running proxy learns of those that started at least a second ago, which is well within
// joinDelay.
func (g *proxyGroup) step(d time.Duration) {
	g.now += d
	for _, proxy := range g.proxies {
		if g.now < proxy.frozenUntil {
			continue
		}
		proxy.placer.Tick(g.now)
		g.sendKnownPeers(proxy)
	}
}

func (g *proxyGroup) sendKnownPeers(proxy *groupProxy) {
	n, keys := 0, []uint64{}
	for _, other := range g.proxies {
		if other == proxy || g.now-other.startedAt >= time.Second || proxy.startedAt >= other.startedAt {
			n++
			keys = append(keys, other.key)
		}
	}
	if g.useKeys {
		proxy.placer.SetPeers(g.now, proxy.key, keys)
	} else {
		proxy.placer.SetProxyCount(g.now, n)
	}
}

// send places a request at a proxy and starts the attempt that it chose.
func (g *proxyGroup) send(proxy *groupProxy, request *Request) (Choice, *Attempt) {
	if g.now < proxy.frozenUntil {
		return Choice{}, nil
	}
	choice, rejection := proxy.placer.Place(g.now, request)
	if rejection != nil {
		return choice, nil
	}
	if len(request.TriedRunners) > 0 {
		g.retries = append(g.retries, g.now)
	} else {
		g.requests = append(g.requests, g.now)
	}
	for i := range g.runners {
		if runner := &g.runners[i]; runner.ID == choice.Runner && g.now < runner.SlowStartUntil {
			g.slowStartSends[runner.ID] = append(g.slowStartSends[runner.ID], g.now)
		}
	}
	attempt := proxy.placer.StartAttempt(g.now, request, choice)
	return choice, attempt
}

// largestCount is the largest number of moments in any span.
func largestCount(moments []time.Duration, span time.Duration) (n int, from time.Duration) {
	slices.Sort(moments)
	first := 0
	for i, at := range moments {
		for at-moments[first] > span {
			first++
		}
		if i-first+1 > n {
			n, from = i-first+1, moments[first]
		}
	}
	return n, from
}

// Over all proxies together, new and frozen ones included, no runner in slow start gets more requests in any second than its
// bound, however many requests all of them have.
func TestSlowStartBoundHoldsOverAllProxies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runners := testRunners("api", 3)
		for i := range runners {
			runners[i].SlowStartUntil = testStart + time.Hour
		}
		group := newProxyGroup(t, runners)
		group.services[0].SlowStartRate = rapid.SampledFrom([]float64{0, 0.7, 2, 9, 40}).Draw(t, "rate")
		for _, proxy := range group.proxies {
			proxy.placer.SetServices(group.now, group.services)
		}
		for group.now < testStart+6*time.Second {
			group.step(time.Duration(rapid.IntRange(1, 120).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 120).Draw(t, "event") {
			case 0:
				if len(group.proxies) < 30 {
					group.join()
				}
			case 1: // killed, and started again with nothing remembered
				i := rapid.IntRange(0, len(group.proxies)-1).Draw(t, "killed")
				key := group.proxies[i].key
				group.proxies = slices.Delete(group.proxies, i, i+1)
				group.join()
				group.proxies[len(group.proxies)-1].key = key
			case 2:
				proxy := group.proxies[rapid.IntRange(0, len(group.proxies)-1).Draw(t, "frozen")]
				proxy.frozenUntil = group.now + time.Duration(rapid.IntRange(100, 3000).Draw(t, "for"))*time.Millisecond
			}
			for _, proxy := range group.proxies {
				for range 2 {
					group.send(proxy, testRequest(group.now, "api", testRoute()))
				}
			}
		}
		bound := int(group.services[0].SlowStartRate*1.5 + group.slowStartAllowance)
		for id, moments := range group.slowStartSends {
			if n, from := largestCount(moments, time.Second); n > bound {
				t.Fatalf("%s got %d in the second from %v, at most %d; %d proxies", id, n, from, bound, len(group.proxies))
			}
		}
	})
}

// Runners in slow start are still used, by few proxies and by many that know each other's keys.
func TestSlowStartRunnersAreUsed(t *testing.T) {
	for _, n := range []int{1, 7, 18, 60} {
		runners := testRunners("api", 1)
		runners[0].SlowStartUntil = testStart + time.Hour
		keys := make([]uint64, n)
		for i := range keys {
			keys[i] = uint64(i+1) * 0x9e3779b97f4a7c15
		}
		sent := 0
		for i := range n {
			p := newTestPlacer(t, "m", uint64(i))
			p.SetServices(testStart, testServices())
			p.SetRunners(testStart, runners)
			p.SetPeers(testStart, keys[i], keys)
			for now := testStart; now < testStart+12*time.Second; now += 50 * time.Millisecond {
				p.Tick(now)
				r := testRequest(now, "api", testRoute())
				c, rejection := p.Place(now, r)
				if rejection == nil {
					sent++
					p.EndAttempt(now, p.StartAttempt(now, r, c), Succeeded, Progress{Duration: time.Millisecond})
				}
			}
		}
		if rate := float64(sent) / 10; rate < 4.5 || rate > 18 {
			t.Errorf("%d proxies send %.1f a second to a runner that bears 9", n, rate)
		}
	}
}

// Over all proxies together, attempts beyond the first of each request stay within the budget in every window.
func TestRetryBudgetHoldsOverAllProxies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		group := newProxyGroup(t, testRunners("api", 30))
		options := testOptions("m")
		eager := rapid.SampledFrom([]int{1, 4, 25}).Draw(t, "repeats wanted for each request")
		for group.now < testStart+35*time.Second {
			group.step(time.Duration(rapid.IntRange(50, 800).Draw(t, "ms")) * time.Millisecond)
			quiet := rapid.IntRange(0, 3).Draw(t, "quiet") == 0
			switch rapid.IntRange(0, 80).Draw(t, "event") {
			case 0:
				if len(group.proxies) < 30 {
					group.join()
				}
			case 1:
				i := rapid.IntRange(0, len(group.proxies)-1).Draw(t, "killed")
				key := group.proxies[i].key
				group.proxies = slices.Delete(group.proxies, i, i+1)
				group.join()
				group.proxies[len(group.proxies)-1].key = key
			}
			for _, proxy := range group.proxies {
				if quiet {
					continue
				}
				group.retryWhileAllowed(proxy, eager)
			}
		}
		group.checkBudget(options.RetryRatio, options.RetryAllowance, options.RetryWindow)
	})
}

// retryWhileAllowed sends a request and retries it for as long as the proxy allows.
func (g *proxyGroup) retryWhileAllowed(proxy *groupProxy, eager int) {
	route := testRoute()
	route.MaxAttempts = 1 + eager
	request := testRequest(g.now, "api", route)
	for try := range 1 + eager {
		if try > 0 && !proxy.placer.MayRetry(g.now, request) {
			return
		}
		choice, attempt := g.send(proxy, request)
		if attempt == nil {
			return
		}
		proxy.placer.EndAttempt(g.now, attempt, Interrupted, Progress{})
		request.TriedRunners = append(request.TriedRunners, choice.Runner)
		request.MayHaveRun = true
	}
}

// checkBudget checks every window that ends with a retry.
func (g *proxyGroup) checkBudget(ratio, extra float64, window time.Duration) {
	count := func(moments []time.Duration, from, to time.Duration) float64 {
		n := 0
		for _, at := range moments {
			if at >= from && at <= to {
				n++
			}
		}
		return float64(n)
	}
	for i := 0; i < len(g.retries); i += 1 + len(g.retries)/200 {
		to := g.retries[i]
		from := to - window
		requests := math.Max(count(g.requests, from, to),
			math.Max(count(g.requests, from-window, from), count(g.requests, from-window/2, to-window/2)))
		if n := count(g.retries, from, to); n > ratio*requests+extra {
			g.t.Fatalf("%v retries within the window until %v, for %v requests; %d proxies", n, to, requests, len(g.proxies))
		}
	}
}

// The budget is usable: a moderate rate of retries is allowed.
func TestRetryBudgetAllowsRetries(t *testing.T) {
	placer := startedTestPlacer(t, testRunners("api", 3))
	now := testStart + 20*time.Second
	allowed := 0
	for i := range 100 {
		now += 50 * time.Millisecond
		placer.Tick(now)
		r := testRequest(now, "api", testRoute())
		c, rejection := placer.Place(now, r)
		if rejection != nil {
			t.Fatal(rejection)
		}
		placer.EndAttempt(now, placer.StartAttempt(now, r, c), Succeeded, Progress{Duration: time.Millisecond})
		r.TriedRunners = []string{c.Runner}
		if i%10 == 0 && placer.MayRetry(now, r) {
			placer.EndAttempt(now, placer.StartAttempt(now, r, c), Succeeded, Progress{Duration: time.Millisecond})
			allowed++
		}
	}
	if allowed < 9 {
		t.Errorf("%d of 10 retries allowed", allowed)
	}
}

// An attempt without a connection costs no budget.
func TestFailedConnectionCostsNoRetryBudget(t *testing.T) {
	p := startedTestPlacer(t, testRunners("api", 30))
	now := testStart
	for i := range 100 {
		r := testRequest(now, "api", testRoute())
		for try := range 2 {
			if try > 0 && !p.MayRetry(now, r) {
				t.Fatalf("request %d: no second attempt", i)
			}
			c := Choice{Runner: fmt.Sprintf("api-%d", try)}
			a := p.StartAttempt(now, r, c)
			outcome := []Outcome{ConnectFailed, Succeeded}[try]
			r.RecordAttempt(c.Runner, outcome != ConnectFailed)
			p.EndAttempt(now, a, outcome, Progress{Duration: time.Millisecond})
		}
	}
}
