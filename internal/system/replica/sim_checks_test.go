package replica

import (
	"fmt"
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/feed"
)

// checkApplied checks that all replicas do the same at an index, and that each accepted change builds on the one
// before and is accepted once.
func (sim *simulation) checkApplied(process *simProcess, index uint64, command, result []byte) {
	this := appliedCommand{string(command), string(result)}
	if have, ok := sim.oracle.appliedCommands[index]; ok {
		if have != this {
			sim.fail("machine %d does something else at %d than another did", process.machine.index, index)
		}
		return
	}
	sim.oracle.appliedCommands[index] = this
	decoded, err := state.DecodeResult(result)
	if err != nil || decoded.Outcome == state.OutcomeMalformed {
		sim.fail("result at %d: %+v, %v", index, decoded, err)
	}
	if decoded.Outcome != state.OutcomeAccepted {
		return
	}
	request, known := sim.oracle.commands[this.command]
	if !known {
		sim.fail("a change that nobody sent is accepted at %d", index)
	}
	if request.zone != "" {
		sim.recordEvacuation(&request)
		return
	}
	before := sim.oracle.versionAt(index)
	if request.base != before || request.version <= before {
		sim.fail("version %d on %d is accepted at %d on %d", request.version, request.base, index, before)
	}
	for _, committed := range sim.oracle.versions {
		if committed.request.digest == request.digest || committed.index >= index {
			sim.fail("a change is accepted at %d and at %d", committed.index, index)
		}
	}
	sim.logf("%d accepts version %d at %d", process.machine.index, request.version, index)
	sim.oracle.versions = append(sim.oracle.versions, committedVersion{sim.now, index, request})
}

// checkStep checks the invariants of a process after each of its steps.
func (sim *simulation) checkStep(process *simProcess) {
	version := process.state.Version()
	if version < process.version || process.group.appliedIndex < process.appliedIndex {
		sim.fail("machine %d goes back from version %d at %d to %d at %d",
			process.machine.index, process.version, process.appliedIndex, version, process.group.appliedIndex)
	}
	if process.group.appliedIndex != process.appliedIndex {
		committed := sim.oracle.versionAt(process.group.appliedIndex)
		if version != committed {
			sim.fail("machine %d is at version %d, where %d was committed", process.machine.index, version, committed)
		}
	}
	process.version = version
	process.appliedIndex = process.group.appliedIndex
	sim.checkStaleness(process)
	if process.appliedIndex > sim.oracle.appliedIndex {
		sim.checkMajority(process)
		sim.oracle.appliedIndex = process.appliedIndex
	}
	if process.group.node.Role() == consensus.Leader {
		sim.checkLeader(process)
	}
}

// checkMajority checks that an entry was durable on a majority of voters before any replica applied it.
func (sim *simulation) checkMajority(process *simProcess) {
	last, ok := process.group.node.CreateSnapshot(process.appliedIndex, nil)
	if !ok {
		sim.fail("machine %d has applied %d first, and knows no term of it", process.machine.index, process.appliedIndex)
		return
	}
	membership := process.group.node.Membership()
	have := func(id consensus.ReplicaID) bool {
		s := sim.oracle.syncedStates[id]
		return s != nil && (s.entries[entryID{last.Index, last.Term}] || s.snapshot >= last.Index)
	}
	if !majorityOfEach(membership, have) {
		sim.fail("machine %d applies %d, which no majority of %v has synced", process.machine.index, process.appliedIndex,
			memberList(membership.Members))
	}
}

// majorityOfEach reports whether a property holds for a majority of the voters, in both voter sets of a joint
// membership. It does not use Membership.Quorum, so that the checks cover that, too.
func majorityOfEach(membership consensus.Membership, holds func(consensus.ReplicaID) bool) bool {
	var voters, agreeing, outgoing, agreeingOutgoing int
	for _, member := range membership.Members {
		if member.Voter {
			voters++
		}
		if member.Outgoing {
			outgoing++
		}
		if member.Voter && holds(member.ID) {
			agreeing++
		}
		if member.Outgoing && holds(member.ID) {
			agreeingOutgoing++
		}
	}
	return 2*agreeing > voters && (outgoing == 0 || 2*agreeingOutgoing > outgoing)
}

// maxStalledLeadership is how long a replica may stay leader while its disk does not complete a write.
const maxStalledLeadership = diskStallTimeout + defaultElectionTimeout + 300*time.Millisecond

// checkLeader checks that there is one leader a term, and that its disk is not stalled.
func (sim *simulation) checkLeader(process *simProcess) {
	term := process.group.lastHardState.Term // a leader has made its term durable
	id, ok := sim.oracle.leaders[term]
	if ok && id != process.host.self.ID {
		sim.fail("replicas %s and %s both led term %d", id.Hex(), process.host.self.ID.Hex(), term)
	}
	if !ok {
		sim.logf("%d leads term %d", process.machine.index, term)
		sim.stats.counters.terms++
		sim.oracle.leaders[term] = process.host.self.ID
	}
	isWriting := len(process.activeJobs) > 0 && len(durableWrites(process.activeJobs)) > 0
	writingFor := process.clock() - process.writeStarted
	stalled := isWriting && writingFor > maxStalledLeadership
	if stalled && sim.now-process.resumedAt > maxStalledLeadership {
		sim.fail("machine %d leads, and its disk has not finished a write for %v", process.machine.index, writingFor)
	}
}

// checkSent checks that only replicas that were ever voters campaign, and only members vote.
func (sim *simulation) checkSent(process *simProcess, message *consensus.Message) {
	id := process.machine.id()
	switch message.Kind {
	case consensus.MessagePreVote, consensus.MessageVote:
		if !sim.oracle.voters[id] {
			sim.fail("machine %d stands for election and never was a voter", process.machine.index)
		}
	case consensus.MessagePreVoteReply, consensus.MessageVoteReply:
		if !message.Reject && !sim.oracle.members[id] {
			sim.fail("machine %d votes and never was a member", process.machine.index)
		}
	}
}

// membershipDifference counts the differences between two memberships.
type membershipDifference struct {
	members   int // added, removed or changed in any way
	votes     int // given or taken away
	addsVoter bool
}

// diffMemberships compares two memberships.
func diffMemberships(before, after consensus.Membership) (difference membershipDifference) {
	find := func(in consensus.Membership, id consensus.ReplicaID) consensus.Member {
		for _, member := range in.Members {
			if member.ID == id {
				return member
			}
		}
		return consensus.Member{}
	}
	for _, member := range after.Members {
		old := find(before, member.ID)
		if old != member {
			difference.members++
		}
		if old.Voter != member.Voter {
			difference.votes++
		}
		difference.addsVoter = difference.addsVoter || old.ID == 0 && member.HasVote()
	}
	for _, member := range before.Members {
		if find(after, member.ID).ID != 0 {
			continue
		}
		difference.members++
		if member.Voter {
			difference.votes++
		}
	}
	return difference
}

// allowed reports whether consensus permits the change: of one member, of anything but votes, or of several votes
// through a joint membership with the old votes as the outgoing ones.
func (d membershipDifference) allowed(before, after consensus.Membership) bool {
	if after.Joint() {
		kept := slices.EqualFunc(before.Members, after.Members, func(a, b consensus.Member) bool {
			votes := a.Voter == b.Outgoing
			b.Voter = a.Voter
			b.Outgoing = a.Outgoing
			return votes && a == b
		})
		return kept && d.votes > 1
	}
	return d.votes == 0 || d.members == 1
}

// checkChange checks that memberships change by permitted steps, that only members become voters, and that no change
// takes away the majority.
func (sim *simulation) checkChange(process *simProcess, before, after consensus.Membership) {
	difference := diffMemberships(before, after)
	if difference.members == 0 {
		return // leadership was transferred instead
	}
	sim.logf("%d changes the membership to %v", process.machine.index, memberList(after.Members))
	sim.stats.counters.membershipChanges++
	sim.oracle.recordMembership(after)
	if difference.addsVoter {
		sim.fail("machine %d makes a voter of no member: %v", process.machine.index, memberList(after.Members))
	}
	if !difference.allowed(before, after) {
		sim.fail("machine %d changes %d members and %d votes at once: %v, then %v",
			process.machine.index, difference.members, difference.votes, memberList(before.Members), memberList(after.Members))
	}
	anywhere := func(*simMachine) bool { return false }
	if sim.majorityIntact(before, anywhere) && !sim.majorityIntact(after, anywhere) {
		sim.fail("machine %d leaves no majority: %v, then %v", process.machine.index, memberList(before.Members), memberList(after.Members))
	}
	if countVoters(before) >= 3 && countVoters(after) < 3 {
		sim.fail("machine %d leaves %d voters", process.machine.index, countVoters(after))
	}
}

// countVoters returns the number of voters of the incoming set.
func countVoters(membership consensus.Membership) (voters int) {
	for _, m := range membership.Members {
		if m.Voter {
			voters++
		}
	}
	return voters
}

// checkAgent checks that an agent does not go back and has what was committed at its index.
func (sim *simulation) checkAgent(agent *simAgent) {
	value, _ := agent.table.Get(feed.KeyVersion)
	owner, _ := agent.table.Get(ownerKey)
	committed, _ := sim.oracle.committedAt(agent.table.Index())
	version := committed.request.version
	if string(value) != fmt.Sprint(version) && (version > 0 || len(value) > 0) {
		sim.fail("an agent holds version %q at %d, where %d was committed", value, agent.table.Index(), version)
	}
	if version > 0 && string(owner) != string(committed.request.digest[:]) {
		sim.fail("an agent holds version %d in a mixture", version)
	}
	if version < agent.version {
		sim.fail("an agent goes back from version %d to %d", agent.version, version)
	}
	agent.version = version
}

// checkEnd checks that the cluster has recovered some time after the last fault, and the whole history of requests.
func (sim *simulation) checkEnd() {
	if sim.failure != "" {
		return
	}
	if reason := sim.notConverged(); reason != "" {
		sim.fail("%v after the last fault: %s", recoveryPhase, reason)
		return
	}
	sim.stats.counters.versions += len(sim.oracle.versions)
	for _, record := range sim.history.operations {
		if record.response.kind != responseAccepted {
			continue
		}
		if !slices.ContainsFunc(sim.oracle.versions, func(committed committedVersion) bool {
			return committed.request.digest == record.request.digest && committed.request.version == record.response.version
		}) {
			sim.fail("version %d was acknowledged and is lost", record.response.version)
		}
	}
	sim.checkHistory()
	for _, operator := range sim.evacuationOperators {
		operator.checkHistory()
	}
}

// stalenessSlack is by how much a replica may understate its staleness. Its leader may have lost its majority an
// election timeout ago, and messages may have waited while a process was paused for less than two election timeouts,
// which the replica does not detect. Waiting for a slow link comes on top.
const stalenessSlack = 3 * defaultElectionTimeout

// checkStaleness checks that a replica has applied everything that was committed before the time up to which it
// reports to be current, but for stalenessSlack.
func (sim *simulation) checkStaleness(process *simProcess) {
	status := process.group.node.Status()
	age := elapsedSince(status.CaughtUpAt, process.clock())
	if age > faultPhase+recoveryPhase {
		return
	}
	slack := stalenessSlack + 4*sim.profile.Delay + sim.longestWait
	if status.Role == consensus.Leader && status.CaughtUpAt == status.LastLeaderContact {
		slack = 0 // confirmed by a round that a majority answered
	}
	currentSince := sim.now - time.Duration(float64(age)/process.machine.clockRate) - slack
	for i := len(sim.oracle.versions) - 1; i >= 0; i-- {
		version := &sim.oracle.versions[i]
		if version.committedAt >= currentSince {
			continue
		}
		if version.index > process.group.appliedIndex {
			sim.fail("machine %d reports a staleness of %v, and lacks entry %d of version %d, committed %v ago", process.machine.index,
				age, version.index, version.request.version, sim.now-version.committedAt)
		}
		return
	}
}
