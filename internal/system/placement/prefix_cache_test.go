package placement

import (
	"fmt"
	"testing"
	"time"

	"cinderroad/internal/shared/capacity"
)

// prefixRequest returns a request with one of many prefixes.
func prefixRequest(now time.Duration, prefix uint64, own uint64) *Request {
	route := testRoute()
	route.PrefixAffinity = true
	r := testRequest(now, "llm", route)
	r.Chunks = []Chunk{{100 + prefix%4, 2500}, {1000 + prefix, 3800}, {own, 2900}}
	r.InputTokens = 9200
	return r
}

// All proxies of a region send a prefix to the same runner of that region without exchanging messages.
func TestProxiesAgreeOnPrefixOwner(t *testing.T) {
	runners := testRunners("llm", 12)
	used := map[string]int{}
	for prefix := range uint64(40) {
		owners := map[string]string{}
		for i, zone := range []string{"m", "t", "m", "p", "p"} {
			placer := newTestPlacer(t, zone, uint64(i))
			placer.SetServices(testStart, testServices())
			runners := append([]Runner(nil), runners...)
			if i%2 == 1 { // in any order
				for a, b := 0, len(runners)-1; a < b; a, b = a+1, b-1 {
					runners[a], runners[b] = runners[b], runners[a]
				}
			}
			placer.SetRunners(testStart, runners)
			placer.SetProxyCount(testStart, 5)
			for own := range uint64(5) {
				r := prefixRequest(testStart, prefix, 1<<40+own)
				c, rejection := placer.Place(testStart, r)
				if rejection != nil {
					t.Fatal(rejection)
				}
				region := zoneRegions()[zone]
				if was := owners[region]; was != "" && was != c.Runner {
					t.Fatalf("prefix %d: %s and %s in %s", prefix, was, c.Runner, region)
				}
				owners[region] = c.Runner
				used[c.Runner]++
				completeAttempt(placer, testStart, r, c)
			}
		}
	}
	if len(used) != len(runners) {
		t.Errorf("%d of %d runners own prefixes", len(used), len(runners))
	}
}

// Removing or adding a runner moves only the prefixes that it owns.
func TestFewPrefixesMoveWithARunner(t *testing.T) {
	runners := testRunners("llm", 12)
	with, without := startedTestPlacer(t, runners), startedTestPlacer(t, runners[1:])
	moved, lost := 0, 0
	for prefix := range uint64(300) {
		r := prefixRequest(testStart, prefix, 1<<40)
		a, _ := with.Place(testStart, r)
		b, _ := without.Place(testStart, r)
		if a.Runner == runners[0].ID {
			lost++
		} else if a.Runner != b.Runner {
			moved++
		}
	}
	if moved > 0 || lost < 15 || lost > 70 {
		t.Errorf("%d prefixes moved that need not, %d of 300 lost their owner", moved, lost)
	}
}

// The prefix of a full owner goes to the same secondary owner at all proxies; runners that start slowly or drain own none.
func TestPrefixOverflowsToSecondaryOwner(t *testing.T) {
	runners := testRunners("llm", 12)
	for _, test := range []struct {
		name string
		do   func(p *Placer, owner *runnerState)
	}{
		{"load", func(p *Placer, runner *runnerState) { runner.spareSlots -= 20 }},
		{"tokens", func(p *Placer, runner *runnerState) { runner.spareTokens = 100 }},
		{"suspect", func(p *Placer, runner *runnerState) { runner.markSuspect(testStart) }},
		{"draining", func(p *Placer, runner *runnerState) { runner.Draining = true }},
		{"slow start", func(p *Placer, runner *runnerState) { runner.SlowStartUntil = testStart + time.Minute }},
	} {
		for prefix := range uint64(20) {
			next := ""
			for seed := range uint64(3) {
				p := startedTestPlacer(t, runners)
				p.random = capacity.Random(seed) // drawn numbers have no part in it
				r := prefixRequest(testStart, prefix, 1<<40+seed)
				first, _ := p.Place(testStart, r)
				test.do(p, p.runners[first.Runner])
				second, rejection := p.Place(testStart, r)
				if rejection != nil || second.Runner == first.Runner {
					t.Fatalf("%s: still %s, %v", test.name, second.Runner, rejection)
				}
				if next != "" && next != second.Runner {
					t.Fatalf("%s: %s and %s come next", test.name, next, second.Runner)
				}
				next = second.Runner
			}
		}
	}
}

// A prefix that all requests share spreads over runners, so that the load of each stays bounded.
func TestHotPrefixSpreads(t *testing.T) {
	placer := startedTestPlacer(t, testRunners("llm", 12))
	placer.SetProxyCount(testStart, 1)
	seen := map[string]int{}
	now := testStart
	for i := range 300 {
		now += time.Millisecond
		placer.Tick(now)
		r := prefixRequest(now, 7, 1<<40+uint64(i))
		c, rejection := placer.Place(now, r)
		if rejection != nil {
			t.Fatal(rejection)
		}
		placer.StartAttempt(now, r, c)
		seen[c.Runner]++
	}
	for id, n := range seen {
		if n > 100 {
			t.Errorf("%s has %d of 300: %v", id, n, seen)
		}
	}
	if len(seen) < 6 {
		t.Errorf("on %d runners alone", len(seen))
	}
}

// Prompts of a single chunk, such as those of a session, stay on one runner, too.
func TestSessionStaysOnItsRunner(t *testing.T) {
	placer := startedTestPlacer(t, testRunners("llm", 12))
	route := testRoute()
	route.PrefixAffinity = true
	for session := range uint64(20) {
		want := ""
		for range 4 {
			r := testRequest(testStart, "llm", route)
			r.Chunks = []Chunk{{1<<50 + session, 4000}}
			r.InputTokens = 4000
			c, _ := placer.Place(testStart, r)
			if want != "" && c.Runner != want {
				t.Fatalf("%s, then %s", want, c.Runner)
			}
			want = c.Runner
			completeAttempt(placer, testStart, r, c)
		}
	}
}

func TestPrefixHashCoversSharedChunksInOrder(t *testing.T) {
	a, b, own, other := Chunk{1, 10}, Chunk{2, 20}, Chunk{3, 30}, Chunk{4, 40}
	if prefixHash([]Chunk{a, b, own}) != prefixHash([]Chunk{a, b, other}) {
		t.Error("the own part counts")
	}
	different := map[uint64]string{}
	for _, parts := range [][]Chunk{{a, b, own}, {b, a, own}, {a, own}, {b, own}, {own}, {a, b, own, other}} {
		prefix := prefixHash(parts)
		if was := different[prefix]; was != "" || prefix == 0 {
			t.Errorf("%v is the same prefix as %s", parts, was)
		}
		different[prefix] = fmt.Sprint(parts)
	}
	if prefixHash(nil) != 0 {
		t.Error("no chunks are a prefix")
	}
}

// The history of prefixes is bounded and its records expire.
func TestPrefixHistoryExpires(t *testing.T) {
	var history prefixHistory
	if history.sentRecently(1, 2) {
		t.Error("an empty history reports a send")
	}
	history.record(testStart, 1, 2)
	if !history.sentRecently(1, 2) || history.sentRecently(1, 3) || history.sentRecently(2, 2) {
		t.Error("not the sends that were recorded")
	}
	history.record(testStart+prefixHistorySpan, 5, 6)
	if history.sentRecently(1, 2) && *history.find(1, 2) == (prefixRecord{1, 2, testStart}) {
		t.Error("reported for longer than prefixHistorySpan")
	}
	for i := range uint64(100000) {
		history.record(testStart+prefixHistorySpan, i, i)
	}
	if len(history.entries) != prefixHistorySize {
		t.Errorf("%d entries", len(history.entries))
	}
}

// Among many proxies, the few requests of one of them at an owner are not taken for the load of all: later requests of the
// prefix go there, too.
func TestOwnerIsStableAmongManyProxies(t *testing.T) {
	placer := startedTestPlacer(t, testRunners("llm", 90))
	placer.SetProxyCount(testStart, 60)
	now := testStart
	for prefix := range uint64(40) {
		first := ""
		for own := range uint64(3) {
			r := prefixRequest(now, prefix, 1<<40+own)
			c, rejection := placer.Place(now, r)
			if rejection != nil {
				t.Fatal(rejection)
			}
			if first == "" {
				first = c.Runner
			}
			if c.Runner != first {
				t.Errorf("prefix %d: request %d goes to %s, the first went to %s", prefix, own, c.Runner, first)
			}
			a := placer.StartAttempt(now, r, c)
			for range 3 {
				now += planPeriod
				placer.Tick(now)
			}
			placer.HandleFirstEvent(now, a)
			placer.EndAttempt(now, a, Succeeded, Progress{TimeToFirstEvent: 300 * time.Millisecond, Duration: 300 * time.Millisecond})
		}
	}
}
