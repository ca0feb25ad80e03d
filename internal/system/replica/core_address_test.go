package replica

import (
	"slices"
	"testing"
	"time"

	"cinderroad/internal/system/consensus"
)

const addressRuns = 25

// TestMemberCatchesUpWithALeaderThatItDoesNotKnow has a machine be cut off while another one is replaced and the successor
// comes to lead: the machine that is joined back is a member of a membership that does not name its leader.
func TestMemberCatchesUpWithALeaderThatItDoesNotKnow(t *testing.T) {
	for seed := uint64(1); seed <= addressRuns; seed++ {
		w := newCoreWorld(seed)
		w.profile.Machines, w.profile.Loss, w.profile.SyncTime = 5, 0, 5*time.Millisecond
		w.faults = false
		w.found()
		w.run(scenarioQuiet)
		p := w.leader()
		if p == nil {
			t.Fatalf("seed %d: nobody leads after %v", seed, scenarioQuiet)
		}
		away, lost := w.slots[(p.slot.number+1)%5], w.slots[(p.slot.number+2)%5]
		for _, s := range w.slots {
			w.setCut(s, away, time.Hour)
			w.setCut(away, s, time.Hour)
		}
		successor := w.replace(lost)
		w.setCut(successor, away, time.Hour)
		w.setCut(away, successor, time.Hour)
		if !w.makeLead(successor) {
			t.Fatalf("seed %d: the successor does not lead: %s", seed, w.failed)
		}
		clear(w.cuts)
		applied := w.leader().group.appliedIndex
		w.run(4 * time.Second)
		if got := away.process.group.appliedIndex; got < applied || w.failed != "" {
			t.Errorf("seed %d: the machine that was away has applied %d of %d, led by %s; %s", seed, got, applied,
				formatReplicaID(away.process.group.node.Leader()), w.failed)
		}
	}
}

// replace ends a machine for good and starts one with an empty disk in its place.
func (w *coreWorld) replace(s *coreSlot) *coreSlot {
	s.process.kill()
	s.retired = true
	next := w.addSuccessor(s)
	w.boot(next)
	return next
}

// makeLead has a machine's replica lead once it has a vote; false: it does not come about.
func (w *coreWorld) makeLead(s *coreSlot) bool {
	for range 60 {
		w.run(time.Second)
		p := w.leader()
		if p == nil {
			continue
		}
		if p.slot == s {
			return true
		}
		votes := func(m consensus.Member) bool { return m.ID == s.id() && m.Voter }
		if slices.ContainsFunc(p.group.node.Membership().Members, votes) {
			p.do(func() { p.group.node.TransferLeadership(p.clock(), s.id()) })
		}
	}
	return false
}
