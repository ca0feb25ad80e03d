package replica

import (
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
)

// injectFault injects one random fault, which ends after a while, and schedules the next one.
func (sim *simulation) injectFault() {
	if !sim.faultsEnabled {
		return
	}
	sim.schedule(sim.uniform(sim.profile.FaultInterval/4, sim.profile.FaultInterval), sim.injectFault)
	machine := sim.randomMachine()
	if process := sim.leader(); process != nil && sim.chance(0.4) {
		machine = process.machine
	}
	span := sim.uniform(20*time.Millisecond, sim.profile.FaultDuration)
	switch sim.random.IntN(12) {
	case 0, 1:
		sim.restart(machine, span)
	case 2:
		sim.restart(machine, time.Millisecond)
	case 3:
		sim.pause(machine, span)
	case 4:
		sim.isolate(machine, span)
	case 5:
		sim.block(machine, sim.randomMachine(), span)
	case 6:
		sim.partitionNetwork(span)
	case 7:
		sim.logf("disk of %d hangs for %v", machine.index, span)
		machine.disk.stalledUntil = sim.now + span
	case 8:
		sim.logf("disk of %d fails for %v", machine.index, span)
		machine.disk.failsUntil = sim.now + span
	case 9:
		sim.loseDisk(machine, span)
	case 10:
		sim.restartAll(span)
	case 11:
		sim.restartGracefully(machine, span)
	}
}

// restart kills a process and boots it again.
func (sim *simulation) restart(machine *simMachine, down time.Duration) {
	if machine.process == nil {
		return
	}
	machine.process.kill()
	sim.schedule(down, func() { sim.boot(machine) })
}

// restartGracefully shuts a process down, which takes as long as its votes need to move, and starts it again.
func (sim *simulation) restartGracefully(machine *simMachine, down time.Duration) {
	process := machine.process
	if process == nil || !sim.canLoseDisk(machine) {
		return
	}
	sim.logf("%d gets the signal to stop", machine.index)
	process.shutDown()
	sim.bootAfterExit(machine, process, down)
}

// bootAfterExit starts a machine some time after its process has ended.
func (sim *simulation) bootAfterExit(machine *simMachine, ending *simProcess, down time.Duration) {
	sim.schedule(down, func() {
		if ending.alive {
			sim.bootAfterExit(machine, ending, down)
			return
		}
		sim.boot(machine)
	})
}

// restartAll kills all processes at once.
func (sim *simulation) restartAll(span time.Duration) {
	if !sim.chance(0.3) {
		return
	}
	for _, machine := range sim.activeMachines() {
		sim.restart(machine, sim.uniform(time.Millisecond, span))
	}
}

// pause stops a process for a while, as SIGSTOP does.
func (sim *simulation) pause(machine *simMachine, span time.Duration) {
	process := machine.process
	if process == nil || process.paused {
		return
	}
	sim.logf("%d freezes for %v", machine.index, span)
	process.paused = true
	sim.schedule(span, process.resume)
}

// block drops all messages in one direction between two machines for a while.
func (sim *simulation) block(from, to *simMachine, span time.Duration) {
	way := [2]int{from.index, to.index}
	sim.blockedLinks[way]++
	sim.schedule(span, func() { sim.blockedLinks[way] = max(sim.blockedLinks[way]-1, 0) })
}

// blockAll blocks a machine's links to and from all machines for a while, inbound, outbound or both.
func (sim *simulation) blockAll(machine *simMachine, inbound, outbound bool, span time.Duration) {
	for _, other := range sim.machines {
		if outbound {
			sim.block(machine, other, span)
		}
		if inbound {
			sim.block(other, machine, span)
		}
	}
}

// isolate partitions a machine from the others, in one direction or both.
func (sim *simulation) isolate(machine *simMachine, span time.Duration) {
	ways := 1 + sim.random.IntN(3) // bits: 1 outbound, 2 inbound
	sim.logf("%d is cut off (%d) for %v", machine.index, ways, span)
	sim.blockAll(machine, ways&2 != 0, ways&1 != 0, span)
}

// partitionNetwork splits the machines at random into two sides that cannot reach each other.
func (sim *simulation) partitionNetwork(span time.Duration) {
	var side []bool
	for range sim.machines {
		side = append(side, sim.chance(0.5))
	}
	sim.logf("split for %v: %v", span, side)
	for i, from := range sim.machines {
		for j, to := range sim.machines {
			if side[i] != side[j] {
				sim.block(from, to, span)
			}
		}
	}
}

// loseDisk takes a disk away if a majority of voters survives that whatever becomes of changes in progress. The
// machine comes back as a new replica, or another machine takes its place.
func (sim *simulation) loseDisk(machine *simMachine, span time.Duration) {
	if !sim.canLoseDisk(machine) {
		return
	}
	if machine.process != nil {
		machine.process.kill()
	}
	id := machine.disk.id
	machine.disk = &simDisk{}
	if sim.injected.reusesIdentity {
		machine.disk.id = id
	}
	machine.settings.FirstBoot = false
	sim.stats.counters.losses++
	if sim.chance(0.6) {
		sim.logf("%d loses its disk", machine.index)
		sim.schedule(span, func() { sim.boot(machine) })
		return
	}
	machine.replaced = true
	next := sim.addReplacement(machine)
	sim.logf("%d is lost for good, %d takes its place", machine.index, next.index)
	sim.schedule(span, func() { sim.boot(next) })
}

// canLoseDisk reports whether in every membership that may be in effect a majority of voters have their disks without
// this machine's and without those that are shutting down: a vote may be moving from such a machine to one that is
// just lost.
func (sim *simulation) canLoseDisk(machine *simMachine) bool {
	if len(sim.oracle.versions) == 0 {
		return false
	}
	views := append(sim.memberships(), sim.oracle.proposed)
	return sim.majorityIntactInAll(views, func(other *simMachine) bool { return other == machine || other.isLeaving() })
}

// memberships returns those that machines use, or would use after a restart.
func (sim *simulation) memberships() (memberships []consensus.Membership) {
	for _, machine := range sim.activeMachines() {
		if stored := machine.disk.load(); stored.Validate() == nil {
			memberships = append(memberships, newestMembership(&stored))
		}
		if machine.process != nil {
			memberships = append(memberships, machine.process.group.node.Membership())
		}
	}
	return memberships
}

// majorityIntactInAll reports whether majorityIntact holds for all memberships.
func (sim *simulation) majorityIntactInAll(views []consensus.Membership, without func(*simMachine) bool) bool {
	return !slices.ContainsFunc(views, func(view consensus.Membership) bool { return !sim.majorityIntact(view, without) })
}

// isLeaving reports whether a machine's process is shutting down.
func (s *simMachine) isLeaving() bool { return s.process != nil && s.process.host.leaving }

// majorityIntact reports whether a majority of voters have their disks, without some machines.
func (sim *simulation) majorityIntact(view consensus.Membership, without func(*simMachine) bool) bool {
	return len(view.Members) == 0 || majorityOfEach(view, func(id consensus.ReplicaID) bool {
		return slices.ContainsFunc(sim.activeMachines(), func(machine *simMachine) bool { return !without(machine) && machine.id() == id })
	})
}

// newestMembership returns the last membership in a persistent state.
func newestMembership(stored *consensus.PersistentState) consensus.Membership {
	newest := stored.Snapshot.Membership
	for _, e := range stored.Entries {
		if e.Kind == consensus.EntryMembership {
			newest, _ = consensus.DecodeMembership(e.Data)
		}
	}
	return newest
}

// endFaults ends all faults, boots all machines, and lets the operators finish.
func (sim *simulation) endFaults() {
	sim.logf("all faults end")
	sim.faultsEnabled = false
	clear(sim.blockedLinks)
	for _, machine := range sim.activeMachines() {
		machine.disk.stalledUntil, machine.disk.failsUntil = 0, 0
		sim.boot(machine)
		if machine.process != nil { // it may have been shutting down
			machine.process.resume()
		}
	}
	for _, operator := range sim.operators {
		operator.finish()
	}
	for _, operator := range sim.evacuationOperators {
		operator.finishing = true
	}
}
