package placement

import (
	"fmt"
	"testing"
	"time"

	"cinderroad/internal/system/configuration"
)

const testStart = 100 * time.Second

// testRoute is a read-only route with three attempts.
func testRoute() *configuration.Route {
	return &configuration.Route{
		Name:          "r",
		Type:          configuration.ReadOnly,
		LatencyTarget: 200 * time.Millisecond,
		Timeout:       time.Second,
		MaxAttempts:   3,
	}
}

// testServices are an engine and a service of few slots.
func testServices() []*configuration.Service {
	return []*configuration.Service{
		{Name: "api", MaxConnections: 100, SlowStartDuration: 3 * time.Second, SlowStartRate: 9},
		{
			Name:              "llm",
			MaxConnections:    360,
			SlowStartDuration: 3 * time.Second,
			SlowStartRate:     9,
			Backend:           &configuration.Backend{Capacity: 64, CacheTokens: 200000, TokensPerEvent: 4},
		},
	}
}

// testRunners returns n runners of a service, in the zones m, t (region west) and p (region east) in turn.
func testRunners(service string, n int) []Runner {
	zones := []string{"m", "t", "p"}
	capacity := map[string]int{"api": 6, "llm": 64}[service]
	var runners []Runner
	for i := range n {
		zone := zones[i%3]
		runners = append(runners, Runner{
			ID:       fmt.Sprintf("%s-%d", service, i),
			Service:  service,
			Zone:     zone,
			Region:   zoneRegions()[zone],
			Capacity: capacity,
			Models:   []string{"base"},
		})
	}
	return runners
}

// startedTestPlacer returns a Placer that knows the runners and has been one of seven proxies for five seconds.
func startedTestPlacer(t testing.TB, runners []Runner) *Placer {
	t.Helper()
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
	return &Request{
		Route:           route,
		Service:         service,
		Model:           "base",
		ArrivedAt:       now,
		Deadline:        now + time.Second,
		InputTokens:     100,
		MaxOutputTokens: 50,
		Chunks:          []Chunk{{1, 60}, {2, 40}},
	}
}

// overload puts so much load on every runner that none has spare capacity.
func overload(p *Placer, load float64) {
	for _, runner := range p.runners {
		runner.spareSlots = -load
		runner.load = load
		runner.utilization = 0
	}
}

// A single eligible runner is selected, however full it is.
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
			c, rejection := p.Place(testStart, testRequest(testStart, service, testRoute()))
			if rejection != nil || c.Runner != service+"-5" {
				t.Errorf("%s: %+v %+v", service, c, rejection)
			}
		}
	}
}

func TestMostSpareCapacityInOwnRegionFirst(t *testing.T) {
	placer := startedTestPlacer(t, testRunners("api", 6))
	setSpareSlots := func(spareSlots ...float64) {
		for i, v := range spareSlots {
			placer.runners[fmt.Sprintf("api-%d", i)].spareSlots = v
		}
	}
	for _, test := range []struct {
		name       string
		spareSlots []float64 // of the runners in m, t, p, m, t, p
		want       string
	}{
		{"most spare capacity", []float64{2, 3, 9, 2, 5, 9}, "api-4"},
		{"the own zone where spare capacities are about alike", []float64{2, 2, 9, 5, 5.2, 9}, "api-3"},
		{"the other region where the own has none", []float64{0, -1, 3, 0, 0.5, 4}, "api-5"},
		{"least over its limit where none has spare capacity", []float64{-9, -8, -2, -9, -8, -3}, "api-2"},
	} {
		setSpareSlots(test.spareSlots...)
		got, rejection := placer.Place(testStart, testRequest(testStart, "api", testRoute()))
		if rejection != nil || got.Runner != test.want {
			t.Errorf("%s: %+v %+v, not %s", test.name, got, rejection, test.want)
		}
	}
}

// An attempt lowers the spare capacity of its runner, and its end restores it.
func TestCapacityIsReservedAndReleased(t *testing.T) {
	for _, service := range []string{"api", "llm"} {
		placer := startedTestPlacer(t, testRunners(service, 3))
		now := testStart
		runner := placer.runners[service+"-0"]
		spareSlots, tokens := runner.spareSlots, runner.spareTokens
		r := testRequest(now, service, testRoute())
		a := placer.StartAttempt(now, r, Choice{Runner: runner.ID})
		if runner.spareSlots >= spareSlots || service == "llm" && runner.spareTokens >= tokens {
			t.Errorf("%s: the send has not lowered the spare capacity", service)
		}
		placer.HandleFirstEvent(now+time.Millisecond, a)
		placer.HandleEvent(now+2*time.Millisecond, a)
		placer.EndAttempt(now+3*time.Millisecond, a, Succeeded, Progress{
			TimeToFirstEvent: time.Millisecond,
			Events:           2,
			Duration:         3 * time.Millisecond,
		})
		placer.EndAttempt(now+3*time.Millisecond, a, Succeeded, Progress{}) // ended twice
		released := runner.ownUsage == usage{} && runner.ownAttempts == 0 && runner.pending.First() == nil
		if runner.spareSlots != spareSlots || runner.spareTokens != tokens || !released {
			t.Errorf("%s: %+v after the end", service, runner)
		}
	}
}

func TestTiesAreBrokenEvenly(t *testing.T) {
	runners := testRunners("api", 6)
	for i := range runners {
		runners[i].Zone = "t"
		runners[i].Region = "west"
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
	s, runner := p.services["llm"], p.runners["llm-0"]
	s.prefillSpeed = 40000
	runner.excessWait = p.latencyTarget // its prompts have waited as long as an answer may take
	p.planService(testStart, s)
	if runner.spareSlots > 0 {
		t.Errorf("spare slots %v at utilization %v", runner.spareSlots, runner.utilization)
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
		runner := s.runners[i]
		runner.ownUsage.slots = own
		runner.ejection.Observed = i < 2
	}
	p.planService(testStart, s)
	if got, want := s.runners[2].spareSlots, (s.runners[0].spareSlots+s.runners[1].spareSlots)/2; got != want {
		t.Errorf("spare slots %v, not the mean %v", got, want)
	}
}

func TestRepeatedOverloadLowersLimits(t *testing.T) {
	placer := startedTestPlacer(t, testRunners("api", 3))
	runner := placer.runners["api-0"]
	before := runner.limits
	fail := func(n int) {
		for range n {
			runner.load = 6
			a := placer.StartAttempt(testStart, testRequest(testStart, "api", testRoute()), Choice{Runner: runner.ID})
			placer.EndAttempt(testStart+time.Millisecond, a, Rejected, Progress{})
		}
	}
	fail(1)
	if runner.limits.Load != before.Load {
		t.Error("one failure has cut the limit")
	}
	fail(1)
	if runner.limits.Load >= before.Load || runner.limits.Utilization >= before.Utilization {
		t.Error("two failures have not cut both limits")
	}
	fail(100)
	if runner.limits.Load < 0.5*runner.slots || runner.limits.Utilization < 0.8 {
		t.Errorf("below the floor: %+v", runner.limits)
	}
	cut := runner.limits
	for now := testStart; now < testStart+20*time.Second; now += planPeriod {
		placer.Tick(now)
	}
	if runner.limits.Load <= cut.Load || runner.limits.Utilization <= cut.Utilization {
		t.Error("time has not raised the limits")
	}
}

func TestSuspectRunnerIsProbedByOneRequest(t *testing.T) {
	for _, outcome := range []Outcome{TimedOut, ConnectFailed, Misdirected} {
		placer := startedTestPlacer(t, testRunners("api", 6))
		now := testStart
		runner := placer.runners["api-0"]
		a := placer.StartAttempt(now, testRequest(now, "api", testRoute()), Choice{Runner: runner.ID})
		placer.EndAttempt(now, a, outcome, Progress{})
		for range 50 {
			if c, _ := placer.Place(now, testRequest(now, "api", testRoute())); c.Runner == runner.ID {
				t.Fatalf("outcome %d: sent there at once", outcome)
			}
		}
		for end := now + 6*time.Second; now < end; now += planPeriod {
			placer.Tick(now)
		}
		for _, other := range placer.runners {
			if other != runner {
				other.spareSlots = -5
			}
		}
		runner.spareSlots = 5
		runner.ejection.EjectedUntil = 0
		c, _ := placer.Place(now, testRequest(now, "api", testRoute()))
		if c.Runner != runner.ID {
			t.Fatalf("outcome %d: never tried again: %+v", outcome, runner)
		}
		probe := placer.StartAttempt(now, testRequest(now, "api", testRoute()), c)
		runner.slowStartNextAt = 0
		if c, _ := placer.Place(now, testRequest(now, "api", testRoute())); c.Runner == runner.ID {
			t.Fatalf("outcome %d: a second one while the first is out", outcome)
		}
		placer.HandleFirstEvent(now, probe)
		if runner.suspect {
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
	for _, runner := range p.runners {
		runner.slowStartNextAt = 0
	}
	if _, rejection := p.Place(now, testRequest(now, "api", testRoute())); rejection != nil {
		t.Error(rejection)
	}
}

// If most runners are suspect, the others are not overloaded: what exceeds their capacity goes to suspect ones.
func TestRemainingRunnersAreNotOverloaded(t *testing.T) {
	placer := startedTestPlacer(t, testRunners("api", 6))
	placer.services["api"].SlowStartDuration = 0
	now := testStart
	for i := range 5 {
		a := placer.StartAttempt(now, testRequest(now, "api", testRoute()), Choice{Runner: fmt.Sprintf("api-%d", i)})
		placer.EndAttempt(now, a, ConnectFailed, Progress{})
	}
	if c, _ := placer.Place(now, testRequest(now, "api", testRoute())); c.Runner != "api-5" {
		t.Errorf("sent to %s while api-5 has spare capacity", c.Runner)
	}
	placer.runners["api-5"].spareSlots = -10
	for _, runner := range placer.runners {
		runner.ejection.EjectedUntil = 0
	}
	if c, _ := placer.Place(now, testRequest(now, "api", testRoute())); c.Runner == "api-5" || c.Runner == "" {
		t.Errorf("sent to %q, which is far over its limit", c.Runner)
	}
}

// completeAttempt sends a request as chosen and receives its whole answer at once.
func completeAttempt(p *Placer, now time.Duration, request *Request, choice Choice) {
	attempt := p.StartAttempt(now, request, choice)
	p.EndAttempt(now, attempt, Succeeded, Progress{TimeToFirstEvent: time.Millisecond, Duration: time.Millisecond})
}

// sendAndCancel sends a request whose client disconnects at once.
func sendAndCancel(p *Placer, now time.Duration, id string) {
	p.EndAttempt(now, p.StartAttempt(now, testRequest(now, "api", testRoute()), Choice{Runner: id}), Cancelled, Progress{})
}

// An attempt just before a runner was known to be in slow start counts against its share. A runner that was suspect, or whose
// zone was evacuated, counts as in slow start until the membership feed has had time to show it.
func TestPossiblySlowStartingRunnerIsLimited(t *testing.T) {
	now := testStart
	for name, prepare := range map[string]func(p *Placer, runners []Runner){
		"listed": func(p *Placer, runners []Runner) {
			runners[0].SlowStartUntil = now + time.Minute
			p.SetRunners(now, runners)
		},
		"evacuated": func(p *Placer, runners []Runner) {
			p.SetEvacuatedZones(now, map[string]bool{"m": true})
			p.SetEvacuatedZones(now, map[string]bool{})
			sendAndCancel(p, now, "api-0")
		},
		"silent": func(p *Placer, runners []Runner) {
			runner := p.runners["api-0"]
			runner.markSuspect(now)
			a := p.StartAttempt(now, testRequest(now, "api", testRoute()), Choice{Runner: "api-0"})
			p.HandleFirstEvent(now, a)
			p.EndAttempt(now, a, Cancelled, Progress{})
		},
	} {
		runners := testRunners("api", 1)
		p := startedTestPlacer(t, runners)
		sendAndCancel(p, now, "api-0")
		prepare(p, runners)
		if c, rejection := p.Place(now+900*time.Millisecond, testRequest(now, "api", testRoute())); rejection == nil {
			t.Errorf("%s: sent to %s within the second", name, c.Runner)
		}
		p.Tick(now + 900*time.Millisecond)
		later := now + 1100*time.Millisecond
		if _, rejection := p.Place(later, testRequest(later, "api", testRoute())); rejection != nil {
			t.Errorf("%s: not sent after it: %+v", name, rejection)
		}
	}
}

func TestFailingRunnerIsEjected(t *testing.T) {
	placer := startedTestPlacer(t, testRunners("api", 3))
	now := testStart
	failed := 0
	for range 400 {
		now += 5 * time.Millisecond
		placer.Tick(now)
		r := testRequest(now, "api", testRoute())
		c, rejection := placer.Place(now, r)
		if rejection != nil {
			t.Fatal(rejection)
		}
		a := placer.StartAttempt(now, r, c)
		if c.Runner == "api-0" {
			failed++
			placer.EndAttempt(now, a, Failed, Progress{Duration: time.Millisecond})
			continue
		}
		placer.EndAttempt(now+4*time.Millisecond, a, Succeeded, Progress{
			TimeToFirstEvent: 4 * time.Millisecond,
			Duration:         4 * time.Millisecond,
		})
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

// A prompt goes to a runner with enough free tokens.
func TestRunnerWithEnoughFreeTokensIsPreferred(t *testing.T) {
	placer := startedTestPlacer(t, testRunners("llm", 6))
	for id, runner := range placer.runners {
		runner.spareTokens = 500
		if id == "llm-4" {
			runner.spareTokens = 5000
			runner.spareSlots = 2
		}
	}
	r := testRequest(testStart, "llm", testRoute())
	r.InputTokens = 2000
	r.Chunks = []Chunk{{7, 2000}}
	if c, _ := placer.Place(testStart, r); c.Runner != "llm-4" {
		t.Errorf("sent to %+v", c)
	}
	r.InputTokens = 300000
	r.Chunks = []Chunk{{7, 300000}}
	if c, rejection := placer.Place(testStart, r); rejection == nil {
		t.Errorf("larger than any memory, and sent to %+v", c)
	}
}

func TestRejectionRequiresOccupiedSlots(t *testing.T) {
	p := startedTestPlacer(t, testRunners("api", 3))
	for _, runner := range p.runners {
		runner.spareSlots = -1
		runner.occupiedSlots = 1
		runner.excessWait = 10
	}
	if _, rejection := p.Place(testStart, testRequest(testStart, "api", testRoute())); rejection != nil {
		t.Errorf("rejected with places free: %+v", rejection)
	}
	for _, runner := range p.runners {
		runner.occupiedSlots = 6
	}
	if _, rejection := p.Place(testStart, testRequest(testStart, "api", testRoute())); rejection == nil {
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
			r.Route.Type = configuration.Streaming
			r.Route.Resumable = true
			r.MayHaveRun = true
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
		"Zone":        func(o *Options) { o.Zone = "" },
		"Region":      func(o *Options) { o.Region = "" },
		"RetryRatio":  func(o *Options) { o.RetryRatio = -1 },
		"RetryWindow": func(o *Options) { o.RetryWindow = 0 },
		"RetryExtra":  func(o *Options) { o.RetryAllowance = -1 },
		"ColdExcess":  func(o *Options) { o.SlowStartFactor = -1 },
		"ColdSlack":   func(o *Options) { o.SlowStartAllowance = -1 },
	} {
		o := testOptions("m")
		change(&o)
		if _, err := New(o, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
