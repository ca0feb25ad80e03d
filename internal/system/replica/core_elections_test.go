package replica

import (
	"testing"
	"time"
)

const (
	electionRuns = 25
	cutLasts     = 20 * time.Second
	joinedFor    = 10 * time.Second // that is looked at after a cut
)

// newestTerm is the highest term that any machine is in.
func (w *coreWorld) newestTerm() uint64 {
	var newest uint64
	for _, p := range w.processes() {
		newest = max(newest, p.group.node.Status().Term)
	}
	return newest
}

// termsOf plays a core of five with operators in which links are cut for a while, and returns how many terms began from
// the cut on, and in the time after its end.
func termsOf(t *testing.T, seed uint64, cut func(w *coreWorld, leader, other *coreSlot)) (all, after uint64) {
	t.Helper()
	w := newCoreWorld(seed)
	w.profile.Machines, w.profile.Operators, w.profile.Loss, w.profile.SyncTime = 5, 2, 0, 5*time.Millisecond
	w.faults = false
	w.found()
	for _, o := range w.operators {
		o.tireless = true
	}
	w.run(scenarioQuiet)
	p := w.leader()
	if p == nil {
		t.Fatalf("seed %d: nobody leads after %v", seed, scenarioQuiet)
	}
	before := w.newestTerm()
	cut(w, p.slot, w.slots[(p.slot.number+1+w.random.IntN(4))%len(w.slots)])
	w.run(cutLasts)
	ended := w.newestTerm()
	w.run(joinedFor)
	if w.failed != "" {
		t.Fatal(w.failed)
	}
	w.checkHistory()
	if w.failed != "" {
		t.Fatal(w.failed)
	}
	return w.newestTerm() - before, w.newestTerm() - ended
}

// TestCutsBringNoElectionStorm: machines that are cut off, one way or both, leave the leader of the others alone, also
// when they are joined back; where it is the leader, another one leads soon and stays.
func TestCutsBringNoElectionStorm(t *testing.T) {
	cases := []struct {
		name string
		most uint64 // terms that begin from the cut on
		cut  func(w *coreWorld, leader, other *coreSlot)
	}{
		{"a follower is cut off", 0, func(w *coreWorld, _, other *coreSlot) {
			for _, s := range w.slots {
				w.setCut(s, other, cutLasts)
				w.setCut(other, s, cutLasts)
			}
		}},
		{"a follower hears nothing", 0, func(w *coreWorld, _, other *coreSlot) {
			for _, s := range w.slots {
				w.setCut(s, other, cutLasts)
			}
		}},
		{"a follower is not heard", 0, func(w *coreWorld, _, other *coreSlot) {
			for _, s := range w.slots {
				w.setCut(other, s, cutLasts)
			}
		}},
		{"a follower does not hear the leader", 0, func(w *coreWorld, leader, other *coreSlot) {
			w.setCut(leader, other, cutLasts)
		}},
		{"the leader does not hear a follower", 0, func(w *coreWorld, leader, other *coreSlot) {
			w.setCut(other, leader, cutLasts)
		}},
		{"two followers hear nothing", 0, func(w *coreWorld, leader, other *coreSlot) {
			for _, s := range w.slots {
				w.setCut(s, other, cutLasts)
				if next := w.slots[(other.number+1)%len(w.slots)]; next != leader {
					w.setCut(s, next, cutLasts)
				}
			}
		}},
		{"the leader is cut off", 4, func(w *coreWorld, leader, _ *coreSlot) {
			for _, s := range w.slots {
				w.setCut(s, leader, cutLasts)
				w.setCut(leader, s, cutLasts)
			}
		}},
		{"the leader hears nothing", 4, func(w *coreWorld, leader, _ *coreSlot) {
			for _, s := range w.slots {
				w.setCut(s, leader, cutLasts)
			}
		}},
		{"the leader is not heard", 4, func(w *coreWorld, leader, _ *coreSlot) {
			for _, s := range w.slots {
				w.setCut(leader, s, cutLasts)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			worst := uint64(0)
			for seed := uint64(1); seed <= electionRuns; seed++ {
				all, after := termsOf(t, seed, c.cut)
				worst = max(worst, all)
				if all > c.most || after > 0 {
					t.Errorf("seed %d: %d terms began from the cut on, %d after its end", seed, all, after)
				}
			}
			t.Logf("at most %d terms", worst)
		})
	}
}
