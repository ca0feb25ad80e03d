package replica

import (
	"math/bits"
	"slices"

	"cinderroad/internal/system/consensus"
)

// voterSet is a set of members, by their place in situation.members.
type voterSet uint32

func (v voterSet) has(i int) bool { return v&(1<<i) != 0 }
func (v voterSet) size() int      { return bits.OnesCount32(uint32(v)) }

// planVoters moves the votes to the best members, all at once.
func (s *membershipView) planVoters() (membershipChange, bool) {
	next, is := s.shortlist().chooseVoters()
	if is && next.transferTo == 0 {
		next.membership = s.withVotes(next.membership)
	}
	return next, is
}

// shortlist is the situation of those that may vote: the voters, and as many learners that are ready as can be weighed.
func (s *membershipView) shortlist() *membershipView {
	short := *s
	short.members = nil
	for i := range s.members {
		if m := s.members[i]; m.Voter {
			m.replaced = s.superseded(i)
			short.members = append(short.members, m)
		}
	}
	for i := range s.members {
		if m := s.members[i]; !m.Voter && m.caughtUp && s.isAvailable(i) && len(short.members) < maxVoterCandidates {
			short.members = append(short.members, m)
		}
	}
	return &short
}

// withVotes are all members, with the votes of a membership of the shortlist.
func (s *membershipView) withVotes(short consensus.Membership) consensus.Membership {
	members := s.consensusMembers()
	for i := range members {
		members[i].Voter = slices.ContainsFunc(short.Members, func(m consensus.Member) bool {
			return m.ID == members[i].ID && m.Voter
		})
	}
	return consensus.Membership{Members: members}
}

// chooseVoters gives the votes to the best members. Without a majority nothing can be agreed on.
func (s *membershipView) chooseVoters() (membershipChange, bool) {
	voters := s.classifyCandidates()
	if s.hasUnidentifiedMember() || (voters.voters&voters.responsive).size() <= voters.voters.size()/2 {
		return membershipChange{}, false
	}
	best := s.bestVoters(&voters)
	if best == voters.voters || s.demotesTooEarly(best, &voters) {
		return membershipChange{}, false
	}
	if i := s.indexOf(s.self); i < maxVoterCandidates && !best.has(i) {
		if next, is := s.planTransfer(best & voters.available); is {
			return next, true
		}
	}
	return membershipChange{membership: s.withVoters(best)}, true
}

// demotesTooEarly tells whether a living voter would lose its vote before the leader can know who is not there: another
// may be gone, and the one that should lose it.
func (s *membershipView) demotesTooEarly(best voterSet, voters *voterCandidates) bool {
	return s.leaderFor < s.limits.absentAfter && voters.voters&voters.available&^best != 0
}

// withVoters gives the votes to a set of members.
func (s *membershipView) withVoters(set voterSet) consensus.Membership {
	members := s.consensusMembers()
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

func (s *membershipView) classifyCandidates() (w voterCandidates) {
	for i := range min(len(s.members), maxVoterCandidates) {
		m, bit := &s.members[i], voterSet(1)<<i
		alive := s.isAvailable(i)
		if s.isResponsive(i) {
			w.responsive |= bit
		}
		if alive {
			w.available |= bit
		}
		if m.Voter {
			w.voters |= bit
		}
		if m.Voter || alive && m.caughtUp {
			w.eligible |= bit
		}
		if s.hasLostDisk(i) {
			w.diskLost |= bit
		}
		if m.silence > s.limits.lostAfter || m.departed && m.silence > s.limits.absentAfter {
			w.lost |= bit
		}
	}
	return w
}

// hasUnidentifiedMember tells whether a founder that is there has not told its particulars yet.
func (s *membershipView) hasUnidentifiedMember() bool {
	return slices.ContainsFunc(s.members, func(m memberState) bool { return m.Node == "" && m.silence < s.limits.absentAfter })
}

// hasCatchingUpLearner tells whether a learner is about to be ready for a vote.
func (s *membershipView) hasCatchingUpLearner() bool {
	for i := range s.members {
		if !s.members[i].Voter && !s.members[i].caughtUp && s.isAvailable(i) {
			return true
		}
	}
	return false
}

// isResponsive tells whether a member is there.
func (s *membershipView) isResponsive(i int) bool {
	return s.members[i].silence < s.limits.absentAfter && !s.hasLostDisk(i)
}

// hasLostDisk tells whether a member will never answer again: another replica came from its place.
func (s *membershipView) hasLostDisk(i int) bool { return s.members[i].replaced || s.superseded(i) }

// isAvailable tells whether a member is there and stays.
func (s *membershipView) isAvailable(i int) bool { return s.isResponsive(i) && !s.members[i].leaving }

// bestVoters is the best set; the present one unless another is better.
func (s *membershipView) bestVoters(voters *voterCandidates) voterSet {
	best, bestWorth := voters.voters, s.score(voters.voters, voters)
	for set := voters.eligible; set > 0; set = (set - 1) & voters.eligible {
		if !s.isValidSize(set.size(), voters.eligible.size()) || s.shrinksTooSoon(set, voters) {
			continue
		}
		if worth := s.score(set, voters); slices.Compare(worth[:], bestWorth[:]) > 0 {
			best, bestWorth = set, worth
		}
	}
	return best
}

// shrinksTooSoon tells whether a set is smaller than the present one, by more than the voter that makes an even number,
// without those that it leaves out being gone for long.
func (s *membershipView) shrinksTooSoon(set voterSet, voters *voterCandidates) bool {
	least := (voters.voters.size()-1)/2*2 + 1
	return set.size() < least && voters.voters&^set&^voters.lost != 0
}

// isValidSize tells whether a group may be meant to have so many voters: an odd number, or both members of two.
func (s *membershipView) isValidSize(size, eligible int) bool {
	return size <= max(s.targetVoters, 1) && (size%2 == 1 || size == 2 && eligible == 2)
}

// voterScore are what sets of voters are compared by, the weightiest first.
type voterScore [7]int

// score weighs a set of voters. It is worth little where its living ones are no majority.
func (s *membershipView) score(set voterSet, voters *voterCandidates) (w voterScore) {
	quorum := set.size()/2 + 1
	alive := set & voters.available
	if alive.size() < quorum {
		return voterScore{-1}
	}
	if s.surviveRegionLoss {
		w[0] = survivesLoss(s, alive, quorum, func(m *memberState) string { return s.zoneRegions[m.Zone] })
	}
	w[1] = survivesLoss(s, alive, quorum, func(m *memberState) string { return m.Zone })
	w[2] = alive.size() - quorum
	w[3] = min(quorum, 2)
	w[4] = -(set & voters.diskLost).size()
	w[5] = -(set ^ voters.voters).size()
	if i := s.indexOf(s.self); i >= 0 && i < maxVoterCandidates && set.has(i) {
		w[6] = 1
	}
	return w
}

// survivesLoss is 1 if a majority is left whichever domain fails.
func survivesLoss(s *membershipView, alive voterSet, quorum int, domain func(*memberState) string) int {
	for i := range s.members {
		if !alive.has(i) {
			continue
		}
		left := 0
		for j := range s.members {
			apart := domain(&s.members[j]) == "" || domain(&s.members[j]) != domain(&s.members[i])
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
func (s *membershipView) planTransfer(heirs voterSet) (membershipChange, bool) {
	for i := range min(len(s.members), maxVoterCandidates) {
		m := &s.members[i]
		if heirs.has(i) && m.Voter && m.ID != s.self && m.silence < s.limits.absentAfter {
			return membershipChange{transferTo: m.ID}, true
		}
	}
	return membershipChange{}, false
}
