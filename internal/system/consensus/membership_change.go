package consensus

import "time"

// membership is the newest one in the log.
func (n *Node) membership() Membership { return n.log.lastMembership().membership }

// ChangeMembership appends a membership that differs from the present one in one member (a learner that becomes a voter
// once it has caught up, a voter that becomes a learner or leaves), in anything but who votes (learners that join or
// leave, particulars of members), or in who votes alone, by any number of members. The first two kinds hold at once. The
// third goes through a
// joint membership, which the leader leaves by itself once it is committed; members that lose their vote stay as
// learners. The next change is possible once all of that is committed, see Status.MembershipIndex and Membership.Joint.
// The error is a *NotLeaderError, *PendingMembershipChangeError, *LearnerBehindError or *InvalidMembershipError.
func (n *Node) ChangeMembership(now time.Duration, to Membership) error {
	n.advanceClock(now)
	if n.role != Leader {
		return n.notLeaderError()
	}
	present := n.membership()
	if n.leaderState.transferee != 0 || !n.committedInTerm() || n.log.lastMembership().index > n.log.commit || present.Joint() {
		return &PendingMembershipChangeError{}
	}
	if err := to.validate(); err != nil {
		return err
	}
	if to.Joint() {
		return &InvalidMembershipError{Reason: "a member is outgoing, which the agreement itself decides"}
	}
	changed := changedMembers(present, to)
	if len(changed) == 0 || len(changed) > 1 && !differOnlyInVotes(present, to) && !sameVoters(present, to) {
		return &InvalidMembershipError{Reason: "it has to differ from the present one in one member, in who votes alone, or in " +
			"anything but who votes"}
	}
	for _, id := range changed {
		if err := n.checkPromotion(id, to); err != nil {
			return err
		}
	}
	if len(changed) > 1 && !sameVoters(present, to) {
		to = jointMembership(present, to)
	}
	n.appendEntry(EntryMembership, EncodeMembership(to))
	return nil
}

// checkPromotion tells why a member may not become a voter yet.
func (n *Node) checkPromotion(id ReplicaID, to Membership) error {
	if !to.isVoter(id) || n.membership().isVoter(id) {
		return nil
	}
	peer := n.progressOf(id)
	if peer == nil {
		return &InvalidMembershipError{Reason: "a new member has to join as a learner first"}
	}
	// It also has to know that it is a member: else it would not vote.
	if peer.match < n.log.lastMembership().index || !peer.keepsUp(n.now, n.config.ElectionTimeout) {
		return &LearnerBehindError{ID: id, Match: peer.match, Target: peer.catchUpTarget}
	}
	return nil
}

// syncProgress brings the peers in line with the newest membership.
func (n *Node) syncProgress() {
	state := &n.leaderState
	membership := n.membership()
	var peers []*progress
	for _, member := range membership.Members {
		if member.ID == n.config.ID {
			continue
		}
		peer := n.progressOf(member.ID)
		if peer == nil {
			peer = &progress{id: member.ID, next: n.log.lastIndex() + 1, lastContact: n.now, catchUpTarget: n.log.lastIndex(), catchUpStartedAt: n.now,
				catchUpDuration: Never}
		}
		peers = append(peers, peer)
	}
	for _, peer := range state.peers {
		if !membership.has(peer.id) {
			state.removed = append(state.removed, peer)
		}
	}
	state.peers = peers
}

// completeMembershipChange leaves a committed joint membership, and lets members go that a committed membership no longer
// has, this leader included.
func (n *Node) completeMembershipChange() {
	state := &n.leaderState
	if n.log.lastMembership().index > n.log.commit {
		return
	}
	if present := n.membership(); present.Joint() {
		n.appendEntry(EntryMembership, EncodeMembership(present.withoutOutgoing()))
		return
	}
	for _, peer := range state.removed {
		n.notifyRemoved(peer)
	}
	state.removed = nil
	if n.membership().isVoter(n.config.ID) {
		return
	}
	if peer := n.progressOf(n.bestTransferee()); peer != nil && peer.match == n.log.lastIndex() {
		n.sendEarly(Message{Kind: MessageTimeoutNow, To: peer.id})
	}
	n.becomeFollower(n.term, 0)
}

// notifyRemoved tells a former member, once, that it was removed, so that it does not go on standing for election. This
// must not happen earlier: before the removal is committed its vote may be needed, which it would no longer give.
func (n *Node) notifyRemoved(peer *progress) {
	term, known := n.log.term(peer.next - 1)
	if !known {
		return
	}
	n.sendEarly(Message{Kind: MessageAppend, To: peer.id, Index: peer.next - 1, LogTerm: term, Commit: n.log.commit,
		Entries: n.log.slice(peer.next, n.config.MaxAppendBytes)})
}
