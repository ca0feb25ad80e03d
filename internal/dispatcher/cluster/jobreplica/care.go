package jobreplica

import (
	"cmp"
	"errors"
	"slices"

	"cinderroad/internal/system/consensus"
)

// maxLearnerLag is by how many entries a new copy may be behind as it begins to count.
const maxLearnerLag = 8

// SetCandidates tells which lives are there to become copies, as the fleet's view has them.
func (r *Replica) SetCandidates(candidates []Member) { r.candidates = candidates }

func compareIDs(a, b consensus.Member) int { return cmp.Compare(a.ID, b.ID) }

// ChooseMembers picks who should hold copies: one for each machine, zones spread as evenly as they go, the same choice from the
// same members in whatever order. Those in held count as taken already.
func ChooseMembers(members, existing []Member, count int) (chosen []Member) {
	usedHosts, zoneCounts := map[string]bool{}, map[string]int{}
	for _, m := range existing {
		usedHosts[m.Host] = true
		zoneCounts[m.Zone]++
	}
	remaining := slices.Clone(members)
	for len(chosen) < count {
		best := -1
		for i, m := range remaining {
			if usedHosts[m.Host] {
				continue
			}
			if best < 0 || cmp.Or(cmp.Compare(zoneCounts[m.Zone], zoneCounts[remaining[best].Zone]), cmp.Compare(m.Name, remaining[best].Name),
				cmp.Compare(m.ID, remaining[best].ID)) < 0 {
				best = i
			}
		}
		if best < 0 {
			return chosen // fewer machines than copies
		}
		m := remaining[best]
		chosen = append(chosen, m)
		usedHosts[m.Host] = true
		zoneCounts[m.Zone]++
	}
	return chosen
}

// maintainMembership is the leader's: it replaces a copy that has not been heard for long, one change at a time, the new one caught up
// first.
func (r *Replica) maintainMembership() {
	if r.now-r.maintainedAt < r.options.HeartbeatInterval {
		return
	}
	r.maintainedAt = r.now
	status := r.node.Status()
	if status.MembershipIndex > status.Commit || status.Transferring {
		return // a change is under way
	}
	voters, learners := r.Members()
	lost := r.lostVoter(&status, voters)
	if len(learners) > 0 {
		r.advanceLearner(&status, learners[0].ID, lost)
		return
	}
	if r.now-r.membershipChangedAt < r.options.ReplaceAfter {
		return // members that flap do not set off one replacement after the other
	}
	if lost == 0 && len(voters) >= r.options.Replicas {
		return
	}
	r.addLearner(voters, lost)
}

// addLearner has the best free member be brought up, where there is one.
func (r *Replica) addLearner(voters []Member, lost uint64) {
	remaining := slices.DeleteFunc(slices.Clone(voters), func(m Member) bool { return m.ID == lost })
	free := slices.DeleteFunc(slices.Clone(r.candidates), func(m Member) bool { return r.isMember(m.ID) })
	for _, m := range ChooseMembers(free, remaining, 1) {
		r.proposeMembership(append(slices.Clone(r.node.Membership().Members), m.consensusMember(false)))
	}
}

// secondsSinceContact is for how long a copy has not answered this leader, seconds.
func (r *Replica) secondsSinceContact(status *consensus.Status, id uint64) float64 {
	lastContact, known := status.LastContact[consensus.ReplicaID(id)]
	if !known {
		return 0 // this one itself
	}
	return r.now - lastContact.Seconds()
}

// lostVoter is the copy that has been silent for longest, where that is too long; 0: none.
func (r *Replica) lostVoter(status *consensus.Status, voters []Member) (lost uint64) {
	longest := r.options.ReplaceAfter
	for _, m := range voters {
		if silence := r.secondsSinceContact(status, m.ID); silence > longest || silence == longest && lost == 0 {
			lost, longest = m.ID, silence
		}
	}
	return lost
}

// advanceLearner brings a new copy on. Once it has caught up the lost one ceases to count, and then it counts: in this order no
// step asks more copies to be there than the one before it did. It goes where it has fallen silent itself, or the lost one
// is back and nobody is missing.
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

func (r *Replica) caughtUp(status *consensus.Status, id uint64) bool {
	match := status.Match[consensus.ReplicaID(id)]
	return match >= status.MembershipIndex && match+maxLearnerLag >= status.Commit && r.secondsSinceContact(status, id) < r.options.ElectionTimeout
}

// membersWithout are the members but for one.
func (r *Replica) membersWithout(id uint64) []consensus.Member {
	members := slices.Clone(r.node.Membership().Members)
	return slices.DeleteFunc(members, func(m consensus.Member) bool { return uint64(m.ID) == id })
}

// membersWithVoter are the members, one of them made to count.
func (r *Replica) membersWithVoter(id uint64) []consensus.Member {
	members := slices.Clone(r.node.Membership().Members)
	for i := range members {
		members[i].Voter = members[i].Voter || uint64(members[i].ID) == id
	}
	return members
}

// proposeMembership proposes another set of copies; the agreement takes one at a time.
func (r *Replica) proposeMembership(members []consensus.Member) {
	if r.node.ChangeMembership(secondsToDuration(r.now), consensus.Membership{Members: members}) == nil {
		r.membershipChangedAt = r.now
	}
}

// handleReplaced takes the word of one that is a copy, as far as this one knows, and has applied more than it: who has applied less
// may not know yet that this one became a copy. While somebody leads this one, it is none of the replaced.
func (r *Replica) handleReplaced(from, index uint64) error {
	if r.node == nil || !r.isMember(from) || index <= r.appliedIndex || r.now-r.leaderSeenAt < r.options.ElectionTimeout {
		return errors.New("copies: told to be gone by one that cannot know")
	}
	r.stop("it was replaced", &ReplacedError{r.options.Self.ID, index})
	return r.stopped
}
