package consensus

import "fmt"

// MessageKind is the type of a message.
type MessageKind uint8

// The kinds of messages. Their values are encoded, so that their order must not change.
const (
	MessagePreVote MessageKind = iota // asks whether the receiver would vote for the sender in Term
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend // carries entries; a heartbeat carries none
	MessageAppendReply
	MessageInstallSnapshot
	MessageInstallSnapshotReply
	MessageTimeoutNow // asks the receiver to start an election at once
)

// Message is sent from one replica of a group to another. Which fields a message uses depends on its Kind.
type Message struct {
	Kind       MessageKind
	From, To   ReplicaID
	Term       uint64    // of the sender; of a pre-vote, the term that it would start
	Index      uint64    // last log index of a candidate; index before Entries; last matching index of a reply, see Reject
	LogTerm    uint64    // term of the entry at Index; of a rejected append, at RejectHint
	Commit     uint64    // commit index of the leader
	Entries    []Entry   // of an append: contiguous, from Index+1 on
	Snapshot   *Snapshot // of an install-snapshot message
	Reject     bool      // of a reply; that to an append then has the Index of the append
	RejectHint uint64    // of a rejected append: the index at which the logs may agree
	// Round of an append or a snapshot is repeated by its reply, which confirms leadership for reads and leases. An append
	// without entries and with Round 0 only announces a commit index; it is answered only by a rejection.
	Round uint64
	Force bool // of a vote: the leader has asked for this election, so that its lease need not be respected
}

// maxNumber bounds terms and indexes, so that sums with them can't overflow.
const maxNumber = 1 << 62

// validate reports why a message can't have been sent by a replica, as far as the message itself shows.
func (m *Message) validate() error {
	if m.Kind > MessageTimeoutNow {
		return &InvalidMessageError{Reason: fmt.Sprintf("message of unknown kind %d", m.Kind)}
	}
	if m.Term == 0 {
		return &InvalidMessageError{Reason: "message without a term"}
	}
	if max(m.Term, m.Index, m.LogTerm) > maxNumber {
		return &InvalidMessageError{Reason: "message with an impossible term or index"}
	}
	if m.Kind == MessageAppend {
		return m.validateEntries()
	}
	if m.Kind == MessageInstallSnapshot {
		return m.validateSnapshot()
	}
	return nil
}

// validateEntries reports why the entries can't follow the entry at Index and LogTerm.
func (m *Message) validateEntries() error {
	if (m.Index == 0) != (m.LogTerm == 0) {
		return &InvalidMessageError{Reason: "index and term before the entries contradict each other"}
	}
	index, term := m.Index, m.LogTerm
	for _, entry := range m.Entries {
		index++
		if entry.Index != index || entry.Term < term || entry.Term == 0 || entry.Kind > EntryMembership {
			return &InvalidMessageError{Reason: fmt.Sprintf("entry %d can't follow entry %d", entry.Index, index-1)}
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
		return &InvalidMessageError{Reason: "entries of a later term than their sender's"}
	}
	return nil
}

func (m *Message) validateSnapshot() error {
	snapshot := m.Snapshot
	if snapshot == nil || snapshot.Index == 0 || snapshot.Term == 0 || snapshot.Term > m.Term || snapshot.Index > maxNumber {
		return &InvalidMessageError{Reason: "snapshot with an impossible index or term"}
	}
	return snapshot.Membership.validate()
}
