package consensus

import (
	"slices"
	"time"
)

// find returns a member.
func (s Membership) find(id ReplicaID) (Member, bool) {
	for _, member := range s.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

func (s Membership) has(id ReplicaID) bool {
	_, is := s.find(id)
	return is
}

func (s Membership) votes(id ReplicaID) bool {
	member, is := s.find(id)
	return is && member.Voter
}

// hasVote tells whether a member votes, in either voter set of a joint membership.
func (s Membership) hasVote(id ReplicaID) bool {
	member, is := s.find(id)
	return is && member.HasVote()
}

// Joint tells whether the membership is between two voter sets.
func (s Membership) Joint() bool {
	return slices.ContainsFunc(s.Members, func(member Member) bool { return member.Outgoing })
}

// incoming and outgoing tell whether a member is of that voter set of a joint membership.
func incoming(member *Member) bool { return member.Voter }
func outgoing(member *Member) bool { return member.Outgoing }

// HasQuorum tells whether the members that something is true of are a majority of the voters: of a joint membership, a
// majority of each of its two voter sets.
func (s Membership) HasQuorum(is func(ReplicaID) bool) bool {
	return s.majorityOf(incoming, is) && (!s.Joint() || s.majorityOf(outgoing, is))
}

func (s Membership) majorityOf(set func(*Member) bool, is func(ReplicaID) bool) bool {
	voters, agreeing := 0, 0
	for i := range s.Members {
		if !set(&s.Members[i]) {
			continue
		}
		voters++
		if is(s.Members[i].ID) {
			agreeing++
		}
	}
	return agreeing > voters/2
}

// joint is the membership between two that differ in who votes alone.
func joint(from, to Membership) Membership {
	members := slices.Clone(to.Members)
	for i := range members {
		members[i].Outgoing = from.votes(members[i].ID)
	}
	return Membership{Members: members}
}

// settled is a joint membership without its outgoing voter set: those that vote no more are learners.
func (s Membership) settled() Membership {
	members := slices.Clone(s.Members)
	for i := range members {
		members[i].Outgoing = false
	}
	return Membership{Members: members}
}

// check tells what does not make sense in a membership.
func (s Membership) check() error {
	voters := 0
	for i, member := range s.Members {
		if member.ID == 0 {
			return &InvalidMembershipError{Reason: "a member has no id"}
		}
		if slices.ContainsFunc(s.Members[:i], func(other Member) bool { return other.ID == member.ID }) {
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

// differing returns the members that are not the same in both memberships, each once.
func differing(a, b Membership) (ids []ReplicaID) {
	for _, member := range a.Members {
		other, is := b.find(member.ID)
		if !is || other != member {
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

// membership is the newest one in the log.
func (m *Node) membership() Membership { return m.log.membership().membership }

// ChangeMembership appends a membership that differs from the present one in one member (a learner that becomes a voter
// once it has caught up, a voter that becomes a learner or leaves), in anything but who votes (learners that join or
// leave, particulars of members), or in who votes alone, by any number of members. The first two kinds hold at once. The
// third goes through a
// joint membership, which the leader leaves by itself once it is committed; members that lose their vote stay as
// learners. The next change is possible once all of that is committed, see Status.MembershipIndex and Membership.Joint.
// The error is a *NotLeaderError, *PendingMembershipChangeError, *LearnerBehindError or *InvalidMembershipError.
func (m *Node) ChangeMembership(now time.Duration, to Membership) error {
	m.advance(now)
	if m.role != Leader {
		return m.notLeader()
	}
	present := m.membership()
	if m.leading.transferee != 0 || !m.committedInTerm() || m.log.membership().index > m.log.commit || present.Joint() {
		return &PendingMembershipChangeError{}
	}
	if err := to.check(); err != nil {
		return err
	}
	if to.Joint() {
		return &InvalidMembershipError{Reason: "a member is outgoing, which the agreement itself decides"}
	}
	changed := differing(present, to)
	if len(changed) == 0 || len(changed) > 1 && !sameButVotes(present, to) && !sameVoters(present, to) {
		return &InvalidMembershipError{Reason: "it has to differ from the present one in one member, in who votes alone, or in " +
			"anything but who votes"}
	}
	for _, id := range changed {
		if err := m.checkVoter(id, to); err != nil {
			return err
		}
	}
	if len(changed) > 1 && !sameVoters(present, to) {
		to = joint(present, to)
	}
	m.appendOwn(EntryMembership, EncodeMembership(to))
	return nil
}

// sameVoters tells whether the same members vote in two memberships. Learners may differ.
func sameVoters(a, b Membership) bool {
	everyVoter := func(of, in Membership) bool {
		return !slices.ContainsFunc(of.Members, func(member Member) bool { return member.Voter && !in.votes(member.ID) })
	}
	return everyVoter(a, b) && everyVoter(b, a)
}

// sameButVotes tells whether two memberships have the same members, with the same particulars.
func sameButVotes(a, b Membership) bool {
	if len(a.Members) != len(b.Members) {
		return false
	}
	for _, member := range a.Members {
		other, is := b.find(member.ID)
		other.Voter = member.Voter
		if !is || other != member {
			return false
		}
	}
	return true
}

// checkVoter tells why a member may not become a voter yet.
func (m *Node) checkVoter(id ReplicaID, to Membership) error {
	if !to.votes(id) || m.membership().votes(id) {
		return nil
	}
	p := m.peer(id)
	if p == nil {
		return &InvalidMembershipError{Reason: "a new member has to join as a learner first"}
	}
	// It also has to know that it is a member: else it would not vote.
	if p.match < m.log.membership().index || !p.keepsUp(m.now, m.options.ElectionTimeout) {
		return &LearnerBehindError{ID: id, Match: p.match, Target: p.goal}
	}
	return nil
}

// adoptMembership brings the peers in line with the newest membership.
func (m *Node) adoptMembership() {
	l := &m.leading
	membership := m.membership()
	var peers []*peer
	for _, member := range membership.Members {
		if member.ID == m.options.ID {
			continue
		}
		p := m.peer(member.ID)
		if p == nil {
			p = &peer{id: member.ID, next: m.log.last() + 1, answeredAt: m.now, goal: m.log.last(), goalAt: m.now,
				lag: Never}
		}
		peers = append(peers, p)
	}
	for _, p := range l.peers {
		if !membership.has(p.id) {
			l.leaving = append(l.leaving, p)
		}
	}
	l.peers = peers
}

// membershipCommitted leaves a committed joint membership, and lets members go that a committed membership no longer
// has, this leader included.
func (m *Node) membershipCommitted() {
	l := &m.leading
	if m.log.membership().index > m.log.commit {
		return
	}
	if present := m.membership(); present.Joint() {
		m.appendOwn(EntryMembership, EncodeMembership(present.settled()))
		return
	}
	for _, p := range l.leaving {
		m.bidFarewell(p)
	}
	l.leaving = nil
	if m.membership().votes(m.options.ID) {
		return
	}
	if p := m.peer(m.heir()); p != nil && p.match == m.log.last() {
		m.sendEarly(Message{Kind: MessageTimeoutNow, To: p.id})
	}
	m.becomeFollower(m.term, 0)
}

// bidFarewell tells a former member, once, that it was removed, so that it does not go on standing for election. This
// must not happen earlier: before the removal is committed its vote may be needed, which it would no longer give.
func (m *Node) bidFarewell(p *peer) {
	term, known := m.log.term(p.next - 1)
	if !known {
		return
	}
	m.sendEarly(Message{Kind: MessageAppend, To: p.id, Index: p.next - 1, LogTerm: term, Commit: m.log.commit,
		Entries: m.log.slice(p.next, m.options.MaxAppendBytes)})
}
