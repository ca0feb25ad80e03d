package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cinderroad/internal/system/configuration"
)

// day draws what a Placer is told and asked, and checks each of its choices against what was told last.
type day struct {
	t        *rapid.T
	p        *Placer
	now      time.Duration
	runners  []Runner
	evac     map[string]bool
	proxies  int
	next     int
	flying   []*Attempt
	coldSent map[string]time.Duration
	begun    time.Duration
}

// Whatever it is told in whatever order, a Placer sends to nobody that a rule keeps out, refuses only with a time, and
// what it has booked is given back.
func TestDrawnDaysBreakNoRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &day{t: t, now: testStart, begun: testStart, evac: map[string]bool{}, coldSent: map[string]time.Duration{}}
		p, err := New(worldOptions(rapid.SampledFrom([]string{"m", "t", "p"}).Draw(t, "zone")), rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		d.p = p
		t.Repeat(map[string]func(*rapid.T){
			"time":     d.pass,
			"list":     d.list,
			"evacuate": d.evacuate,
			"proxies":  d.count,
			"services": func(*rapid.T) { p.SetServices(d.now, testServices()) },
			"request":  d.request,
			"requests": func(t *rapid.T) {
				for range 10 {
					d.request(t)
				}
			},
			"news": d.news,
		})
		for len(d.flying) > 0 {
			d.end(0, Cancelled)
		}
		for id, w := range p.runners {
			if w.own != (usage{}) || w.ownJobs != 0 || w.pending.head != nil || w.pending.tail != nil || w.probing != nil {
				t.Errorf("%s: %+v is left", id, w)
			}
		}
	})
}

func (d *day) pass(t *rapid.T) {
	d.now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond
	if next := d.p.Tick(d.now); next <= d.now || next > d.now+time.Second {
		t.Fatalf("next tick at %v, now is %v", next, d.now)
	}
}

func (d *day) list(t *rapid.T) {
	d.runners = nil
	n := rapid.IntRange(0, 8).Draw(t, "runners")
	for i := range n {
		zone := rapid.SampledFrom([]string{"m", "t", "p"}).Draw(t, "zone")
		w := Runner{ID: fmt.Sprintf("i-%d-%d", i, rapid.IntRange(0, 1).Draw(t, "incarnation")), Zone: zone,
			Region:   worldRegions()[zone],
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
	d.p.SetRunners(d.now, d.runners)
}

func (d *day) evacuate(t *rapid.T) {
	d.evac = map[string]bool{}
	for _, zone := range []string{"m", "t", "p"} {
		d.evac[zone] = rapid.IntRange(0, 2).Draw(t, zone) == 0
	}
	d.p.SetEvacuatedZones(d.now, d.evac)
}

func (d *day) count(t *rapid.T) {
	d.proxies = rapid.IntRange(1, 30).Draw(t, "proxies")
	d.p.SetProxyCount(d.now, d.proxies)
}

func (d *day) request(t *rapid.T) {
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
		r.Chunks = []Chunk{{1, third}, {rapid.Uint64Range(1, 9).Draw(t, "part"), third}, {uint64(d.next), third}}
	}
	for try := 0; try == 0 || d.p.MayRetry(d.now, r); try++ {
		if try >= route.MaxAttempts {
			t.Fatal("more tries than the route allows")
		}
		a := d.place(t, r)
		if a == nil {
			return
		}
		r.TriedRunners = append(r.TriedRunners, a.Runner)
		if rapid.Bool().Draw(t, "stays out") {
			d.flying = append(d.flying, a)
			return
		}
		outcome := rapid.SampledFrom([]Outcome{Rejected, Misdirected, Failed, Interrupted, TimedOut, ConnectFailed}).Draw(t, "outcome")
		d.p.EndAttempt(d.now, a, outcome, Progress{})
		r.MayHaveRun = r.MayHaveRun || outcome != Rejected && outcome != Misdirected && outcome != ConnectFailed
		if r.MayHaveRun && !route.IsIdempotent() && d.p.MayRetry(d.now, r) {
			t.Fatal("a repeat of what may have run")
		}
	}
}

// place has a request placed and checks the choice.
func (d *day) place(t *rapid.T, r *Request) *Attempt {
	d.next++
	c, refusal := d.p.Place(d.now, r)
	if refusal != nil {
		if refusal.RetryAfter <= 0 || refusal.RetryAfter > mostBackoff {
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
	case d.evac[w.Zone]:
		t.Fatalf("%s is in an evacuated zone", w.ID)
	case len(r.Route.HomeRegions) > 0 && !slices.Contains(r.Route.HomeRegions, w.Region):
		t.Fatalf("%s is outside the homes", w.ID)
	case w.Service != r.Service || len(w.Models) > 0 && !slices.Contains(w.Models, r.Model):
		t.Fatalf("%s does not serve it", w.ID)
	case w.TerminatesAt > 0 && w.TerminatesAt <= d.now:
		t.Fatalf("%s is gone", w.ID)
	}
	if d.now < w.SlowStartUntil {
		if d.proxies == 0 || d.now < d.begun+joinHold {
			t.Fatalf("%s is cold, and others may not count this proxy", w.ID)
		}
		if last, sent := d.coldSent[w.ID]; sent && d.now-last < 100*time.Millisecond {
			t.Fatalf("%s is cold and had one at %v", w.ID, last)
		}
		d.coldSent[w.ID] = d.now
	}
	return d.p.StartAttempt(d.now, r, c)
}

// news tells something of an attempt that is out.
func (d *day) news(t *rapid.T) {
	if len(d.flying) == 0 {
		return
	}
	at := rapid.IntRange(0, len(d.flying)-1).Draw(t, "attempt")
	switch a := d.flying[at]; rapid.IntRange(0, 2).Draw(t, "what") {
	case 0:
		d.p.HandleFirstEvent(d.now, a)
	case 1:
		d.p.HandleEvent(d.now, a)
	default:
		d.end(at, Outcome(rapid.IntRange(0, int(Cancelled)).Draw(t, "outcome")))
	}
}

func (d *day) end(at int, outcome Outcome) {
	a := d.flying[at]
	d.flying = slices.Delete(d.flying, at, at+1)
	d.p.EndAttempt(d.now, a, outcome, Progress{TimeToFirstEvent: 20 * time.Millisecond, Events: 3, Duration: d.now - a.sent})
}
