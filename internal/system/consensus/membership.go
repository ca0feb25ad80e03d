package consensus

import "slices"

// Member is a replica of a group.
type Member struct {
	ID      ReplicaID
	Node    string // machine
	Zone    string
	Address string // of its control RPC, host:port
	Voter   bool   // false: a learner, which is sent the log and has no vote
	// Outgoing: it votes in the voter set that a joint membership is leaving; see Membership.
	Outgoing bool
}

// HasVote tells whether the member votes, in either voter set of a joint membership.
func (m Member) HasVote() bool { return m.Voter || m.Outgoing }

// Membership is who takes part in a group. It is joint while any member is Outgoing: then elections and entries need a
// majority of the outgoing voter set and one of the incoming set, which are the members with Voter.
type Membership struct{ Members []Member }

// Joint tells whether the membership is between two voter sets.
func (m Membership) Joint() bool {
	return slices.ContainsFunc(m.Members, func(member Member) bool { return member.Outgoing })
}

// HasQuorum tells whether the members that something is true of are a majority of the voters: of a joint membership, a
// majority of each of its two voter sets.
func (m Membership) HasQuorum(agrees func(ReplicaID) bool) bool {
	return m.hasMajority(incoming, agrees) && (!m.Joint() || m.hasMajority(outgoing, agrees))
}

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

// majorityValue is the largest value that more than half of a voter set reach.
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
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// incoming and outgoing tell whether a member is of that voter set of a joint membership.
func incoming(member *Member) bool { return member.Voter }

func outgoing(member *Member) bool { return member.Outgoing }

// find returns a member.
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

// hasVote tells whether a member votes, in either voter set of a joint membership.
func (m Membership) hasVote(id ReplicaID) bool {
	member, found := m.find(id)
	return found && member.HasVote()
}

// jointMembership is the membership between two that differ in who votes alone.
func jointMembership(from, to Membership) Membership {
	members := slices.Clone(to.Members)
	for i := range members {
		members[i].Outgoing = from.isVoter(members[i].ID)
	}
	return Membership{Members: members}
}

// withoutOutgoing is a joint membership without its outgoing voter set: those that vote no more are learners.
func (m Membership) withoutOutgoing() Membership {
	members := slices.Clone(m.Members)
	for i := range members {
		members[i].Outgoing = false
	}
	return Membership{Members: members}
}

// validate tells what does not make sense in a membership.
func (m Membership) validate() error {
	voters := 0
	for i, member := range m.Members {
		if member.ID == 0 {
			return &InvalidMembershipError{Reason: "a member has no id"}
		}
		if slices.ContainsFunc(m.Members[:i], func(other Member) bool { return other.ID == member.ID }) {
			return &InvalidMembershipError{Reason: "a member stands there twice"}
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

// changedMembers returns the members that are not the same in both memberships, each once.
func changedMembers(a, b Membership) (ids []ReplicaID) {
	for _, member := range a.Members {
		other, found := b.find(member.ID)
		if !found || other != member {
			ids = append(ids, member.ID)
		}
	}
	for _, member := range b.Members {
		if !a.has(member.ID) {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// sameVoters tells whether the same members vote in two memberships. Learners may differ.
func sameVoters(a, b Membership) bool {
	everyVoter := func(of, in Membership) bool {
		return !slices.ContainsFunc(of.Members, func(member Member) bool { return member.Voter && !in.isVoter(member.ID) })
	}
	return everyVoter(a, b) && everyVoter(b, a)
}

// differOnlyInVotes tells whether two memberships have the same members, with the same particulars.
func differOnlyInVotes(a, b Membership) bool {
	if len(a.Members) != len(b.Members) {
		return false
	}
	for _, member := range a.Members {
		other, found := b.find(member.ID)
		other.Voter = member.Voter
		if !found || other != member {
			return false
		}
	}
	return true
}
