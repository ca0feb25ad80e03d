package replica

import (
	"slices"
	"testing"
	"time"
)

const (
	scenarioSeeds    = 12
	scenarioWarmup   = 14 * time.Second // before what happens
	scenarioDuration = 5 * time.Second  // after it
)

// measureUnavailability is the longest time without a change of the configuration in force after something happens, in a core of five
// machines where operators change it all the time.
func measureUnavailability(t *testing.T, seed uint64, happens func(w *simulation, leader *simMachine)) time.Duration {
	t.Helper()
	w := newSimulation(seed)
	w.profile.Machines, w.profile.Operators, w.profile.Bandwidth, w.profile.PaddingBytes = 5, 3, 0, 0
	w.profile.Delay, w.profile.SyncTime, w.profile.Loss = 5*time.Millisecond, 5*time.Millisecond, 0
	w.profile.ThinkTime, w.faultsEnabled = 100*time.Millisecond, false
	w.bootstrap()
	for _, o := range w.operators {
		o.unlimited = true
	}
	w.runFor(scenarioWarmup)
	began, leader := w.now, w.leader()
	if leader == nil {
		t.Fatalf("seed %d: nobody leads after %v", seed, scenarioWarmup)
	}
	for _, o := range w.operators {
		o.avoid = leader.slot
	}
	happens(w, leader.slot)
	w.runFor(scenarioDuration)
	if w.failure != "" {
		t.Fatal(w.failure)
	}
	last, longest := began, time.Duration(0)
	for _, l := range w.oracle.versions {
		if l.committedAt > began {
			longest = max(longest, l.committedAt-last)
			last = l.committedAt
		}
	}
	return max(longest, w.now-last)
}

// TestUnavailabilityAfterLeaderFault: what befalls the machine that leads keeps the others from agreeing for a short time only.
func TestUnavailabilityAfterLeaderFault(t *testing.T) {
	tests := []struct {
		name    string
		most    time.Duration
		happens func(w *simulation, leader *simMachine)
	}{
		{"nothing happens", 600 * time.Millisecond, func(*simulation, *simMachine) {}},
		{"its disk is full", 600 * time.Millisecond, func(w *simulation, leader *simMachine) {
			leader.disk.failsUntil = w.now + time.Minute
		}},
		{"its disk hangs", 2200 * time.Millisecond, func(w *simulation, leader *simMachine) {
			leader.disk.stalledUntil = w.now + time.Minute
		}},
		{"it is killed", 3 * time.Second, func(w *simulation, leader *simMachine) {
			w.restart(leader, time.Minute)
		}},
		{"it freezes", 3 * time.Second, func(w *simulation, leader *simMachine) {
			w.pause(leader, time.Minute)
		}},
		{"it loses its disk", 3 * time.Second, func(w *simulation, leader *simMachine) {
			w.loseDisk(leader, time.Second)
		}},
		{"it is not heard any more", 3 * time.Second, func(w *simulation, leader *simMachine) {
			for _, other := range w.machines {
				w.block(leader, other, time.Minute)
			}
		}},
		{"it hears nothing any more", 3 * time.Second, func(w *simulation, leader *simMachine) {
			for _, other := range w.machines {
				w.block(other, leader, time.Minute)
			}
		}},
		{"all are killed at once", 4 * time.Second, func(w *simulation, _ *simMachine) {
			for _, s := range w.machines {
				w.restart(s, 500*time.Millisecond)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var pauses []time.Duration
			for seed := uint64(1); seed <= scenarioSeeds; seed++ {
				pauses = append(pauses, measureUnavailability(t, seed, test.happens))
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
