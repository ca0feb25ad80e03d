package consensus

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// pausedElectionTimeouts is the gap between two calls of a Node, in election timeouts, above which its process is taken
	// to have been paused: a running process calls more often, unless it is partitioned.
	pausedElectionTimeouts = 2
	// staleInputHeartbeats is how long after a pause, in heartbeat intervals, messages may still be old ones from a queue.
	staleInputHeartbeats = 2
)

// Never is what NextTick returns while nothing is scheduled.
const Never = time.Duration(math.MaxInt64)

// Node is one replica of a group. It is not safe for concurrent use. Times are those of a monotonic clock; the clocks of
// two replicas need not agree, but their rates must not differ by more than a tenth: leases rest on that.
type Node struct {
	config   Config
	random   *rand.Rand
	now      time.Duration // the latest time passed in
	disabled bool          // the persistent state was invalid

	term     uint64
	vote     ReplicaID
	role     Role
	leaderID ReplicaID
	log      raftLog

	electionDeadline  time.Duration
	failedElections   int           // in a row
	lastLeaderContact time.Duration // when the last message of a leader was received
	lastLeader        ReplicaID     // sender of that message
	caughtUpAt        time.Duration // see Status.CaughtUpAt; of a leader also lastCaughtUp
	staleInputUntil   time.Duration // the process was paused: messages before this time may be old
	refuseVotesUntil  time.Duration // until then a leader may hold a lease that rests on this replica
	noCampaignUntil   time.Duration // until then the replica starts no election, see StepDown
	grantedBy         []ReplicaID   // who granted a vote or a pre-vote to this candidate
	preVoteStartedAt  time.Duration
	preVoteDuration   time.Duration // of the last pre-vote that was won
	lastYield         preVoteYield

	leaderState leaderState // the zero value unless role is Leader

	lastHardState    HardState // returned in a Ready last
	persistedTerm    uint64    // highest term known to be on disk
	readySequence    uint64    // of the last Ready with writes
	compactRequested uint64    // last Ready.CompactIndex
	messages         []Message // for the next Ready
	earlyMessages    []Message // for the next Ready
	readStates       []ReadState
}

// New returns a replica that continues from a persistent state; the state machine must be at state.Snapshot.Index. All
// of the state must be synced: bytes that a killed process left unsynced could still be lost after they were read. If
// state.Validate reports an error, the replica is disabled: it neither sends messages nor starts elections.
func New(now time.Duration, config Config, state PersistentState) *Node {
	state = state.normalized()
	n := &Node{config: config, now: now, random: rand.New(rand.NewPCG(config.Seed, uint64(config.ID)))}
	if state.Validate() != nil {
		n.disabled = true
		state = PersistentState{}
	}
	n.log = newLog(state)
	n.term = state.HardState.Term
	n.vote = state.HardState.Vote
	if lastTerm := n.log.lastTerm(); lastTerm > n.term {
		n.term = lastTerm
		n.vote = 0
	}
	n.persistedTerm = state.HardState.Term
	n.lastHardState = state.HardState
	if n.term > 0 {
		n.refuseVotesUntil = now + config.ElectionTimeout // it may have granted a lease just before it stopped
	}
	n.resetElectionTimer()
	return n
}

// advanceClock sets the time. After a long gap the process may have been paused and the next messages may have been
// queued meanwhile: they do not show the present state of the leader.
func (n *Node) advanceClock(now time.Duration) {
	if now-n.now > pausedElectionTimeouts*n.config.ElectionTimeout {
		n.staleInputUntil = now + staleInputHeartbeats*n.config.HeartbeatInterval
	}
	n.now = max(n.now, now)
}

// Tick does what is scheduled up to now: an election, heartbeats, or the end of a leadership without quorum.
func (n *Node) Tick(now time.Duration) {
	n.advanceClock(now)
	if n.disabled {
		return
	}
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now >= n.campaignDeadline() {
		n.startPreVote()
	}
}

// NextTick returns when Tick has to be called next, or Never. Each call of another method may change it.
func (n *Node) NextTick() time.Duration {
	if n.disabled {
		return Never
	}
	if n.role == Leader {
		return n.leaderDeadline()
	}
	return n.campaignDeadline()
}

// Step handles a message of another replica. It ignores invalid messages and those addressed to another replica.
func (n *Node) Step(now time.Duration, msg Message) {
	n.advanceClock(now)
	if n.disabled || msg.To != n.config.ID || msg.From == n.config.ID || msg.From == 0 || msg.validate() != nil {
		return
	}
	switch msg.Kind {
	case MessagePreVote:
		n.handlePreVote(msg)
	case MessageVote:
		n.handleVote(msg)
	case MessageAppend, MessageInstallSnapshot:
		n.handleLeaderMessage(msg)
	case MessageTimeoutNow:
		n.handleTimeoutNow(msg)
	case MessagePreVoteReply, MessageVoteReply, MessageAppendReply, MessageInstallSnapshotReply:
		n.handleReply(msg)
	}
}

// handleReply handles the reply of a member to a message of this replica.
func (n *Node) handleReply(msg Message) {
	if !n.membership().has(msg.From) {
		return
	}
	future := msg.Kind == MessagePreVoteReply && !msg.Reject // of a term that nobody is in yet
	if msg.Term > n.term && !future {
		n.becomeFollower(msg.Term, 0)
		return
	}
	switch msg.Kind {
	case MessagePreVoteReply:
		n.handlePreVoteReply(msg)
	case MessageVoteReply:
		n.handleVoteReply(msg)
	case MessageAppendReply:
		n.handleAppendReply(msg)
	case MessageInstallSnapshotReply:
		n.handleInstallSnapshotReply(msg)
	}
}

// Propose appends a command to the log of a leader. It is committed once Ready.CommittedEntries returns an entry of
// this index and term; an entry of another term at this index means that the command was lost. The error is a
// *NotLeaderError. data must not be changed afterwards.
func (n *Node) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	n.advanceClock(now)
	if n.role != Leader || n.leaderState.transferee != 0 {
		return 0, 0, n.notLeaderError()
	}
	index = n.appendEntry(EntryCommand, data)
	return index, n.term, nil
}

// notLeaderError names the leader, except on a leader that transfers its leadership.
func (n *Node) notLeaderError() *NotLeaderError {
	if n.role == Leader {
		return &NotLeaderError{} // transferring
	}
	return &NotLeaderError{Leader: n.leaderID}
}

// send queues a message that must not leave before the pending writes are synced.
func (n *Node) send(msg Message) {
	msg.From = n.config.ID
	if msg.Term == 0 {
		msg.Term = n.term
	}
	n.messages = append(n.messages, msg)
}

// sendEarly queues a message of a leader, which need not wait for pending writes: the leader's term is on disk.
func (n *Node) sendEarly(msg Message) {
	msg.From = n.config.ID
	msg.Term = n.term
	n.earlyMessages = append(n.earlyMessages, msg)
}
