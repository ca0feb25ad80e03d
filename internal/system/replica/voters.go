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
func (s *situation) planVoters() (change, bool) {
	next, is := s.shortlist().chooseVoters()
	if is && next.handOver == 0 {
		next.to = s.withVotes(next.to)
	}
	return next, is
}

// shortlist is the situation of those that may vote: the voters, and as many learners that are ready as can be weighed.
func (s *situation) shortlist() *situation {
	short := *s
	short.members = nil
	for i := range s.members {
		if m := s.members[i]; m.Voter {
			m.replaced = s.superseded(i)
			short.members = append(short.members, m)
		}
	}
	for i := range s.members {
		if m := s.members[i]; !m.Voter && m.caughtUp && s.lives(i) && len(short.members) < mostPlanned {
			short.members = append(short.members, m)
		}
	}
	return &short
}

// withVotes are all members, with the votes of a membership of the shortlist.
func (s *situation) withVotes(short consensus.Membership) consensus.Membership {
	members := s.plain()
	for i := range members {
		members[i].Voter = slices.ContainsFunc(short.Members, func(m consensus.Member) bool {
			return m.ID == members[i].ID && m.Voter
		})
	}
	return consensus.Membership{Members: members}
}

// chooseVoters gives the votes to the best members. Without a majority nothing can be agreed on.
func (s *situation) chooseVoters() (change, bool) {
	voters := s.weigh()
	if s.anonymous() || (voters.present&voters.answering).size() <= voters.present.size()/2 {
		return change{}, false
	}
	best := s.bestVoters(&voters)
	if best == voters.present || s.demotesBlindly(best, &voters) {
		return change{}, false
	}
	if i := s.find(s.self); i < mostPlanned && !best.has(i) {
		if next, is := s.handOver(best & voters.living); is {
			return next, true
		}
	}
	return change{to: s.withVoters(best)}, true
}

// demotesBlindly tells whether a living voter would lose its vote before the leader can know who is not there: another
// may be gone, and the one that should lose it.
func (s *situation) demotesBlindly(best voterSet, voters *weighed) bool {
	return s.ledFor < s.patience.absent && voters.present&voters.living&^best != 0
}

// withVoters gives the votes to a set of members.
func (s *situation) withVoters(set voterSet) consensus.Membership {
	members := s.plain()
	for i := range members {
		members[i].Voter = i < mostPlanned && set.has(i)
	}
	return consensus.Membership{Members: members}
}

// weighed are the members that are weighed as voters.
type weighed struct {
	present   voterSet // the voters
	answering voterSet // those that can agree to a change
	living    voterSet // those of them that stay
	eligible  voterSet // those that may vote
	erased    voterSet // those whose disks are lost: they will not come back, as one that is silent may
	lost      voterSet // those that said that they go, or are gone for so long, that the group may become smaller
}

func (s *situation) weigh() (w weighed) {
	for i := range min(len(s.members), mostPlanned) {
		m, bit := &s.members[i], voterSet(1)<<i
		alive := s.lives(i)
		if s.answers(i) {
			w.answering |= bit
		}
		if alive {
			w.living |= bit
		}
		if m.Voter {
			w.present |= bit
		}
		if m.Voter || alive && m.caughtUp {
			w.eligible |= bit
		}
		if s.diskLost(i) {
			w.erased |= bit
		}
		if m.silent > s.patience.lost || m.left && m.silent > s.patience.absent {
			w.lost |= bit
		}
	}
	return w
}

// anonymous tells whether a founder that is there has not told its particulars yet.
func (s *situation) anonymous() bool {
	return slices.ContainsFunc(s.members, func(m standing) bool { return m.Node == "" && m.silent < s.patience.absent })
}

// catchingUp tells whether a learner is about to be ready for a vote.
func (s *situation) catchingUp() bool {
	for i := range s.members {
		if !s.members[i].Voter && !s.members[i].caughtUp && s.lives(i) {
			return true
		}
	}
	return false
}

// answers tells whether a member is there.
func (s *situation) answers(i int) bool {
	return s.members[i].silent < s.patience.absent && !s.diskLost(i)
}

// diskLost tells whether a member will never answer again: another replica came from its place.
func (s *situation) diskLost(i int) bool { return s.members[i].replaced || s.superseded(i) }

// lives tells whether a member is there and stays.
func (s *situation) lives(i int) bool { return s.answers(i) && !s.members[i].leaving }

// bestVoters is the best set; the present one unless another is better.
func (s *situation) bestVoters(voters *weighed) voterSet {
	best, bestWorth := voters.present, s.worth(voters.present, voters)
	for set := voters.eligible; set > 0; set = (set - 1) & voters.eligible {
		if !s.sizeFits(set.size(), voters.eligible.size()) || s.shrinksTooSoon(set, voters) {
			continue
		}
		if worth := s.worth(set, voters); slices.Compare(worth[:], bestWorth[:]) > 0 {
			best, bestWorth = set, worth
		}
	}
	return best
}

// shrinksTooSoon tells whether a set is smaller than the present one, by more than the voter that makes an even number,
// without those that it leaves out being gone for long.
func (s *situation) shrinksTooSoon(set voterSet, voters *weighed) bool {
	least := (voters.present.size()-1)/2*2 + 1
	return set.size() < least && voters.present&^set&^voters.lost != 0
}

// sizeFits tells whether a group may be meant to have so many voters: an odd number, or both members of two.
func (s *situation) sizeFits(size, eligible int) bool {
	return size <= max(s.aim, 1) && (size%2 == 1 || size == 2 && eligible == 2)
}

// worths are what sets of voters are compared by, the weightiest first.
type worths [7]int

// worth weighs a set of voters. It is worth little where its living ones are no majority.
func (s *situation) worth(set voterSet, voters *weighed) (w worths) {
	quorum := set.size()/2 + 1
	alive := set & voters.living
	if alive.size() < quorum {
		return worths{-1}
	}
	if s.byRegion {
		w[0] = survivesLoss(s, alive, quorum, func(m *standing) string { return s.regions[m.Zone] })
	}
	w[1] = survivesLoss(s, alive, quorum, func(m *standing) string { return m.Zone })
	w[2] = alive.size() - quorum
	w[3] = min(quorum, 2)
	w[4] = -(set & voters.erased).size()
	w[5] = -(set ^ voters.present).size()
	if i := s.find(s.self); i >= 0 && i < mostPlanned && set.has(i) {
		w[6] = 1
	}
	return w
}

// survivesLoss is 1 if a majority is left whichever domain fails.
func survivesLoss(s *situation, alive voterSet, quorum int, domain func(*standing) string) int {
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

// handOver gives leadership to the first of the heirs that votes already.
func (s *situation) handOver(heirs voterSet) (change, bool) {
	for i := range min(len(s.members), mostPlanned) {
		m := &s.members[i]
		if heirs.has(i) && m.Voter && m.ID != s.self && m.silent < s.patience.absent {
			return change{handOver: m.ID}, true
		}
	}
	return change{}, false
}
