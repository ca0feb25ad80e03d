package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cinderroad/internal/system/configuration"
)

// randomSchedule draws what a Placer is told and asked, and checks each of its choices against what was told last.
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

// Whatever it is told in whatever order, a Placer sends to nobody that a rule keeps out, refuses only with a time, and
// what it has booked is given back.
func TestRandomSchedulesKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &randomSchedule{t: t, now: testStart, startedAt: testStart, evacuated: map[string]bool{}, slowStartSent: map[string]time.Duration{}}
		p, err := New(testOptions(rapid.SampledFrom([]string{"m", "t", "p"}).Draw(t, "zone")), rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		d.placer = p
		t.Repeat(map[string]func(*rapid.T){
			"time":     d.advance,
			"list":     d.updateRunners,
			"evacuate": d.evacuate,
			"proxies":  d.updateProxyCount,
			"services": func(*rapid.T) { p.SetServices(d.now, testServices()) },
			"request":  d.request,
			"requests": func(t *rapid.T) {
				for range 10 {
					d.request(t)
				}
			},
			"news": d.updateAttempt,
		})
		for len(d.inFlight) > 0 {
			d.endAttempt(0, Cancelled)
		}
		for id, w := range p.runners {
			if w.ownUsage != (usage{}) || w.ownAttempts != 0 || w.pending.head != nil || w.pending.tail != nil || w.probe != nil {
				t.Errorf("%s: %+v is left", id, w)
			}
		}
	})
}

func (d *randomSchedule) advance(t *rapid.T) {
	d.now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond
	if next := d.placer.Tick(d.now); next <= d.now || next > d.now+time.Second {
		t.Fatalf("next tick at %v, now is %v", next, d.now)
	}
}

func (d *randomSchedule) updateRunners(t *rapid.T) {
	d.runners = nil
	n := rapid.IntRange(0, 8).Draw(t, "runners")
	for i := range n {
		zone := rapid.SampledFrom([]string{"m", "t", "p"}).Draw(t, "zone")
		w := Runner{ID: fmt.Sprintf("i-%d-%d", i, rapid.IntRange(0, 1).Draw(t, "incarnation")), Zone: zone,
			Region:   zoneRegions()[zone],
			Service:  rapid.SampledFrom([]string{"api", "llm"}).Draw(t, "service"),
			Draining: rapid.IntRange(0, 4).Draw(t, "draining") == 0}
		w.Capacity = map[string]int{"api": 6, "llm": 64}[w.Service]
		switch rapid.IntRange(0, 5).Draw(t, "state") {
		case 0:
			w.SlowStartUntil = d.now + 3*time.Second
		case 1:
			w.TerminatesAt = d.now + time.Second
		case 2:
			w.Models = []string{"other"}
		}
		d.runners = append(d.runners, w)
	}
	d.placer.SetRunners(d.now, d.runners)
}

func (d *randomSchedule) evacuate(t *rapid.T) {
	d.evacuated = map[string]bool{}
	for _, zone := range []string{"m", "t", "p"} {
		d.evacuated[zone] = rapid.IntRange(0, 2).Draw(t, zone) == 0
	}
	d.placer.SetEvacuatedZones(d.now, d.evacuated)
}

func (d *randomSchedule) updateProxyCount(t *rapid.T) {
	d.proxies = rapid.IntRange(1, 30).Draw(t, "proxies")
	d.placer.SetProxyCount(d.now, d.proxies)
}

func (d *randomSchedule) request(t *rapid.T) {
	route := testRoute()
	route.PrefixAffinity = rapid.Bool().Draw(t, "pin")
	types := []configuration.RouteType{configuration.ReadOnly, configuration.ReadWrite, configuration.Streaming}
	route.Type = rapid.SampledFrom(types).Draw(t, "type")
	if rapid.IntRange(0, 3).Draw(t, "home") == 0 {
		route.HomeRegions = []string{rapid.SampledFrom([]string{"west", "east"}).Draw(t, "region")}
	}
	r := testRequest(d.now, rapid.SampledFrom([]string{"api", "llm"}).Draw(t, "service"), route)
	if r.Service == "llm" {
		r.InputTokens = rapid.SampledFrom([]int{1, 500, 9000, 150000, 250000}).Draw(t, "tokens")
		third := r.InputTokens / 3
		r.Chunks = []Chunk{{1, third}, {rapid.Uint64Range(1, 9).Draw(t, "part"), third}, {uint64(d.requestCount), third}}
	}
	for try := 0; try == 0 || d.placer.MayRetry(d.now, r); try++ {
		if try >= route.MaxAttempts {
			t.Fatal("more tries than the route allows")
		}
		a := d.place(t, r)
		if a == nil {
			return
		}
		r.TriedRunners = append(r.TriedRunners, a.Runner)
		if rapid.Bool().Draw(t, "stays out") {
			d.inFlight = append(d.inFlight, a)
			return
		}
		outcome := rapid.SampledFrom([]Outcome{Rejected, Misdirected, Failed, Interrupted, TimedOut, ConnectFailed}).Draw(t, "outcome")
		d.placer.EndAttempt(d.now, a, outcome, Progress{})
		r.MayHaveRun = r.MayHaveRun || outcome != Rejected && outcome != Misdirected && outcome != ConnectFailed
		if r.MayHaveRun && !route.IsIdempotent() && d.placer.MayRetry(d.now, r) {
			t.Fatal("a repeat of what may have run")
		}
	}
}

// place has a request placed and checks the choice.
func (d *randomSchedule) place(t *rapid.T, r *Request) *Attempt {
	d.requestCount++
	c, refusal := d.placer.Place(d.now, r)
	if refusal != nil {
		if refusal.RetryAfter <= 0 || refusal.RetryAfter > maxRetryAfter {
			t.Fatalf("refusal %+v", refusal)
		}
		return nil
	}
	at := slices.IndexFunc(d.runners, func(w Runner) bool { return w.ID == c.Runner })
	if at < 0 {
		t.Fatalf("%s is not listed", c.Runner)
	}
	w := &d.runners[at]
	switch {
	case w.Draining:
		t.Fatalf("%s drains", w.ID)
	case d.evacuated[w.Zone]:
		t.Fatalf("%s is in an evacuated zone", w.ID)
	case len(r.Route.HomeRegions) > 0 && !slices.Contains(r.Route.HomeRegions, w.Region):
		t.Fatalf("%s is outside the homes", w.ID)
	case w.Service != r.Service || len(w.Models) > 0 && !slices.Contains(w.Models, r.Model):
		t.Fatalf("%s does not serve it", w.ID)
	case w.TerminatesAt > 0 && w.TerminatesAt <= d.now:
		t.Fatalf("%s is gone", w.ID)
	}
	if d.now < w.SlowStartUntil {
		if d.proxies == 0 || d.now < d.startedAt+joinDelay {
			t.Fatalf("%s is cold, and others may not count this proxy", w.ID)
		}
		if last, sent := d.slowStartSent[w.ID]; sent && d.now-last < 100*time.Millisecond {
			t.Fatalf("%s is cold and had one at %v", w.ID, last)
		}
		d.slowStartSent[w.ID] = d.now
	}
	return d.placer.StartAttempt(d.now, r, c)
}

// updateAttempt tells something of an attempt that is out.
func (d *randomSchedule) updateAttempt(t *rapid.T) {
	if len(d.inFlight) == 0 {
		return
	}
	at := rapid.IntRange(0, len(d.inFlight)-1).Draw(t, "attempt")
	switch a := d.inFlight[at]; rapid.IntRange(0, 2).Draw(t, "what") {
	case 0:
		d.placer.HandleFirstEvent(d.now, a)
	case 1:
		d.placer.HandleEvent(d.now, a)
	default:
		d.endAttempt(at, Outcome(rapid.IntRange(0, int(Cancelled)).Draw(t, "outcome")))
	}
}

func (d *randomSchedule) endAttempt(at int, outcome Outcome) {
	a := d.inFlight[at]
	d.inFlight = slices.Delete(d.inFlight, at, at+1)
	d.placer.EndAttempt(d.now, a, outcome, Progress{TimeToFirstEvent: 20 * time.Millisecond, Events: 3, Duration: d.now - a.sentAt})
}
