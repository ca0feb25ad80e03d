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
func (c *Replica) SetCandidates(candidates []Member) { c.candidates = candidates }

func compareIDs(a, b consensus.Member) int { return cmp.Compare(a.ID, b.ID) }

// ChooseMembers picks who should hold copies: one for each machine, zones spread as evenly as they go, the same choice from the
// same members in whatever order. Those in held count as taken already.
func ChooseMembers(members, existing []Member, count int) (chosen []Member) {
	machines, zones := map[string]bool{}, map[string]int{}
	for _, m := range existing {
		machines[m.Machine] = true
		zones[m.Zone]++
	}
	remaining := slices.Clone(members)
	for len(chosen) < count {
		best := -1
		for i, m := range remaining {
			if machines[m.Machine] {
				continue
			}
			if best < 0 || cmp.Or(cmp.Compare(zones[m.Zone], zones[remaining[best].Zone]), cmp.Compare(m.Name, remaining[best].Name),
				cmp.Compare(m.ID, remaining[best].ID)) < 0 {
				best = i
			}
		}
		if best < 0 {
			return chosen // fewer machines than copies
		}
		m := remaining[best]
		chosen = append(chosen, m)
		machines[m.Machine] = true
		zones[m.Zone]++
	}
	return chosen
}

// maintainMembership is the leader's: it replaces a copy that has not been heard for long, one change at a time, the new one caught up
// first.
func (c *Replica) maintainMembership() {
	if c.now-c.maintainedAt < c.options.HeartbeatInterval {
		return
	}
	c.maintainedAt = c.now
	status := c.node.Status()
	if status.MembershipIndex > status.Commit || status.Transferring {
		return // a change is under way
	}
	voters, learners := c.Members()
	lost := c.lostVoter(&status, voters)
	if len(learners) > 0 {
		c.advanceLearner(&status, learners[0].ID, lost)
		return
	}
	if c.now-c.membershipChangedAt < c.options.ReplaceAfter {
		return // members that flap do not set off one replacement after the other
	}
	if lost == 0 && len(voters) >= c.options.Replicas {
		return
	}
	c.addLearner(voters, lost)
}

// addLearner has the best free member be brought up, where there is one.
func (c *Replica) addLearner(voters []Member, lost uint64) {
	remaining := slices.DeleteFunc(slices.Clone(voters), func(m Member) bool { return m.ID == lost })
	free := slices.DeleteFunc(slices.Clone(c.candidates), func(m Member) bool { return c.isMember(m.ID) })
	for _, m := range ChooseMembers(free, remaining, 1) {
		c.proposeMembership(append(slices.Clone(c.node.Membership().Members), m.consensusMember(false)))
	}
}

// secondsSinceContact is for how long a copy has not answered this leader, seconds.
func (c *Replica) secondsSinceContact(status *consensus.Status, id uint64) float64 {
	lastContact, known := status.LastContact[consensus.ReplicaID(id)]
	if !known {
		return 0 // this one itself
	}
	return c.now - lastContact.Seconds()
}

// lostVoter is the copy that has been silent for longest, where that is too long; 0: none.
func (c *Replica) lostVoter(status *consensus.Status, voters []Member) (lost uint64) {
	longest := c.options.ReplaceAfter
	for _, m := range voters {
		if silence := c.secondsSinceContact(status, m.ID); silence > longest || silence == longest && lost == 0 {
			lost, longest = m.ID, silence
		}
	}
	return lost
}

// advanceLearner brings a new copy on. Once it has caught up the lost one ceases to count, and then it counts: in this order no
// step asks more copies to be there than the one before it did. It goes where it has fallen silent itself, or the lost one
// is back and nobody is missing.
func (c *Replica) advanceLearner(status *consensus.Status, learner, lost uint64) {
	voters, _ := c.Members()
	missing := len(voters) < c.options.Replicas
	switch {
	case c.secondsSinceContact(status, learner) >= c.options.ReplaceAfter, lost == 0 && !missing:
		c.proposeMembership(c.membersWithout(learner))
	case !c.caughtUp(status, learner):
	case missing:
		c.proposeMembership(c.membersWithVoter(learner))
	default:
		c.proposeMembership(c.membersWithout(lost))
	}
}

func (c *Replica) caughtUp(status *consensus.Status, id uint64) bool {
	match := status.Match[consensus.ReplicaID(id)]
	return match >= status.MembershipIndex && match+maxLearnerLag >= status.Commit && c.secondsSinceContact(status, id) < c.options.ElectionTimeout
}

// membersWithout are the members but for one.
func (c *Replica) membersWithout(id uint64) []consensus.Member {
	members := slices.Clone(c.node.Membership().Members)
	return slices.DeleteFunc(members, func(m consensus.Member) bool { return uint64(m.ID) == id })
}

// membersWithVoter are the members, one of them made to count.
func (c *Replica) membersWithVoter(id uint64) []consensus.Member {
	members := slices.Clone(c.node.Membership().Members)
	for i := range members {
		members[i].Voter = members[i].Voter || uint64(members[i].ID) == id
	}
	return members
}

// proposeMembership proposes another set of copies; the agreement takes one at a time.
func (c *Replica) proposeMembership(members []consensus.Member) {
	if c.node.ChangeMembership(secondsToDuration(c.now), consensus.Membership{Members: members}) == nil {
		c.membershipChangedAt = c.now
	}
}

// handleReplaced takes the word of one that is a copy, as far as this one knows, and has applied more than it: who has applied less
// may not know yet that this one became a copy. While somebody leads this one, it is none of the replaced.
func (c *Replica) handleReplaced(from, index uint64) error {
	if c.node == nil || !c.isMember(from) || index <= c.appliedIndex || c.now-c.leaderSeenAt < c.options.ElectionTimeout {
		return errors.New("copies: told to be gone by one that cannot know")
	}
	c.stop("it was replaced", &ReplacedError{c.options.Self.ID, index})
	return c.stopped
}
