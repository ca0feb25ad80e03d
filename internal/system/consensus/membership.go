package consensus

import "slices"

// Member is a replica of a group. The type travels by gob between processes: its fields keep their names and order.
type Member struct {
	ID      ReplicaID
	Node    string // the control machine that runs the replica
	Zone    string
	Address string // of its control RPC, host:port
	Voter   bool   // false: a learner, which receives the log and has no vote
	// Outgoing marks a voter of the set that a joint membership is replacing; see Membership.
	Outgoing bool
}

// HasVote reports whether the member votes, in either voter set of a joint membership.
func (m Member) HasVote() bool { return m.Voter || m.Outgoing }

// Membership is the set of members of a group. It is joint while any member is Outgoing: elections and commits then
// need a majority of the outgoing voters and one of the incoming voters, which are the members with Voter.
type Membership struct{ Members []Member }

// Joint reports whether the membership is between two sets of voters.
func (m Membership) Joint() bool {
	return slices.ContainsFunc(m.Members, func(member Member) bool { return member.Outgoing })
}

// HasQuorum reports whether the members for which agrees is true are a majority of the voters; in a joint membership,
// of each of the two sets.
func (m Membership) HasQuorum(agrees func(ReplicaID) bool) bool {
	return m.hasMajority(incoming, agrees) && (!m.Joint() || m.hasMajority(outgoing, agrees))
}

// hasMajority reports whether the members for which agrees is true are a majority of one voter set.
func (m Membership) hasMajority(inSet func(*Member) bool, agrees func(ReplicaID) bool) bool {
	voters, agreeing := 0, 0
	for i := range m.Members {
		if !inSet(&m.Members[i]) {
			continue
		}
		voters++
		if agrees(m.Members[i].ID) {
			agreeing++
		}
	}
	return agreeing > voters/2
}

// majorityValue returns the largest value that a majority of one voter set has reached.
func (m Membership) majorityValue(inSet func(*Member) bool, value func(ReplicaID) uint64) uint64 {
	var buffer [16]uint64
	values := buffer[:0]
	for i := range m.Members {
		if inSet(&m.Members[i]) {
			values = append(values, value(m.Members[i].ID))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values) // ascending: from the lower median on there are more than half of the values
	return values[(len(values)-1)/2]
}

// incoming reports whether a member belongs to the incoming voter set; in a membership that is not joint, to the only
// one.
func incoming(member *Member) bool { return member.Voter }

// outgoing reports whether a member belongs to the outgoing voter set of a joint membership.
func outgoing(member *Member) bool { return member.Outgoing }

// find returns a member by its ID.
func (m Membership) find(id ReplicaID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

func (m Membership) has(id ReplicaID) bool {
	_, found := m.find(id)
	return found
}

func (m Membership) isVoter(id ReplicaID) bool {
	member, found := m.find(id)
	return found && member.Voter
}

// hasVote reports whether a replica votes, in either voter set of a joint membership.
func (m Membership) hasVote(id ReplicaID) bool {
	member, found := m.find(id)
	return found && member.HasVote()
}

// jointMembership returns the joint membership between two that differ in their voters only.
func jointMembership(from, to Membership) Membership {
	members := slices.Clone(to.Members)
	for i := range members {
		members[i].Outgoing = from.isVoter(members[i].ID)
	}
	return Membership{Members: members}
}

// withoutOutgoing returns the membership that follows a joint one: members that lost their vote are learners.
func (m Membership) withoutOutgoing() Membership {
	members := slices.Clone(m.Members)
	for i := range members {
		members[i].Outgoing = false
	}
	return Membership{Members: members}
}

// validate returns an *InvalidMembershipError for a membership without voters, with duplicate members or with a member
// that has no ID.
func (m Membership) validate() error {
	voters := 0
	for i, member := range m.Members {
		if member.ID == 0 {
			return &InvalidMembershipError{Reason: "a member has no ID"}
		}
		if slices.ContainsFunc(m.Members[:i], func(other Member) bool { return other.ID == member.ID }) {
			return &InvalidMembershipError{Reason: "a member is listed twice"}
		}
		if member.Voter {
			voters++
		}
	}
	if voters == 0 {
		return &InvalidMembershipError{Reason: "there is no voter"}
	}
	return nil
}

// changedMembers returns the IDs of members that are in one membership only or differ between the two.
func changedMembers(before, after Membership) (ids []ReplicaID) {
	for _, member := range before.Members {
		other, found := after.find(member.ID)
		if !found || other != member {
			ids = append(ids, member.ID)
		}
	}
	for _, member := range after.Members {
		if !before.has(member.ID) {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// sameVoters reports whether two memberships have the same voters. Learners may differ.
func sameVoters(before, after Membership) bool {
	everyVoter := func(of, in Membership) bool {
		return !slices.ContainsFunc(of.Members, func(member Member) bool { return member.Voter && !in.isVoter(member.ID) })
	}
	return everyVoter(before, after) && everyVoter(after, before)
}

// differOnlyInVotes reports whether two memberships differ in nothing but who votes.
func differOnlyInVotes(before, after Membership) bool {
	if len(before.Members) != len(after.Members) {
		return false
	}
	for _, member := range before.Members {
		other, found := after.find(member.ID)
		other.Voter = member.Voter
		if !found || other != member {
			return false
		}
	}
	return true
}
