package consensus

import (
	"math"
	"math/rand/v2"
	"time"
)

// Never is what Next returns while nothing is due.
const Never = time.Duration(math.MaxInt64)

const (
	// pausedElectionTimeouts is how many election times between two calls of a Machine mean that its process stood still: it is
	// called more often than that, unless it is cut off.
	pausedElectionTimeouts = 2
	// staleInputHeartbeats is for how many heartbeats what comes after a stand-still may have waited.
	staleInputHeartbeats = 2
)

// leaseMarginDivisor is the part of an election time by which a lease ends early, for clocks that differ in rate.
const leaseMarginDivisor = 10

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
func (state PersistentState) normalized() PersistentState {
	for len(state.Entries) > 0 && state.Entries[0].Index <= state.Snapshot.Index {
		if state.Entries[0].Index == state.Snapshot.Index && state.Entries[0].Term != state.Snapshot.Term {
			state.Entries = nil
			break
		}
		state.Entries = state.Entries[1:]
	}
	if len(state.Entries) > 0 && state.Entries[0].Index != state.Snapshot.Index+1 {
		state.Entries = nil
	}
	return state
}

// advanceClock moves the time on. After a long gap the process may have stood still, and what comes first may have waited for
// it: that says nothing of how things are now.
func (n *Node) advanceClock(now time.Duration) {
	if now-n.now > pausedElectionTimeouts*n.config.ElectionTimeout {
		n.staleInputUntil = now + staleInputHeartbeats*n.config.HeartbeatInterval
	}
	n.now = max(n.now, now)
}

// lastCaughtUp is when this replica last held all that a leader which a majority follows had committed. A leader knows how far
// that is once it has committed an entry of its term.
func (n *Node) lastCaughtUp() time.Duration {
	if n.role == Leader && n.committedInTerm() {
		return max(n.caughtUpAt, time.Duration(n.leaderState.confirmedRound))
	}
	return n.caughtUpAt
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

// Status describes the replica as it stands.
func (n *Node) Status() Status {
	status := Status{ID: n.config.ID, Role: n.role, Term: n.term, Leader: n.leaderID, Commit: n.log.commit,
		Applied: n.log.applied, LastIndex: n.log.lastIndex(), Membership: n.membership(),
		MembershipIndex: n.log.lastMembership().index, LastLeaderContact: n.lastLeaderContact,
		CaughtUpAt: n.lastCaughtUp()}
	if n.role != Leader {
		return status
	}
	status.LeaseExpiry = n.LeaseExpiry()
	status.Transferring = n.leaderState.transferee != 0
	status.LastLeaderContact = time.Duration(n.leaderState.confirmedRound)
	status.Match = map[ReplicaID]uint64{n.config.ID: n.log.durable}
	status.LastContact = map[ReplicaID]time.Duration{}
	for _, peer := range n.leaderState.peers {
		status.Match[peer.id] = peer.match
		status.LastContact[peer.id] = peer.lastContact
	}
	return status
}

// Leader is who leads as far as this replica knows, 0: not known.
func (n *Node) Leader() ReplicaID { return n.leaderID }

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
