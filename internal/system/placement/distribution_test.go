package placement

import (
	"slices"
	"testing"
	"time"
)

// Over half a minute of three kinds of request, proxies that exchange no notices serve nearly all in time, and have few
// shared chunks prefilled again. At this size, prefilling each once in both regions is about an eighth.
func TestDistribution(t *testing.T) {
	for _, test := range []struct {
		load   float64
		inTime float64 // share of each kind, at least
		again  float64 // share of shared tokens read again, at most
	}{
		{0.6, 0.985, 0.2},
		{1, 0.98, 0.18},
		{1.5, 0.97, 0.17},
		{2, 0.93, 0.17},
		{2.5, 0.86, 0.18},
	} {
		repeated, shared, rejected := 0, 0, 0
		var kinds [3]requestKind
		for seed := uint64(1); seed <= 5; seed++ {
			sim := newSimulation(t, seed, test.load)
			sim.run(35 * time.Second)
			repeated += sim.repeatedTokens
			shared += sim.sharedTokens
			rejected += sim.rejected
			for i, kind := range sim.kinds {
				kinds[i].requests += kind.requests
				kinds[i].inTime += kind.inTime
				kinds[i].firstEvents = append(kinds[i].firstEvents, kind.firstEvents...)
			}
		}
		share := float64(repeated) / float64(shared)
		t.Logf("load %.1f: %.3f of shared tokens read again, %d rejected", test.load, share, rejected)
		if share > test.again {
			t.Errorf("load %.1f: %.3f of shared tokens read again", test.load, share)
		}
		for i, kind := range kinds {
			share := float64(kind.inTime) / float64(kind.requests)
			slices.Sort(kind.firstEvents)
			t.Logf("   kind %d: %.4f in time, first events after %v, 95 in 100 within %v", i, share,
				kind.quantile(0.5), kind.quantile(0.95))
			if share < test.inTime {
				t.Errorf("load %.1f, kind %d: %.4f in time", test.load, i, share)
			}
		}
	}
}

func (k *requestKind) quantile(share float64) time.Duration {
	return k.firstEvents[int(share*float64(len(k.firstEvents)))].Round(time.Millisecond)
}
