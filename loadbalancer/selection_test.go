package loadbalancer

import (
	"testing"
)

// Guards against plans that take all of the CPU: with 434 dispatchers and 283 workers those of each period did.
func TestLargeClusterIsPlannedLessOften(t *testing.T) {
	for _, c := range []struct{ workers, least, most int }{{16, 95, 101}, {320, 18, 26}} {
		r := newRecorder(t, testSettings(), 1)
		r.list(ListFull, ready(c.workers)...)
		plans, last := 0, r.balancer.plannedAt
		for i := 0; i < 100; i++ {
			if r.runTo(r.now + r.balancer.sweepInterval); r.balancer.plannedAt != last {
				plans++
				last = r.balancer.plannedAt
			}
		}
		if plans < c.least || plans > c.most {
			t.Errorf("%d workers: %d plans in 100 periods, want %d to %d", c.workers, plans, c.least, c.most)
		}
	}
}

// Hundreds of instances that each poll all workers poll none of them in time. The few in view of each are spread evenly,
// stay as they are while others depart, and are all of them in a small cluster.
func TestViewIsAnEvenStableSubset(t *testing.T) {
	settings := testSettings()
	settings.MayProbe = true
	settings.ReportsByProbe = true
	settings.Instances = 200
	fleet := ready(80)
	for i := range fleet {
		fleet[i].Zone = i % 2
	}
	seen := map[WorkerID]int{}
	unchanged := 0
	all := 0
	for settings.Instance = 0; settings.Instance < settings.Instances; settings.Instance++ {
		r := newRecorder(t, settings, 1)
		r.list(ListFull, fleet...)
		before := map[WorkerID]bool{}
		for _, w := range r.balancer.workers {
			if w.inView {
				seen[w.ID]++
				before[w.ID] = true
			}
		}
		if len(before) != 2*minViewWidth {
			t.Fatalf("instance %d has %d workers in view", settings.Instance, len(before))
		}
		departed := fleet[7]
		departed.State = Departed
		r.list(ListDelta, departed)
		for _, w := range r.balancer.workers {
			if before[w.ID] && w.ID != departed.ID {
				all++
				if w.inView {
					unchanged++
				}
			}
		}
	}
	for _, w := range fleet {
		if n := seen[w.ID]; n < settings.Instances*minViewWidth/40/2 || n > settings.Instances*minViewWidth/40*2 {
			t.Errorf("worker %d is in the view of %d instances, %d on the mean", w.ID, n, settings.Instances*minViewWidth/40)
		}
	}
	if unchanged*10 < all*8 {
		t.Errorf("only %d of %d workers stayed in view after another departed", unchanged, all)
	}
	settings.Instance = 0
	r := newRecorder(t, settings, 1)
	r.list(ListFull, fleet[:12]...)
	for _, w := range r.balancer.workers {
		if !w.inView {
			t.Errorf("worker %d of a small cluster is not in view", w.ID)
		}
	}
}

func TestOwnZoneFirstThenOverflow(t *testing.T) {
	r := newRecorder(t, testSettings(), 1)
	r.list(ListFull, Worker{ID: 1, State: Ready}, Worker{ID: 2, State: Ready, Zone: 1})
	r.reportFree(2)
	r.runTo(r.now + 0.1)
	own, spilt := 0, 0
	for id := RequestID(1); id <= 8; id++ {
		r.request(id, 2, 0.5)
		if r.attempts[id][0].worker == 1 {
			own++
		} else {
			spilt++
		}
	}
	if r.attempts[1][0].worker != 1 || own < 4 || spilt < 3 {
		t.Errorf("own zone %d, other zone %d: want the own zone's capacity used first, then the other's", own, spilt)
	}
}
