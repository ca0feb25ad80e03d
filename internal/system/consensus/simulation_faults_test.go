package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"
)

func (sim *simulation) randomHost() *simulatedHost { return sim.hosts[sim.random.IntN(len(sim.hosts))] }

// nextFault injects a fault, which ends after a while, and schedules the next one.
func (sim *simulation) nextFault() {
	if !sim.faults {
		return
	}
	sim.schedule(sim.randomDuration(sim.profile.MaxFaultInterval/4, sim.profile.MaxFaultInterval), sim.nextFault)
	host := sim.randomHost()
	span := sim.randomDuration(10*time.Millisecond, sim.profile.MaxFaultDuration)
	switch sim.random.IntN(14) {
	case 0, 1:
		sim.restart(host, span)
	case 2:
		sim.restart(host, time.Millisecond)
	case 3:
		sim.cutOff(host, span)
	case 4:
		sim.cutLink(host, sim.randomHost(), span)
	case 5:
		sim.partition(span)
	case 6:
		if host.process != nil {
			process := host.process
			process.freeze()
			sim.schedule(span, process.unfreeze)
		}
	case 7:
		sim.logf("disk of %d hangs for %v", host.id, span)
		host.disk.stalledUntil = sim.now + span
	case 8:
		sim.loseDisks(host, span)
	case 9:
		if sim.chance(0.3) {
			for _, each := range sim.hosts {
				sim.restart(each, sim.randomDuration(time.Millisecond, span))
			}
		}
	case 10:
		sim.withRandomLeader(func(process *simulatedProcess) { sim.restart(process.host, span) })
	case 11:
		sim.withRandomLeader(func(process *simulatedProcess) { sim.cutOff(process.host, span) })
	case 12:
		sim.withRandomLeader(func(process *simulatedProcess) { sim.setCut(process.host.index, host.index, 2*time.Second) })
	case 13:
		sim.withRandomLeader(func(process *simulatedProcess) { sim.isolateFollower(process.host, host) })
	}
}

// isolateFollower cuts the link from a leader to one follower, and restarts the others once that follower has noticed:
// their Node.lastLeaderContact is lost with the restart.
func (sim *simulation) isolateFollower(leader, isolated *simulatedHost) {
	sim.logf("%d is isolated from %d, the others restart", isolated.id, leader.id)
	sim.setCut(leader.index, isolated.index, 2*time.Second)
	sim.proposalsPausedUntil = sim.now + 2*time.Second // a candidate without the newest entries would get no votes
	sim.schedule(sim.randomDuration(700*time.Millisecond, 1500*time.Millisecond), func() {
		for _, host := range sim.hosts {
			if host != leader && host != isolated {
				sim.restart(host, time.Millisecond)
			}
		}
	})
}

func (sim *simulation) restart(host *simulatedHost, down time.Duration) {
	if host.process == nil {
		return
	}
	host.process.kill()
	sim.schedule(down, func() { sim.boot(host) })
}

func (sim *simulation) setCut(from, to int, span time.Duration) {
	sim.cutLinks[[2]int{from, to}] = true
	sim.schedule(span, func() { delete(sim.cutLinks, [2]int{from, to}) })
}

// cutOff cuts the links of a host, in one direction or both.
func (sim *simulation) cutOff(host *simulatedHost, span time.Duration) {
	ways := 1 + sim.random.IntN(3) // bits: 1 outbound, 2 inbound
	sim.logf("%d is cut off (%d) for %v", host.id, ways, span)
	for _, other := range sim.hosts {
		if ways&1 != 0 {
			sim.setCut(host.index, other.index, span)
		}
		if ways&2 != 0 {
			sim.setCut(other.index, host.index, span)
		}
	}
}

func (sim *simulation) cutLink(a, b *simulatedHost, span time.Duration) {
	sim.logf("%d -> %d is cut for %v", a.id, b.id, span)
	sim.setCut(a.index, b.index, span)
	if sim.chance(0.5) {
		sim.setCut(b.index, a.index, span)
	}
}

// partition splits the cluster in two.
func (sim *simulation) partition(span time.Duration) {
	sim.logf("split for %v", span)
	var side []bool
	for range sim.hosts {
		side = append(side, sim.chance(0.5))
	}
	for i := range sim.hosts {
		for j := range sim.hosts {
			if side[i] != side[j] {
				sim.setCut(i, j, span)
			}
		}
	}
}

// loseDisks removes the disks of a minority of the hosts and restarts these as new replicas.
func (sim *simulation) loseDisks(host *simulatedHost, span time.Duration) {
	if !sim.fullyReplicated() {
		return
	}
	lost := 1 + sim.random.IntN(max((len(sim.hosts)-1)/2, 1))
	if len(sim.hosts) < 3 {
		return
	}
	for i := range lost {
		each := sim.hosts[(host.index+i)%len(sim.hosts)]
		sim.logf("%d loses its disk", each.id)
		if each.process != nil {
			each.process.kill()
		}
		each.disk = &simulatedDisk{}
		sim.lastID++
		each.id = sim.lastID
		sim.schedule(span, func() { sim.boot(each) })
	}
}

// fullyReplicated reports whether the hosts' replicas, and no others, are voters, whatever becomes of changes in
// progress.
func (sim *simulation) fullyReplicated() bool {
	views := []Membership{sim.observed.membership, sim.observed.proposedMembership}
	for _, host := range sim.hosts {
		log := newLog(host.disk.stored.normalized())
		views = append(views, log.lastMembership().membership)
	}
	return sim.allVoters(views) && sim.membershipRestored()
}

// membershipRestored reports whether the hosts' replicas, and no others, are voters, in the view of every running
// replica and in the committed membership.
func (sim *simulation) membershipRestored() bool {
	views := []Membership{sim.observed.membership}
	for _, process := range sim.processes() {
		views = append(views, process.node.membership())
	}
	return sim.allVoters(views)
}

func (sim *simulation) allVoters(views []Membership) bool {
	for _, view := range views {
		if len(view.Members) != len(sim.hosts) || view.Joint() {
			return false
		}
		for _, host := range sim.hosts {
			if !view.isVoter(host.id) {
				return false
			}
		}
	}
	return true
}

// withRandomLeader calls a function with a replica that considers itself leader.
func (sim *simulation) withRandomLeader(do func(process *simulatedProcess)) {
	var leaders []*simulatedProcess
	for _, process := range sim.processes() {
		if process.node.role == Leader && !process.frozen {
			leaders = append(leaders, process)
		}
	}
	if len(leaders) > 0 {
		do(leaders[sim.random.IntN(len(leaders))])
	}
}

// propose proposes commands and requests reads.
func (sim *simulation) propose() {
	wait := sim.randomDuration(sim.profile.MaxProposalInterval/2, sim.profile.MaxProposalInterval)
	if !sim.faults {
		wait = max(wait, 100*time.Millisecond)
	}
	sim.schedule(wait, sim.propose)
	if sim.now < sim.proposalsPausedUntil {
		return
	}
	sim.withRandomLeader(func(process *simulatedProcess) {
		if process.node.log.lastIndex()-process.node.log.commit > 50 || !sim.faults && sim.anyReplicaBehind() {
			return
		}
		process.run(func(node *Node) {
			for range 1 + sim.random.IntN(3) {
				sim.lastToken++
				data := binary.BigEndian.AppendUint64(nil, sim.lastToken)
				_, _, err := node.Propose(process.clock(), append(data, make([]byte, sim.random.IntN(40))...))
				if err != nil && !errors.As(err, new(*NotLeaderError)) {
					sim.fail("propose: %v", err)
				}
			}
		})
	})
	if !sim.chance(0.3) {
		return
	}
	for _, process := range sim.processes() {
		if process.node.role == Leader || sim.chance(0.05) {
			sim.lastToken++
			token := sim.lastToken
			process.run(func(node *Node) {
				sim.observed.pendingReads[token] = len(sim.observed.committed)
				node.ReadIndex(process.clock(), token)
			})
		}
	}
}

// anyReplicaBehind reports whether a replica has to catch up, for which the profile's rates may be too slow under load.
func (sim *simulation) anyReplicaBehind() bool {
	return slices.ContainsFunc(sim.processes(), func(process *simulatedProcess) bool {
		return process.applied+200 < uint64(len(sim.observed.committed))
	})
}

// repairMembership changes the membership as an operator would, sometimes without need.
func (sim *simulation) repairMembership() {
	sim.schedule(sim.randomDuration(50*time.Millisecond, 300*time.Millisecond), sim.repairMembership)
	sim.withRandomLeader(func(process *simulatedProcess) {
		process.run(func(node *Node) {
			to, ok := sim.nextMembership(node.membership())
			if sim.faults && sim.chance(sim.profile.NeedlessChangeRate) {
				to, ok = sim.needlessChange(process)
			}
			if !ok {
				return
			}
			err := node.ChangeMembership(process.clock(), to)
			if err == nil {
				sim.observed.proposedMembership = to
			}
			sim.logf("%d changes the membership to %v: %v", process.id, to, err)
			if errors.As(err, new(*InvalidMembershipError)) {
				sim.fail("change of membership from %v to %v: %v", node.membership(), to, err)
			}
		})
	})
}

// nextMembership returns the next step towards a membership of all hosts.
func (sim *simulation) nextMembership(now Membership) (Membership, bool) {
	to := Membership{Members: slices.Clone(now.Members)}
	for _, host := range sim.hosts {
		if !now.has(host.id) {
			to.Members = append(to.Members, Member{ID: host.id, Node: fmt.Sprint(host.index)})
			return to, true
		}
	}
	if to, ok := sim.movedVotes(now); ok && sim.chance(0.6) {
		return to, true
	}
	for i, member := range now.Members {
		if sim.hostOf(member.ID) == nil && (sim.chance(0.2) || sim.everyHostVotes(now)) {
			to.Members = slices.Delete(to.Members, i, i+1)
			return to, true
		}
	}
	for i, member := range now.Members {
		if !member.Voter && sim.hostOf(member.ID) != nil {
			to.Members[i].Voter = true
			return to, true
		}
	}
	return to, false
}

// movedVotes moves the votes of lost replicas to their successors on the same hosts, through a joint membership.
func (sim *simulation) movedVotes(now Membership) (Membership, bool) {
	to := Membership{Members: slices.Clone(now.Members)}
	for i, member := range now.Members {
		to.Members[i].Voter = sim.hostOf(member.ID) != nil
	}
	return to, !slices.Equal(to.Members, now.Members)
}

func (sim *simulation) everyHostVotes(now Membership) bool {
	for _, host := range sim.hosts {
		if !now.isVoter(host.id) {
			return false
		}
	}
	return true
}

// needlessChange returns a membership change without need, or transfers the leadership.
func (sim *simulation) needlessChange(process *simulatedProcess) (Membership, bool) {
	now := process.node.membership()
	to := Membership{Members: slices.Clone(now.Members)}
	i := sim.random.IntN(len(to.Members))
	voters := 0
	for _, member := range to.Members {
		if member.Voter && sim.hostOf(member.ID) != nil {
			voters++
		}
	}
	switch sim.random.IntN(6) {
	case 0:
		sim.logf("%d transfers its leadership", process.id)
		process.node.TransferLeadership(process.clock(), to.Members[i].ID*ReplicaID(sim.random.IntN(2)))
		return to, false
	case 1:
		sim.logf("%d steps down", process.id)
		process.node.StepDown(process.clock())
		return to, false
	case 2:
		to.Members[i].Address += "'"
		return to, true
	}
	if len(to.Members) != len(sim.hosts) || voters != len(sim.hosts) || voters < 2 {
		return to, false // a majority must remain without the members that are already removed
	}
	if sim.chance(0.3) {
		for out := range sim.random.IntN(voters) {
			to.Members[(i+out)%voters].Voter = false
		}
		return to, !slices.Equal(to.Members, now.Members)
	}
	if sim.chance(0.5) {
		to.Members[i].Voter = false
		return to, true
	}
	to.Members = slices.Delete(to.Members, i, i+1)
	return to, true
}

// endFaults ends all faults.
func (sim *simulation) endFaults() {
	sim.logf("all faults end")
	sim.faults = false
	clear(sim.cutLinks)
	for _, host := range sim.hosts {
		host.disk.stalledUntil = 0
		sim.boot(host)
		host.process.unfreeze()
	}
}
