package placement

import (
	"slices"
	"testing"
	"time"
)

func TestWorld(t *testing.T) {
	for _, load := range []float64{0.6, 1, 1.5, 2, 2.5} {
		again, shared, refused := 0, 0, 0
		asked, inTime := [3]int{}, [3]int{}
		var firsts [3][]time.Duration
		for seed := uint64(1); seed <= 5; seed++ {
			w := newWorld(t, seed, load)
			w.run(35 * time.Second)
			again, shared, refused = again+w.again, shared+w.shared, refused+w.refused
			for i, k := range w.kinds {
				asked[i] += k.asked
				inTime[i] += k.inTime
				firsts[i] = append(firsts[i], k.firsts...)
			}
		}
		t.Logf("load %.1f: %.3f of shared tokens read again, %d refused", load, float64(again)/float64(shared), refused)
		for i := range asked {
			slices.Sort(firsts[i])
			n := len(firsts[i])
			t.Logf("   %.4f in time, median %v, p95 %v, p99 %v", float64(inTime[i])/float64(asked[i]), firsts[i][n/2].Round(time.Millisecond), firsts[i][n*95/100].Round(time.Millisecond), firsts[i][n*99/100].Round(time.Millisecond))
		}
	}
}
