package placement

import (
	"fmt"
	"testing"
	"time"

	"cinderroad/internal/system/configuration"
)

const testStart = 100 * time.Second

// testRoute is a read-only route that may be tried thrice.
func testRoute() *configuration.Route {
	return &configuration.Route{Name: "r", Type: configuration.ReadOnly, LatencyTarget: 200 * time.Millisecond, Timeout: time.Second,
		MaxAttempts: 3}
}

// testServices are an engine and a service of few slots.
func testServices() []*configuration.Service {
	return []*configuration.Service{
		{Name: "api", MaxConnections: 100, SlowStartDuration: 3 * time.Second, SlowStartRate: 9},
		{Name: "llm", MaxConnections: 360, SlowStartDuration: 3 * time.Second, SlowStartRate: 9,
			Backend: &configuration.Backend{Capacity: 64, CacheTokens: 200000, TokensPerEvent: 4}},
	}
}

// testRunners are so many runners of a service, two in each of the zones m and t (west) and p (east) in turn.
func testRunners(service string, n int) []Runner {
	zones := []string{"m", "t", "p"}
	capacity := map[string]int{"api": 6, "llm": 64}[service]
	var runners []Runner
	for i := range n {
		zone := zones[i%3]
		runners = append(runners, Runner{ID: fmt.Sprintf("%s-%d", service, i), Service: service, Zone: zone,
			Region: zoneRegions()[zone], Capacity: capacity, Models: []string{"base"}})
	}
	return runners
}

// startedTestPlacer is a Placer that has been told of the runners, and counts among seven proxies.
func startedTestPlacer(t testing.TB, runners []Runner) *Placer {
	p := newTestPlacer(t, "m", 1)
	p.SetServices(testStart-5*time.Second, testServices())
	p.SetProxyCount(testStart-5*time.Second, 7)
	for at := testStart - 5*time.Second; at <= testStart; at += planPeriod {
		p.Tick(at)
	}
	p.SetRunners(testStart, runners)
	return p
}

func testRequest(now time.Duration, service string, route *configuration.Route) *Request {
	return &Request{Route: route, Service: service, Model: "base", ArrivedAt: now, Deadline: now + time.Second, InputTokens: 100,
		MaxOutputTokens: 50, Chunks: []Chunk{{1, 60}, {2, 40}}}
}

// exclusions are the ways in which a rule keeps a runner out, each by what is told of it.
func exclusions() map[string]func(p *Placer, runners []Runner, r *Request, now time.Duration) {
	all := func(change func(w *Runner)) func(*Placer, []Runner, *Request, time.Duration) {
		return func(p *Placer, runners []Runner, r *Request, now time.Duration) {
			for i := range runners {
				change(&runners[i])
			}
			p.SetRunners(now, runners)
		}
	}
	return map[string]func(p *Placer, runners []Runner, r *Request, now time.Duration){
		"draining":            all(func(w *Runner) { w.Draining = true }),
		"draining, with time": all(func(w *Runner) { w.Draining, w.TerminatesAt = true, testStart+time.Hour }),
		"gone too soon":       all(func(w *Runner) { w.TerminatesAt = testStart + 100*time.Millisecond }),
		"other models":        all(func(w *Runner) { w.Models = []string{"other"} }),
		"other service":       all(func(w *Runner) { w.Service = "other" }),
		"not listed": func(p *Placer, runners []Runner, r *Request, now time.Duration) {
			p.SetRunners(now, nil)
		},
		"evacuated": func(p *Placer, runners []Runner, r *Request, now time.Duration) {
			zones := map[string]bool{}
			for _, w := range runners {
				zones[w.Zone] = true
			}
			p.SetEvacuatedZones(now, zones)
		},
		"outside the homes": func(p *Placer, runners []Runner, r *Request, now time.Duration) {
			route := *r.Route
			route.HomeRegions = []string{"elsewhere"}
			r.Route = &route
		},
		"cold and over its share": func(p *Placer, runners []Runner, r *Request, now time.Duration) {
			for i := range runners {
				runners[i].SlowStartUntil = now + time.Minute
			}
			p.SetRunners(now, runners)
			for _, w := range runners {
				p.StartAttempt(now, testRequest(now, w.Service, r.Route), Choice{Runner: w.ID})
			}
		},
		"cold, and nobody counted the proxies": func(p *Placer, runners []Runner, r *Request, now time.Duration) {
			for i := range runners {
				runners[i].SlowStartUntil = now + time.Minute
			}
			p.SetRunners(now, runners)
			p.proxyCount = 0
		},
		"cold, and this proxy has just begun": func(p *Placer, runners []Runner, r *Request, now time.Duration) {
			for i := range runners {
				runners[i].SlowStartUntil = now + time.Minute
			}
			p.SetRunners(now, runners)
			p.countedFrom = now + time.Millisecond
		},
		"cold, and of more proxies others may use it": func(p *Placer, runners []Runner, r *Request, now time.Duration) {
			for i := range runners {
				runners[i].SlowStartUntil = now + time.Minute
			}
			p.SetRunners(now, runners)
			p.SetProxyCount(now, 300)
		},
		"no connection left": func(p *Placer, runners []Runner, r *Request, now time.Duration) {
			for _, w := range runners {
				for range p.connectionLimit(p.runners[w.ID]) {
					p.StartAttempt(now, testRequest(now, w.Service, r.Route), Choice{Runner: w.ID})
				}
			}
		},
	}
}

// Whatever keeps all runners of a zone out keeps them out of the ordinary pick, of the fallback to the runner least over
// its ceiling, and of repeats, the last of which have nobody else left.
func TestEligibilityHoldsOnEveryPath(t *testing.T) {
	for _, service := range []string{"api", "llm"} {
		for name, exclude := range exclusions() {
			t.Run(service+", "+name, func(t *testing.T) { testEligibility(t, service, exclude) })
		}
	}
}

func testEligibility(t *testing.T, service string, exclude func(p *Placer, runners []Runner, r *Request, now time.Duration)) {
	for path, prepare := range map[string]func(p *Placer, r *Request){
		"pick":     func(p *Placer, r *Request) {},
		"fallback": func(p *Placer, r *Request) { overload(p, 1000) },
		"set aside": func(p *Placer, r *Request) {
			for _, w := range p.runners {
				w.ejection.EjectedUntil, w.saturatedUntil = (testStart + time.Hour).Seconds(), testStart+time.Hour
			}
		},
		"repeat": func(p *Placer, r *Request) {
			r.TriedRunners = []string{service + "-1"}
			p.services[service].retryBudget.record(testStart, p.options.RetryWindow, false)
		},
		"every other tried": func(p *Placer, r *Request) { r.TriedRunners = []string{service + "-1", service + "-2"} },
	} {
		now := testStart
		runners := testRunners(service, 3)
		p := startedTestPlacer(t, runners)
		r := testRequest(now, service, testRoute())
		prepare(p, r)
		if c, refusal := p.Place(now, r); refusal != nil || c.Runner == "" {
			t.Fatalf("%s: nobody may take it from the start: %v", path, refusal)
		}
		exclude(p, runners, r, now)
		c, refusal := p.Place(now, r)
		if refusal == nil {
			t.Fatalf("%s: sent to %s", path, c.Runner)
		}
		if refusal.RetryAfter <= 0 || refusal.RetryAfter > time.Second || refusal.Reason == "" {
			t.Errorf("%s: refusal %+v", path, refusal)
		}
	}
}

// overload puts so much load on every runner that none has room.
func overload(p *Placer, load float64) {
	for _, w := range p.runners {
		w.spareSlots, w.load, w.utilization = -load, load, 0
	}
}

// One runner that may take the request gets it, whatever keeps the others out, and however full it is.
func TestOnlyEligibleRunnerIsSelected(t *testing.T) {
	for _, service := range []string{"api", "llm"} {
		for _, full := range []bool{false, true} {
			runners := testRunners(service, 6)
			for i := range runners[:5] {
				runners[i].Draining = true
			}
			p := startedTestPlacer(t, runners)
			if full {
				overload(p, 3)
			}
			c, refusal := p.Place(testStart, testRequest(testStart, service, testRoute()))
			if refusal != nil || c.Runner != service+"-5" {
				t.Errorf("%s: %+v %+v", service, c, refusal)
			}
		}
	}
}

func TestMostSpareCapacityInOwnRegionFirst(t *testing.T) {
	p := startedTestPlacer(t, testRunners("api", 6))
	room := func(rooms ...float64) {
		for i, v := range rooms {
			p.runners[fmt.Sprintf("api-%d", i)].spareSlots = v
		}
	}
	for _, test := range []struct {
		name  string
		rooms []float64 // of m, t, p, m, t, p
		want  string
	}{
		{"most room", []float64{2, 3, 9, 2, 5, 9}, "api-4"},
		{"the own zone where rooms are about alike", []float64{2, 2, 9, 5, 5.2, 9}, "api-3"},
		{"the other region where the own has none", []float64{0, -1, 3, 0, 0.5, 4}, "api-5"},
		{"least over its ceiling where nobody has room", []float64{-9, -8, -2, -9, -8, -3}, "api-2"},
	} {
		room(test.rooms...)
		got, refusal := p.Place(testStart, testRequest(testStart, "api", testRoute()))
		if refusal != nil || got.Runner != test.want {
			t.Errorf("%s: %+v %+v, not %s", test.name, got, refusal, test.want)
		}
	}
}

// Each send lowers the room, and its end gives it back.
func TestCapacityIsReservedAndReleased(t *testing.T) {
	for _, service := range []string{"api", "llm"} {
		p := startedTestPlacer(t, testRunners(service, 3))
		now := testStart
		w := p.runners[service+"-0"]
		room, tokens := w.spareSlots, w.spareTokens
		r := testRequest(now, service, testRoute())
		a := p.StartAttempt(now, r, Choice{Runner: w.ID})
		if w.spareSlots >= room || service == "llm" && w.spareTokens >= tokens {
			t.Errorf("%s: the send has not lowered room", service)
		}
		p.HandleFirstEvent(now+time.Millisecond, a)
		p.HandleEvent(now+2*time.Millisecond, a)
		p.EndAttempt(now+3*time.Millisecond, a, Succeeded, Progress{TimeToFirstEvent: time.Millisecond, Events: 2, Duration: 3 * time.Millisecond})
		p.EndAttempt(now+3*time.Millisecond, a, Succeeded, Progress{}) // told twice
		if w.spareSlots != room || w.spareTokens != tokens || w.ownUsage != (usage{}) || w.ownAttempts != 0 || w.pending.head != nil {
			t.Errorf("%s: %+v after the end", service, w)
		}
	}
}

func TestTiesAreBrokenEvenly(t *testing.T) {
	runners := testRunners("api", 6)
	for i := range runners {
		runners[i].Zone, runners[i].Region = "t", "west"
	}
	p := startedTestPlacer(t, runners)
	seen := map[string]int{}
	for range 6000 {
		c, _ := p.Place(testStart, testRequest(testStart, "api", testRoute()))
		seen[c.Runner]++
	}
	for id, n := range seen {
		if n < 850 || n > 1150 {
			t.Errorf("%s: %d of 6000", id, n)
		}
	}
}

func TestRunnerAtUtilizationLimitHasNoSpareCapacity(t *testing.T) {
	p := startedTestPlacer(t, testRunners("llm", 3))
	s, w := p.services["llm"], p.runners["llm-0"]
	s.prefillSpeed = 40000
	w.excessWait = p.latencyTarget // its prompts have waited as long as an answer may take
	p.planService(testStart, s)
	if w.spareSlots > 0 {
		t.Errorf("room %v at utilization %v", w.spareSlots, w.utilization)
	}
	c, _ := p.Place(testStart, testRequest(testStart, "llm", testRoute()))
	if c.Runner != "llm-1" {
		t.Errorf("sent to %s", c.Runner)
	}
}

func TestUnobservedRunnerGetsMeanSpareCapacity(t *testing.T) {
	p := startedTestPlacer(t, testRunners("api", 3))
	s := p.services["api"]
	for i, own := range []float64{2, 4, 0} {
		w := s.runners[i]
		w.ownUsage.slots, w.ejection.Observed = own, i < 2
	}
	p.planService(testStart, s)
	if got, want := s.runners[2].spareSlots, (s.runners[0].spareSlots+s.runners[1].spareSlots)/2; got != want {
		t.Errorf("room %v, not the mean %v", got, want)
	}
}

func TestRepeatedOverloadLowersLimits(t *testing.T) {
	p := startedTestPlacer(t, testRunners("api", 3))
	w := p.runners["api-0"]
	before := w.limits
	fail := func(n int) {
		for range n {
			w.load = 6
			a := p.StartAttempt(testStart, testRequest(testStart, "api", testRoute()), Choice{Runner: w.ID})
			p.EndAttempt(testStart+time.Millisecond, a, Rejected, Progress{})
		}
	}
	fail(1)
	if w.limits.Load != before.Load {
		t.Error("one failure has cut the ceiling")
	}
	fail(1)
	if w.limits.Load >= before.Load || w.limits.Utilization >= before.Utilization {
		t.Error("two failures have not cut both ceilings")
	}
	fail(100)
	if w.limits.Load < 0.5*w.slots || w.limits.Utilization < 0.8 {
		t.Errorf("below the floor: %+v", w.limits)
	}
	cut := w.limits
	for now := testStart; now < testStart+20*time.Second; now += planPeriod {
		p.Tick(now)
	}
	if w.limits.Load <= cut.Load || w.limits.Utilization <= cut.Utilization {
		t.Error("time has not raised the ceilings")
	}
}

func TestSuspectRunnerIsProbedByOneRequest(t *testing.T) {
	for _, outcome := range []Outcome{TimedOut, ConnectFailed, Misdirected} {
		p := startedTestPlacer(t, testRunners("api", 6))
		now := testStart
		w := p.runners["api-0"]
		a := p.StartAttempt(now, testRequest(now, "api", testRoute()), Choice{Runner: w.ID})
		p.EndAttempt(now, a, outcome, Progress{})
		for range 50 {
			if c, _ := p.Place(now, testRequest(now, "api", testRoute())); c.Runner == w.ID {
				t.Fatalf("outcome %d: sent there at once", outcome)
			}
		}
		for end := now + 6*time.Second; now < end; now += planPeriod {
			p.Tick(now)
		}
		for _, other := range p.runners {
			if other != w {
				other.spareSlots = -5
			}
		}
		w.spareSlots, w.ejection.EjectedUntil = 5, 0
		c, _ := p.Place(now, testRequest(now, "api", testRoute()))
		if c.Runner != w.ID {
			t.Fatalf("outcome %d: never tried again: %+v", outcome, w)
		}
		probe := p.StartAttempt(now, testRequest(now, "api", testRoute()), c)
		w.slowStartNextAt = 0
		if c, _ := p.Place(now, testRequest(now, "api", testRoute())); c.Runner == w.ID {
			t.Fatalf("outcome %d: a second one while the first is out", outcome)
		}
		p.HandleFirstEvent(now, probe)
		if w.suspect {
			t.Errorf("outcome %d: it answers and is still suspect", outcome)
		}
	}
}

func TestSharedFaultMakesNoRunnerUnavailable(t *testing.T) {
	p := startedTestPlacer(t, testRunners("api", 6))
	now := testStart
	for id := range p.runners {
		a := p.StartAttempt(now, testRequest(now, "api", testRoute()), Choice{Runner: id})
		p.EndAttempt(now, a, ConnectFailed, Progress{})
	}
	for _, w := range p.runners {
		w.slowStartNextAt = 0
	}
	if _, refusal := p.Place(now, testRequest(now, "api", testRoute())); refusal != nil {
		t.Error(refusal)
	}
}

// Where most are suspect, those left are not drowned: whoever is full shares with those.
func TestRemainingRunnersAreNotOverloaded(t *testing.T) {
	p := startedTestPlacer(t, testRunners("api", 6))
	p.services["api"].SlowStartDuration = 0
	now := testStart
	for i := range 5 {
		a := p.StartAttempt(now, testRequest(now, "api", testRoute()), Choice{Runner: fmt.Sprintf("api-%d", i)})
		p.EndAttempt(now, a, ConnectFailed, Progress{})
	}
	if c, _ := p.Place(now, testRequest(now, "api", testRoute())); c.Runner != "api-5" {
		t.Errorf("sent to %s while api-5 has room", c.Runner)
	}
	p.runners["api-5"].spareSlots = -10
	for _, w := range p.runners {
		w.ejection.EjectedUntil = 0
	}
	if c, _ := p.Place(now, testRequest(now, "api", testRoute())); c.Runner == "api-5" || c.Runner == "" {
		t.Errorf("sent to %q, which is far over its ceiling", c.Runner)
	}
}

// sendAndCancel sends a request whose client leaves at once.
func sendAndCancel(p *Placer, now time.Duration, id string) {
	p.EndAttempt(now, p.StartAttempt(now, testRequest(now, "api", testRoute()), Choice{Runner: id}), Cancelled, Progress{})
}

// What was sent to a runner just before it was known to be cold counts against its share, and so does what goes to one
// that was silent, or whose zone was evacuated, until the list has had time to tell.
func TestPossiblySlowStartingRunnerIsLimited(t *testing.T) {
	now := testStart
	for name, prepare := range map[string]func(p *Placer, runners []Runner){
		"told": func(p *Placer, runners []Runner) {
			runners[0].SlowStartUntil = now + time.Minute
			p.SetRunners(now, runners)
		},
		"evacuated": func(p *Placer, runners []Runner) {
			p.SetEvacuatedZones(now, map[string]bool{"m": true})
			p.SetEvacuatedZones(now, map[string]bool{})
			sendAndCancel(p, now, "api-0")
		},
		"silent": func(p *Placer, runners []Runner) {
			w := p.runners["api-0"]
			w.markSuspect(now)
			a := p.StartAttempt(now, testRequest(now, "api", testRoute()), Choice{Runner: "api-0"})
			p.HandleFirstEvent(now, a)
			p.EndAttempt(now, a, Cancelled, Progress{})
		},
	} {
		runners := testRunners("api", 1)
		p := startedTestPlacer(t, runners)
		sendAndCancel(p, now, "api-0")
		prepare(p, runners)
		if c, refusal := p.Place(now+900*time.Millisecond, testRequest(now, "api", testRoute())); refusal == nil {
			t.Errorf("%s: sent to %s within the second", name, c.Runner)
		}
		p.Tick(now + 900*time.Millisecond)
		later := now + 1100*time.Millisecond
		if _, refusal := p.Place(later, testRequest(later, "api", testRoute())); refusal != nil {
			t.Errorf("%s: not sent after it: %+v", name, refusal)
		}
	}
}

func TestFailingRunnerIsEjected(t *testing.T) {
	p := startedTestPlacer(t, testRunners("api", 3))
	now := testStart
	failed := 0
	for range 400 {
		now += 5 * time.Millisecond
		p.Tick(now)
		r := testRequest(now, "api", testRoute())
		c, refusal := p.Place(now, r)
		if refusal != nil {
			t.Fatal(refusal)
		}
		a := p.StartAttempt(now, r, c)
		if c.Runner == "api-0" {
			failed++
			p.EndAttempt(now, a, Failed, Progress{Duration: time.Millisecond})
			continue
		}
		p.EndAttempt(now+4*time.Millisecond, a, Succeeded, Progress{TimeToFirstEvent: 4 * time.Millisecond, Duration: 4 * time.Millisecond})
	}
	if failed > 40 {
		t.Errorf("%d of 400 went to a runner that fails all", failed)
	}
}

func TestPriorityFollowsRank(t *testing.T) {
	for rank, want := range []int{3, 5, 7, 9, 9} {
		p := startedTestPlacer(t, testRunners("llm", 3))
		route := testRoute()
		route.Rank = rank
		if c, _ := p.Place(testStart, testRequest(testStart, "llm", route)); c.Priority != want {
			t.Errorf("rank %d: priority %d", rank, c.Priority)
		}
	}
	p := startedTestPlacer(t, testRunners("api", 3))
	if c, _ := p.Place(testStart, testRequest(testStart, "api", testRoute())); c.Priority != -1 {
		t.Errorf("priority %d for a service that is no engine", c.Priority)
	}
}

// A prompt larger than what is free goes to a runner that has it free.
func TestRunnerWithEnoughFreeTokensIsPreferred(t *testing.T) {
	p := startedTestPlacer(t, testRunners("llm", 6))
	for id, w := range p.runners {
		w.spareTokens = 500
		if id == "llm-4" {
			w.spareTokens, w.spareSlots = 5000, 2
		}
	}
	r := testRequest(testStart, "llm", testRoute())
	r.InputTokens, r.Chunks = 2000, []Chunk{{7, 2000}}
	if c, _ := p.Place(testStart, r); c.Runner != "llm-4" {
		t.Errorf("sent to %+v", c)
	}
	r.InputTokens, r.Chunks = 300000, []Chunk{{7, 300000}}
	if c, refusal := p.Place(testStart, r); refusal == nil {
		t.Errorf("larger than any memory, and sent to %+v", c)
	}
}

func TestRejectionRequiresOccupiedSlots(t *testing.T) {
	p := startedTestPlacer(t, testRunners("api", 3))
	for _, w := range p.runners {
		w.spareSlots, w.occupiedSlots, w.excessWait = -1, 1, 10
	}
	if _, refusal := p.Place(testStart, testRequest(testStart, "api", testRoute())); refusal != nil {
		t.Errorf("refused with places free: %+v", refusal)
	}
	for _, w := range p.runners {
		w.occupiedSlots = 6
	}
	if _, refusal := p.Place(testStart, testRequest(testStart, "api", testRoute())); refusal == nil {
		t.Error("sent where it would wait ten times its time")
	}
}

func TestMayRetry(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(r *Request)
		want   bool
	}{
		{"idempotent", func(r *Request) { r.MayHaveRun = true }, true},
		{"writes, surely not run", func(r *Request) { r.Route.Type = configuration.ReadWrite }, true},
		{"writes, may have run", func(r *Request) { r.Route.Type, r.MayHaveRun = configuration.ReadWrite, true }, false},
		{"a stream", func(r *Request) { r.Route.Type, r.MayHaveRun = configuration.Streaming, true }, false},
		{"a stream that may be resumed", func(r *Request) {
			r.Route.Type, r.Route.Resumable, r.MayHaveRun = configuration.Streaming, true, true
		}, true},
		{"tries used up", func(r *Request) { r.TriedRunners = []string{"a", "b", "c"} }, false},
		{"too late", func(r *Request) { r.Deadline = testStart }, false},
		{"another service", func(r *Request) { r.Service = "none" }, false},
	} {
		p := startedTestPlacer(t, testRunners("api", 3))
		r := testRequest(testStart, "api", testRoute())
		r.TriedRunners = []string{"a"}
		test.change(r)
		if got := p.MayRetry(testStart, r); got != test.want {
			t.Errorf("%s: %v", test.name, got)
		}
	}
}

func TestPlaceDoesNotAllocate(t *testing.T) {
	for _, service := range []string{"api", "llm"} {
		p := startedTestPlacer(t, testRunners(service, 12))
		route := testRoute()
		route.PrefixAffinity = true
		r := testRequest(testStart, service, route)
		p.Place(testStart, r)
		if n := testing.AllocsPerRun(1000, func() { p.Place(testStart, r) }); n > 0 {
			t.Errorf("%s: %v allocations", service, n)
		}
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, service := range []string{"api", "llm"} {
		for _, runners := range []int{10, 100, 1000} {
			b.Run(fmt.Sprint(service, "/", runners), func(b *testing.B) {
				p := startedTestPlacer(b, testRunners(service, runners))
				route := testRoute()
				route.PrefixAffinity = true
				r := testRequest(testStart, service, route)
				b.ReportAllocs()
				for b.Loop() {
					p.Place(testStart, r)
				}
			})
		}
	}
}

func TestOptionsErrorsNameTheField(t *testing.T) {
	if _, err := New(testOptions("m"), 1); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(o *Options){
		"Zone": func(o *Options) { o.Zone = "" }, "Region": func(o *Options) { o.Region = "" },
		"RetryRatio": func(o *Options) { o.RetryRatio = -1 }, "RetryWindow": func(o *Options) { o.RetryWindow = 0 },
		"RetryExtra": func(o *Options) { o.RetryAllowance = -1 }, "ColdExcess": func(o *Options) { o.SlowStartFactor = -1 },
		"ColdSlack": func(o *Options) { o.SlowStartAllowance = -1 },
	} {
		o := testOptions("m")
		change(&o)
		if _, err := New(o, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
