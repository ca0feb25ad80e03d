package consensus

import (
	"slices"
	"time"
)

// snapshotElections is after how many election times a snapshot without an answer is sent again.
const snapshotElections = 2

// leadership is what only a leader knows.
type leadership struct {
	peers        []*peer // the other members, in the order of the membership
	leaving      []*peer // removed by a membership that is not committed yet
	heartbeatDue time.Duration

	round     uint64 // of the messages sent last, see flushRounds
	asked     uint64 // last round that was begun for reads
	confirmed uint64 // last round that a majority answered
	reads     []pendingRead

	transferee   ReplicaID
	transferEnds time.Duration
	handedOver   bool // the transferee was told to take over: there is no lease in this term any more
}

// peerState says how entries are sent to a member.
type peerState uint8

const (
	probing      peerState = iota // one append at a time, until it is known where the logs agree
	replicating                   // appends follow each other without waiting, up to Options.MaxInflightAppends
	snapshotting                  // a snapshot is on its way
)

// peer is another member as its leader knows it.
type peer struct {
	id         ReplicaID
	state      peerState
	match      uint64 // it surely holds the log up to here
	next       uint64 // entry to be sent next
	told       uint64 // commit that it was told
	waiting    bool   // probing: an append is under way
	beat       bool   // an append is wanted, even an empty one
	inflight   []uint64
	sentAt     time.Duration // of the last append that is answered
	snapshotAt time.Duration
	answeredAt time.Duration
	round      uint64 // last one answered

	// How fast it catches up: goal was the end of the log at goalAt; lag is how long it took to reach the one before.
	goal   uint64
	goalAt time.Duration
	lag    time.Duration
}

func (p *peer) becomeProbing(next uint64) {
	p.state = probing
	p.next = next
	p.waiting = false
	p.inflight = nil
}

func (p *peer) becomeReplicating() {
	p.state = replicating
	p.next = p.match + 1
	p.inflight = nil
}

func (p *peer) becomeSnapshotting(now time.Duration) {
	p.state = snapshotting
	p.snapshotAt = now
	p.inflight = nil
}

// answered frees the appends that end up to an index.
func (p *peer) answered(index uint64) {
	n := 0
	for n < len(p.inflight) && p.inflight[n] <= index {
		n++
	}
	p.inflight = p.inflight[n:]
}

// reached notes how long it took to reach the goal, and sets the next one.
func (p *peer) reached(last uint64, now time.Duration) {
	if p.match < p.goal {
		return
	}
	p.lag = now - p.goalAt
	p.goal = last
	p.goalAt = now
}

// keepsUp tells whether a member is behind the end of the log by less than a span of time.
func (p *peer) keepsUp(now, span time.Duration) bool { return p.lag < span && now-p.goalAt < span }

func (m *Node) peer(id ReplicaID) *peer {
	for _, p := range m.leading.peers {
		if p.id == id {
			return p
		}
	}
	return nil
}

// majority is the largest value that more than half of the voters reach: of a joint membership, more than half of each
// of its voter sets.
func (m *Node) majority(value func(ReplicaID) uint64) uint64 {
	membership := m.membership()
	reached := membership.majorityValue(incoming, value)
	if membership.Joint() {
		reached = min(reached, membership.majorityValue(outgoing, value))
	}
	return reached
}

// majorityValue is the largest value that more than half of a voter set reach.
func (s Membership) majorityValue(set func(*Member) bool, value func(ReplicaID) uint64) uint64 {
	var space [16]uint64
	values := space[:0]
	for i := range s.Members {
		if set(&s.Members[i]) {
			values = append(values, value(s.Members[i].ID))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// becomeLeader begins a leadership with an entry of the new term, which commits all that stands before it.
func (m *Node) becomeLeader() {
	granted := m.granted
	m.role = Leader
	m.leader = m.options.ID
	m.attempts = 0
	m.granted = nil
	m.leading = leadership{heartbeatDue: m.now + m.options.HeartbeatInterval}
	m.adoptMembership()
	m.noteSilentPredecessor(granted)
	m.appendOwn(EntryCommand, nil)
}

// noteSilentPredecessor dates the last word of the leader before, which this replica knows as its follower, unless that
// one has just voted. All other members are taken for present until they are silent.
func (m *Node) noteSilentPredecessor(granted []ReplicaID) {
	if p := m.peer(m.heardFrom); p != nil && m.heardAt > 0 && !slices.Contains(granted, p.id) {
		p.answeredAt = m.heardAt
	}
}

// appendOwn appends an entry of a leader.
func (m *Node) appendOwn(kind EntryKind, data []byte) uint64 {
	entry := Entry{Index: m.log.last() + 1, Term: m.term, Kind: kind, Data: data}
	m.log.append([]Entry{entry})
	if kind == EntryMembership {
		m.adoptMembership()
	}
	return entry.Index
}

func (m *Node) tickLeader() {
	if m.now >= m.quorumEnds() {
		m.becomeFollower(m.term, 0)
		return
	}
	if m.leading.transferee != 0 && m.now >= m.leading.transferEnds {
		m.endTransfer()
		return
	}
	if m.now < m.leading.heartbeatDue {
		return
	}
	m.leading.heartbeatDue = m.now + m.options.HeartbeatInterval
	for _, p := range m.leading.peers {
		p.beat = p.beat || m.now-p.sentAt > m.options.HeartbeatInterval/2
	}
}

func (m *Node) leaderDue() time.Duration {
	due := min(m.leading.heartbeatDue, m.quorumEnds())
	if m.leading.transferee != 0 {
		due = min(due, m.leading.transferEnds)
	}
	return due
}

// quorumEnds is when this leader gives up unless a majority answers before.
func (m *Node) quorumEnds() time.Duration {
	answered := m.majority(func(id ReplicaID) uint64 {
		if id == m.options.ID {
			return uint64(max(m.now, 0))
		}
		if p := m.peer(id); p != nil {
			return uint64(max(p.answeredAt, 0))
		}
		return 0
	})
	return time.Duration(answered) + m.options.ElectionTimeout
}

// flush makes a leader's messages out of what has come together since the last time.
func (m *Node) flush() {
	if m.role != Leader {
		return
	}
	m.flushRounds()
	for _, p := range m.leading.peers {
		m.flushPeer(p)
	}
	if m.leading.transferee != 0 {
		m.flushTransfer()
	}
	m.confirmRounds() // a group of one confirms itself
}

func (m *Node) flushPeer(p *peer) {
	for m.wantsEntries(p) {
		m.sendEntries(p)
	}
	if m.snapshotLost(p) {
		m.sendSnapshot(p)
	}
	if p.beat {
		m.sendHeartbeat(p)
	}
	if p.state == replicating && p.told < min(m.log.commit, p.next-1) {
		m.sendAppend(p, p.next-1, nil, 0)
	}
}

// snapshotLost tells whether a member that is there has not answered a snapshot for long.
func (m *Node) snapshotLost(p *peer) bool {
	return p.state == snapshotting && m.now-p.snapshotAt >= snapshotElections*m.options.ElectionTimeout &&
		m.now-p.answeredAt < m.options.ElectionTimeout
}

func (m *Node) wantsEntries(p *peer) bool {
	switch p.state {
	case probing:
		return !p.waiting
	case replicating:
		return p.next <= m.log.last() && len(p.inflight) < max(m.options.MaxInflightAppends, 1)
	default:
		return false
	}
}

// sendEntries sends the next entries to a member, or a snapshot where the log no longer holds them.
func (m *Node) sendEntries(p *peer) {
	if _, known := m.log.term(p.next - 1); !known {
		m.sendSnapshot(p)
		return
	}
	entries := m.log.slice(p.next, m.options.MaxAppendBytes)
	m.sendAppend(p, p.next-1, entries, m.leading.round)
	p.beat = false
	if p.state == probing {
		p.waiting = true
		return
	}
	p.next += uint64(len(entries))
	p.inflight = append(p.inflight, p.next-1)
}

// sendHeartbeat sends an append without entries, which also finds out whether earlier ones were lost.
func (m *Node) sendHeartbeat(p *peer) {
	p.beat = false
	index := p.next - 1
	if p.state == snapshotting {
		index = p.match
	}
	if _, known := m.log.term(index); !known {
		index = 0 // where all logs agree
		m.forgetSent(p)
	}
	m.sendAppend(p, index, nil, m.leading.round)
}

// forgetSent begins anew, once it answers, with a member that fell behind the start of the log while appends to it were
// under way.
func (m *Node) forgetSent(p *peer) {
	if p.state != snapshotting {
		p.becomeProbing(p.match + 1)
		p.waiting = true
	}
}

func (m *Node) sendAppend(p *peer, index uint64, entries []Entry, round uint64) {
	term, _ := m.log.term(index) // 0 at the start
	m.sendEarly(Message{Kind: MessageAppend, To: p.id, Index: index, LogTerm: term, Commit: m.log.commit, Entries: entries,
		Round: round})
	p.told = max(p.told, min(m.log.commit, index+uint64(len(entries))))
	if round > 0 {
		p.sentAt = m.now
	}
}

func (m *Node) sendSnapshot(p *peer) {
	snapshot := m.log.snapshot
	p.becomeSnapshotting(m.now)
	m.sendEarly(Message{Kind: MessageInstallSnapshot, To: p.id, Snapshot: &snapshot, Commit: m.log.commit,
		Round: m.leading.round})
}

// handleLeader takes a message that only a leader sends.
func (m *Node) handleLeader(msg Message) {
	if msg.Term < m.term {
		// Its sender learns of the newer term and gives up.
		m.send(Message{Kind: MessageAppendReply, To: msg.From, Reject: true})
		return
	}
	if msg.Term > m.term {
		m.becomeFollower(msg.Term, msg.From)
	}
	if m.role == Leader || m.leader != 0 && m.leader != msg.From {
		return // there is one leader a term
	}
	m.heardLeader(msg.From)
	if msg.Kind == MessageAppend {
		m.handleAppend(msg)
	} else {
		m.handleSnapshot(msg)
	}
	// A leader knows how far the log is committed once it has committed an entry of its term.
	if m.log.commit >= msg.Commit && m.committedInTerm() && m.now >= m.doubtUntil {
		m.currentAt = m.now
	}
}

// handleAppend takes a leader's entries if they follow an entry that both have.
func (m *Node) handleAppend(msg Message) {
	index, entries := msg.Index, msg.Entries
	if index < m.log.commit {
		// What is committed is the same everywhere.
		skip := min(uint64(len(entries)), m.log.commit-index)
		index += skip
		if index < m.log.commit {
			m.replyAppend(msg, m.log.commit)
			return
		}
		if !m.log.matches(index, entries[skip-1].Term) {
			return
		}
		entries = entries[skip:]
	} else if !m.log.matches(index, msg.LogTerm) {
		m.rejectAppend(msg)
		return
	}
	m.log.take(entries)
	last := index + uint64(len(entries))
	m.log.commitTo(min(msg.Commit, last))
	m.replyAppend(msg, last)
}

func (m *Node) replyAppend(msg Message, index uint64) {
	if msg.Round == 0 && len(msg.Entries) == 0 {
		return
	}
	m.send(Message{Kind: MessageAppendReply, To: msg.From, Index: index, Round: msg.Round})
}

// rejectAppend tells the leader where the logs may agree, passing over whole terms.
func (m *Node) rejectAppend(msg Message) {
	hint, term := m.log.conflict(msg.Index, msg.LogTerm)
	m.send(Message{Kind: MessageAppendReply, To: msg.From, Index: msg.Index, LogTerm: term, Reject: true, RejectHint: hint,
		Round: msg.Round})
}

// handleSnapshot replaces log and state unless the log holds all of the snapshot already.
func (m *Node) handleSnapshot(msg Message) {
	s := *msg.Snapshot
	switch {
	case s.Index <= m.log.commit:
	case m.log.matches(s.Index, s.Term):
		m.log.commitTo(s.Index)
	default:
		m.log.restore(s)
	}
	m.send(Message{Kind: MessageInstallSnapshotReply, To: msg.From, Index: m.log.commit, Round: msg.Round})
}

// answer notes that a member has answered in this leader's term.
func (m *Node) answer(msg Message) *peer {
	p := m.peer(msg.From)
	if m.role != Leader || msg.Term != m.term || p == nil {
		return nil
	}
	p.answeredAt = m.now
	p.round = max(p.round, min(msg.Round, m.leading.round))
	m.confirmRounds()
	return p
}

func (m *Node) handleAppendReply(msg Message) {
	p := m.answer(msg)
	if p == nil || msg.Index > m.log.last() {
		return
	}
	if msg.Reject {
		m.handleReject(p, msg)
		return
	}
	m.matched(p, msg.Index)
}

func (m *Node) handleSnapshotReply(msg Message) {
	p := m.answer(msg)
	if p == nil || msg.Reject || msg.Index > m.log.last() {
		return
	}
	m.matched(p, msg.Index)
}

// matched notes up to where a member holds the log.
func (m *Node) matched(p *peer, index uint64) {
	updated := index > p.match
	p.match = max(p.match, index)
	p.answered(index)
	p.reached(m.log.last(), m.now)
	p.next = max(p.next, p.match+1)
	switch p.state {
	case probing:
		if updated || p.next == p.match+1 {
			p.becomeReplicating()
		}
	case snapshotting:
		if _, known := m.log.term(p.match); known {
			p.becomeReplicating()
		}
	}
	if updated {
		m.advanceCommit()
	}
}

// handleReject goes back to where a member's log may agree with this one.
func (m *Node) handleReject(p *peer, msg Message) {
	if p.state == snapshotting || msg.Index <= p.match || p.state == probing && msg.Index != p.next-1 {
		return // of old
	}
	hint, _ := m.log.conflict(msg.RejectHint, msg.LogTerm)
	if msg.RejectHint < m.log.offset {
		hint = msg.RejectHint
	}
	p.becomeProbing(max(p.match, min(msg.Index-1, hint)) + 1)
}

// advanceCommit finds the last entry that a majority holds. Only one of this term commits, and with it all before it.
func (m *Node) advanceCommit() {
	index := m.majority(func(id ReplicaID) uint64 {
		if id == m.options.ID {
			return m.log.durable
		}
		if p := m.peer(id); p != nil {
			return p.match
		}
		return 0
	})
	if index <= m.log.commit || !m.log.matches(index, m.term) {
		return
	}
	m.log.commitTo(index)
	m.answerReads()
	m.membershipCommitted()
}
