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

// fleet is several proxies with views that differ, in virtual time.
type fleet struct {
	t        *rapid.T
	now      time.Duration
	services []*configuration.Service
	runners  []Runner
	proxies  []*fleetProxy
	keys     bool // they know each other by keys
	seeds    uint64
	firsts   []time.Duration // requests that arrived
	repeats  []time.Duration // and what arrived beyond the first of each
	colds    map[string][]time.Duration
}

type fleetProxy struct {
	placer *Placer
	key    uint64
	born   time.Duration
	frozen time.Duration // until then
}

// newFleet draws a fleet; it begins long enough after its start that all know each other.
func newFleet(t *rapid.T, runners []Runner) *fleet {
	f := &fleet{t: t, now: testStart, services: testServices(), runners: runners, keys: rapid.Bool().Draw(t, "keys"),
		colds: map[string][]time.Duration{}}
	for range rapid.SampledFrom([]int{1, 2, 3, 7, 12, 24}).Draw(t, "proxies") {
		f.join()
	}
	for _, p := range f.proxies {
		f.tell(p)
	}
	return f
}

// join starts a proxy. It knows of all others at once; they learn of it later.
func (f *fleet) join() {
	f.seeds++
	placer, err := New(worldOptions([]string{"m", "t", "p"}[f.seeds%3]), f.seeds)
	if err != nil {
		f.t.Fatal(err)
	}
	p := &fleetProxy{placer: placer, key: f.seeds * 0x9e3779b97f4a7c15, born: f.now}
	f.proxies = append(f.proxies, p)
	placer.SetServices(f.now, f.services)
	placer.SetRunners(f.now, f.runners)
	f.tell(p)
}

// tell tells a proxy of all there are.
func (f *fleet) tell(p *fleetProxy) {
	if !f.keys {
		p.placer.SetProxyCount(f.now, len(f.proxies))
		return
	}
	var keys []uint64
	for _, x := range f.proxies {
		keys = append(keys, x.key)
	}
	p.placer.SetPeers(f.now, p.key, keys)
}

// step lets time pass. Each proxy that runs is told of those that began at least a second ago, which is well within the
// time for which a new one holds back.
func (f *fleet) step(d time.Duration) {
	f.now += d
	for _, p := range f.proxies {
		if f.now < p.frozen {
			continue
		}
		p.placer.Tick(f.now)
		f.tellOld(p)
	}
}

func (f *fleet) tellOld(p *fleetProxy) {
	n, keys := 0, []uint64{}
	for _, x := range f.proxies {
		if x == p || f.now-x.born >= time.Second || p.born >= x.born {
			n, keys = n+1, append(keys, x.key)
		}
	}
	if f.keys {
		p.placer.SetPeers(f.now, p.key, keys)
	} else {
		p.placer.SetProxyCount(f.now, n)
	}
}

// send has a proxy place a request, and sends it if it may.
func (f *fleet) send(p *fleetProxy, r *Request) (Choice, *Attempt) {
	if f.now < p.frozen {
		return Choice{}, nil
	}
	c, refusal := p.placer.Place(f.now, r)
	if refusal != nil {
		return c, nil
	}
	if len(r.TriedRunners) > 0 {
		f.repeats = append(f.repeats, f.now)
	} else {
		f.firsts = append(f.firsts, f.now)
	}
	for i := range f.runners {
		if w := &f.runners[i]; w.ID == c.Runner && f.now < w.SlowStartUntil {
			f.colds[w.ID] = append(f.colds[w.ID], f.now)
		}
	}
	a := p.placer.StartAttempt(f.now, r, c)
	return c, a
}

// most is the largest number of moments in any span.
func most(moments []time.Duration, span time.Duration) (n int, from time.Duration) {
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

// Summed over all proxies, those that began just now and those that slept included, no cold runner gets more in any second
// than the rule allows, however hard all of them press.
func TestAllProxiesTogetherSpareColdRunners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runners := testRunners("api", 3)
		for i := range runners {
			runners[i].SlowStartUntil = testStart + time.Hour
		}
		f := newFleet(t, runners)
		f.services[0].SlowStartRate = rapid.SampledFrom([]float64{0, 2, 9, 40}).Draw(t, "rate")
		for _, p := range f.proxies {
			p.placer.SetServices(f.now, f.services)
		}
		for f.now < testStart+6*time.Second {
			f.step(time.Duration(rapid.IntRange(1, 120).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 120).Draw(t, "event") {
			case 0:
				if len(f.proxies) < 30 {
					f.join()
				}
			case 1: // killed, and started again with nothing remembered
				i := rapid.IntRange(0, len(f.proxies)-1).Draw(t, "killed")
				key := f.proxies[i].key
				f.proxies = slices.Delete(f.proxies, i, i+1)
				f.join()
				f.proxies[len(f.proxies)-1].key = key
			case 2:
				p := f.proxies[rapid.IntRange(0, len(f.proxies)-1).Draw(t, "frozen")]
				p.frozen = f.now + time.Duration(rapid.IntRange(100, 3000).Draw(t, "for"))*time.Millisecond
			}
			for _, p := range f.proxies {
				for range 2 {
					f.send(p, testRequest(f.now, "api", testRoute()))
				}
			}
		}
		bound := int(f.services[0].SlowStartRate*1.5 + 5)
		for id, moments := range f.colds {
			if n, from := most(moments, time.Second); n > bound {
				t.Fatalf("%s got %d in the second from %v, at most %d; %d proxies", id, n, from, bound, len(f.proxies))
			}
		}
	})
}

// Cold runners are used all the same, by few proxies and by many that know each other.
func TestColdRunnersAreUsed(t *testing.T) {
	for _, n := range []int{1, 7, 18, 60} {
		runners := testRunners("api", 1)
		runners[0].SlowStartUntil = testStart + time.Hour
		keys := make([]uint64, n)
		for i := range keys {
			keys[i] = uint64(i+1) * 0x9e3779b97f4a7c15
		}
		sent := 0
		for i := range n {
			p := worldPlacer(t, "m", uint64(i))
			p.SetServices(testStart, testServices())
			p.SetRunners(testStart, runners)
			p.SetPeers(testStart, keys[i], keys)
			for now := testStart; now < testStart+12*time.Second; now += 50 * time.Millisecond {
				p.Tick(now)
				r := testRequest(now, "api", testRoute())
				c, refusal := p.Place(now, r)
				if refusal == nil {
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

// Summed over all proxies, what arrives beyond the first of each request stays within the budget in every window.
func TestAllProxiesTogetherKeepTheRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, testRunners("api", 30))
		options := worldOptions("m")
		eager := rapid.SampledFrom([]int{1, 4, 25}).Draw(t, "repeats wanted for each request")
		for f.now < testStart+35*time.Second {
			f.step(time.Duration(rapid.IntRange(50, 800).Draw(t, "ms")) * time.Millisecond)
			quiet := rapid.IntRange(0, 3).Draw(t, "quiet") == 0
			switch rapid.IntRange(0, 80).Draw(t, "event") {
			case 0:
				if len(f.proxies) < 30 {
					f.join()
				}
			case 1:
				i := rapid.IntRange(0, len(f.proxies)-1).Draw(t, "killed")
				key := f.proxies[i].key
				f.proxies = slices.Delete(f.proxies, i, i+1)
				f.join()
				f.proxies[len(f.proxies)-1].key = key
			}
			for _, p := range f.proxies {
				if quiet {
					continue
				}
				f.repeatedly(p, eager)
			}
		}
		f.checkBudget(options.RetryRatio, options.RetryAllowance, options.RetryWindow)
	})
}

// repeatedly has a proxy send a request, and again as often as it may.
func (f *fleet) repeatedly(p *fleetProxy, eager int) {
	route := testRoute()
	route.MaxAttempts = 1 + eager
	r := testRequest(f.now, "api", route)
	for try := range 1 + eager {
		if try > 0 && !p.placer.MayRetry(f.now, r) {
			return
		}
		c, a := f.send(p, r)
		if a == nil {
			return
		}
		p.placer.EndAttempt(f.now, a, Interrupted, Progress{})
		r.TriedRunners, r.MayHaveRun = append(r.TriedRunners, c.Runner), true
	}
}

// checkBudget checks every window that ends with a repeat.
func (f *fleet) checkBudget(ratio, extra float64, window time.Duration) {
	count := func(moments []time.Duration, from, to time.Duration) float64 {
		n := 0
		for _, at := range moments {
			if at >= from && at <= to {
				n++
			}
		}
		return float64(n)
	}
	for i := 0; i < len(f.repeats); i += 1 + len(f.repeats)/200 {
		to := f.repeats[i]
		from := to - window
		requests := math.Max(count(f.firsts, from, to),
			math.Max(count(f.firsts, from-window, from), count(f.firsts, from-window/2, to-window/2)))
		if n := count(f.repeats, from, to); n > ratio*requests+extra {
			f.t.Fatalf("%v repeats within the window until %v, for %v requests; %d proxies", n, to, requests, len(f.proxies))
		}
	}
}

// A repeat that nobody else would have to forgo is allowed: the budget is there to be used.
func TestTheRetryBudgetIsUsable(t *testing.T) {
	p := testPlacer(t, testRunners("api", 3))
	now := testStart + 20*time.Second
	allowed := 0
	for i := range 100 {
		now += 50 * time.Millisecond
		p.Tick(now)
		r := testRequest(now, "api", testRoute())
		c, refusal := p.Place(now, r)
		if refusal != nil {
			t.Fatal(refusal)
		}
		p.EndAttempt(now, p.StartAttempt(now, r, c), Succeeded, Progress{Duration: time.Millisecond})
		if r.TriedRunners = []string{c.Runner}; i%10 == 0 && p.MayRetry(now, r) {
			p.EndAttempt(now, p.StartAttempt(now, r, c), Succeeded, Progress{Duration: time.Millisecond})
			allowed++
		}
	}
	if allowed < 9 {
		t.Errorf("%d of 10 repeats allowed", allowed)
	}
}

// What never arrived costs no budget.
func TestAnAttemptThatNeverArrivedCostsNoBudget(t *testing.T) {
	p := testPlacer(t, testRunners("api", 30))
	now := testStart
	for i := range 100 {
		r := testRequest(now, "api", testRoute())
		for try := range 2 {
			if try > 0 && !p.MayRetry(now, r) {
				t.Fatalf("request %d: no second attempt", i)
			}
			c := Choice{Runner: fmt.Sprintf("api-%d", try)}
			a := p.StartAttempt(now, r, c)
			r.TriedRunners = append(r.TriedRunners, c.Runner)
			p.EndAttempt(now, a, []Outcome{ConnectFailed, Succeeded}[try], Progress{Duration: time.Millisecond})
		}
	}
}
