package consensus

import "fmt"

// ReplicaID identifies one incarnation of a replica's disk: a replica that lost its disk returns under another ID. IDs
// are never reused; 0 is no replica.
type ReplicaID uint64

// Hex returns the ID as logs and operators see it: 16 hexadecimal digits.
func (id ReplicaID) Hex() string { return fmt.Sprintf("%016x", uint64(id)) }

// EntryKind is the type of an entry.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand    EntryKind = iota // of the state machine; the first entry of a new leader is a command without data
	EntryMembership                  // Data is an encoded Membership, in effect as soon as the entry is appended
)

// Entry is an entry of the log. Its Index and Term identify it: two logs that hold an entry of the same index and term
// hold the same entries up to it.
type Entry struct {
	Index, Term uint64 // Index counts from 1
	Kind        EntryKind
	Data        []byte // must not be changed once proposed
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index, Term uint64     // of the last entry that the snapshot covers; Index 0: no snapshot
	Membership  Membership // in effect at Index
	Data        []byte     // of the state machine
}

// HardState is what a replica must persist before it sends any message that depends on it. Commit alone may be older on
// the disk: it is learnt again from the leader.
type HardState struct {
	Term   uint64
	Vote   ReplicaID // voted for in Term; 0: nobody
	Commit uint64    // index of the last entry known to be committed
}

// PersistentState is what a replica reads from its disk at start.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot // Index 0: none; Membership is then that of the group's founding
	Entries   []Entry  // contiguous, the first one follows the snapshot
}

// Validate reports why the state can't have been written by a replica: an *InvalidMembershipError, *InvalidMessageError
// or *DecodeError.
func (s PersistentState) Validate() error {
	if s.Snapshot.Index > 0 || len(s.Snapshot.Membership.Members) > 0 {
		if err := s.Snapshot.Membership.validate(); err != nil {
			return err
		}
	}
	before := Message{Index: s.Snapshot.Index, LogTerm: s.Snapshot.Term, Term: maxNumber, Entries: s.Entries}
	return before.validateEntries()
}

// normalized returns the state without entries that the snapshot covers, and without those of a log that the snapshot
// has replaced. A crash between the write of a snapshot and the removal of the log leaves such entries.
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
