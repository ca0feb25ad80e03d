package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cinderroad/internal/system/configuration"
)

// randomSchedule draws the calls of a Placer and checks each choice against the last configuration.
type randomSchedule struct {
	t             *rapid.T
	placer        *Placer
	now           time.Duration
	runners       []Runner
	evacuated     map[string]bool
	proxies       int
	requestCount  int
	inFlight      []*Attempt
	slowStartSent map[string]time.Duration
	startedAt     time.Duration
}

// For any sequence of calls, a Placer selects no excluded runner, rejects only with a time, and releases all that it
// reserved.
func TestRandomSchedulesKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedule := &randomSchedule{
			t:             t,
			now:           testStart,
			startedAt:     testStart,
			evacuated:     map[string]bool{},
			slowStartSent: map[string]time.Duration{},
		}
		zone := rapid.SampledFrom([]string{"m", "t", "p"}).Draw(t, "zone")
		placer, err := New(testOptions(zone), rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		schedule.placer = placer
		t.Repeat(map[string]func(*rapid.T){
			"time":     schedule.advance,
			"list":     schedule.updateRunners,
			"evacuate": schedule.evacuate,
			"proxies":  schedule.updateProxyCount,
			"services": func(*rapid.T) { placer.SetServices(schedule.now, testServices()) },
			"request":  schedule.request,
			"requests": func(t *rapid.T) {
				for range 10 {
					schedule.request(t)
				}
			},
			"news": schedule.updateAttempt,
		})
		for len(schedule.inFlight) > 0 {
			schedule.endAttempt(0, Cancelled)
		}
		for id, runner := range placer.runners {
			released := runner.ownUsage == usage{} && runner.ownAttempts == 0 && runner.pending == attemptList{}
			if !released || runner.probe != nil {
				t.Errorf("%s: %+v is still reserved", id, runner)
			}
		}
	})
}

func (schedule *randomSchedule) advance(t *rapid.T) {
	schedule.now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond
	if next := schedule.placer.Tick(schedule.now); next <= schedule.now || next > schedule.now+time.Second {
		t.Fatalf("next tick at %v, now is %v", next, schedule.now)
	}
}

func (schedule *randomSchedule) updateRunners(t *rapid.T) {
	schedule.runners = nil
	n := rapid.IntRange(0, 8).Draw(t, "runners")
	for i := range n {
		zone := rapid.SampledFrom([]string{"m", "t", "p"}).Draw(t, "zone")
		runner := Runner{
			ID:       fmt.Sprintf("i-%d-%d", i, rapid.IntRange(0, 1).Draw(t, "incarnation")),
			Zone:     zone,
			Region:   zoneRegions()[zone],
			Service:  rapid.SampledFrom([]string{"api", "llm"}).Draw(t, "service"),
			Draining: rapid.IntRange(0, 4).Draw(t, "draining") == 0,
		}
		runner.Capacity = map[string]int{"api": 6, "llm": 64}[runner.Service]
		switch rapid.IntRange(0, 5).Draw(t, "state") {
		case 0:
			runner.SlowStartUntil = schedule.now + 3*time.Second
		case 1:
			runner.TerminatesAt = schedule.now + time.Second
		case 2:
			runner.Models = []string{"other"}
		}
		schedule.runners = append(schedule.runners, runner)
	}
	schedule.placer.SetRunners(schedule.now, schedule.runners)
}

func (schedule *randomSchedule) evacuate(t *rapid.T) {
	schedule.evacuated = map[string]bool{}
	for _, zone := range []string{"m", "t", "p"} {
		schedule.evacuated[zone] = rapid.IntRange(0, 2).Draw(t, zone) == 0
	}
	schedule.placer.SetEvacuatedZones(schedule.now, schedule.evacuated)
}

func (schedule *randomSchedule) updateProxyCount(t *rapid.T) {
	schedule.proxies = rapid.IntRange(1, 30).Draw(t, "proxies")
	schedule.placer.SetProxyCount(schedule.now, schedule.proxies)
}

func (schedule *randomSchedule) request(t *rapid.T) {
	route := testRoute()
	route.PrefixAffinity = rapid.Bool().Draw(t, "pin")
	types := []configuration.RouteType{configuration.ReadOnly, configuration.ReadWrite, configuration.Streaming}
	route.Type = rapid.SampledFrom(types).Draw(t, "type")
	if rapid.IntRange(0, 3).Draw(t, "home") == 0 {
		route.HomeRegions = []string{rapid.SampledFrom([]string{"west", "east"}).Draw(t, "region")}
	}
	request := testRequest(schedule.now, rapid.SampledFrom([]string{"api", "llm"}).Draw(t, "service"), route)
	if request.Service == "llm" {
		request.InputTokens = rapid.SampledFrom([]int{1, 500, 9000, 150000, 250000}).Draw(t, "tokens")
		third := request.InputTokens / 3
		request.Chunks = []Chunk{{1, third}, {rapid.Uint64Range(1, 9).Draw(t, "part"), third}, {uint64(schedule.requestCount), third}}
	}
	const maxConnectFailures = 3 // of a caller, for one request
	connected, connectFailures := 0, 0
	for first := true; first || schedule.placer.MayRetry(schedule.now, request); first = false {
		if connected >= route.MaxAttempts {
			t.Fatal("more attempts than the route allows")
		}
		if connectFailures > maxConnectFailures {
			return
		}
		attempt := schedule.place(t, request)
		if attempt == nil {
			return
		}
		if rapid.Bool().Draw(t, "stays out") {
			schedule.inFlight = append(schedule.inFlight, attempt)
			return
		}
		outcome := rapid.SampledFrom([]Outcome{Rejected, Misdirected, Failed, Interrupted, TimedOut, ConnectFailed}).Draw(t, "outcome")
		if outcome == ConnectFailed {
			connectFailures++
		} else {
			connected++
		}
		request.RecordAttempt(attempt.Runner, outcome != ConnectFailed)
		schedule.placer.EndAttempt(schedule.now, attempt, outcome, Progress{})
		request.MayHaveRun = request.MayHaveRun || outcome != Rejected && outcome != Misdirected && outcome != ConnectFailed
		if request.MayHaveRun && !route.IsIdempotent() && schedule.placer.MayRetry(schedule.now, request) {
			t.Fatal("a retry of what may have run")
		}
	}
}

// place places a request and checks the choice.
func (schedule *randomSchedule) place(t *rapid.T, request *Request) *Attempt {
	schedule.requestCount++
	choice, rejection := schedule.placer.Place(schedule.now, request)
	if rejection != nil {
		if rejection.RetryAfter <= 0 || rejection.RetryAfter > maxRetryAfter {
			t.Fatalf("rejection %+v", rejection)
		}
		return nil
	}
	at := slices.IndexFunc(schedule.runners, func(runner Runner) bool { return runner.ID == choice.Runner })
	if at < 0 {
		t.Fatalf("%s is not listed", choice.Runner)
	}
	runner := &schedule.runners[at]
	switch {
	case runner.Draining:
		t.Fatalf("%s drains", runner.ID)
	case schedule.evacuated[runner.Zone]:
		t.Fatalf("%s is in an evacuated zone", runner.ID)
	case len(request.Route.HomeRegions) > 0 && !slices.Contains(request.Route.HomeRegions, runner.Region):
		t.Fatalf("%s is outside the home regions", runner.ID)
	case runner.Service != request.Service || len(runner.Models) > 0 && !slices.Contains(runner.Models, request.Model):
		t.Fatalf("%s does not serve it", runner.ID)
	case runner.TerminatesAt > 0 && runner.TerminatesAt <= schedule.now:
		t.Fatalf("%s is no longer known", runner.ID)
	}
	if schedule.now < runner.SlowStartUntil {
		if schedule.proxies == 0 || schedule.now < schedule.startedAt+joinDelay {
			t.Fatalf("%s is in slow start, and others may not count this proxy", runner.ID)
		}
		if last, sent := schedule.slowStartSent[runner.ID]; sent && schedule.now-last < 100*time.Millisecond {
			t.Fatalf("%s is in slow start and was sent a request at %v", runner.ID, last)
		}
		schedule.slowStartSent[runner.ID] = schedule.now
	}
	return schedule.placer.StartAttempt(schedule.now, request, choice)
}

// updateAttempt draws an event of an attempt in flight.
func (schedule *randomSchedule) updateAttempt(t *rapid.T) {
	if len(schedule.inFlight) == 0 {
		return
	}
	at := rapid.IntRange(0, len(schedule.inFlight)-1).Draw(t, "attempt")
	switch attempt := schedule.inFlight[at]; rapid.IntRange(0, 2).Draw(t, "what") {
	case 0:
		schedule.placer.HandleFirstEvent(schedule.now, attempt)
	case 1:
		schedule.placer.HandleEvent(schedule.now, attempt)
	default:
		schedule.endAttempt(at, Outcome(rapid.IntRange(0, int(Cancelled)).Draw(t, "outcome")))
	}
}

func (schedule *randomSchedule) endAttempt(at int, outcome Outcome) {
	attempt := schedule.inFlight[at]
	schedule.inFlight = slices.Delete(schedule.inFlight, at, at+1)
	schedule.placer.EndAttempt(schedule.now, attempt, outcome, Progress{
		TimeToFirstEvent: 20 * time.Millisecond,
		Events:           3,
		Duration:         schedule.now - attempt.sentAt,
	})
}
