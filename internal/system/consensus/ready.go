package consensus

// Ready is work for the driver, in this order: send EarlyMessages; write Snapshot, HardState and Entries and sync them
// (entries replace whatever the log holds at their indexes and beyond); call MarkPersisted; send Messages; apply Snapshot
// and CommittedEntries; complete ReadStates; compact.
//
// Readies are processed in the order in which Node.Ready returned them. The next one may be requested while writes of
// earlier ones are in flight, but Messages must not be sent before the writes of their own Ready and of all earlier ones
// are synced. A failed write must be repeated, or the Node made anew from what is on disk; it must not be skipped. Nothing
// in a Ready may be changed.
type Ready struct {
	HardState        *HardState // nil: unchanged
	Snapshot         *Snapshot  // received from the leader; replaces the log and the state machine
	Entries          []Entry
	EarlyMessages    []Message // may be sent before the writes are synced
	Messages         []Message
	CommittedEntries []Entry
	ReadStates       []ReadState
	// CompactIndex, unless 0, asks the driver to take a snapshot of its state machine at this applied index, to store it
	// (see Node.CreateSnapshot) and to call Node.Compact.
	CompactIndex uint64
	// MustSync tells that the writes have to be synced now. Otherwise HardState, if any, differs in Commit only and may be
	// written with the next Ready.
	MustSync bool

	sequence uint64 // numbers the Readies with MustSync; 0 for others
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.EarlyMessages) == 0 && len(r.Messages) == 0 &&
		len(r.CommittedEntries) == 0 && len(r.ReadStates) == 0 && r.CompactIndex == 0
}

// ReadState answers a call of Node.ReadIndex.
type ReadState struct {
	Token uint64
	Index uint64 // the state machine may be read once it has applied this index
	Err   error  // a *NotLeaderError if leadership was not confirmed, else nil
}

// Ready returns the work that has come up since the last call.
func (n *Node) Ready() Ready {
	n.flushMessages()
	ready := Ready{Entries: n.log.takeUnwrittenEntries(), CommittedEntries: n.log.takeCommittedEntries()}
	if n.log.snapshotPending {
		n.log.snapshotPending = false
		snapshot := n.log.snapshot
		ready.Snapshot = &snapshot
	}
	n.takeHardState(&ready)
	ready.MustSync = ready.MustSync || ready.Snapshot != nil || len(ready.Entries) > 0
	ready.EarlyMessages, n.earlyMessages = n.earlyMessages, nil
	ready.Messages, n.messages = n.messages, nil
	ready.ReadStates, n.readStates = n.readStates, nil
	ready.CompactIndex = n.nextCompaction()
	if ready.MustSync {
		n.readySequence++
		ready.sequence = n.readySequence
		n.log.pendingWrites = append(n.log.pendingWrites, pendingWrite{ready.sequence, n.term, n.log.lastIndex()})
	}
	return ready
}

// takeHardState adds the hard state to a Ready if it has changed.
func (n *Node) takeHardState(ready *Ready) {
	hardState := HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
	if hardState == n.lastHardState {
		return
	}
	ready.MustSync = hardState.Term != n.lastHardState.Term || hardState.Vote != n.lastHardState.Vote
	n.lastHardState = hardState
	ready.HardState = &hardState
}

// MarkPersisted reports that the writes of a Ready, and those of all Readies before it, are synced. Only now does a
// candidate's vote for itself, or a leader's own copy of an entry, count towards a majority.
func (n *Node) MarkPersisted(ready Ready) {
	if ready.sequence == 0 {
		return
	}
	n.persistedTerm = max(n.persistedTerm, n.log.markDurable(ready.sequence))
	if n.role == Candidate && n.persistedTerm == n.term {
		n.recordVote(n.config.ID)
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}
