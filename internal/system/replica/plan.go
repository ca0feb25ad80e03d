package replica

import (
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
)

// patience is how long a member may be silent.
type patience struct {
	// absent: a voter's vote may go to another member that is there to take it. A machine that was merely cut off becomes
	// a learner by that, and may vote again later.
	absent time.Duration
	// forgotten: a learner is removed; it has to ask to be taken in again.
	forgotten time.Duration
	// lost: a voter's vote may be dropped with nobody to take it, where the others are better off without it. Nobody can
	// tell a machine that is gone from one that is cut off, so this is long.
	lost time.Duration
}

// lostAfter is patience.lost.
const lostAfter = time.Minute

// patienceOf follows from the time after which a new machine counts (environment.Timing.CatchUp): within it the new one
// is taken in, and gets the vote of one that has gone, of which a third is for finding that out.
func patienceOf(catchUp, election time.Duration) patience {
	absent := max(catchUp/3, 2*election)
	return patience{absent: absent, forgotten: max(2*catchUp, 4*absent), lost: lostAfter}
}

// Bounds of a group.
const (
	leastVoters = 5  // aimed at where there are machines enough
	mostPlanned = 12 // members that are weighed as voters; others get no vote
	mostMembers = 32
)

// standing is a member as its leader sees it.
type standing struct {
	consensus.Member
	silent   time.Duration // since it last answered; 0 of the leader itself
	caughtUp bool          // it holds all but the last few entries
	leaving  bool          // its process is about to end
	left     bool          // its process said that it was about to end, and has not been heard since
	replaced bool          // its disk is lost, as a member shows that is not in this situation
}

// situation is what a change of membership is decided on.
type situation struct {
	self     consensus.ReplicaID // the leader
	patience patience
	ledFor   time.Duration // how long the leader has led: before patience.absent it can't know who is not there
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

// planChange decides on the next change of membership, if there is one to make: first new members and the particulars of
// old ones, then who votes, and at last learners that are gone, who are in nobody's way.
func planChange(s *situation) (change, bool) {
	remaining := s.remaining()
	to := consensus.Membership{Members: s.withJoining(s.withParticulars(remaining))}
	if !slices.Equal(to.Members, remaining) {
		return change{to: to}, true
	}
	if next, is := s.planVoters(); is {
		return next, true
	}
	return change{to: to}, len(remaining) < len(s.members)
}

// remaining are the members without the learners that are gone.
func (s *situation) remaining() (members []consensus.Member) {
	for i := range s.members {
		m := &s.members[i]
		if !m.Voter && m.ID != s.self && (s.superseded(i) || m.silent > s.patience.forgotten) {
			continue
		}
		members = append(members, m.Member)
	}
	return members
}

// withParticulars are members under their newest particulars.
func (s *situation) withParticulars(members []consensus.Member) (newest []consensus.Member) {
	for _, member := range members {
		newest = append(newest, s.particulars(member))
	}
	return newest
}

// particulars are those of a member, as it told them last.
func (s *situation) particulars(member consensus.Member) consensus.Member {
	for _, joining := range s.joining {
		if joining.ID == member.ID && particularsDiffer(&member, &joining) {
			joining.Voter, joining.Outgoing = member.Voter, member.Outgoing
			return joining
		}
	}
	return member
}

// withJoining adds the replicas that ask to be taken in, as learners.
func (s *situation) withJoining(members []consensus.Member) []consensus.Member {
	for _, joining := range s.joining {
		if s.find(joining.ID) < 0 && len(members) < mostMembers {
			joining.Voter, joining.Outgoing = false, false
			members = append(members, joining)
		}
	}
	return members
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
