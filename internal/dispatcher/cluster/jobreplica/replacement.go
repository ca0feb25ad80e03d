package jobreplica

import (
	"slices"

	"cinderroad/internal/system/consensus"
)

// maxLearnerLag is by how many entries a learner may be behind when it becomes a voter.
const maxLearnerLag = 8

// SetCandidates sets the members that may become replicas. It retains candidates.
func (r *Replica) SetCandidates(candidates []Member) { r.candidates = candidates }

// maintainMembership is run by the leader: it replaces a voter that has been silent for too long, one membership change at a
// time.
func (r *Replica) maintainMembership() {
	if r.now-r.maintainedAt < r.options.HeartbeatInterval {
		return
	}
	r.maintainedAt = r.now
	status := r.node.Status()
	if status.MembershipIndex > status.Commit || status.Transferring {
		return // a change is in progress
	}
	voters, learners := r.Members()
	lost := r.lostVoter(&status, voters)
	if len(learners) > 0 {
		r.advanceLearner(&status, learners[0].ID, lost)
		return
	}
	if r.now-r.membershipChangedAt < r.options.ReplaceAfter {
		return // unstable members must not cause one replacement after the other
	}
	if lost == 0 && len(voters) >= r.options.Replicas {
		return
	}
	r.addLearner(voters, lost)
}

// addLearner proposes the best candidate as a learner, if there is one.
func (r *Replica) addLearner(voters []Member, lost uint64) {
	remaining := slices.DeleteFunc(slices.Clone(voters), func(m Member) bool { return m.ID == lost })
	free := slices.DeleteFunc(slices.Clone(r.candidates), func(m Member) bool { return r.isMember(m.ID) })
	for _, m := range ChooseMembers(free, remaining, 1) {
		r.proposeMembership(append(slices.Clone(r.node.Membership().Members), m.consensusMember(false)))
	}
}

// secondsSinceContact is the time since a replica last responded to this leader.
func (r *Replica) secondsSinceContact(status *consensus.Status, id uint64) float64 {
	lastContact, known := status.LastContact[consensus.ReplicaID(id)]
	if !known {
		return 0 // this replica itself
	}
	return r.now - lastContact.Seconds()
}

// lostVoter returns the voter that has been silent for the longest time of at least ReplaceAfter; 0: none.
func (r *Replica) lostVoter(status *consensus.Status, voters []Member) (lost uint64) {
	longest := r.options.ReplaceAfter
	for _, m := range voters {
		if silence := r.secondsSinceContact(status, m.ID); silence > longest || silence == longest && lost == 0 {
			lost = m.ID
			longest = silence
		}
	}
	return lost
}

// advanceLearner takes the next step with a learner. Once it has caught up the lost voter is removed, and then the learner
// becomes a voter: in this order no step needs more replicas for a majority than the one before. The learner is removed if
// it has fallen silent itself, or if the lost voter has returned and no voter is missing.
func (r *Replica) advanceLearner(status *consensus.Status, learner, lost uint64) {
	voters, _ := r.Members()
	missing := len(voters) < r.options.Replicas
	switch {
	case r.secondsSinceContact(status, learner) >= r.options.ReplaceAfter, lost == 0 && !missing:
		r.proposeMembership(r.membersWithout(learner))
	case !r.caughtUp(status, learner):
	case missing:
		r.proposeMembership(r.membersWithVoter(learner))
	default:
		r.proposeMembership(r.membersWithout(lost))
	}
}

// caughtUp reports whether the learner knows the membership, is close to the commit index and responds.
func (r *Replica) caughtUp(status *consensus.Status, id uint64) bool {
	match := status.Match[consensus.ReplicaID(id)]
	return match >= status.MembershipIndex && match+maxLearnerLag >= status.Commit &&
		r.secondsSinceContact(status, id) < r.options.ElectionTimeout
}

// membersWithout returns the membership without one member.
func (r *Replica) membersWithout(id uint64) []consensus.Member {
	members := slices.Clone(r.node.Membership().Members)
	return slices.DeleteFunc(members, func(m consensus.Member) bool { return uint64(m.ID) == id })
}

// membersWithVoter returns the membership with one member made a voter.
func (r *Replica) membersWithVoter(id uint64) []consensus.Member {
	members := slices.Clone(r.node.Membership().Members)
	for i := range members {
		members[i].Voter = members[i].Voter || uint64(members[i].ID) == id
	}
	return members
}

// proposeMembership proposes a membership; the consensus accepts one change at a time.
func (r *Replica) proposeMembership(members []consensus.Member) {
	if r.node.ChangeMembership(secondsToDuration(r.now), consensus.Membership{Members: members}) == nil {
		r.membershipChangedAt = r.now
	}
}
