package consensus

import (
	"math"
	"math/rand/v2"
	"time"
)

// Never is what Next returns while nothing is due.
const Never = time.Duration(math.MaxInt64)

const (
	// sleptElections is how many election times between two calls of a Machine mean that its process stood still: it is
	// called more often than that, unless it is cut off.
	sleptElections = 2
	// doubtHeartbeats is for how many heartbeats what comes after a stand-still may have waited.
	doubtHeartbeats = 2
)

// leaseMarginPart is the part of an election time by which a lease ends early, for clocks that differ in rate.
const leaseMarginPart = 10

// Node is one replica. It is not safe for concurrent use. Times are of a steady clock and never go back; the clocks
// of two replicas need not agree, but must run at the same rate within a tenth.
type Node struct {
	options Config
	random  *rand.Rand
	now     time.Duration
	mute    bool // what was stored made no sense

	term   uint64
	vote   ReplicaID
	role   Role
	leader ReplicaID
	log    replicaLog

	electionDue   time.Duration
	attempts      int           // elections in a row that led to nothing
	heardAt       time.Duration // when the leader was last heard
	currentAt     time.Duration // when this replica last held all that the leader had committed; of a leader: see current
	doubtUntil    time.Duration // messages that come before may be old: the process stood still
	refuseUntil   time.Duration // no vote is given before, because of a leader that may hold a lease
	noLeaderUntil time.Duration // this replica does not stand for election before
	granted       []ReplicaID   // votes or pre-votes for this replica
	heardFrom     ReplicaID     // the leader that was heard at heardAt
	askedAt       time.Duration // when this replica began to ask for pre-votes
	voteTook      time.Duration // from asking for pre-votes to a majority, when last measured
	yielded       yield

	leading leadership // of a leader

	handedHard    HardState
	persistedTerm uint64
	readies       uint64
	compactAsked  uint64
	messages      []Message
	early         []Message
	readStates    []ReadState
}

// New returns a replica that goes on from what was stored; the state machine is at s.Snapshot.Index. What was stored has
// to be synced: what a process left unsynced when it was killed could still be lost after it was read. The replica is
// silent for good if s.Check does not hold.
func New(now time.Duration, o Config, s PersistentState) *Node {
	s = s.tidied()
	m := &Node{options: o, now: now, random: rand.New(rand.NewPCG(o.Seed, uint64(o.ID)))}
	if s.Validate() != nil {
		m.mute = true
		s = PersistentState{}
	}
	m.log = newLog(s)
	m.term, m.vote = s.HardState.Term, s.HardState.Vote
	if lastTerm := m.log.lastTerm(); lastTerm > m.term {
		m.term, m.vote = lastTerm, 0
	}
	m.persistedTerm = s.HardState.Term
	m.handedHard = s.HardState
	if m.term > 0 {
		m.refuseUntil = now + o.ElectionTimeout // it may have confirmed a leader just before it ended
	}
	m.resetElection()
	return m
}

// Validate tells what does not make sense in what was stored.
func (s PersistentState) Validate() error {
	if s.Snapshot.Index > 0 || len(s.Snapshot.Membership.Members) > 0 {
		if err := s.Snapshot.Membership.check(); err != nil {
			return err
		}
	}
	before := Message{Index: s.Snapshot.Index, LogTerm: s.Snapshot.Term, Term: mostNumber, Entries: s.Entries}
	return before.checkEntries()
}

// tidied leaves out entries that the snapshot holds, or that stem from a log that it replaced.
func (s PersistentState) tidied() PersistentState {
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

// advance moves the time on. After a long gap the process may have stood still, and what comes first may have waited for
// it: that says nothing of how things are now.
func (m *Node) advance(now time.Duration) {
	if now-m.now > sleptElections*m.options.ElectionTimeout {
		m.doubtUntil = now + doubtHeartbeats*m.options.HeartbeatInterval
	}
	m.now = max(m.now, now)
}

// current is when this replica last held all that a leader which a majority follows had committed. A leader knows how far
// that is once it has committed an entry of its term.
func (m *Node) current() time.Duration {
	if m.role == Leader && m.committedInTerm() {
		return max(m.currentAt, time.Duration(m.leading.confirmed))
	}
	return m.currentAt
}

// Tick does what is due.
func (m *Node) Tick(now time.Duration) {
	m.advance(now)
	if m.mute {
		return
	}
	if m.role == Leader {
		m.tickLeader()
		return
	}
	if m.now >= m.campaignDue() {
		m.campaign()
	}
}

// NextTick is when Tick is due, or Never. It may change with each call of another method.
func (m *Node) NextTick() time.Duration {
	if m.mute {
		return Never
	}
	if m.role == Leader {
		return m.leaderDue()
	}
	return m.campaignDue()
}

// Step takes a message. Messages that make no sense are left out.
func (m *Node) Step(now time.Duration, msg Message) {
	m.advance(now)
	if m.mute || msg.To != m.options.ID || msg.From == m.options.ID || msg.From == 0 || msg.check() != nil {
		return
	}
	switch msg.Kind {
	case MessagePreVote:
		m.handlePreVote(msg)
	case MessageVote:
		m.handleVote(msg)
	case MessageAppend, MessageInstallSnapshot:
		m.handleLeader(msg)
	case MessageTimeoutNow:
		m.handleTimeoutNow(msg)
	case MessagePreVoteReply, MessageVoteReply, MessageAppendReply, MessageInstallSnapshotReply:
		m.handleReply(msg)
	}
}

// handleReply takes an answer of a member to what this replica sent.
func (m *Node) handleReply(msg Message) {
	if !m.membership().has(msg.From) {
		return
	}
	future := msg.Kind == MessagePreVoteReply && !msg.Reject // for a term that nobody is in yet
	if msg.Term > m.term && !future {
		m.becomeFollower(msg.Term, 0)
		return
	}
	switch msg.Kind {
	case MessagePreVoteReply:
		m.handlePreVoteReply(msg)
	case MessageVoteReply:
		m.handleVoteReply(msg)
	case MessageAppendReply:
		m.handleAppendReply(msg)
	case MessageInstallSnapshotReply:
		m.handleSnapshotReply(msg)
	}
}

// Propose appends a command to a leader's log. It is agreed on once it comes back in Ready.Committed at this index with
// this term; another entry there means that it was lost.
func (m *Node) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	m.advance(now)
	if m.role != Leader || m.leading.transferee != 0 {
		return 0, 0, m.notLeader()
	}
	index = m.appendOwn(EntryCommand, data)
	return index, m.term, nil
}

func (m *Node) notLeader() *NotLeaderError {
	if m.role == Leader {
		return &NotLeaderError{} // about to hand over
	}
	return &NotLeaderError{Leader: m.leader}
}

// Status describes the replica as it stands.
func (m *Node) Status() Status {
	s := Status{ID: m.options.ID, Role: m.role, Term: m.term, Leader: m.leader, Commit: m.log.commit,
		Applied: m.log.applied, LastIndex: m.log.last(), Membership: m.membership(),
		MembershipIndex: m.log.membership().index, LastLeaderContact: m.heardAt,
		CaughtUpAt: m.current()}
	if m.role != Leader {
		return s
	}
	s.LeaseExpiry = m.LeaseExpiry()
	s.Transferring = m.leading.transferee != 0
	s.LastLeaderContact = time.Duration(m.leading.confirmed)
	s.Match = map[ReplicaID]uint64{m.options.ID: m.log.durable}
	s.LastContact = map[ReplicaID]time.Duration{}
	for _, p := range m.leading.peers {
		s.Match[p.id] = p.match
		s.LastContact[p.id] = p.answeredAt
	}
	return s
}

// Leader is who leads as far as this replica knows, 0: not known.
func (m *Node) Leader() ReplicaID { return m.leader }

// send queues a message that rests on what is yet to be written.
func (m *Node) send(msg Message) {
	msg.From = m.options.ID
	if msg.Term == 0 {
		msg.Term = m.term
	}
	m.messages = append(m.messages, msg)
}

// sendEarly queues a message of a leader, which does not rest on what is yet to be written: a leader's term is on disk.
func (m *Node) sendEarly(msg Message) {
	msg.From, msg.Term = m.options.ID, m.term
	m.early = append(m.early, msg)
}
