package replica

import (
	"slices"
	"testing"
	"time"
)

const (
	scenarioRuns  = 12
	scenarioQuiet = 14 * time.Second // before what happens
	scenarioLong  = 5 * time.Second  // after it
)

// pauseOf is the longest time without a change of the configuration in force after something happens, in a core of five
// machines where operators change it all the time.
func pauseOf(t *testing.T, seed uint64, happens func(w *coreWorld, leader *coreSlot)) time.Duration {
	t.Helper()
	w := newCoreWorld(seed)
	w.profile.Machines, w.profile.Operators, w.profile.Bandwidth, w.profile.Padding = 5, 3, 0, 0
	w.profile.Delay, w.profile.SyncTime, w.profile.Loss = 5*time.Millisecond, 5*time.Millisecond, 0
	w.profile.Think, w.faults = 100*time.Millisecond, false
	w.found()
	for _, o := range w.operators {
		o.tireless = true
	}
	w.run(scenarioQuiet)
	began, leader := w.now, w.leader()
	if leader == nil {
		t.Fatalf("seed %d: nobody leads after %v", seed, scenarioQuiet)
	}
	for _, o := range w.operators {
		o.avoid = leader.slot
	}
	happens(w, leader.slot)
	w.run(scenarioLong)
	if w.failed != "" {
		t.Fatal(w.failed)
	}
	last, longest := began, time.Duration(0)
	for _, l := range w.truth.chain {
		if l.at > began {
			longest = max(longest, l.at-last)
			last = l.at
		}
	}
	return max(longest, w.now-last)
}

// TestOthersGoOn: what befalls the machine that leads keeps the others from agreeing for a short time only.
func TestOthersGoOn(t *testing.T) {
	tests := []struct {
		name    string
		most    time.Duration
		happens func(w *coreWorld, leader *coreSlot)
	}{
		{"nothing happens", 600 * time.Millisecond, func(*coreWorld, *coreSlot) {}},
		{"its disk is full", 600 * time.Millisecond, func(w *coreWorld, leader *coreSlot) {
			leader.disk.failsUntil = w.now + time.Minute
		}},
		{"its disk hangs", 2200 * time.Millisecond, func(w *coreWorld, leader *coreSlot) {
			leader.disk.stalledUntil = w.now + time.Minute
		}},
		{"it is killed", 3 * time.Second, func(w *coreWorld, leader *coreSlot) {
			w.restart(leader, time.Minute)
		}},
		{"it freezes", 3 * time.Second, func(w *coreWorld, leader *coreSlot) {
			w.freeze(leader, time.Minute)
		}},
		{"it loses its disk", 3 * time.Second, func(w *coreWorld, leader *coreSlot) {
			w.lose(leader, time.Second)
		}},
		{"it is not heard any more", 3 * time.Second, func(w *coreWorld, leader *coreSlot) {
			for _, other := range w.slots {
				w.setCut(leader, other, time.Minute)
			}
		}},
		{"it hears nothing any more", 3 * time.Second, func(w *coreWorld, leader *coreSlot) {
			for _, other := range w.slots {
				w.setCut(other, leader, time.Minute)
			}
		}},
		{"all are killed at once", 4 * time.Second, func(w *coreWorld, _ *coreSlot) {
			for _, s := range w.slots {
				w.restart(s, 500*time.Millisecond)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var pauses []time.Duration
			for seed := uint64(1); seed <= scenarioRuns; seed++ {
				pauses = append(pauses, pauseOf(t, seed, test.happens))
			}
			slices.Sort(pauses)
			worst := pauses[len(pauses)-1]
			t.Logf("%s: %v at the median of %d runs, %v at worst", test.name, pauses[len(pauses)/2], len(pauses), worst)
			if worst > test.most {
				t.Errorf("nothing is agreed on for %v; at most %v", worst, test.most)
			}
		})
	}
}
