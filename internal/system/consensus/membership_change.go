package consensus

import "time"

// membership returns the newest membership in the log: a membership is in effect as soon as it is appended.
func (n *Node) membership() Membership { return n.log.lastMembership().membership }

// ChangeMembership proposes another membership. It may differ from the present one
//
//   - in one member: a learner that becomes a voter once it has caught up, a voter that becomes a learner or leaves;
//   - in any members other than voters: learners that join or leave, addresses;
//   - in the votes of any number of members.
//
// The first two kinds are in effect at once. The third kind goes through a joint membership, which the leader leaves by
// itself once it is committed; members that lose their vote remain as learners. The next change is possible once all of
// that is committed, see Status.MembershipIndex and Membership.Joint. The error is a *NotLeaderError,
// ErrMembershipChangePending, a *LearnerBehindError or an *InvalidMembershipError.
func (n *Node) ChangeMembership(now time.Duration, to Membership) error {
	n.advanceClock(now)
	if n.role != Leader {
		return n.notLeaderError()
	}
	present := n.membership()
	if n.leaderState.transferee != 0 || !n.committedInTerm() || n.log.lastMembership().index > n.log.commit || present.Joint() {
		return ErrMembershipChangePending
	}
	if err := to.validate(); err != nil {
		return err
	}
	if to.Joint() {
		return &InvalidMembershipError{Reason: "a member is outgoing, which only the leader may decide"}
	}
	changed := changedMembers(present, to)
	if len(changed) == 0 || len(changed) > 1 && !differOnlyInVotes(present, to) && !sameVoters(present, to) {
		return &InvalidMembershipError{
			Reason: "it must differ from the present one in one member, in votes only, or in anything but votes",
		}
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

// checkPromotion reports why a member can't become a voter yet; members that do not become voters pass.
func (n *Node) checkPromotion(id ReplicaID, to Membership) error {
	if !to.isVoter(id) || n.membership().isVoter(id) {
		return nil
	}
	peer := n.progressOf(id)
	if peer == nil {
		return &InvalidMembershipError{Reason: "a new member must join as a learner first"}
	}
	// It must also hold the entry that made it a member: otherwise it would not vote.
	if peer.match < n.log.lastMembership().index || !peer.keepsUp(n.now, n.config.ElectionTimeout) {
		return &LearnerBehindError{ID: id, Match: peer.match, Target: peer.catchUpTarget}
	}
	return nil
}

// syncProgress brings the leader's list of peers in line with the newest membership.
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
			peer = &progress{
				id:               member.ID,
				next:             n.log.lastIndex() + 1,
				lastContact:      n.now,
				catchUpTarget:    n.log.lastIndex(),
				catchUpStartedAt: n.now,
				catchUpDuration:  Never,
			}
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

// completeMembershipChange acts on a committed membership: it leaves a joint one, and notifies members that were
// removed. A leader that is no longer a voter resigns.
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

// notifyRemoved sends a removed member the entry that removed it, so that it stops starting elections. That must not
// happen before the removal is committed: until then the member's vote may be needed.
func (n *Node) notifyRemoved(peer *progress) {
	term, known := n.log.term(peer.next - 1)
	if !known {
		return
	}
	n.sendEarly(Message{
		Kind:    MessageAppend,
		To:      peer.id,
		Index:   peer.next - 1,
		LogTerm: term,
		Commit:  n.log.commit,
		Entries: n.log.slice(peer.next, n.config.MaxAppendBytes),
	})
}
