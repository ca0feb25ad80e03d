package consensus

// Ready is what is to be done, in this order: send Early, write Snapshot, HardState and Entries and sync them (entries
// replace whatever stands at their indexes and beyond), call Persisted, send Messages, apply Snapshot and Committed,
// answer Reads, compact.
//
// Readies are done in the order in which they were returned, and the next one may be asked for while the writes of
// earlier ones are under way. Messages of one are sent only after its writes and those of all earlier ones are synced.
// A write that failed is to be tried again, or the machine made anew from what is stored; it can't be left out.
// Nothing in a Ready may be changed.
type Ready struct {
	HardState        *HardState
	Snapshot         *Snapshot // received from the leader: replaces log and state
	Entries          []Entry
	EarlyMessages    []Message // may be sent before the writes are synced
	Messages         []Message
	CommittedEntries []Entry
	ReadStates       []ReadState
	CompactIndex     uint64 // above 0: make a snapshot at this applied index, store it (see Machine.Snapshot), call Compacted
	MustSync         bool   // false: HardState, if any, differs in Commit alone and may wait for the next write

	sequence uint64 // counts the ones with writes, 0: none
}

// Empty tells whether nothing is to be done.
func (r Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.EarlyMessages) == 0 && len(r.Messages) == 0 &&
		len(r.CommittedEntries) == 0 && len(r.ReadStates) == 0 && r.CompactIndex == 0
}

// ReadState says that the state machine may be read for Token once Index is applied.
type ReadState struct {
	Token uint64
	Index uint64
	Err   error // *NotLeaderError: leadership was not confirmed
}

// Ready returns what is to be done and has not been returned before.
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

func (n *Node) takeHardState(ready *Ready) {
	hardState := HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
	if hardState == n.lastHardState {
		return
	}
	ready.MustSync = hardState.Term != n.lastHardState.Term || hardState.Vote != n.lastHardState.Vote
	n.lastHardState = hardState
	ready.HardState = &hardState
}

// MarkPersisted says that the writes of r, and those of all Readies before it, are synced. A candidate's own vote
// and a leader's own entries count towards a majority only now.
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
