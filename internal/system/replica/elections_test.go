package replica

import (
	"testing"
	"time"
)

const (
	electionSeeds     = 25
	partitionDuration = 20 * time.Second
	rejoinedDuration  = 10 * time.Second // that is looked at after a cut
)

// newestTerm is the highest term that any machine is in.
func (sim *simulation) newestTerm() uint64 {
	var newest uint64
	for _, process := range sim.processes() {
		newest = max(newest, process.group.node.Status().Term)
	}
	return newest
}

// countTerms plays a core of five with operators in which links are cut for a while, and returns how many terms began from
// the cut on, and in the time after its end.
func countTerms(t *testing.T, seed uint64, cut func(sim *simulation, leader, other *simMachine)) (all, after uint64) {
	t.Helper()
	sim := newSimulation(seed)
	sim.profile.Machines, sim.profile.Operators, sim.profile.Loss, sim.profile.SyncTime = 5, 2, 0, 5*time.Millisecond
	sim.faultsEnabled = false
	sim.bootstrap()
	for _, operator := range sim.operators {
		operator.unlimited = true
	}
	sim.runFor(scenarioWarmup)
	process := sim.leader()
	if process == nil {
		t.Fatalf("seed %d: nobody leads after %v", seed, scenarioWarmup)
	}
	before := sim.newestTerm()
	cut(sim, process.machine, sim.machines[(process.machine.index+1+sim.random.IntN(4))%len(sim.machines)])
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

// TestPartitionsCauseNoRepeatedElections: machines that are cut off, one way or both, leave the leader of the others alone, also
// when they are joined back; where it is the leader, another one leads soon and stays.
func TestPartitionsCauseNoRepeatedElections(t *testing.T) {
	cases := []struct {
		name string
		most uint64 // terms that begin from the cut on
		cut  func(sim *simulation, leader, other *simMachine)
	}{
		{"a follower is cut off", 0, func(sim *simulation, _, other *simMachine) {
			for _, machine := range sim.machines {
				sim.block(machine, other, partitionDuration)
				sim.block(other, machine, partitionDuration)
			}
		}},
		{"a follower hears nothing", 0, func(sim *simulation, _, other *simMachine) {
			for _, machine := range sim.machines {
				sim.block(machine, other, partitionDuration)
			}
		}},
		{"a follower is not heard", 0, func(sim *simulation, _, other *simMachine) {
			for _, machine := range sim.machines {
				sim.block(other, machine, partitionDuration)
			}
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
			for _, machine := range sim.machines {
				sim.block(machine, leader, partitionDuration)
				sim.block(leader, machine, partitionDuration)
			}
		}},
		{"the leader hears nothing", 4, func(sim *simulation, leader, _ *simMachine) {
			for _, machine := range sim.machines {
				sim.block(machine, leader, partitionDuration)
			}
		}},
		{"the leader is not heard", 4, func(sim *simulation, leader, _ *simMachine) {
			for _, machine := range sim.machines {
				sim.block(leader, machine, partitionDuration)
			}
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			worst := uint64(0)
			for seed := uint64(1); seed <= electionSeeds; seed++ {
				all, after := countTerms(t, seed, test.cut)
				worst = max(worst, all)
				if all > test.most || after > 0 {
					t.Errorf("seed %d: %d terms began from the cut on, %d after its end", seed, all, after)
				}
			}
			t.Logf("at most %d terms", worst)
		})
	}
}
