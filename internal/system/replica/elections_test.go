package replica

import (
	"testing"
	"time"
)

// Parameters of TestPartitionsCauseNoRepeatedElections.
const (
	electionSeeds     = 25
	partitionDuration = 20 * time.Second
	rejoinedDuration  = 10 * time.Second // observed after the partition
)

// newestTerm returns the highest term of any machine.
func (sim *simulation) newestTerm() uint64 {
	var newest uint64
	for _, process := range sim.processes() {
		newest = max(newest, process.group.node.Status().Term)
	}
	return newest
}

// countTerms runs a cluster of five with operators in which links are blocked for a while. It returns how many terms
// began from the fault on, and how many after its end.
func countTerms(t *testing.T, seed uint64, cut func(sim *simulation, leader, other *simMachine)) (all, after uint64) {
	t.Helper()
	sim := newScenario(seed)
	sim.profile.Operators = 2
	sim.bootstrapBusy()
	leader := sim.warmUp(t)
	before := sim.newestTerm()
	cut(sim, leader, sim.machines[(leader.index+1+sim.random.IntN(4))%len(sim.machines)])
	sim.runFor(partitionDuration)
	ended := sim.newestTerm()
	sim.runFor(rejoinedDuration)
	if sim.failure != "" {
		t.Fatal(sim.failure)
	}
	sim.checkHistory()
	if sim.failure != "" {
		t.Fatal(sim.failure)
	}
	return sim.newestTerm() - before, sim.newestTerm() - ended
}

// TestPartitionsCauseNoRepeatedElections checks that machines that are partitioned, in one direction or both, do not
// disturb the leader of the others, also when they reconnect; if the leader itself is partitioned, another one is
// elected soon and stays.
func TestPartitionsCauseNoRepeatedElections(t *testing.T) {
	cases := []struct {
		name     string
		maxTerms uint64 // that begin from the partition on
		inject   func(sim *simulation, leader, other *simMachine)
	}{
		{"a follower is cut off", 0, func(sim *simulation, _, other *simMachine) {
			sim.blockAll(other, true, true, partitionDuration)
		}},
		{"a follower hears nothing", 0, func(sim *simulation, _, other *simMachine) {
			sim.blockAll(other, true, false, partitionDuration)
		}},
		{"a follower is not heard", 0, func(sim *simulation, _, other *simMachine) {
			sim.blockAll(other, false, true, partitionDuration)
		}},
		{"a follower does not hear the leader", 0, func(sim *simulation, leader, other *simMachine) {
			sim.block(leader, other, partitionDuration)
		}},
		{"the leader does not hear a follower", 0, func(sim *simulation, leader, other *simMachine) {
			sim.block(other, leader, partitionDuration)
		}},
		{"two followers hear nothing", 0, func(sim *simulation, leader, other *simMachine) {
			for _, machine := range sim.machines {
				sim.block(machine, other, partitionDuration)
				if next := sim.machines[(other.index+1)%len(sim.machines)]; next != leader {
					sim.block(machine, next, partitionDuration)
				}
			}
		}},
		{"the leader is cut off", 4, func(sim *simulation, leader, _ *simMachine) {
			sim.blockAll(leader, true, true, partitionDuration)
		}},
		{"the leader hears nothing", 4, func(sim *simulation, leader, _ *simMachine) {
			sim.blockAll(leader, true, false, partitionDuration)
		}},
		{"the leader is not heard", 4, func(sim *simulation, leader, _ *simMachine) {
			sim.blockAll(leader, false, true, partitionDuration)
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			worst := uint64(0)
			for seed := uint64(1); seed <= electionSeeds; seed++ {
				all, after := countTerms(t, seed, test.inject)
				worst = max(worst, all)
				if all > test.maxTerms || after > 0 {
					t.Errorf("seed %d: %d terms began from the cut on, %d after its end", seed, all, after)
				}
			}
			t.Logf("at most %d terms", worst)
		})
	}
}
