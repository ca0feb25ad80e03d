package replica

import (
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
)

// absenceLimits are the times without contact after which a member is treated as absent, is removed, or counts as
// lost.
type absenceLimits struct {
	// absentAfter: the vote of a voter may move to an available learner. A machine that was merely partitioned becomes a
	// learner by that and may become a voter again later.
	absentAfter time.Duration
	// removeAfter: a learner is removed; it has to ask to join again.
	removeAfter time.Duration
	// lostAfter: the vote of a voter may be dropped without a replacement if the group is more fault tolerant without it.
	// A lost machine cannot be told from a partitioned one, so this is long.
	lostAfter time.Duration
}

// lostTimeout is absenceLimits.lostAfter.
const lostTimeout = time.Minute

// newAbsenceLimits derives the limits from processconfig.Timing.CatchUp, the time within which a new machine has to
// add to the group's fault tolerance. Detecting an absent voter takes a third of it; the rest is for adding the new
// machine and moving the vote.
func newAbsenceLimits(catchUp, election time.Duration) absenceLimits {
	absent := max(catchUp/3, 2*election)
	return absenceLimits{absentAfter: absent, removeAfter: max(2*catchUp, 4*absent), lostAfter: lostTimeout}
}

// Limits of a group.
const (
	preferredVoters    = 5  // if there are enough machines
	maxVoterCandidates = 12 // the choice of voters takes time exponential in it; other members get no vote
	maxMembers         = 32
)

// memberState is a member as the leader sees it.
type memberState struct {
	consensus.Member
	sinceResponse time.Duration // since its last response; 0 for the leader itself
	caughtUp      bool          // it lacks at most maxPromotionLag entries
	leaving       bool          // its process announced that it is about to end
	departed      bool          // its process announced its end and has sent nothing since
	replaced      bool          // its disk is lost: a member outside this view superseded it
}

// membershipView is the input of planChange.
type membershipView struct {
	self              consensus.ReplicaID // the leader, which plans
	limits            absenceLimits
	leaderFor         time.Duration // time as the leader; below limits.absentAfter it cannot know who is absent
	members           []memberState
	joining           []consensus.Member // replicas that ask to join, or whose attributes changed
	targetVoters      int
	zoneRegions       map[string]string // the region of each zone
	surviveRegionLoss bool              // prefer voters that survive the loss of a region
}

// membershipChange is the next step towards the planned membership: another membership, or a transfer of leadership
// that has to come first.
type membershipChange struct {
	membership consensus.Membership
	transferTo consensus.ReplicaID // not 0: transfer leadership to this voter instead
}

// planChange returns the next membership change, false if there is none. In this order: new members and changed
// attributes, then votes, and last the removal of absent learners, which do no harm while they remain.
func planChange(view *membershipView) (membershipChange, bool) {
	remaining := view.membersToKeep()
	to := consensus.Membership{Members: view.withJoining(view.withNewestAttributes(remaining))}
	if !slices.Equal(to.Members, remaining) {
		return membershipChange{membership: to}, true
	}
	if next, ok := view.planVoters(); ok {
		return next, true
	}
	return membershipChange{membership: to}, len(remaining) < len(view.members)
}

// membersToKeep returns the members without the learners that are superseded or absent for too long.
func (view *membershipView) membersToKeep() (members []consensus.Member) {
	for i := range view.members {
		member := &view.members[i]
		if !member.Voter && member.ID != view.self && (view.superseded(i) || member.sinceResponse > view.limits.removeAfter) {
			continue
		}
		members = append(members, member.Member)
	}
	return members
}

// withNewestAttributes returns the members with the attributes that they reported last.
func (view *membershipView) withNewestAttributes(members []consensus.Member) (newest []consensus.Member) {
	for _, member := range members {
		newest = append(newest, view.newestAttributes(member))
	}
	return newest
}

// newestAttributes returns a member with the attributes that it reported last.
func (view *membershipView) newestAttributes(member consensus.Member) consensus.Member {
	for _, joining := range view.joining {
		if joining.ID == member.ID && attributesDiffer(&member, &joining) {
			joining.Voter = member.Voter
			joining.Outgoing = member.Outgoing
			return joining
		}
	}
	return member
}

// withJoining adds the replicas that ask to join, as learners.
func (view *membershipView) withJoining(members []consensus.Member) []consensus.Member {
	for _, joining := range view.joining {
		if view.indexOf(joining.ID) < 0 && len(members) < maxMembers {
			joining.Voter = false
			joining.Outgoing = false
			members = append(members, joining)
		}
	}
	return members
}

// attributesDiffer reports whether two members differ in node, zone or address.
func attributesDiffer(a, b *consensus.Member) bool {
	return a.Node != b.Node || a.Zone != b.Zone || a.Address != b.Address
}

// indexOf returns a replica's index in members, -1 if it is not there.
func (view *membershipView) indexOf(id consensus.ReplicaID) int {
	return slices.IndexFunc(view.members, func(m memberState) bool { return m.ID == id })
}

// consensusMembers returns a copy of the members without their states.
func (view *membershipView) consensusMembers() []consensus.Member {
	members := make([]consensus.Member, 0, len(view.members)+1)
	for i := range view.members {
		members = append(members, view.members[i].Member)
	}
	return members
}

// superseded reports whether a member's machine has lost its disk: another replica joined from the same machine
// later. New members are appended, so a later one has a higher index.
func (view *membershipView) superseded(i int) bool {
	earlier := &view.members[i]
	if earlier.ID == view.self {
		return false
	}
	for j := i + 1; j < len(view.members); j++ {
		if sameMachine(&earlier.Member, &view.members[j].Member) {
			return true
		}
	}
	return slices.ContainsFunc(view.joining, func(joining consensus.Member) bool {
		return view.indexOf(joining.ID) < 0 && sameMachine(&earlier.Member, &joining)
	})
}

// sameMachine reports whether two replicas have the same address or node name.
func sameMachine(a, b *consensus.Member) bool {
	return a.Address == b.Address || a.Node != "" && a.Node == b.Node
}
