package replica

import (
	"math/bits"
	"slices"

	"cinderroad/internal/system/consensus"
)

// voterSet is a set of members, one bit for each index in membershipView.members.
type voterSet uint32

// has reports whether a member is in the set.
func (v voterSet) has(i int) bool { return v&(1<<i) != 0 }

// size returns the number of members in the set.
func (v voterSet) size() int { return bits.OnesCount32(uint32(v)) }

// planVoters moves the votes to the best set of voters in a single step.
func (view *membershipView) planVoters() (membershipChange, bool) {
	next, ok := view.shortlist().chooseVoters()
	if ok && next.transferTo == 0 {
		next.membership = view.withVotes(next.membership)
	}
	return next, ok
}

// shortlist returns the view restricted to the voters and to as many promotable learners as maxVoterCandidates
// allows.
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

// withVotes returns all members with the votes of a membership of the shortlist.
func (view *membershipView) withVotes(short consensus.Membership) consensus.Membership {
	members := view.consensusMembers()
	for i := range members {
		members[i].Voter = slices.ContainsFunc(short.Members, func(m consensus.Member) bool {
			return m.ID == members[i].ID && m.Voter
		})
	}
	return consensus.Membership{Members: members}
}

// chooseVoters gives the votes to the best set of voters. It returns false if that is the present set, if no majority
// can commit a change, or if it is too early to tell.
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
		if next, ok := view.planTransfer(best & voters.available); ok {
			return next, true
		}
	}
	return membershipChange{membership: view.withVoters(best)}, true
}

// demotesTooEarly reports whether a set would take the vote of an available voter before the leader has led long
// enough to know which members are absent; the vote of an absent one may have to be taken instead.
func (view *membershipView) demotesTooEarly(best voterSet, voters *voterCandidates) bool {
	return view.leaderFor < view.limits.absentAfter && voters.voters&voters.available&^best != 0
}

// withVoters returns all members with the votes given to a set.
func (view *membershipView) withVoters(set voterSet) consensus.Membership {
	members := view.consensusMembers()
	for i := range members {
		members[i].Voter = i < maxVoterCandidates && set.has(i)
	}
	return consensus.Membership{Members: members}
}

// voterCandidates are the sets of members that the choice of voters depends on.
type voterCandidates struct {
	voters     voterSet // the present voters
	responsive voterSet // members that can commit a change
	available  voterSet // responsive members that are not leaving
	eligible   voterSet // members that may be voters
	diskLost   voterSet // members whose disks are lost: unlike absent ones they never return
	lost       voterSet // members that departed, or are absent for so long that the group may shrink
}

// classifyCandidates sorts the first maxVoterCandidates members into sets.
func (view *membershipView) classifyCandidates() (candidates voterCandidates) {
	for i := range min(len(view.members), maxVoterCandidates) {
		member := &view.members[i]
		bit := voterSet(1) << i
		available := view.isAvailable(i)
		if view.isResponsive(i) {
			candidates.responsive |= bit
		}
		if available {
			candidates.available |= bit
		}
		if member.Voter {
			candidates.voters |= bit
		}
		if member.Voter || available && member.caughtUp {
			candidates.eligible |= bit
		}
		if view.hasLostDisk(i) {
			candidates.diskLost |= bit
		}
		if member.sinceResponse > view.limits.lostAfter || member.departed && member.sinceResponse > view.limits.absentAfter {
			candidates.lost |= bit
		}
	}
	return candidates
}

// hasUnidentifiedMember reports whether a founder that responds has not reported its node name and zone yet.
func (view *membershipView) hasUnidentifiedMember() bool {
	return slices.ContainsFunc(view.members, func(member memberState) bool {
		return member.Node == "" && member.sinceResponse < view.limits.absentAfter
	})
}

// hasCatchingUpLearner reports whether an available learner is not promotable yet.
func (view *membershipView) hasCatchingUpLearner() bool {
	for i := range view.members {
		if !view.members[i].Voter && !view.members[i].caughtUp && view.isAvailable(i) {
			return true
		}
	}
	return false
}

// isResponsive reports whether a member has responded within absentAfter and has its disk.
func (view *membershipView) isResponsive(i int) bool {
	return view.members[i].sinceResponse < view.limits.absentAfter && !view.hasLostDisk(i)
}

// hasLostDisk reports whether a member will never respond again because another replica runs on its machine.
func (view *membershipView) hasLostDisk(i int) bool {
	return view.members[i].replaced || view.superseded(i)
}

// isAvailable reports whether a member is responsive and not leaving.
func (view *membershipView) isAvailable(i int) bool {
	return view.isResponsive(i) && !view.members[i].leaving
}

// bestVoters returns the set with the highest score; the present voters if no other set scores higher. It rates every
// subset of the eligible members, from the largest number down: at most 1<<maxVoterCandidates.
func (view *membershipView) bestVoters(voters *voterCandidates) voterSet {
	best, bestScore := voters.voters, view.score(voters.voters, voters)
	for set := voters.eligible; set > 0; set = (set - 1) & voters.eligible {
		if !view.isValidSize(set.size(), voters.eligible.size()) || view.shrinksTooSoon(set, voters) {
			continue
		}
		if score := view.score(set, voters); slices.Compare(score[:], bestScore[:]) > 0 {
			best, bestScore = set, score
		}
	}
	return best
}

// shrinksTooSoon reports whether a set is smaller than the present number of voters, or than the odd number below it,
// although a voter that it omits is not lost for good.
func (view *membershipView) shrinksTooSoon(set voterSet, voters *voterCandidates) bool {
	largestOdd := (voters.voters.size()-1)/2*2 + 1 // that the present voters hold: of an even number, one less
	return set.size() < largestOdd && voters.voters&^set&^voters.lost != 0
}

// isValidSize reports whether a group may have so many voters: an odd number up to targetVoters, or both members of
// two.
func (view *membershipView) isValidSize(size, eligible int) bool {
	return size <= max(view.targetVoters, 1) && (size%2 == 1 || size == 2 && eligible == 2)
}

// voterScore orders sets of voters by lexicographic comparison, the most important criterion first. Higher is better.
type voterScore [criteriaCount]int

// The criteria of a voterScore.
const (
	survivesRegionLoss = iota // 1 if a majority remains whichever region is lost, if operators want that
	survivesZoneLoss          // 1 if a majority remains whichever zone is lost
	survivableLosses          // number of available voters beyond a majority
	disksPerCommit            // disks that hold each committed entry for certain, counted up to 2
	fewLostDisks              // minus the voters that never return
	fewVoteChanges            // minus the members whose vote changes
	keepsLeader               // 1 if the leader keeps its vote
	criteriaCount
)

// unavailableScore is the score of a set that could not commit anything.
var unavailableScore = voterScore{survivesRegionLoss: -1}

// score rates a set of voters. A set whose available members are no majority is rated lowest.
func (view *membershipView) score(set voterSet, voters *voterCandidates) (score voterScore) {
	quorum := set.size()/2 + 1
	available := set & voters.available
	if available.size() < quorum {
		return unavailableScore
	}
	regionOf := func(m *memberState) string { return view.zoneRegions[m.Zone] }
	zoneOf := func(m *memberState) string { return m.Zone }
	if view.surviveRegionLoss {
		score[survivesRegionLoss] = survivesLoss(view, available, quorum, regionOf)
	}
	score[survivesZoneLoss] = survivesLoss(view, available, quorum, zoneOf)
	score[survivableLosses] = available.size() - quorum
	score[disksPerCommit] = min(quorum, 2)
	score[fewLostDisks] = -(set & voters.diskLost).size()
	score[fewVoteChanges] = -(set ^ voters.voters).size()
	if i := view.indexOf(view.self); i >= 0 && i < maxVoterCandidates && set.has(i) {
		score[keepsLeader] = 1
	}
	return score
}

// survivesLoss returns 1 if a majority of the voters remains available whichever single failure domain is lost, else
// 0.
func survivesLoss(view *membershipView, available voterSet, quorum int, domain func(*memberState) string) int {
	for i := range view.members {
		if !available.has(i) {
			continue
		}
		remaining := 0
		for j := range view.members {
			apart := domain(&view.members[j]) == "" || domain(&view.members[j]) != domain(&view.members[i])
			if available.has(j) && apart && i != j {
				remaining++
			}
		}
		if remaining < quorum {
			return 0
		}
	}
	return 1
}

// planTransfer moves leadership to the first responsive voter among the candidates.
func (view *membershipView) planTransfer(candidates voterSet) (membershipChange, bool) {
	for i := range min(len(view.members), maxVoterCandidates) {
		m := &view.members[i]
		if candidates.has(i) && m.Voter && m.ID != view.self && m.sinceResponse < view.limits.absentAfter {
			return membershipChange{transferTo: m.ID}, true
		}
	}
	return membershipChange{}, false
}
