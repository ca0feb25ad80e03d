package consensus

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// pausedElectionTimeouts is how many election times between two calls of a Machine mean that its process stood still: it is
	// called more often than that, unless it is cut off.
	pausedElectionTimeouts = 2
	// staleInputHeartbeats is for how many heartbeats what comes after a stand-still may have waited.
	staleInputHeartbeats = 2
)

// Never is what Next returns while nothing is due.
const Never = time.Duration(math.MaxInt64)

// Node is one replica. It is not safe for concurrent use. Times are of a steady clock and never go back; the clocks
// of two replicas need not agree, but must run at the same rate within a tenth.
type Node struct {
	config   Config
	random   *rand.Rand
	now      time.Duration
	disabled bool // what was stored made no sense

	term     uint64
	vote     ReplicaID
	role     Role
	leaderID ReplicaID
	log      raftLog

	electionDeadline  time.Duration
	failedElections   int           // elections in a row that led to nothing
	lastLeaderContact time.Duration // when the leader was last heard
	caughtUpAt        time.Duration // when this replica last held all that the leader had committed; of a leader: see current
	staleInputUntil   time.Duration // messages that come before may be old: the process stood still
	refuseVotesUntil  time.Duration // no vote is given before, because of a leader that may hold a lease
	noCampaignUntil   time.Duration // this replica does not stand for election before
	grantedBy         []ReplicaID   // votes or pre-votes for this replica
	lastLeader        ReplicaID     // the leader that was heard at lastLeaderContact
	preVoteStartedAt  time.Duration // when this replica began to ask for pre-votes
	preVoteDuration   time.Duration // from asking for pre-votes to a majority, when last measured
	lastYield         preVoteYield

	leaderState leaderState // of a leader

	lastHardState    HardState
	persistedTerm    uint64
	readySequence    uint64
	compactRequested uint64
	messages         []Message
	earlyMessages    []Message
	readStates       []ReadState
}

// New returns a replica that goes on from what was stored; the state machine is at s.Snapshot.Index. What was stored has
// to be synced: what a process left unsynced when it was killed could still be lost after it was read. The replica is
// silent for good if s.Check does not hold.
func New(now time.Duration, config Config, state PersistentState) *Node {
	state = state.normalized()
	n := &Node{config: config, now: now, random: rand.New(rand.NewPCG(config.Seed, uint64(config.ID)))}
	if state.Validate() != nil {
		n.disabled = true
		state = PersistentState{}
	}
	n.log = newLog(state)
	n.term, n.vote = state.HardState.Term, state.HardState.Vote
	if lastTerm := n.log.lastTerm(); lastTerm > n.term {
		n.term, n.vote = lastTerm, 0
	}
	n.persistedTerm = state.HardState.Term
	n.lastHardState = state.HardState
	if n.term > 0 {
		n.refuseVotesUntil = now + config.ElectionTimeout // it may have confirmed a leader just before it ended
	}
	n.resetElectionTimer()
	return n
}

// advanceClock moves the time on. After a long gap the process may have stood still, and what comes first may have waited for
// it: that says nothing of how things are now.
func (n *Node) advanceClock(now time.Duration) {
	if now-n.now > pausedElectionTimeouts*n.config.ElectionTimeout {
		n.staleInputUntil = now + staleInputHeartbeats*n.config.HeartbeatInterval
	}
	n.now = max(n.now, now)
}

// Tick does what is due.
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

// NextTick is when Tick is due, or Never. It may change with each call of another method.
func (n *Node) NextTick() time.Duration {
	if n.disabled {
		return Never
	}
	if n.role == Leader {
		return n.leaderDeadline()
	}
	return n.campaignDeadline()
}

// Step takes a message. Messages that make no sense are left out.
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

// handleReply takes an answer of a member to what this replica sent.
func (n *Node) handleReply(msg Message) {
	if !n.membership().has(msg.From) {
		return
	}
	future := msg.Kind == MessagePreVoteReply && !msg.Reject // for a term that nobody is in yet
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

// Propose appends a command to a leader's log. It is agreed on once it comes back in Ready.Committed at this index with
// this term; another entry there means that it was lost.
func (n *Node) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	n.advanceClock(now)
	if n.role != Leader || n.leaderState.transferee != 0 {
		return 0, 0, n.notLeaderError()
	}
	index = n.appendEntry(EntryCommand, data)
	return index, n.term, nil
}

func (n *Node) notLeaderError() *NotLeaderError {
	if n.role == Leader {
		return &NotLeaderError{} // about to hand over
	}
	return &NotLeaderError{Leader: n.leaderID}
}

// send queues a message that rests on what is yet to be written.
func (n *Node) send(msg Message) {
	msg.From = n.config.ID
	if msg.Term == 0 {
		msg.Term = n.term
	}
	n.messages = append(n.messages, msg)
}

// sendEarly queues a message of a leader, which does not rest on what is yet to be written: a leader's term is on disk.
func (n *Node) sendEarly(msg Message) {
	msg.From, msg.Term = n.config.ID, n.term
	n.earlyMessages = append(n.earlyMessages, msg)
}
