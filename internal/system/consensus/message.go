// Package consensus has replicas agree on a sequence of entries: leader election with pre-votes, log replication,
// changes of membership, by single steps or through joint
// consensus, with learners, snapshots, linearizable reads and transfer of leadership. It is a pure
// state machine after the Raft protocol (Ongaro and Ousterhout, 2014): messages and time go in, messages and writes come
// out. It does no I/O, has no clock, and draws its random numbers from a given seed.
package consensus

import "fmt"

// MessageKind says what a message is for.
type MessageKind uint8

// The kinds of message.
const (
	MessagePreVote MessageKind = iota
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend // entries, or a heartbeat without any
	MessageAppendReply
	MessageInstallSnapshot
	MessageInstallSnapshotReply
	MessageTimeoutNow // asks its receiver to stand for election at once
)

// Message goes from one replica to another of the same group.
type Message struct {
	Kind       MessageKind
	From, To   ReplicaID
	Term       uint64
	Index      uint64 // last log index of a candidate; index before Entries; last matching index of a reply
	LogTerm    uint64 // term of the entry at Index
	Commit     uint64
	Entries    []Entry
	Snapshot   *Snapshot
	Reject     bool
	RejectHint uint64 // of a rejected append: where to try next
	// Round of an append is a number that its reply repeats, which confirms leadership for reads and leases. An append
	// without entries and with Round 0 only tells of a commit and is not answered unless it is rejected.
	Round uint64
	Force bool // of a vote: the leader asked for this election, so that its followers need not hold on to it
}

// maxNumber bounds terms and indexes, so that adding to them never wraps around.
const maxNumber = 1 << 62

// validate tells what does not make sense in a message by itself.
func (m *Message) validate() error {
	if m.Kind > MessageTimeoutNow {
		return &InvalidMessageError{Reason: fmt.Sprintf("message of unknown kind %d", m.Kind)}
	}
	if m.Term == 0 {
		return &InvalidMessageError{Reason: "message without a term"}
	}
	if max(m.Term, m.Index, m.LogTerm) > maxNumber {
		return &InvalidMessageError{Reason: "message with a term or an index that can't be"}
	}
	if m.Kind == MessageAppend {
		return m.validateEntries()
	}
	if m.Kind == MessageInstallSnapshot {
		return m.validateSnapshot()
	}
	return nil
}

// validateEntries tells what does not make sense in entries that follow Index and LogTerm.
func (m *Message) validateEntries() error {
	if (m.Index == 0) != (m.LogTerm == 0) {
		return &InvalidMessageError{Reason: "place of entries makes no sense"}
	}
	index, term := m.Index, m.LogTerm
	for _, entry := range m.Entries {
		index++
		if entry.Index != index || entry.Term < term || entry.Term == 0 || entry.Kind > EntryMembership {
			return &InvalidMessageError{Reason: fmt.Sprintf("entry %d makes no sense after entry %d", entry.Index, index-1)}
		}
		term = entry.Term
		if entry.Kind != EntryMembership {
			continue
		}
		membership, err := DecodeMembership(entry.Data)
		if err != nil {
			return err
		}
		if err := membership.validate(); err != nil {
			return err
		}
	}
	if term > m.Term {
		return &InvalidMessageError{Reason: "entries are of a later term than their sender"}
	}
	return nil
}

func (m *Message) validateSnapshot() error {
	snapshot := m.Snapshot
	if snapshot == nil || snapshot.Index == 0 || snapshot.Term == 0 || snapshot.Term > m.Term || snapshot.Index > maxNumber {
		return &InvalidMessageError{Reason: "snapshot makes no sense"}
	}
	return snapshot.Membership.validate()
}
