package consensus

import "slices"

// raftLog is the log of a replica: the snapshot, the entries after offset (some of which the snapshot covers, kept for
// slow followers), and the positions up to which it is committed, written and applied. Always
//
//	offset <= snapshot.Index <= commit <= lastIndex, applied <= commit and durable <= writeIndex <= lastIndex.
type raftLog struct {
	snapshot   Snapshot
	offset     uint64 // index before the first entry
	offsetTerm uint64 // term of the entry at offset
	entries    []Entry

	commit     uint64
	applied    uint64 // last index returned as committed
	writeIndex uint64 // last index returned to be written
	durable    uint64 // last index known to be synced

	snapshotPending bool                // a snapshot of the leader is to be returned by the next Ready
	pendingWrites   []pendingWrite      // returned and not known to be synced, in order
	memberships     []indexedMembership // in order: the first one is in effect at the snapshot, the last one now
}

// pendingWrite is a Ready whose writes are in flight.
type pendingWrite struct {
	sequence  uint64 // of the Ready
	term      uint64
	lastIndex uint64 // the log is durable up to here once the write is synced
}

// indexedMembership is a membership and the index of the entry that holds it.
type indexedMembership struct {
	index      uint64
	membership Membership
}

func newLog(state PersistentState) raftLog {
	log := raftLog{snapshot: state.Snapshot, offset: state.Snapshot.Index, offsetTerm: state.Snapshot.Term}
	log.memberships = []indexedMembership{{log.offset, state.Snapshot.Membership}}
	log.append(state.Entries)
	log.commit = max(log.offset, min(state.HardState.Commit, log.lastIndex()))
	log.applied = log.offset
	log.writeIndex = log.lastIndex()
	log.durable = log.lastIndex()
	return log
}

func (l *raftLog) lastIndex() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at an index, if it is known.
func (l *raftLog) term(index uint64) (uint64, bool) {
	if index == l.offset {
		return l.offsetTerm, true
	}
	if index < l.offset || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

// matchTerm reports whether the log holds an entry of this index and term.
func (l *raftLog) matchTerm(index, term uint64) bool {
	knownTerm, known := l.term(index)
	return known && knownTerm == term
}

// endsAt reports whether the last entry has this index and term.
func (l *raftLog) endsAt(index, term uint64) bool {
	return index == l.lastIndex() && term == l.lastTerm()
}

// isUpToDate reports whether a log whose last entry has this index and term is at least as up to date as this one, so
// that its owner may be voted for.
func (l *raftLog) isUpToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.lastIndex()
}

// slice returns the entries from an index on, up to an amount of data but at least one.
func (l *raftLog) slice(from uint64, maxBytes int) []Entry {
	if from <= l.offset || from > l.lastIndex() {
		return nil
	}
	rest := l.entries[from-l.offset-1:]
	size := len(rest[0].Data)
	count := 1
	for count < len(rest) && size+len(rest[count].Data) <= maxBytes {
		size += len(rest[count].Data)
		count++
	}
	return rest[:count:count]
}

// append adds entries that follow the last one. Memberships among them have been validated.
func (l *raftLog) append(entries []Entry) {
	for _, entry := range entries {
		l.entries = append(l.entries, entry)
		if entry.Kind != EntryMembership {
			continue
		}
		membership, err := DecodeMembership(entry.Data)
		if err == nil { // checked before
			l.memberships = append(l.memberships, indexedMembership{entry.Index, membership})
		}
	}
}

// truncate drops the entries from an index on, which must be above commit. Slices returned earlier keep their content.
func (l *raftLog) truncate(from uint64) {
	keep := int(from - l.offset - 1)
	l.entries = l.entries[:keep:keep]
	l.writeIndex = min(l.writeIndex, from-1)
	l.durable = min(l.durable, from-1)
	for i := range l.pendingWrites {
		l.pendingWrites[i].lastIndex = min(l.pendingWrites[i].lastIndex, from-1)
	}
	for l.memberships[len(l.memberships)-1].index >= from {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// merge adopts a leader's entries. They must follow an index at which both logs agree and which is not below commit.
func (l *raftLog) merge(entries []Entry) {
	for i, entry := range entries {
		if l.matchTerm(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= l.lastIndex() {
			l.truncate(entry.Index)
		}
		l.append(entries[i:])
		return
	}
}

func (l *raftLog) commitTo(index uint64) { l.commit = max(l.commit, min(index, l.lastIndex())) }

// findConflictByTerm returns the largest index, up to a given one, whose term is not above a given one, and its term;
// the start of the log if there is none.
func (l *raftLog) findConflictByTerm(index, term uint64) (uint64, uint64) {
	index = min(index, l.lastIndex())
	for index > l.offset {
		knownTerm, _ := l.term(index)
		if knownTerm <= term {
			return index, knownTerm
		}
		index--
	}
	return l.offset, l.offsetTerm
}

// restore replaces everything by a snapshot.
func (l *raftLog) restore(snapshot Snapshot) {
	l.snapshot = snapshot
	l.offset = snapshot.Index
	l.offsetTerm = snapshot.Term
	l.entries = nil
	l.commit = snapshot.Index
	l.applied = snapshot.Index
	l.writeIndex = snapshot.Index
	l.durable = snapshot.Index
	for i := range l.pendingWrites {
		l.pendingWrites[i].lastIndex = 0
	}
	l.memberships = []indexedMembership{{snapshot.Index, snapshot.Membership}}
	l.snapshotPending = true
}

// compact adopts a snapshot of the applied state and drops the entries that it covers, except for a tail that is
// bounded by its number of entries and by the bytes of their data (0: unbounded).
func (l *raftLog) compact(snapshot Snapshot, tail uint64, tailBytes int) {
	l.snapshot = snapshot
	l.trimMemberships(snapshot.Index)
	start := l.tailStart(snapshot.Index, tail, tailBytes)
	if start <= l.offset {
		return
	}
	term, _ := l.term(start)
	l.entries = slices.Clone(l.entries[start-l.offset:])
	l.offset = start
	l.offsetTerm = term
}

// tailStart returns the index before the tail that ends at an index.
func (l *raftLog) tailStart(end, tail uint64, tailBytes int) uint64 {
	start := end
	size := 0
	for start > l.offset && end-start < tail {
		size += len(l.entries[start-l.offset-1].Data)
		if tailBytes > 0 && size > tailBytes {
			break
		}
		start--
	}
	return start
}

// trimMemberships drops the memberships that were no longer in effect at an index.
func (l *raftLog) trimMemberships(index uint64) {
	dropped := 0
	for dropped+1 < len(l.memberships) && l.memberships[dropped+1].index <= index {
		dropped++
	}
	l.memberships = slices.Clone(l.memberships[dropped:])
}

// lastMembership returns the membership in effect.
func (l *raftLog) lastMembership() indexedMembership { return l.memberships[len(l.memberships)-1] }

// anyPossibleMembership reports whether a property holds for the newest membership known to be committed or for a later
// one: each of these may turn out to be the one in effect.
func (l *raftLog) anyPossibleMembership(holds func(Membership) bool) bool {
	for i := len(l.memberships) - 1; i >= 0; i-- {
		if holds(l.memberships[i].membership) {
			return true
		}
		if l.memberships[i].index <= l.commit {
			return false
		}
	}
	return false
}

// membershipAt returns the membership in effect at an index, which must not be below the snapshot's.
func (l *raftLog) membershipAt(index uint64) Membership {
	at := 0
	for at+1 < len(l.memberships) && l.memberships[at+1].index <= index {
		at++
	}
	return l.memberships[at].membership
}

// takeUnwrittenEntries returns the entries that were not returned to be written yet.
func (l *raftLog) takeUnwrittenEntries() []Entry {
	from := max(l.writeIndex, l.offset)
	l.writeIndex = l.lastIndex()
	entries := l.entries[from-l.offset:]
	return entries[:len(entries):len(entries)]
}

// takeCommittedEntries returns the committed entries that were not returned yet.
func (l *raftLog) takeCommittedEntries() []Entry {
	if l.commit <= l.applied {
		return nil
	}
	from, to := l.applied-l.offset, l.commit-l.offset
	l.applied = l.commit
	return l.entries[from:to:to]
}

// markDurable records that the writes up to a sequence number are synced. It returns the highest term among them.
func (l *raftLog) markDurable(sequence uint64) (term uint64) {
	for len(l.pendingWrites) > 0 && l.pendingWrites[0].sequence <= sequence {
		l.durable = max(l.durable, l.pendingWrites[0].lastIndex)
		term = max(term, l.pendingWrites[0].term)
		l.pendingWrites = l.pendingWrites[1:]
	}
	return term
}
