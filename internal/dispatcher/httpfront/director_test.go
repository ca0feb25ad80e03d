package httpfront

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/loadbalancer"
)

// Guards against dispatchers that fail together asking together again, against one that asks a discovery without room
// as fast as one that has lost its connection, and against a wait that it names being passed over.
func TestRetryDelay(t *testing.T) {
	refused := responseError("503 Service Unavailable", Header{{Name: "retry-after", Value: "3.5"}})
	for _, tc := range []struct {
		name  string
		err   error
		after float64
		spans []float64
		fleet int
	}{
		{"no room, a large fleet", responseError("503", nil), 0, []float64{6.4, 12.8, 25.6, 51.2, 51.2}, 80},
		{"lost, a large fleet", errors.New("reset"), 0, []float64{1, 2, 2}, 80},
		{"lost", errors.New("reset"), 0, []float64{1, 2, 2}, 3},
		{"no room", responseError("503", nil), 0, []float64{2, 4, 8, 16, 16}, 3},
		{"no room, told when", refused, 3.5, []float64{2, 4}, 3},
		{"no room, told nonsense", responseError("429", Header{{Name: "Retry-After", Value: "-1"}}), 0, []float64{2, 4}, 3},
		{"no list there", responseError("404 Not Found", nil), 0, []float64{1, 2}, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			least, most := make([]float64, len(tc.spans)), make([]float64, len(tc.spans))
			for seed := range uint64(400) {
				d := &DiscoveryClient{Instances: tc.fleet, rng: rand.New(rand.NewPCG(seed, 0))}
				for i, span := range tc.spans {
					p := d.retryDelay(tc.err)
					if p < tc.after || p > tc.after+span {
						t.Fatalf("pause %d is %.2f s", i, p)
					}
					if least[i] = min(least[i], p-tc.after-span); p > most[i] {
						most[i] = p
					}
				}
			}
			for i, span := range tc.spans { // all of the span is used
				if most[i] < tc.after+0.9*span || least[i] > -0.9*span {
					t.Errorf("pause %d: %.2f to %.2f s of %.2f", i, least[i]+span, most[i], span)
				}
			}
		})
	}
	if diff := cmp.Diff("platform: discovery answered 503 Service Unavailable", refused.Error()); diff != "" {
		t.Error(diff)
	}
}

type clock struct{ *eventloop.Loop }

func (c clock) At(at float64, do func()) dispatch.Timer { return c.Loop.At(at, do) }

// Guards against a dispatcher that bides its time at the start: what discovery has to tell binds from there on, and a
// list of an earlier life may name backends that have drained since.
func TestFirstWatchOpensAtOnce(t *testing.T) {
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	known := List{Revision: 7, Full: true, Entries: []Entry{{UID: "a", Endpoint: "127.0.0.1:1", State: "ready"}}}
	for _, tc := range []struct {
		name  string
		start func(d *DiscoveryClient)
		want  uint64
	}{
		{"with a list", func(d *DiscoveryClient) { d.Start(known) }, 1},
		{"with none", func(d *DiscoveryClient) { d.Start(List{}) }, 1},
		{"in an upgrade", func(d *DiscoveryClient) { d.StartWithList(addr, known) }, 1},
		{"moved meanwhile", func(d *DiscoveryClient) { d.Start(known); d.SetAddress(netip.MustParseAddrPort("127.0.0.1:2")) }, 2},
	} {
		loop, err := eventloop.NewLoop(9)
		if err != nil {
			t.Fatal(err)
		}
		core, err := dispatch.New(loadbalancer.Settings{Classes: []loadbalancer.Class{{Objective: 1, Deadline: 1}}, Zones: 1, Instances: 1,
			MaxAttempts: 1, Tick: 1, SlowStartInitialShare: 1, OverloadMultiple: 1, OverloadWindow: 1}, 1, clock{loop})
		if err != nil {
			t.Fatal(err)
		}
		pool := NewPool(loop, zap.NewNop(), PoolOptions{})
		pool.SetDispatcher(core)
		d := NewDiscoveryClient(loop, zap.NewNop(), addr, core, pool, []string{"z"}, []string{"k"}, 1)
		if tc.start(d); d.Watches != tc.want || d.revision != 7 && tc.name != "with none" {
			t.Errorf("%s: asked %d times at once, want %d; holds version %d", tc.name, d.Watches, tc.want, d.revision)
		}
	}
}

// Guards against dispatchers that start together and crowd out each other at discovery for good: it answers so many
// questions a second, in turn, and refuses what has waited 2 s. Over virtual time, with the director's own pauses.
func TestRetryDelaysLetOverloadedDiscoveryServeAll(t *testing.T) {
	const patience, perSecond = 2.0, 12.0 // seconds, answers
	for _, fleet := range []int{3, 60, 300} {
		for seed := range uint64(5) {
			type question struct{ at, who int }
			due := map[int][]int{} // by tick of 1/perSecond: who asks then
			var queue []question
			directors := make([]*DiscoveryClient, fleet)
			for i := range directors {
				directors[i] = &DiscoveryClient{Instances: fleet, rng: rand.New(rand.NewPCG(seed, uint64(i)))}
				due[0] = append(due[0], i)
			}
			informed, tick := 0, 0
			calls := map[int]int{} // by second
			for ; informed < fleet && tick < 3600*perSecond; tick++ {
				for _, who := range due[tick] {
					queue = append(queue, question{tick, who})
					calls[tick/perSecond]++
				}
				for len(queue) > 0 && float64(tick-queue[0].at) >= patience*perSecond {
					pause := directors[queue[0].who].retryDelay(responseError("503", nil))
					again := tick + 1 + int(pause*perSecond)
					due[again] = append(due[again], queue[0].who)
					queue = queue[1:]
				}
				if len(queue) > 0 {
					queue, informed = queue[1:], informed+1
				}
			}
			busiest := 0
			for second, n := range calls {
				if second >= patience {
					busiest = max(busiest, n)
				}
			}
			took, least := float64(tick)/perSecond, float64(fleet)/perSecond
			if took > 3*least+rejectionBackoff(fleet).initial || float64(busiest) > 3*perSecond {
				t.Errorf("%d dispatchers: all informed after %.1f s of %.1f at least, %d questions in the busiest second after the start",
					fleet, took, least, busiest)
			}
			t.Logf("%d dispatchers: all informed after %.1f s of %.1f at least, at most %d questions a second", fleet, took, least, busiest)
		}
	}
}
