package consensus

// nextCompaction is the applied index at which a snapshot is wanted, or 0.
func (n *Node) nextCompaction() uint64 {
	applied := n.log.applied
	if n.config.SnapshotThreshold == 0 || len(n.log.membershipAt(applied).Members) == 0 {
		return 0
	}
	if applied < max(n.log.snapshot.Index, n.compactRequested)+n.config.SnapshotThreshold {
		return 0
	}
	n.compactRequested = applied
	return applied
}

// CreateSnapshot returns the snapshot to store for an applied index, with the state machine's data. It tells false if the
// index is not between the last snapshot and what was applied, or if the membership at the index is not known here: a
// replica that was taken in later than the group's founding has the log from its start, and learns the members from an
// entry in it.
func (n *Node) CreateSnapshot(index uint64, data []byte) (Snapshot, bool) {
	term, known := n.log.term(index)
	if !known || index <= n.log.snapshot.Index || index > n.log.applied {
		return Snapshot{}, false
	}
	membership := n.log.membershipAt(index)
	if len(membership.Members) == 0 {
		return Snapshot{}, false
	}
	return Snapshot{Index: index, Term: term, Membership: membership, Data: data}, true
}

// Compact says that the snapshot at an index was stored. The log is cut up to there but for a tail, kept for slow
// followers: a quarter of Options.SnapshotThreshold, with tailBytes of data at most (0: no bound). Data may be nil to save
// memory: messages that install the snapshot then come without it, and the driver puts what it has stored, of this index
// or a later one, in place of Message.Snapshot as it sends them.
func (n *Node) Compact(index uint64, data []byte, tailBytes int) {
	snapshot, ok := n.CreateSnapshot(index, data)
	if ok {
		n.log.compact(snapshot, n.config.SnapshotThreshold/4, tailBytes)
	}
}
