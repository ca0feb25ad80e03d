package replica

import (
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
)

// absenceLimits is how long a member may be silent.
type absenceLimits struct {
	// absentAfter: a voter's vote may go to another member that is there to take it. A machine that was merely cut off becomes
	// a learner by that, and may vote again later.
	absentAfter time.Duration
	// removeAfter: a learner is removed; it has to ask to be taken in again.
	removeAfter time.Duration
	// lostAfter: a voter's vote may be dropped with nobody to take it, where the others are better off without it. Nobody can
	// tell a machine that is gone from one that is cut off, so this is long.
	lostAfter time.Duration
}

// lostTimeout is patience.lost.
const lostTimeout = time.Minute

// newAbsenceLimits follows from the time after which a new machine counts (environment.Timing.CatchUp): within it the new one
// is taken in, and gets the vote of one that has gone, of which a third is for finding that out.
func newAbsenceLimits(catchUp, election time.Duration) absenceLimits {
	absent := max(catchUp/3, 2*election)
	return absenceLimits{absentAfter: absent, removeAfter: max(2*catchUp, 4*absent), lostAfter: lostTimeout}
}

// Bounds of a group.
const (
	preferredVoters    = 5  // aimed at where there are machines enough
	maxVoterCandidates = 12 // members that are weighed as voters; others get no vote
	maxMembers         = 32
)

// memberState is a member as its leader sees it.
type memberState struct {
	consensus.Member
	silence  time.Duration // since it last answered; 0 of the leader itself
	caughtUp bool          // it holds all but the last few entries
	leaving  bool          // its process is about to end
	departed bool          // its process said that it was about to end, and has not been heard since
	replaced bool          // its disk is lost, as a member shows that is not in this situation
}

// membershipView is what a change of membership is decided on.
type membershipView struct {
	self              consensus.ReplicaID // the leader
	limits            absenceLimits
	leaderFor         time.Duration // how long the leader has led: before patience.absent it can't know who is not there
	members           []memberState
	joining           []consensus.Member // replicas that ask to be taken in, or whose particulars changed
	targetVoters      int                // of voters
	zoneRegions       map[string]string  // of each zone
	surviveRegionLoss bool               // whole regions may be lost
}

// membershipChange is the next step of a membership: to another one, or leadership goes to a member first.
type membershipChange struct {
	membership consensus.Membership
	transferTo consensus.ReplicaID // above 0: instead of to
}

// planChange decides on the next change of membership, if there is one to make: first new members and the particulars of
// old ones, then who votes, and at last learners that are gone, who are in nobody's way.
func planChange(view *membershipView) (membershipChange, bool) {
	remaining := view.membersToKeep()
	to := consensus.Membership{Members: view.withJoining(view.withNewestAttributes(remaining))}
	if !slices.Equal(to.Members, remaining) {
		return membershipChange{membership: to}, true
	}
	if next, is := view.planVoters(); is {
		return next, true
	}
	return membershipChange{membership: to}, len(remaining) < len(view.members)
}

// membersToKeep are the members without the learners that are gone.
func (view *membershipView) membersToKeep() (members []consensus.Member) {
	for i := range view.members {
		member := &view.members[i]
		if !member.Voter && member.ID != view.self && (view.superseded(i) || member.silence > view.limits.removeAfter) {
			continue
		}
		members = append(members, member.Member)
	}
	return members
}

// withNewestAttributes are members under their newest particulars.
func (view *membershipView) withNewestAttributes(members []consensus.Member) (newest []consensus.Member) {
	for _, member := range members {
		newest = append(newest, view.newestAttributes(member))
	}
	return newest
}

// newestAttributes are those of a member, as it told them last.
func (view *membershipView) newestAttributes(member consensus.Member) consensus.Member {
	for _, joining := range view.joining {
		if joining.ID == member.ID && attributesDiffer(&member, &joining) {
			joining.Voter, joining.Outgoing = member.Voter, member.Outgoing
			return joining
		}
	}
	return member
}

// withJoining adds the replicas that ask to be taken in, as learners.
func (view *membershipView) withJoining(members []consensus.Member) []consensus.Member {
	for _, joining := range view.joining {
		if view.indexOf(joining.ID) < 0 && len(members) < maxMembers {
			joining.Voter, joining.Outgoing = false, false
			members = append(members, joining)
		}
	}
	return members
}

func attributesDiffer(a, b *consensus.Member) bool {
	return a.Node != b.Node || a.Zone != b.Zone || a.Address != b.Address
}

func (view *membershipView) indexOf(id consensus.ReplicaID) int {
	return slices.IndexFunc(view.members, func(m memberState) bool { return m.ID == id })
}

func (view *membershipView) consensusMembers() []consensus.Member {
	members := make([]consensus.Member, 0, len(view.members)+1)
	for i := range view.members {
		members = append(members, view.members[i].Member)
	}
	return members
}

// superseded tells whether a member's machine has lost its disk: another replica came from its place later on. A new
// member stands behind all that were there before it.
func (view *membershipView) superseded(i int) bool {
	gone := &view.members[i]
	if gone.ID == view.self {
		return false
	}
	for j := i + 1; j < len(view.members); j++ {
		if sameMachine(&gone.Member, &view.members[j].Member) {
			return true
		}
	}
	return slices.ContainsFunc(view.joining, func(joining consensus.Member) bool {
		return view.indexOf(joining.ID) < 0 && sameMachine(&gone.Member, &joining)
	})
}

func sameMachine(a, b *consensus.Member) bool {
	return a.Address == b.Address || a.Node != "" && a.Node == b.Node
}
