package consensus

// Ready returns what is to be done and has not been returned before.
func (m *Node) Ready() Ready {
	m.flush()
	r := Ready{Entries: m.log.takeUnwritten(), CommittedEntries: m.log.takeCommitted()}
	if m.log.restored {
		m.log.restored = false
		snapshot := m.log.snapshot
		r.Snapshot = &snapshot
	}
	m.takeHardState(&r)
	r.MustSync = r.MustSync || r.Snapshot != nil || len(r.Entries) > 0
	r.EarlyMessages, m.early = m.early, nil
	r.Messages, m.messages = m.messages, nil
	r.ReadStates, m.readStates = m.readStates, nil
	r.CompactIndex = m.compactDue()
	if r.MustSync {
		m.readies++
		r.sequence = m.readies
		m.log.writes = append(m.log.writes, pendingWrite{r.sequence, m.term, m.log.last()})
	}
	return r
}

func (m *Node) takeHardState(r *Ready) {
	hard := HardState{Term: m.term, Vote: m.vote, Commit: m.log.commit}
	if hard == m.handedHard {
		return
	}
	r.MustSync = hard.Term != m.handedHard.Term || hard.Vote != m.handedHard.Vote
	m.handedHard = hard
	r.HardState = &hard
}

// MarkPersisted says that the writes of r, and those of all Readies before it, are synced. A candidate's own vote
// and a leader's own entries count towards a majority only now.
func (m *Node) MarkPersisted(r Ready) {
	if r.sequence == 0 {
		return
	}
	m.persistedTerm = max(m.persistedTerm, m.log.synced(r.sequence))
	if m.role == Candidate && m.persistedTerm == m.term {
		m.countVote(m.options.ID)
	}
	if m.role == Leader {
		m.advanceCommit()
	}
}

// compactDue is the applied index at which a snapshot is wanted, or 0.
func (m *Node) compactDue() uint64 {
	applied := m.log.applied
	if m.options.SnapshotThreshold == 0 || len(m.log.membershipAt(applied).Members) == 0 {
		return 0
	}
	if applied < max(m.log.snapshot.Index, m.compactAsked)+m.options.SnapshotThreshold {
		return 0
	}
	m.compactAsked = applied
	return applied
}

// CreateSnapshot returns the snapshot to store for an applied index, with the state machine's data. It tells false if the
// index is not between the last snapshot and what was applied, or if the membership at the index is not known here: a
// replica that was taken in later than the group's founding has the log from its start, and learns the members from an
// entry in it.
func (m *Node) CreateSnapshot(index uint64, data []byte) (Snapshot, bool) {
	term, known := m.log.term(index)
	if !known || index <= m.log.snapshot.Index || index > m.log.applied {
		return Snapshot{}, false
	}
	membership := m.log.membershipAt(index)
	if len(membership.Members) == 0 {
		return Snapshot{}, false
	}
	return Snapshot{Index: index, Term: term, Membership: membership, Data: data}, true
}

// Compact says that the snapshot at an index was stored. The log is cut up to there but for a tail, kept for slow
// followers: a quarter of Options.SnapshotThreshold, with tailBytes of data at most (0: no bound). Data may be nil to save
// memory: messages that install the snapshot then come without it, and the driver puts what it has stored, of this index
// or a later one, in place of Message.Snapshot as it sends them.
func (m *Node) Compact(index uint64, data []byte, tailBytes int) {
	snapshot, is := m.CreateSnapshot(index, data)
	if is {
		m.log.compact(snapshot, m.options.SnapshotThreshold/4, tailBytes)
	}
}
