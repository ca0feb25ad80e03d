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
func (w *simulation) newestTerm() uint64 {
	var newest uint64
	for _, p := range w.processes() {
		newest = max(newest, p.group.node.Status().Term)
	}
	return newest
}

// countTerms plays a core of five with operators in which links are cut for a while, and returns how many terms began from
// the cut on, and in the time after its end.
func countTerms(t *testing.T, seed uint64, cut func(w *simulation, leader, other *simMachine)) (all, after uint64) {
	t.Helper()
	w := newSimulation(seed)
	w.profile.Machines, w.profile.Operators, w.profile.Loss, w.profile.SyncTime = 5, 2, 0, 5*time.Millisecond
	w.faultsEnabled = false
	w.bootstrap()
	for _, o := range w.operators {
		o.unlimited = true
	}
	w.runFor(scenarioWarmup)
	p := w.leader()
	if p == nil {
		t.Fatalf("seed %d: nobody leads after %v", seed, scenarioWarmup)
	}
	before := w.newestTerm()
	cut(w, p.slot, w.machines[(p.slot.number+1+w.random.IntN(4))%len(w.machines)])
	w.runFor(partitionDuration)
	ended := w.newestTerm()
	w.runFor(rejoinedDuration)
	if w.failure != "" {
		t.Fatal(w.failure)
	}
	w.checkHistory()
	if w.failure != "" {
		t.Fatal(w.failure)
	}
	return w.newestTerm() - before, w.newestTerm() - ended
}

// TestPartitionsCauseNoRepeatedElections: machines that are cut off, one way or both, leave the leader of the others alone, also
// when they are joined back; where it is the leader, another one leads soon and stays.
func TestPartitionsCauseNoRepeatedElections(t *testing.T) {
	cases := []struct {
		name string
		most uint64 // terms that begin from the cut on
		cut  func(w *simulation, leader, other *simMachine)
	}{
		{"a follower is cut off", 0, func(w *simulation, _, other *simMachine) {
			for _, s := range w.machines {
				w.block(s, other, partitionDuration)
				w.block(other, s, partitionDuration)
			}
		}},
		{"a follower hears nothing", 0, func(w *simulation, _, other *simMachine) {
			for _, s := range w.machines {
				w.block(s, other, partitionDuration)
			}
		}},
		{"a follower is not heard", 0, func(w *simulation, _, other *simMachine) {
			for _, s := range w.machines {
				w.block(other, s, partitionDuration)
			}
		}},
		{"a follower does not hear the leader", 0, func(w *simulation, leader, other *simMachine) {
			w.block(leader, other, partitionDuration)
		}},
		{"the leader does not hear a follower", 0, func(w *simulation, leader, other *simMachine) {
			w.block(other, leader, partitionDuration)
		}},
		{"two followers hear nothing", 0, func(w *simulation, leader, other *simMachine) {
			for _, s := range w.machines {
				w.block(s, other, partitionDuration)
				if next := w.machines[(other.number+1)%len(w.machines)]; next != leader {
					w.block(s, next, partitionDuration)
				}
			}
		}},
		{"the leader is cut off", 4, func(w *simulation, leader, _ *simMachine) {
			for _, s := range w.machines {
				w.block(s, leader, partitionDuration)
				w.block(leader, s, partitionDuration)
			}
		}},
		{"the leader hears nothing", 4, func(w *simulation, leader, _ *simMachine) {
			for _, s := range w.machines {
				w.block(s, leader, partitionDuration)
			}
		}},
		{"the leader is not heard", 4, func(w *simulation, leader, _ *simMachine) {
			for _, s := range w.machines {
				w.block(leader, s, partitionDuration)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			worst := uint64(0)
			for seed := uint64(1); seed <= electionSeeds; seed++ {
				all, after := countTerms(t, seed, c.cut)
				worst = max(worst, all)
				if all > c.most || after > 0 {
					t.Errorf("seed %d: %d terms began from the cut on, %d after its end", seed, all, after)
				}
			}
			t.Logf("at most %d terms", worst)
		})
	}
}
