package consensus

// retainedTailDivisor is the part of Config.SnapshotThreshold that Node.Compact retains for slow followers: one of so
// many.
const retainedTailDivisor = 4

// nextCompaction returns the applied index at which a snapshot is due, or 0.
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

// CreateSnapshot returns the snapshot to store for an applied index and the state machine's data. It returns false if
// the index is not above the last snapshot's, is not applied yet, or if the membership at the index is unknown: a
// replica that joined after the group's founding receives the log from its start and learns the members from a later
// entry.
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

// Compact reports that the snapshot at an index is stored, and drops the log up to it except for a tail for slow
// followers: a quarter of Config.SnapshotThreshold entries with at most tailBytes of data (0: unbounded). Data may be
// nil to save memory: install-snapshot messages then carry none, and the driver must replace Message.Snapshot by the
// stored snapshot of this index or a later one before it sends them.
func (n *Node) Compact(index uint64, data []byte, tailBytes int) {
	snapshot, ok := n.CreateSnapshot(index, data)
	if ok {
		n.log.compact(snapshot, n.config.SnapshotThreshold/retainedTailDivisor, tailBytes)
	}
}
