// Package consensus has replicas agree on a sequence of entries: leader election with pre-votes, log replication,
// changes of membership, by single steps or through joint
// consensus, with learners, snapshots, linearizable reads and transfer of leadership. It is a pure
// state machine after the Raft protocol (Ongaro and Ousterhout, 2014): messages and time go in, messages and writes come
// out. It does no I/O, has no clock, and draws its random numbers from a given seed.
package consensus

import (
	"fmt"
	"time"
)

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

// Member is a replica of a group.
type Member struct {
	ID      ReplicaID
	Node    string // machine
	Zone    string
	Address string // of its control RPC, host:port
	Voter   bool   // false: a learner, which is sent the log and has no vote
	// Outgoing: it votes in the voter set that a joint membership is leaving; see Membership.
	Outgoing bool
}

// HasVote tells whether the member votes, in either voter set of a joint membership.
func (m Member) HasVote() bool { return m.Voter || m.Outgoing }

// Membership is who takes part in a group. It is joint while any member is Outgoing: then elections and entries need a
// majority of the outgoing voter set and one of the incoming set, which are the members with Voter.
type Membership struct{ Members []Member }

// HardState is what a replica must not forget; it is written before any message that rests on it is sent.
type HardState struct {
	Term   uint64
	Vote   ReplicaID
	Commit uint64
}

// Snapshot stands for the log up to and including Index.
type Snapshot struct {
	Index, Term uint64
	Membership  Membership
	Data        []byte
}

// PersistentState is what a replica finds on its disk when it starts.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot // Index 0: none, Membership is then the founding one
	Entries   []Entry  // contiguous, the first one after the snapshot
}

// Config are a replica's. Times are steady.
type Config struct {
	ID                ReplicaID
	HeartbeatInterval time.Duration // between two messages of an idle leader
	ElectionTimeout   time.Duration // without a leader after which a replica stands for election, at least; up to twice as long
	Seed              uint64
	// MaxAppendBytes bounds the data of entries in one message; MaxInflightAppends the unanswered appends to one replica.
	MaxAppendBytes, MaxInflightAppends int
	// SnapshotThreshold is how many applied entries are kept before the driver is asked to compact (see Ready.Compact).
	SnapshotThreshold uint64
}

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

// Role is what a replica is at present.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

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

// NotLeaderError says that the replica does not lead; Leader is who does, 0 if that is not known.
type NotLeaderError struct{ Leader ReplicaID }

// Error says what happened.
func (e *NotLeaderError) Error() string { return "consensus: this replica does not lead its group" }

// Status describes a replica.
type Status struct {
	ID         ReplicaID
	Role       Role
	Term       uint64
	Leader     ReplicaID // 0: not known
	Commit     uint64
	Applied    uint64 // last index returned in Ready.Committed or Ready.Snapshot
	LastIndex  uint64
	Membership Membership // the newest, which may not be committed yet
	// MembershipIndex is the entry that brought Membership, or the snapshot; it is committed if it is not above Commit.
	MembershipIndex uint64
	// LeaseExpiry of a leader: while the time is below it and this status is the newest, no other replica can be leader.
	LeaseExpiry  time.Duration
	Transferring bool // a leader that hands leadership over takes no proposals
	// LastLeaderContact is when this replica last heard the leader; a leader's is when its last confirmed round began.
	LastLeaderContact time.Duration
	// CaughtUpAt is when this replica last held all that the leader had committed, as far as the leader said, once that had
	// committed an entry of its term; a leader's is LastLeaderContact from then on. A replica that catches up hears its leader and
	// is not current, nor is one that has just stood still before it has heard anew.
	CaughtUpAt  time.Duration
	Match       map[ReplicaID]uint64        // of a leader: up to where each member surely holds the log
	LastContact map[ReplicaID]time.Duration // of a leader: when each other member last answered
}

// InvalidMembershipError says that a change of membership is not allowed.
type InvalidMembershipError struct{ Reason string }

// Error says what happened.
func (e *InvalidMembershipError) Error() string {
	return "consensus: membership not changed: " + e.Reason
}

// LearnerBehindError says that a learner can't be made a voter yet: wait until its log has caught up.
type LearnerBehindError struct {
	ID            ReplicaID
	Match, Target uint64 // index that it surely holds, and one that it has to reach in time
}

// Error says what happened.
func (e *LearnerBehindError) Error() string {
	return fmt.Sprintf("consensus: replica %d holds the log up to %d and still has to catch up to %d; wait", e.ID, e.Match,
		e.Target)
}

// PendingMembershipChangeError says that a change of membership is under way.
type PendingMembershipChangeError struct{}

// Error says what happened.
func (e *PendingMembershipChangeError) Error() string {
	return "consensus: a change of membership is under way"
}
