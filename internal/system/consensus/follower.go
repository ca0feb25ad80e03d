package consensus

// recordLeaderContact records a message of the leader of this term. It grants the leader a lease: no vote for others
// within an election timeout.
func (n *Node) recordLeaderContact(from ReplicaID) {
	if n.role != Follower || n.leaderID != from {
		n.becomeFollower(n.term, from)
	}
	n.failedElections = 0
	n.lastLeaderContact = n.now
	n.lastLeader = from
	n.refuseVotesUntil = n.now + n.config.ElectionTimeout
	n.resetElectionTimer()
}

// handleLeaderMessage handles a message that only a leader sends.
func (n *Node) handleLeaderMessage(msg Message) {
	if msg.Term < n.term {
		// The sender learns of the newer term and resigns.
		n.send(Message{Kind: MessageAppendReply, To: msg.From, Reject: true})
		return
	}
	if msg.Term > n.term {
		n.becomeFollower(msg.Term, msg.From)
	}
	if n.role == Leader || n.leaderID != 0 && n.leaderID != msg.From {
		return // there is one leader per term
	}
	n.recordLeaderContact(msg.From)
	if msg.Kind == MessageAppend {
		n.handleAppend(msg)
	} else {
		n.handleInstallSnapshot(msg)
	}
	// The leader knows the commit index of the group once it has committed an entry of its term.
	if n.log.commit >= msg.Commit && n.committedInTerm() && n.now >= n.staleInputUntil {
		n.caughtUpAt = n.now
	}
}

// handleAppend appends a leader's entries if they follow an entry that both logs hold.
func (n *Node) handleAppend(msg Message) {
	index := msg.Index
	entries := msg.Entries
	if index < n.log.commit {
		// Committed entries are the same in all logs.
		skip := min(uint64(len(entries)), n.log.commit-index)
		index += skip
		if index < n.log.commit {
			n.sendAppendReply(msg, n.log.commit)
			return
		}
		if !n.log.matchTerm(index, entries[skip-1].Term) {
			return // contradicts a committed entry, as no leader's append does
		}
		entries = entries[skip:]
	} else if !n.log.matchTerm(index, msg.LogTerm) {
		n.sendAppendRejection(msg)
		return
	}
	n.log.merge(entries)
	last := index + uint64(len(entries))
	n.log.commitTo(min(msg.Commit, last))
	n.sendAppendReply(msg, last)
}

// sendAppendReply reports that the log agrees with the leader's up to an index, unless the append demands no reply.
func (n *Node) sendAppendReply(msg Message, index uint64) {
	if msg.Round == 0 && len(msg.Entries) == 0 {
		return
	}
	n.send(Message{Kind: MessageAppendReply, To: msg.From, Index: index, Round: msg.Round})
}

// sendAppendRejection tells the leader an index at which the logs may agree. It skips whole terms, so that few attempts
// suffice.
func (n *Node) sendAppendRejection(msg Message) {
	hint, term := n.log.findConflictByTerm(msg.Index, msg.LogTerm)
	n.send(Message{
		Kind:       MessageAppendReply,
		To:         msg.From,
		Index:      msg.Index,
		LogTerm:    term,
		Reject:     true,
		RejectHint: hint,
		Round:      msg.Round,
	})
}

// handleInstallSnapshot replaces the log and the state machine, unless the log already holds all that the snapshot
// covers.
func (n *Node) handleInstallSnapshot(msg Message) {
	snapshot := *msg.Snapshot
	switch {
	case snapshot.Index <= n.log.commit:
	case n.log.matchTerm(snapshot.Index, snapshot.Term):
		n.log.commitTo(snapshot.Index)
	default:
		n.log.restore(snapshot)
	}
	n.send(Message{Kind: MessageInstallSnapshotReply, To: msg.From, Index: n.log.commit, Round: msg.Round})
}
