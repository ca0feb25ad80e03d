package consensus

// Ready returns what is to be done and has not been returned before.
func (m *Machine) Ready() Ready {
	m.flush()
	r := Ready{Entries: m.log.takeUnwritten(), Committed: m.log.takeCommitted()}
	if m.log.restored {
		m.log.restored = false
		snapshot := m.log.snapshot
		r.Snapshot = &snapshot
	}
	m.takeHardState(&r)
	r.MustSync = r.MustSync || r.Snapshot != nil || len(r.Entries) > 0
	r.Early, m.early = m.early, nil
	r.Messages, m.messages = m.messages, nil
	r.Reads, m.readStates = m.readStates, nil
	r.Compact = m.compactDue()
	if r.MustSync {
		m.readies++
		r.number = m.readies
		m.log.writes = append(m.log.writes, pendingWrite{r.number, m.term, m.log.last()})
	}
	return r
}

func (m *Machine) takeHardState(r *Ready) {
	hard := HardState{Term: m.term, Vote: m.vote, Commit: m.log.commit}
	if hard == m.handedHard {
		return
	}
	r.MustSync = hard.Term != m.handedHard.Term || hard.Vote != m.handedHard.Vote
	m.handedHard = hard
	r.HardState = &hard
}

// Persisted says that the writes of r, and those of all Readies before it, are synced. A candidate's own vote
// and a leader's own entries count towards a majority only now.
func (m *Machine) Persisted(r Ready) {
	if r.number == 0 {
		return
	}
	m.persistedTerm = max(m.persistedTerm, m.log.synced(r.number))
	if m.role == Candidate && m.persistedTerm == m.term {
		m.countVote(m.options.ID)
	}
	if m.role == Leader {
		m.advanceCommit()
	}
}

// compactDue is the applied index at which a snapshot is wanted, or 0.
func (m *Machine) compactDue() uint64 {
	applied := m.log.applied
	if m.options.SnapshotAfter == 0 || len(m.log.membershipAt(applied).Members) == 0 {
		return 0
	}
	if applied < max(m.log.snapshot.Index, m.compactAsked)+m.options.SnapshotAfter {
		return 0
	}
	m.compactAsked = applied
	return applied
}

// Snapshot returns the snapshot to store for an applied index, with the state machine's data. It tells false if the
// index is not between the last snapshot and what was applied, or if the membership at the index is not known here: a
// replica that was taken in later than the group's founding has the log from its start, and learns the members from an
// entry in it.
func (m *Machine) Snapshot(index uint64, data []byte) (Snapshot, bool) {
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

// Compacted says that the snapshot at an index was stored. The log is cut up to there but for a tail, kept for slow
// followers: a quarter of Options.SnapshotAfter, with tailBytes of data at most (0: no bound). Data may be nil to save
// memory: messages that install the snapshot then come without it, and the driver puts what it has stored, of this index
// or a later one, in place of Message.Snapshot as it sends them.
func (m *Machine) Compacted(index uint64, data []byte, tailBytes int) {
	snapshot, is := m.Snapshot(index, data)
	if is {
		m.log.compact(snapshot, m.options.SnapshotAfter/4, tailBytes)
	}
}
