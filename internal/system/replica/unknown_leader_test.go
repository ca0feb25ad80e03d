package replica

import (
	"slices"
	"testing"
	"time"

	"cinderroad/internal/system/consensus"
)

const unknownLeaderSeeds = 25

// TestMemberCatchesUpWithUnknownLeader partitions a machine while another one is replaced and the replacement becomes
// leader. When the partition ends, the machine knows a membership that does not include its leader.
func TestMemberCatchesUpWithUnknownLeader(t *testing.T) {
	for seed := uint64(1); seed <= unknownLeaderSeeds; seed++ {
		sim := newScenario(seed)
		sim.bootstrap()
		leader := sim.warmUp(t)
		away, lost := sim.machines[(leader.index+1)%5], sim.machines[(leader.index+2)%5]
		sim.blockAll(away, true, true, time.Hour)
		successor := sim.replaceMachine(lost)
		sim.block(successor, away, time.Hour)
		sim.block(away, successor, time.Hour)
		if !sim.transferLeadershipTo(successor) {
			t.Fatalf("seed %d: the successor does not lead: %s", seed, sim.failure)
		}
		clear(sim.blockedLinks)
		applied := sim.leader().group.appliedIndex
		sim.runFor(4 * time.Second)
		if got := away.process.group.appliedIndex; got < applied || sim.failure != "" {
			t.Errorf("seed %d: the machine that was away has applied %d of %d, led by %s; %s", seed, got, applied,
				away.process.group.node.Leader().Hex(), sim.failure)
		}
	}
}

// replaceMachine ends a machine for good and starts one with an empty disk in its place.
func (sim *simulation) replaceMachine(machine *simMachine) *simMachine {
	machine.process.kill()
	machine.replaced = true
	next := sim.addReplacement(machine)
	sim.boot(next)
	return next
}

// transferLeadershipTo makes a machine's replica leader once it is a voter; false if that does not succeed within a
// minute.
func (sim *simulation) transferLeadershipTo(machine *simMachine) bool {
	for range 60 {
		sim.runFor(time.Second)
		process := sim.leader()
		if process == nil {
			continue
		}
		if process.machine == machine {
			return true
		}
		votes := func(m consensus.Member) bool { return m.ID == machine.id() && m.Voter }
		if slices.ContainsFunc(process.group.node.Membership().Members, votes) {
			process.execute(func() { process.group.node.TransferLeadership(process.clock(), machine.id()) })
		}
	}
	return false
}
