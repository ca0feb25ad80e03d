package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Parameters of the measurements of unavailability.
const (
	scenarioSeeds    = 12
	scenarioDuration = 5 * time.Second // after the fault
)

// measureUnavailability returns the longest time without a committed version after a fault, in a cluster of five
// machines that operators change all the time.
func measureUnavailability(t *testing.T, seed uint64, inject func(sim *simulation, leader *simMachine)) time.Duration {
	t.Helper()
	sim := newScenario(seed)
	sim.profile.Operators = 3
	sim.profile.Bandwidth = 0
	sim.profile.PaddingBytes = 0
	sim.profile.Delay = 5 * time.Millisecond
	sim.profile.ThinkTime = 100 * time.Millisecond
	sim.bootstrapBusy()
	leader := sim.warmUp(t)
	startedAt := sim.now
	for _, operator := range sim.operators {
		operator.avoid = leader
	}
	inject(sim, leader)
	sim.runFor(scenarioDuration)
	if sim.failure != "" {
		t.Fatal(sim.failure)
	}
	return sim.longestCommitGap(startedAt)
}

// longestCommitGap returns the longest time without a committed version from a time until now.
func (sim *simulation) longestCommitGap(from time.Duration) time.Duration {
	last := from
	longest := time.Duration(0)
	for _, version := range sim.oracle.versions {
		if version.committedAt > from {
			longest = max(longest, version.committedAt-last)
			last = version.committedAt
		}
	}
	return max(longest, sim.now-last)
}

// TestUnavailabilityAfterLeaderFault checks that a fault of the leader's machine stops commits only for a short time.
func TestUnavailabilityAfterLeaderFault(t *testing.T) {
	tests := []struct {
		name   string
		most   time.Duration
		inject func(sim *simulation, leader *simMachine)
	}{
		{"nothing happens", 600 * time.Millisecond, func(*simulation, *simMachine) {}},
		{"its disk is full", 600 * time.Millisecond, func(sim *simulation, leader *simMachine) {
			leader.disk.failsUntil = sim.now + time.Minute
		}},
		{"its disk hangs", 2200 * time.Millisecond, func(sim *simulation, leader *simMachine) {
			leader.disk.stalledUntil = sim.now + time.Minute
		}},
		{"it is killed", 3 * time.Second, func(sim *simulation, leader *simMachine) {
			sim.restart(leader, time.Minute)
		}},
		{"it freezes", 3 * time.Second, func(sim *simulation, leader *simMachine) {
			sim.pause(leader, time.Minute)
		}},
		{"it loses its disk", 3 * time.Second, func(sim *simulation, leader *simMachine) {
			sim.loseDisk(leader, time.Second)
		}},
		{"it is not heard any more", 3 * time.Second, func(sim *simulation, leader *simMachine) {
			sim.blockAll(leader, false, true, time.Minute)
		}},
		{"it hears nothing any more", 3 * time.Second, func(sim *simulation, leader *simMachine) {
			sim.blockAll(leader, true, false, time.Minute)
		}},
		{"all are killed at once", 4 * time.Second, func(sim *simulation, _ *simMachine) {
			for _, machine := range sim.machines {
				sim.restart(machine, 500*time.Millisecond)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var pauses []time.Duration
			for seed := uint64(1); seed <= scenarioSeeds; seed++ {
				pauses = append(pauses, measureUnavailability(t, seed, test.inject))
			}
			slices.Sort(pauses)
			worst := pauses[len(pauses)-1]
			t.Logf("%s: %v at the median of %d runs, %v at worst", test.name, pauses[len(pauses)/2], len(pauses), worst)
			if worst > test.most {
				t.Errorf("nothing is committed for %v; at most %v", worst, test.most)
			}
		})
	}
}

// TestFailoverTimeByLatency measures how long nothing is committed after the leader is killed, paused or partitioned.
func TestFailoverTimeByLatency(t *testing.T) {
	bounds := map[time.Duration]time.Duration{
		20 * time.Millisecond:  1500 * time.Millisecond,
		90 * time.Millisecond:  3 * time.Second,
		200 * time.Millisecond: 5 * time.Second,
	}
	kinds := []struct {
		name   string
		inject func(sim *simulation, leader *simMachine)
	}{
		{"killed", func(sim *simulation, leader *simMachine) { sim.restart(leader, time.Minute) }},
		{"frozen", func(sim *simulation, leader *simMachine) { sim.pause(leader, time.Minute) }},
		{"cut off", func(sim *simulation, leader *simMachine) {
			sim.blockAll(leader, true, true, time.Minute)
		}},
	}
	for delay, bound := range bounds {
		for _, machines := range []int{3, 5} {
			for _, kind := range kinds {
				t.Run(fmt.Sprintf("%s, %d machines, %v", kind.name, machines, delay), func(t *testing.T) {
					t.Parallel()
					var pauses []time.Duration
					for seed := uint64(1); seed <= scenarioSeeds; seed++ {
						setup := repairCase{machines: machines, losses: 1, delay: delay, sync: 5 * time.Millisecond}
						pauses = append(pauses, measureFailover(t, seed, setup, kind.inject))
					}
					checkTimes(t, pauses, bound)
				})
			}
		}
	}
}

// measureFailover returns the longest time without a committed version after a fault of the leader.
func measureFailover(t *testing.T, seed uint64, setup repairCase, inject func(sim *simulation, leader *simMachine)) time.Duration {
	t.Helper()
	sim := newRepairSimulation(seed, setup)
	leader := sim.mustLead(t)
	for _, operator := range sim.operators {
		operator.avoid = leader
	}
	began := sim.now
	inject(sim, leader)
	sim.runFor(8 * time.Second)
	if sim.failure != "" {
		t.Fatal(sim.failure)
	}
	return sim.longestCommitGap(began)
}
