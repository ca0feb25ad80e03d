package consensus

// ReplicaID names one life of a replica's disk: a replica that lost its disk comes back under another one.
type ReplicaID uint64

// EntryKind says what an entry holds.
type EntryKind uint8

// The kinds of entry.
const (
	EntryCommand    EntryKind = iota // of the state machine; a new leader's first entry is a command without data
	EntryMembership                  // Data is an encoded Membership that holds from the append on
)

// Entry is a place in the log.
type Entry struct {
	Index, Term uint64
	Kind        EntryKind
	Data        []byte
}

// Snapshot stands for the log up to and including Index.
type Snapshot struct {
	Index, Term uint64
	Membership  Membership
	Data        []byte
}

// HardState is what a replica must not forget; it is written before any message that rests on it is sent.
type HardState struct {
	Term   uint64
	Vote   ReplicaID
	Commit uint64
}

// PersistentState is what a replica finds on its disk when it starts.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot // Index 0: none, Membership is then the founding one
	Entries   []Entry  // contiguous, the first one after the snapshot
}

// Validate tells what does not make sense in what was stored.
func (s PersistentState) Validate() error {
	if s.Snapshot.Index > 0 || len(s.Snapshot.Membership.Members) > 0 {
		if err := s.Snapshot.Membership.validate(); err != nil {
			return err
		}
	}
	before := Message{Index: s.Snapshot.Index, LogTerm: s.Snapshot.Term, Term: maxNumber, Entries: s.Entries}
	return before.validateEntries()
}

// normalized leaves out entries that the snapshot holds, or that stem from a log that it replaced.
func (s PersistentState) normalized() PersistentState {
	for len(s.Entries) > 0 && s.Entries[0].Index <= s.Snapshot.Index {
		if s.Entries[0].Index == s.Snapshot.Index && s.Entries[0].Term != s.Snapshot.Term {
			s.Entries = nil
			break
		}
		s.Entries = s.Entries[1:]
	}
	if len(s.Entries) > 0 && s.Entries[0].Index != s.Snapshot.Index+1 {
		s.Entries = nil
	}
	return s
}
