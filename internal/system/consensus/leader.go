package consensus

import (
	"slices"
	"time"
)

// leaderState is the volatile state of a leader.
type leaderState struct {
	peers             []*progress // of the other members, in the order of the membership
	removed           []*progress // of members that a membership removed which is not committed yet
	heartbeatDeadline time.Duration

	// Rounds number the messages of the leader whose replies confirm its leadership. They also are times, see
	// startReadRound and roundStart.
	round          uint64 // of the messages sent last
	readRound      uint64 // last round that was started for reads
	confirmedRound uint64 // last round that a majority replied to; 0: none yet
	reads          []pendingRead

	transferee       ReplicaID // 0: no transfer of leadership in progress
	transferDeadline time.Duration
	timeoutNowSent   bool // the transferee may start an election at any time: no lease in this term any more
}

// becomeLeader starts a leadership. The entry of the new term commits all entries before it.
func (n *Node) becomeLeader() {
	granted := n.grantedBy
	n.role = Leader
	n.leaderID = n.config.ID
	n.failedElections = 0
	n.grantedBy = nil
	n.leaderState = leaderState{heartbeatDeadline: n.now + n.config.HeartbeatInterval}
	n.syncProgress()
	n.backdatePredecessorContact(granted)
	n.appendEntry(EntryCommand, nil)
}

// backdatePredecessorContact sets the last contact of the preceding leader to what this replica saw as its follower,
// unless that leader has just granted its vote. All other members count as present until they are silent for long.
func (n *Node) backdatePredecessorContact(granted []ReplicaID) {
	if peer := n.progressOf(n.lastLeader); peer != nil && n.lastLeaderContact > 0 && !slices.Contains(granted, peer.id) {
		peer.lastContact = n.lastLeaderContact
	}
}

func (n *Node) progressOf(id ReplicaID) *progress {
	for _, peer := range n.leaderState.peers {
		if peer.id == id {
			return peer
		}
	}
	return nil
}

// appendEntry appends an entry to the log of a leader and returns its index.
func (n *Node) appendEntry(kind EntryKind, data []byte) uint64 {
	entry := Entry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.append([]Entry{entry})
	if kind == EntryMembership {
		n.syncProgress()
	}
	return entry.Index
}

// committedInTerm reports whether an entry of the present term is committed. Before that a leader does not know the
// commit index of the group.
func (n *Node) committedInTerm() bool {
	term, known := n.log.term(n.log.commit)
	return known && term == n.term
}

// tickLeader resigns without a quorum, ends a transfer that timed out and schedules heartbeats. A peer to which an append
// that demands a reply was sent within half an interval needs none.
func (n *Node) tickLeader() {
	if n.now >= n.quorumDeadline() {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.leaderState.transferee != 0 && n.now >= n.leaderState.transferDeadline {
		n.abortTransfer()
		return
	}
	if n.now < n.leaderState.heartbeatDeadline {
		return
	}
	n.leaderState.heartbeatDeadline = n.now + n.config.HeartbeatInterval
	for _, peer := range n.leaderState.peers {
		peer.heartbeatWanted = peer.heartbeatWanted || n.now-peer.lastSentAt > n.config.HeartbeatInterval/2
	}
}

// leaderDeadline returns when tickLeader has something to do.
func (n *Node) leaderDeadline() time.Duration {
	due := min(n.leaderState.heartbeatDeadline, n.quorumDeadline())
	if n.leaderState.transferee != 0 {
		due = min(due, n.leaderState.transferDeadline)
	}
	return due
}

// quorumDeadline returns when this leader resigns unless more members reply: an election timeout after a majority was last
// in contact.
func (n *Node) quorumDeadline() time.Duration {
	contact := n.quorumValue(uint64(max(n.now, 0)), func(peer *progress) uint64 { return uint64(max(peer.lastContact, 0)) })
	return time.Duration(contact) + n.config.ElectionTimeout
}

// quorumValue returns the largest value that a majority of the voters has reached; in a joint membership, a majority of
// each of its sets. own is this leader's value, valueOf returns a peer's.
func (n *Node) quorumValue(own uint64, valueOf func(*progress) uint64) uint64 {
	value := func(id ReplicaID) uint64 {
		if id == n.config.ID {
			return own
		}
		if peer := n.progressOf(id); peer != nil {
			return valueOf(peer)
		}
		return 0
	}
	membership := n.membership()
	reached := membership.majorityValue(incoming, value)
	if membership.Joint() {
		reached = min(reached, membership.majorityValue(outgoing, value))
	}
	return reached
}

// recordReply records a reply of a peer to this leader; a rejection confirms contact and leadership as well. It returns
// nil for a reply of another term, or if this replica is not the leader.
func (n *Node) recordReply(msg Message) *progress {
	peer := n.progressOf(msg.From)
	if n.role != Leader || msg.Term != n.term || peer == nil {
		return nil
	}
	peer.lastContact = n.now
	peer.ackedRound = max(peer.ackedRound, min(msg.Round, n.leaderState.round))
	n.updateConfirmedRound()
	return peer
}

func (n *Node) handleAppendReply(msg Message) {
	peer := n.recordReply(msg)
	if peer == nil || msg.Index > n.log.lastIndex() {
		return
	}
	if msg.Reject {
		n.handleAppendRejection(peer, msg)
		return
	}
	n.updateMatch(peer, msg.Index)
}

func (n *Node) handleInstallSnapshotReply(msg Message) {
	peer := n.recordReply(msg)
	if peer == nil || msg.Reject || msg.Index > n.log.lastIndex() {
		return
	}
	n.updateMatch(peer, msg.Index)
}

// updateMatch records that a peer holds the log up to an index.
func (n *Node) updateMatch(peer *progress, index uint64) {
	updated := index > peer.match
	peer.match = max(peer.match, index)
	peer.freeInflights(index)
	peer.updateCatchUp(n.log.lastIndex(), n.now)
	peer.next = max(peer.next, peer.match+1)
	switch peer.state {
	case stateProbe:
		if updated || peer.next == peer.match+1 {
			peer.becomeReplicate()
		}
	case stateSnapshot:
		if _, known := n.log.term(peer.match); known {
			peer.becomeReplicate()
		}
	}
	if updated {
		n.advanceCommit()
	}
}

// handleAppendRejection continues from an index at which the peer's log may agree with this one: the last one, up to the
// peer's hint, whose term is not above that of the peer's entry there. A hint before the start of this log is taken as it
// is, so that sendEntries finds the entry missing and sends a snapshot.
func (n *Node) handleAppendRejection(peer *progress, msg Message) {
	if peer.state == stateSnapshot || msg.Index <= peer.match || peer.state == stateProbe && msg.Index != peer.next-1 {
		return // stale
	}
	hint, _ := n.log.findConflictByTerm(msg.RejectHint, msg.LogTerm)
	if msg.RejectHint < n.log.offset {
		hint = msg.RejectHint
	}
	peer.becomeProbe(max(peer.match, min(msg.Index-1, hint)) + 1)
}

// advanceCommit commits the entries that a majority has synced. Only an entry of the present term is committed by counting
// replicas, and with it all entries before it.
func (n *Node) advanceCommit() {
	index := n.quorumValue(n.log.durable, func(peer *progress) uint64 { return peer.match })
	if index <= n.log.commit || !n.log.matchTerm(index, n.term) {
		return
	}
	n.log.commitTo(index)
	n.completeReads()
	n.completeMembershipChange()
}
