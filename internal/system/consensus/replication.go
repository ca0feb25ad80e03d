package consensus

// snapshotResendElectionTimeouts is the time, in election timeouts, after which an unanswered snapshot is sent again.
const snapshotResendElectionTimeouts = 2

// flushMessages builds the messages of a leader from what has changed since the last Ready.
func (n *Node) flushMessages() {
	if n.role != Leader {
		return
	}
	n.startReadRound()
	for _, peer := range n.leaderState.peers {
		n.flushPeer(peer)
	}
	if n.leaderState.transferee != 0 {
		n.sendTimeoutNow()
	}
	n.updateConfirmedRound() // a group of one confirms itself
}

// flushPeer builds the messages to one peer: entries, a snapshot, a heartbeat, a new commit index.
func (n *Node) flushPeer(peer *progress) {
	for n.canSendEntries(peer) {
		n.sendEntries(peer)
	}
	if n.snapshotTimedOut(peer) {
		n.sendSnapshot(peer)
	}
	if peer.heartbeatWanted {
		n.sendHeartbeat(peer)
	}
	if peer.state == stateReplicate && peer.sentCommit < min(n.log.commit, peer.next-1) {
		n.sendAppend(peer, peer.next-1, nil, 0)
	}
}

// snapshotTimedOut reports whether a peer that is in contact has left a snapshot unanswered for long.
func (n *Node) snapshotTimedOut(peer *progress) bool {
	return peer.state == stateSnapshot && n.now-peer.snapshotSentAt >= snapshotResendElectionTimeouts*n.config.ElectionTimeout &&
		n.now-peer.lastContact < n.config.ElectionTimeout
}

// canSendEntries reports whether another append may be sent to the peer now.
func (n *Node) canSendEntries(peer *progress) bool {
	switch peer.state {
	case stateProbe:
		return !peer.probeSent
	case stateReplicate:
		return peer.next <= n.log.lastIndex() && len(peer.inflights) < max(n.config.MaxInflightAppends, 1)
	default:
		return false
	}
}

// sendEntries sends the next entries to a peer, or a snapshot if the log no longer holds them.
func (n *Node) sendEntries(peer *progress) {
	if _, known := n.log.term(peer.next - 1); !known {
		n.sendSnapshot(peer)
		return
	}
	entries := n.log.slice(peer.next, n.config.MaxAppendBytes)
	n.sendAppend(peer, peer.next-1, entries, n.leaderState.round)
	peer.heartbeatWanted = false
	if peer.state == stateProbe {
		peer.probeSent = true
		return
	}
	peer.next += uint64(len(entries))
	peer.inflights = append(peer.inflights, peer.next-1)
}

// sendHeartbeat sends an append without entries. Its rejection shows that earlier appends were lost.
func (n *Node) sendHeartbeat(peer *progress) {
	peer.heartbeatWanted = false
	index := peer.next - 1
	if peer.state == stateSnapshot {
		index = peer.match
	}
	if _, known := n.log.term(index); !known {
		index = 0 // all logs agree there
		n.resumeProbing(peer)
	}
	n.sendAppend(peer, index, nil, n.leaderState.round)
}

// resumeProbing starts over with a peer that fell behind the start of the log while appends to it were in flight. The
// next append waits for the peer's reply.
func (n *Node) resumeProbing(peer *progress) {
	if peer.state != stateSnapshot {
		peer.becomeProbe(peer.match + 1)
		peer.probeSent = true
	}
}

// sendAppend sends an append. A reply is demanded unless round is 0.
func (n *Node) sendAppend(peer *progress, index uint64, entries []Entry, round uint64) {
	term, _ := n.log.term(index) // 0 at index 0
	n.sendEarly(Message{
		Kind:    MessageAppend,
		To:      peer.id,
		Index:   index,
		LogTerm: term,
		Commit:  n.log.commit,
		Entries: entries,
		Round:   round,
	})
	peer.sentCommit = max(peer.sentCommit, min(n.log.commit, index+uint64(len(entries))))
	if round > 0 {
		peer.lastSentAt = n.now
	}
}

func (n *Node) sendSnapshot(peer *progress) {
	snapshot := n.log.snapshot
	peer.becomeSnapshot(n.now)
	n.sendEarly(Message{
		Kind:     MessageInstallSnapshot,
		To:       peer.id,
		Snapshot: &snapshot,
		Commit:   n.log.commit,
		Round:    n.leaderState.round,
	})
}
