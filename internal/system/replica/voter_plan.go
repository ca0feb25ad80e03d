package replica

import (
	"math/bits"
	"slices"

	"cinderroad/internal/system/consensus"
)

// voterSet is a set of members, by their place in situation.members.
type voterSet uint32

func (v voterSet) has(i int) bool { return v&(1<<i) != 0 }

func (v voterSet) size() int { return bits.OnesCount32(uint32(v)) }

// planVoters moves the votes to the best members, all at once.
func (view *membershipView) planVoters() (membershipChange, bool) {
	next, is := view.shortlist().chooseVoters()
	if is && next.transferTo == 0 {
		next.membership = view.withVotes(next.membership)
	}
	return next, is
}

// shortlist is the situation of those that may vote: the voters, and as many learners that are ready as can be weighed.
func (view *membershipView) shortlist() *membershipView {
	short := *view
	short.members = nil
	for i := range view.members {
		if m := view.members[i]; m.Voter {
			m.replaced = view.superseded(i)
			short.members = append(short.members, m)
		}
	}
	for i := range view.members {
		if m := view.members[i]; !m.Voter && m.caughtUp && view.isAvailable(i) && len(short.members) < maxVoterCandidates {
			short.members = append(short.members, m)
		}
	}
	return &short
}

// withVotes are all members, with the votes of a membership of the shortlist.
func (view *membershipView) withVotes(short consensus.Membership) consensus.Membership {
	members := view.consensusMembers()
	for i := range members {
		members[i].Voter = slices.ContainsFunc(short.Members, func(m consensus.Member) bool {
			return m.ID == members[i].ID && m.Voter
		})
	}
	return consensus.Membership{Members: members}
}

// chooseVoters gives the votes to the best members. Without a majority nothing can be agreed on.
func (view *membershipView) chooseVoters() (membershipChange, bool) {
	voters := view.classifyCandidates()
	if view.hasUnidentifiedMember() || (voters.voters&voters.responsive).size() <= voters.voters.size()/2 {
		return membershipChange{}, false
	}
	best := view.bestVoters(&voters)
	if best == voters.voters || view.demotesTooEarly(best, &voters) {
		return membershipChange{}, false
	}
	if i := view.indexOf(view.self); i < maxVoterCandidates && !best.has(i) {
		if next, is := view.planTransfer(best & voters.available); is {
			return next, true
		}
	}
	return membershipChange{membership: view.withVoters(best)}, true
}

// demotesTooEarly tells whether a living voter would lose its vote before the leader can know who is not there: another
// may be gone, and the one that should lose it.
func (view *membershipView) demotesTooEarly(best voterSet, voters *voterCandidates) bool {
	return view.leaderFor < view.limits.absentAfter && voters.voters&voters.available&^best != 0
}

// withVoters gives the votes to a set of members.
func (view *membershipView) withVoters(set voterSet) consensus.Membership {
	members := view.consensusMembers()
	for i := range members {
		members[i].Voter = i < maxVoterCandidates && set.has(i)
	}
	return consensus.Membership{Members: members}
}

// voterCandidates are the members that are weighed as voters.
type voterCandidates struct {
	voters     voterSet // the voters
	responsive voterSet // those that can agree to a change
	available  voterSet // those of them that stay
	eligible   voterSet // those that may vote
	diskLost   voterSet // those whose disks are lost: they will not come back, as one that is silent may
	lost       voterSet // those that said that they go, or are gone for so long, that the group may become smaller
}

func (view *membershipView) classifyCandidates() (candidates voterCandidates) {
	for i := range min(len(view.members), maxVoterCandidates) {
		member, bit := &view.members[i], voterSet(1)<<i
		alive := view.isAvailable(i)
		if view.isResponsive(i) {
			candidates.responsive |= bit
		}
		if alive {
			candidates.available |= bit
		}
		if member.Voter {
			candidates.voters |= bit
		}
		if member.Voter || alive && member.caughtUp {
			candidates.eligible |= bit
		}
		if view.hasLostDisk(i) {
			candidates.diskLost |= bit
		}
		if member.silence > view.limits.lostAfter || member.departed && member.silence > view.limits.absentAfter {
			candidates.lost |= bit
		}
	}
	return candidates
}

// hasUnidentifiedMember tells whether a founder that is there has not told its particulars yet.
func (view *membershipView) hasUnidentifiedMember() bool {
	return slices.ContainsFunc(view.members, func(m memberState) bool { return m.Node == "" && m.silence < view.limits.absentAfter })
}

// hasCatchingUpLearner tells whether a learner is about to be ready for a vote.
func (view *membershipView) hasCatchingUpLearner() bool {
	for i := range view.members {
		if !view.members[i].Voter && !view.members[i].caughtUp && view.isAvailable(i) {
			return true
		}
	}
	return false
}

// isResponsive tells whether a member is there.
func (view *membershipView) isResponsive(i int) bool {
	return view.members[i].silence < view.limits.absentAfter && !view.hasLostDisk(i)
}

// hasLostDisk tells whether a member will never answer again: another replica came from its place.
func (view *membershipView) hasLostDisk(i int) bool {
	return view.members[i].replaced || view.superseded(i)
}

// isAvailable tells whether a member is there and stays.
func (view *membershipView) isAvailable(i int) bool {
	return view.isResponsive(i) && !view.members[i].leaving
}

// bestVoters is the best set; the present one unless another is better.
func (view *membershipView) bestVoters(voters *voterCandidates) voterSet {
	best, bestWorth := voters.voters, view.score(voters.voters, voters)
	for set := voters.eligible; set > 0; set = (set - 1) & voters.eligible {
		if !view.isValidSize(set.size(), voters.eligible.size()) || view.shrinksTooSoon(set, voters) {
			continue
		}
		if worth := view.score(set, voters); slices.Compare(worth[:], bestWorth[:]) > 0 {
			best, bestWorth = set, worth
		}
	}
	return best
}

// shrinksTooSoon tells whether a set is smaller than the present one, by more than the voter that makes an even number,
// without those that it leaves out being gone for long.
func (view *membershipView) shrinksTooSoon(set voterSet, voters *voterCandidates) bool {
	least := (voters.voters.size()-1)/2*2 + 1
	return set.size() < least && voters.voters&^set&^voters.lost != 0
}

// isValidSize tells whether a group may be meant to have so many voters: an odd number, or both members of two.
func (view *membershipView) isValidSize(size, eligible int) bool {
	return size <= max(view.targetVoters, 1) && (size%2 == 1 || size == 2 && eligible == 2)
}

// voterScore are what sets of voters are compared by, the weightiest first.
type voterScore [7]int

// score weighs a set of voters. It is worth little where its living ones are no majority.
func (view *membershipView) score(set voterSet, voters *voterCandidates) (score voterScore) {
	quorum := set.size()/2 + 1
	alive := set & voters.available
	if alive.size() < quorum {
		return voterScore{-1}
	}
	if view.surviveRegionLoss {
		score[0] = survivesLoss(view, alive, quorum, func(m *memberState) string { return view.zoneRegions[m.Zone] })
	}
	score[1] = survivesLoss(view, alive, quorum, func(m *memberState) string { return m.Zone })
	score[2] = alive.size() - quorum
	score[3] = min(quorum, 2)
	score[4] = -(set & voters.diskLost).size()
	score[5] = -(set ^ voters.voters).size()
	if i := view.indexOf(view.self); i >= 0 && i < maxVoterCandidates && set.has(i) {
		score[6] = 1
	}
	return score
}

// survivesLoss is 1 if a majority is left whichever domain fails.
func survivesLoss(view *membershipView, alive voterSet, quorum int, domain func(*memberState) string) int {
	for i := range view.members {
		if !alive.has(i) {
			continue
		}
		left := 0
		for j := range view.members {
			apart := domain(&view.members[j]) == "" || domain(&view.members[j]) != domain(&view.members[i])
			if alive.has(j) && apart && i != j {
				left++
			}
		}
		if left < quorum {
			return 0
		}
	}
	return 1
}

// transferTo gives leadership to the first of the heirs that votes already.
func (view *membershipView) planTransfer(heirs voterSet) (membershipChange, bool) {
	for i := range min(len(view.members), maxVoterCandidates) {
		m := &view.members[i]
		if heirs.has(i) && m.Voter && m.ID != view.self && m.silence < view.limits.absentAfter {
			return membershipChange{transferTo: m.ID}, true
		}
	}
	return membershipChange{}, false
}
