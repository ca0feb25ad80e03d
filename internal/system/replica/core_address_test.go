package replica

import (
	"slices"
	"testing"
	"time"

	"cinderroad/internal/system/consensus"
)

const unknownLeaderSeeds = 25

// TestMemberCatchesUpWithUnknownLeader has a machine be cut off while another one is replaced and the successor
// comes to lead: the machine that is joined back is a member of a membership that does not name its leader.
func TestMemberCatchesUpWithUnknownLeader(t *testing.T) {
	for seed := uint64(1); seed <= unknownLeaderSeeds; seed++ {
		w := newSimulation(seed)
		w.profile.Machines, w.profile.Loss, w.profile.SyncTime = 5, 0, 5*time.Millisecond
		w.faultsEnabled = false
		w.bootstrap()
		w.runFor(scenarioWarmup)
		p := w.leader()
		if p == nil {
			t.Fatalf("seed %d: nobody leads after %v", seed, scenarioWarmup)
		}
		away, lost := w.machines[(p.slot.number+1)%5], w.machines[(p.slot.number+2)%5]
		for _, s := range w.machines {
			w.block(s, away, time.Hour)
			w.block(away, s, time.Hour)
		}
		successor := w.replaceMachine(lost)
		w.block(successor, away, time.Hour)
		w.block(away, successor, time.Hour)
		if !w.transferLeadershipTo(successor) {
			t.Fatalf("seed %d: the successor does not lead: %s", seed, w.failure)
		}
		clear(w.blockedLinks)
		applied := w.leader().group.appliedIndex
		w.runFor(4 * time.Second)
		if got := away.process.group.appliedIndex; got < applied || w.failure != "" {
			t.Errorf("seed %d: the machine that was away has applied %d of %d, led by %s; %s", seed, got, applied,
				formatReplicaID(away.process.group.node.Leader()), w.failure)
		}
	}
}

// replaceMachine ends a machine for good and starts one with an empty disk in its place.
func (w *simulation) replaceMachine(s *simMachine) *simMachine {
	s.process.kill()
	s.replaced = true
	next := w.addReplacement(s)
	w.boot(next)
	return next
}

// transferLeadershipTo has a machine's replica lead once it has a vote; false: it does not come about.
func (w *simulation) transferLeadershipTo(s *simMachine) bool {
	for range 60 {
		w.runFor(time.Second)
		p := w.leader()
		if p == nil {
			continue
		}
		if p.slot == s {
			return true
		}
		votes := func(m consensus.Member) bool { return m.ID == s.id() && m.Voter }
		if slices.ContainsFunc(p.group.node.Membership().Members, votes) {
			p.execute(func() { p.group.node.TransferLeadership(p.clock(), s.id()) })
		}
	}
	return false
}
