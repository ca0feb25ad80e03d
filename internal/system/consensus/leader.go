package consensus

import (
	"slices"
	"time"
)

// leaderState is what only a leader knows.
type leaderState struct {
	peers             []*progress // the other members, in the order of the membership
	removed           []*progress // removed by a membership that is not committed yet
	heartbeatDeadline time.Duration

	round          uint64 // of the messages sent last, see startReadRound
	readRound      uint64 // last round that was begun for reads
	confirmedRound uint64 // last round that a majority answered
	reads          []pendingRead

	transferee       ReplicaID
	transferDeadline time.Duration
	timeoutNowSent   bool // the transferee was told to take over: there is no lease in this term any more
}

// becomeLeader begins a leadership with an entry of the new term, which commits all that stands before it.
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

// backdatePredecessorContact dates the last word of the leader before, which this replica knows as its follower, unless that
// one has just voted. All other members are taken for present until they are silent.
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

// appendEntry appends an entry of a leader.
func (n *Node) appendEntry(kind EntryKind, data []byte) uint64 {
	entry := Entry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.append([]Entry{entry})
	if kind == EntryMembership {
		n.syncProgress()
	}
	return entry.Index
}

// committedInTerm tells whether a leader knows how far the log is committed.
func (n *Node) committedInTerm() bool {
	term, known := n.log.term(n.log.commit)
	return known && term == n.term
}

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

func (n *Node) leaderDeadline() time.Duration {
	due := min(n.leaderState.heartbeatDeadline, n.quorumDeadline())
	if n.leaderState.transferee != 0 {
		due = min(due, n.leaderState.transferDeadline)
	}
	return due
}

// quorumDeadline is when this leader gives up unless a majority answers before.
func (n *Node) quorumDeadline() time.Duration {
	answered := n.quorumValue(func(id ReplicaID) uint64 {
		if id == n.config.ID {
			return uint64(max(n.now, 0))
		}
		if peer := n.progressOf(id); peer != nil {
			return uint64(max(peer.lastContact, 0))
		}
		return 0
	})
	return time.Duration(answered) + n.config.ElectionTimeout
}

// quorumValue is the largest value that more than half of the voters reach: of a joint membership, more than half of each
// of its voter sets.
func (n *Node) quorumValue(value func(ReplicaID) uint64) uint64 {
	membership := n.membership()
	reached := membership.majorityValue(incoming, value)
	if membership.Joint() {
		reached = min(reached, membership.majorityValue(outgoing, value))
	}
	return reached
}

// recordReply notes that a member has answered in this leader's term.
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

// updateMatch notes up to where a member holds the log.
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

// handleAppendRejection goes back to where a member's log may agree with this one.
func (n *Node) handleAppendRejection(peer *progress, msg Message) {
	if peer.state == stateSnapshot || msg.Index <= peer.match || peer.state == stateProbe && msg.Index != peer.next-1 {
		return // of old
	}
	hint, _ := n.log.findConflictByTerm(msg.RejectHint, msg.LogTerm)
	if msg.RejectHint < n.log.offset {
		hint = msg.RejectHint
	}
	peer.becomeProbe(max(peer.match, min(msg.Index-1, hint)) + 1)
}

// advanceCommit finds the last entry that a majority holds. Only one of this term commits, and with it all before it.
func (n *Node) advanceCommit() {
	index := n.quorumValue(func(id ReplicaID) uint64 {
		if id == n.config.ID {
			return n.log.durable
		}
		if peer := n.progressOf(id); peer != nil {
			return peer.match
		}
		return 0
	})
	if index <= n.log.commit || !n.log.matchTerm(index, n.term) {
		return
	}
	n.log.commitTo(index)
	n.completeReads()
	n.completeMembershipChange()
}
