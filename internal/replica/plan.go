package replica

import (
	"math/bits"
	"slices"
	"time"

	"cinderroad/internal/consensus"
)

// Times after which a member that does not answer its leader counts as gone.
const (
	absentAfter  = 2 * time.Second  // anything that is not to be counted on at present
	replaceAfter = 6 * time.Second  // a voter, where the group can be made better without making it smaller
	shrinkAfter  = 20 * time.Second // a voter, whatever takes its place
	forgetAfter  = 60 * time.Second // a learner
)

// Bounds of a group.
const (
	leastVoters = 5  // aimed at where there are machines enough
	mostPlanned = 12 // members that are weighed as voters; others stay what they are
	mostMembers = 32
)

// standing is a member as its leader sees it.
type standing struct {
	consensus.Member
	silent   time.Duration // since it last answered; 0 of the leader itself
	caughtUp bool          // it holds all but the last few entries
}

// situation is what a change of membership is decided on.
type situation struct {
	self     consensus.ReplicaID // the leader
	ledFor   time.Duration       // how long the leader has led: no member's silence is known to be longer
	members  []standing
	joining  []consensus.Member // replicas that ask to be taken in, or whose particulars changed
	aim      int                // of voters
	regions  map[string]string  // of each zone
	byRegion bool               // whole regions may be lost
}

// change is the next step of a membership: to another one, or leadership goes to a member first.
type change struct {
	to       consensus.Membership
	handOver consensus.ReplicaID // above 0: instead of to
}

// planChange decides on the next change of membership, if there is one to make: first the particulars of members, then
// members that are gone for sure, then new ones, and then who votes.
func planChange(s *situation) (change, bool) {
	for _, joining := range s.joining {
		if i := s.find(joining.ID); i >= 0 && particularsDiffer(&s.members[i].Member, &joining) {
			joining.Voter = s.members[i].Voter
			return change{to: s.with(i, joining)}, true
		}
	}
	for i := range s.members {
		m := &s.members[i]
		if !m.Voter && m.ID != s.self && (s.superseded(i) || m.silent > forgetAfter) {
			return change{to: s.without(i)}, true
		}
	}
	for _, joining := range s.joining {
		if s.find(joining.ID) < 0 && len(s.members) < mostMembers {
			joining.Voter = false
			return change{to: consensus.Membership{Members: append(s.plain(), joining)}}, true
		}
	}
	return s.planVoters()
}

func particularsDiffer(a, b *consensus.Member) bool {
	return a.Node != b.Node || a.Zone != b.Zone || a.Address != b.Address
}

func (s *situation) find(id consensus.ReplicaID) int {
	return slices.IndexFunc(s.members, func(m standing) bool { return m.ID == id })
}

func (s *situation) plain() []consensus.Member {
	members := make([]consensus.Member, 0, len(s.members)+1)
	for i := range s.members {
		members = append(members, s.members[i].Member)
	}
	return members
}

func (s *situation) with(i int, member consensus.Member) consensus.Membership {
	members := s.plain()
	members[i] = member
	return consensus.Membership{Members: members}
}

func (s *situation) without(i int) consensus.Membership {
	return consensus.Membership{Members: slices.Delete(s.plain(), i, i+1)}
}

// superseded tells whether a member's machine has lost its disk: another replica came from its place later on. A new
// member stands behind all that were there before it.
func (s *situation) superseded(i int) bool {
	gone := &s.members[i]
	if gone.ID == s.self {
		return false
	}
	for j := i + 1; j < len(s.members); j++ {
		if samePlace(&gone.Member, &s.members[j].Member) {
			return true
		}
	}
	return slices.ContainsFunc(s.joining, func(joining consensus.Member) bool {
		return s.find(joining.ID) < 0 && samePlace(&gone.Member, &joining)
	})
}

func samePlace(a, b *consensus.Member) bool {
	return a.Address == b.Address || a.Node != "" && a.Node == b.Node
}

// voterSet is a set of members, by their place in situation.members.
type voterSet uint32

func (v voterSet) has(i int) bool { return v&(1<<i) != 0 }
func (v voterSet) size() int      { return bits.OnesCount32(uint32(v)) }

// planVoters takes one step from the present voters towards the best ones. Without a majority nothing can be agreed on.
func (s *situation) planVoters() (change, bool) {
	voters := s.weigh()
	if s.anonymous() || (voters.present&voters.living).size() <= voters.present.size()/2 {
		return change{}, false
	}
	best := s.bestVoters(&voters)
	if best == voters.present {
		return change{}, false
	}
	return s.stepTo(&voters, best)
}

// weighed are the members that are weighed as voters.
type weighed struct {
	present  voterSet // the voters
	living   voterSet // those that are there
	eligible voterSet // those that may vote
	lost     voterSet // those gone for so long that the group may become smaller
}

func (s *situation) weigh() (w weighed) {
	for i := range min(len(s.members), mostPlanned) {
		m, bit := &s.members[i], voterSet(1)<<i
		alive := s.lives(i)
		if alive {
			w.living |= bit
		}
		if m.Voter {
			w.present |= bit
		}
		if m.Voter || alive && m.caughtUp && m.silent < absentAfter {
			w.eligible |= bit
		}
		if m.silent > shrinkAfter {
			w.lost |= bit
		}
	}
	return w
}

// anonymous tells whether a founder that is there has not told its particulars yet.
func (s *situation) anonymous() bool {
	return slices.ContainsFunc(s.members, func(m standing) bool { return m.Node == "" && m.silent < absentAfter })
}

// lives tells whether a member counts as being there.
func (s *situation) lives(i int) bool { return s.members[i].silent < replaceAfter && !s.superseded(i) }

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
type worths [6]int

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
	w[4] = -(set ^ voters.present).size()
	if i := s.find(s.self); i >= 0 && i < mostPlanned && set.has(i) {
		w[5] = 1
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

// stepTo changes the one member whose change leaves the most room for failures; a new voter comes before an old one
// goes, unless the old one's disk is gone, and others enough are left.
func (s *situation) stepTo(voters *weighed, best voterSet) (change, bool) {
	chosen, chosenRoom := -1, [2]int{-1, 0}
	for i := range min(len(s.members), mostPlanned) {
		if voters.present.has(i) == best.has(i) {
			continue
		}
		set := voters.present ^ 1<<i
		room := [2]int{(set & voters.living).size() - (set.size()/2 + 1), s.preference(i, voters.present)}
		if slices.Compare(room[:], chosenRoom[:]) > 0 {
			chosen, chosenRoom = i, room
		}
	}
	if chosen < 0 {
		return change{}, false
	}
	return s.flip(chosen, best&voters.living)
}

// preference orders steps that leave the same room for failures.
func (s *situation) preference(i int, present voterSet) int {
	switch {
	case !s.members[i].Voter:
		return 2
	case s.superseded(i) && present.size() > 3:
		return 3
	case s.members[i].ID == s.self:
		return 0
	default:
		return 1
	}
}

// flip makes a member a voter, or ends that: a living one becomes a learner and another leaves the group.
func (s *situation) flip(i int, heirs voterSet) (change, bool) {
	member := s.members[i].Member
	if member.ID == s.self {
		return s.handOver(heirs)
	}
	if member.Voter && !s.lives(i) {
		return change{to: s.without(i)}, true
	}
	if member.Voter && s.ledFor < replaceAfter {
		return change{}, false // another may be gone, and the one that should go
	}
	member.Voter = !member.Voter
	return change{to: s.with(i, member)}, true
}

// handOver gives leadership to the first of the heirs that votes already.
func (s *situation) handOver(heirs voterSet) (change, bool) {
	for i := range min(len(s.members), mostPlanned) {
		m := &s.members[i]
		if heirs.has(i) && m.Voter && m.ID != s.self && m.silent < absentAfter {
			return change{handOver: m.ID}, true
		}
	}
	return change{}, false
}
