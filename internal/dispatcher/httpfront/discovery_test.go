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

// The delay is drawn from the whole span, which depends on the error and the number of dispatchers, and a Retry-After is
// added to it.
func TestRetryDelay(t *testing.T) {
	rejected := responseError("503 Service Unavailable", Header{{Name: "retry-after", Value: "3.5"}})
	for _, tc := range []struct {
		name       string
		err        error
		retryAfter float64
		spans      []float64
		instances  int
	}{
		{"overloaded, many dispatchers", responseError("503", nil), 0, []float64{6.4, 12.8, 25.6, 51.2, 51.2}, 80},
		{"connection lost, many dispatchers", errors.New("reset"), 0, []float64{1, 2, 2}, 80},
		{"connection lost", errors.New("reset"), 0, []float64{1, 2, 2}, 3},
		{"overloaded", responseError("503", nil), 0, []float64{2, 4, 8, 16, 16}, 3},
		{"overloaded, with Retry-After", rejected, 3.5, []float64{2, 4}, 3},
		{"overloaded, with a bad Retry-After", responseError("429", Header{{Name: "Retry-After", Value: "-1"}}), 0, []float64{2, 4}, 3},
		{"not found", responseError("404 Not Found", nil), 0, []float64{1, 2}, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			least, most := make([]float64, len(tc.spans)), make([]float64, len(tc.spans))
			for seed := range uint64(400) {
				d := &DiscoveryClient{Instances: tc.instances, rng: rand.New(rand.NewPCG(seed, 0))}
				for i, span := range tc.spans {
					delay := d.retryDelay(tc.err)
					if delay < tc.retryAfter || delay > tc.retryAfter+span {
						t.Fatalf("delay %d is %.2f s", i, delay)
					}
					least[i] = min(least[i], delay-tc.retryAfter-span)
					if delay > most[i] {
						most[i] = delay
					}
				}
			}
			for i, span := range tc.spans { // the whole span is used
				if most[i] < tc.retryAfter+0.9*span || least[i] > -0.9*span {
					t.Errorf("delay %d: %.2f to %.2f s of %.2f", i, least[i]+span, most[i], span)
				}
			}
		})
	}
	if diff := cmp.Diff("platform: discovery answered 503 Service Unavailable", rejected.Error()); diff != "" {
		t.Error(diff)
	}
}

type clock struct{ *eventloop.Loop }

func (c clock) At(at float64, do func()) dispatch.Timer { return c.Loop.At(at, do) }

// The first watch opens without a delay, also with a list of an earlier run, which may name backends that have drained
// since.
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
		{"address changed meanwhile", func(d *DiscoveryClient) {
			d.Start(known)
			d.SetAddress(netip.MustParseAddrPort("127.0.0.1:2"))
		}, 2},
	} {
		loop, err := eventloop.NewLoop(9)
		if err != nil {
			t.Fatal(err)
		}
		dispatcher, err := dispatch.New(loadbalancer.Settings{
			Classes:               []loadbalancer.Class{{Objective: 1, Deadline: 1}},
			Zones:                 1,
			Instances:             1,
			MaxAttempts:           1,
			Tick:                  1,
			SlowStartInitialShare: 1,
			OverloadMultiple:      1,
			OverloadWindow:        1,
		}, 1, clock{loop})
		if err != nil {
			t.Fatal(err)
		}
		pool := NewPool(loop, zap.NewNop(), PoolOptions{})
		pool.SetDispatcher(dispatcher)
		d := NewDiscoveryClient(loop, zap.NewNop(), addr, dispatcher, pool, []string{"z"}, []string{"k"}, 1)
		if tc.start(d); d.Watches != tc.want || d.revision != 7 && tc.name != "with none" {
			t.Errorf("%s: %d watches opened at once, want %d; version %d in force", tc.name, d.Watches, tc.want, d.revision)
		}
	}
}

// Dispatchers that start together do not starve each other at a discovery that answers perSecond requests a second, in
// turn, and rejects what has waited 2 s. The test runs in virtual time, with the client's own delays.
func TestRetryDelaysLetOverloadedDiscoveryServeAll(t *testing.T) {
	const patience, perSecond = 2.0, 12.0 // seconds, answers
	for _, fleet := range []int{3, 60, 300} {
		for seed := range uint64(5) {
			type query struct{ at, who int }
			due := map[int][]int{} // by tick of 1/perSecond: the clients that ask then
			var queue []query
			clients := make([]*DiscoveryClient, fleet)
			for i := range clients {
				clients[i] = &DiscoveryClient{Instances: fleet, rng: rand.New(rand.NewPCG(seed, uint64(i)))}
				due[0] = append(due[0], i)
			}
			served, tick := 0, 0
			calls := map[int]int{} // by second
			for ; served < fleet && tick < 3600*perSecond; tick++ {
				for _, who := range due[tick] {
					queue = append(queue, query{tick, who})
					calls[tick/perSecond]++
				}
				for len(queue) > 0 && float64(tick-queue[0].at) >= patience*perSecond {
					pause := clients[queue[0].who].retryDelay(responseError("503", nil))
					again := tick + 1 + int(pause*perSecond)
					due[again] = append(due[again], queue[0].who)
					queue = queue[1:]
				}
				if len(queue) > 0 {
					queue = queue[1:]
					served++
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
				t.Errorf("%d dispatchers: all served after %.1f s of %.1f at least, %d requests in the busiest second after the start",
					fleet, took, least, busiest)
			}
			t.Logf("%d dispatchers: all served after %.1f s of %.1f at least, at most %d requests a second", fleet, took, least, busiest)
		}
	}
}
