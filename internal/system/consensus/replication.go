package consensus

import (
	"slices"
	"time"
)

// snapshotResendElectionTimeouts is after how many election times a snapshot without an answer is sent again.
const snapshotResendElectionTimeouts = 2

// leaderState is what only a leader knows.
type leaderState struct {
	peers             []*progress // the other members, in the order of the membership
	removed           []*progress // removed by a membership that is not committed yet
	heartbeatDeadline time.Duration

	round          uint64 // of the messages sent last, see startReadRound
	readRound      uint64 // last round that was begun for reads
	confirmedRound uint64 // last round that a majority answered
	reads          []pendingRead

	transferee       ReplicaID
	transferDeadline time.Duration
	timeoutNowSent   bool // the transferee was told to take over: there is no lease in this term any more
}

// progressState says how entries are sent to a member.
type progressState uint8

const (
	stateProbe     progressState = iota // one append at a time, until it is known where the logs agree
	stateReplicate                      // appends follow each other without waiting, up to Options.MaxInflightAppends
	stateSnapshot                       // a snapshot is on its way
)

// progress is another member as its leader knows it.
type progress struct {
	id              ReplicaID
	state           progressState
	match           uint64 // it surely holds the log up to here
	next            uint64 // entry to be sent next
	sentCommit      uint64 // commit that it was told
	probeSent       bool   // probing: an append is under way
	heartbeatWanted bool   // an append is wanted, even an empty one
	inflights       []uint64
	lastSentAt      time.Duration // of the last append that is answered
	snapshotSentAt  time.Duration
	lastContact     time.Duration
	ackedRound      uint64 // last one answered

	// How fast it catches up: goal was the end of the log at catchUpStartedAt; lag is how long it took to reach the one before.
	catchUpTarget    uint64
	catchUpStartedAt time.Duration
	catchUpDuration  time.Duration
}

func (p *progress) becomeProbe(next uint64) {
	p.state = stateProbe
	p.next = next
	p.probeSent = false
	p.inflights = nil
}

func (p *progress) becomeReplicate() {
	p.state = stateReplicate
	p.next = p.match + 1
	p.inflights = nil
}

func (p *progress) becomeSnapshot(now time.Duration) {
	p.state = stateSnapshot
	p.snapshotSentAt = now
	p.inflights = nil
}

// freeInflights frees the appends that end up to an index.
func (p *progress) freeInflights(index uint64) {
	freed := 0
	for freed < len(p.inflights) && p.inflights[freed] <= index {
		freed++
	}
	p.inflights = p.inflights[freed:]
}

// updateCatchUp notes how long it took to reach the goal, and sets the next one.
func (p *progress) updateCatchUp(last uint64, now time.Duration) {
	if p.match < p.catchUpTarget {
		return
	}
	p.catchUpDuration = now - p.catchUpStartedAt
	p.catchUpTarget = last
	p.catchUpStartedAt = now
}

// keepsUp tells whether a member is behind the end of the log by less than a span of time.
func (p *progress) keepsUp(now, span time.Duration) bool {
	return p.catchUpDuration < span && now-p.catchUpStartedAt < span
}

func (n *Node) progressOf(id ReplicaID) *progress {
	for _, peer := range n.leaderState.peers {
		if peer.id == id {
			return peer
		}
	}
	return nil
}

// quorumValue is the largest value that more than half of the voters reach: of a joint membership, more than half of each
// of its voter sets.
func (n *Node) quorumValue(value func(ReplicaID) uint64) uint64 {
	membership := n.membership()
	reached := membership.majorityValue(incoming, value)
	if membership.Joint() {
		reached = min(reached, membership.majorityValue(outgoing, value))
	}
	return reached
}

// majorityValue is the largest value that more than half of a voter set reach.
func (m Membership) majorityValue(inSet func(*Member) bool, value func(ReplicaID) uint64) uint64 {
	var buffer [16]uint64
	values := buffer[:0]
	for i := range m.Members {
		if inSet(&m.Members[i]) {
			values = append(values, value(m.Members[i].ID))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// becomeLeader begins a leadership with an entry of the new term, which commits all that stands before it.
func (n *Node) becomeLeader() {
	granted := n.grantedBy
	n.role = Leader
	n.leaderID = n.config.ID
	n.failedElections = 0
	n.grantedBy = nil
	n.leaderState = leaderState{heartbeatDeadline: n.now + n.config.HeartbeatInterval}
	n.syncProgress()
	n.backdatePredecessorContact(granted)
	n.appendEntry(EntryCommand, nil)
}

// backdatePredecessorContact dates the last word of the leader before, which this replica knows as its follower, unless that
// one has just voted. All other members are taken for present until they are silent.
func (n *Node) backdatePredecessorContact(granted []ReplicaID) {
	if peer := n.progressOf(n.lastLeader); peer != nil && n.lastLeaderContact > 0 && !slices.Contains(granted, peer.id) {
		peer.lastContact = n.lastLeaderContact
	}
}

// appendEntry appends an entry of a leader.
func (n *Node) appendEntry(kind EntryKind, data []byte) uint64 {
	entry := Entry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.append([]Entry{entry})
	if kind == EntryMembership {
		n.syncProgress()
	}
	return entry.Index
}

func (n *Node) tickLeader() {
	if n.now >= n.quorumDeadline() {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.leaderState.transferee != 0 && n.now >= n.leaderState.transferDeadline {
		n.abortTransfer()
		return
	}
	if n.now < n.leaderState.heartbeatDeadline {
		return
	}
	n.leaderState.heartbeatDeadline = n.now + n.config.HeartbeatInterval
	for _, peer := range n.leaderState.peers {
		peer.heartbeatWanted = peer.heartbeatWanted || n.now-peer.lastSentAt > n.config.HeartbeatInterval/2
	}
}

func (n *Node) leaderDeadline() time.Duration {
	due := min(n.leaderState.heartbeatDeadline, n.quorumDeadline())
	if n.leaderState.transferee != 0 {
		due = min(due, n.leaderState.transferDeadline)
	}
	return due
}

// quorumDeadline is when this leader gives up unless a majority answers before.
func (n *Node) quorumDeadline() time.Duration {
	answered := n.quorumValue(func(id ReplicaID) uint64 {
		if id == n.config.ID {
			return uint64(max(n.now, 0))
		}
		if peer := n.progressOf(id); peer != nil {
			return uint64(max(peer.lastContact, 0))
		}
		return 0
	})
	return time.Duration(answered) + n.config.ElectionTimeout
}

// flushMessages makes a leader's messages out of what has come together since the last time.
func (n *Node) flushMessages() {
	if n.role != Leader {
		return
	}
	n.startReadRound()
	for _, peer := range n.leaderState.peers {
		n.flushPeer(peer)
	}
	if n.leaderState.transferee != 0 {
		n.sendTimeoutNow()
	}
	n.updateConfirmedRound() // a group of one confirms itself
}

func (n *Node) flushPeer(peer *progress) {
	for n.canSendEntries(peer) {
		n.sendEntries(peer)
	}
	if n.snapshotTimedOut(peer) {
		n.sendSnapshot(peer)
	}
	if peer.heartbeatWanted {
		n.sendHeartbeat(peer)
	}
	if peer.state == stateReplicate && peer.sentCommit < min(n.log.commit, peer.next-1) {
		n.sendAppend(peer, peer.next-1, nil, 0)
	}
}

// snapshotTimedOut tells whether a member that is there has not answered a snapshot for long.
func (n *Node) snapshotTimedOut(peer *progress) bool {
	return peer.state == stateSnapshot && n.now-peer.snapshotSentAt >= snapshotResendElectionTimeouts*n.config.ElectionTimeout &&
		n.now-peer.lastContact < n.config.ElectionTimeout
}

func (n *Node) canSendEntries(peer *progress) bool {
	switch peer.state {
	case stateProbe:
		return !peer.probeSent
	case stateReplicate:
		return peer.next <= n.log.lastIndex() && len(peer.inflights) < max(n.config.MaxInflightAppends, 1)
	default:
		return false
	}
}

// sendEntries sends the next entries to a member, or a snapshot where the log no longer holds them.
func (n *Node) sendEntries(peer *progress) {
	if _, known := n.log.term(peer.next - 1); !known {
		n.sendSnapshot(peer)
		return
	}
	entries := n.log.slice(peer.next, n.config.MaxAppendBytes)
	n.sendAppend(peer, peer.next-1, entries, n.leaderState.round)
	peer.heartbeatWanted = false
	if peer.state == stateProbe {
		peer.probeSent = true
		return
	}
	peer.next += uint64(len(entries))
	peer.inflights = append(peer.inflights, peer.next-1)
}

// sendHeartbeat sends an append without entries, which also finds out whether earlier ones were lost.
func (n *Node) sendHeartbeat(peer *progress) {
	peer.heartbeatWanted = false
	index := peer.next - 1
	if peer.state == stateSnapshot {
		index = peer.match
	}
	if _, known := n.log.term(index); !known {
		index = 0 // where all logs agree
		n.resumeProbing(peer)
	}
	n.sendAppend(peer, index, nil, n.leaderState.round)
}

// resumeProbing begins anew, once it answers, with a member that fell behind the start of the log while appends to it were
// under way.
func (n *Node) resumeProbing(peer *progress) {
	if peer.state != stateSnapshot {
		peer.becomeProbe(peer.match + 1)
		peer.probeSent = true
	}
}

func (n *Node) sendAppend(peer *progress, index uint64, entries []Entry, round uint64) {
	term, _ := n.log.term(index) // 0 at the start
	n.sendEarly(Message{Kind: MessageAppend, To: peer.id, Index: index, LogTerm: term, Commit: n.log.commit, Entries: entries,
		Round: round})
	peer.sentCommit = max(peer.sentCommit, min(n.log.commit, index+uint64(len(entries))))
	if round > 0 {
		peer.lastSentAt = n.now
	}
}

func (n *Node) sendSnapshot(peer *progress) {
	snapshot := n.log.snapshot
	peer.becomeSnapshot(n.now)
	n.sendEarly(Message{Kind: MessageInstallSnapshot, To: peer.id, Snapshot: &snapshot, Commit: n.log.commit,
		Round: n.leaderState.round})
}

// handleLeaderMessage takes a message that only a leader sends.
func (n *Node) handleLeaderMessage(msg Message) {
	if msg.Term < n.term {
		// Its sender learns of the newer term and gives up.
		n.send(Message{Kind: MessageAppendReply, To: msg.From, Reject: true})
		return
	}
	if msg.Term > n.term {
		n.becomeFollower(msg.Term, msg.From)
	}
	if n.role == Leader || n.leaderID != 0 && n.leaderID != msg.From {
		return // there is one leader a term
	}
	n.recordLeaderContact(msg.From)
	if msg.Kind == MessageAppend {
		n.handleAppend(msg)
	} else {
		n.handleInstallSnapshot(msg)
	}
	// A leader knows how far the log is committed once it has committed an entry of its term.
	if n.log.commit >= msg.Commit && n.committedInTerm() && n.now >= n.staleInputUntil {
		n.caughtUpAt = n.now
	}
}

// handleAppend takes a leader's entries if they follow an entry that both have.
func (n *Node) handleAppend(msg Message) {
	index, entries := msg.Index, msg.Entries
	if index < n.log.commit {
		// What is committed is the same everywhere.
		skip := min(uint64(len(entries)), n.log.commit-index)
		index += skip
		if index < n.log.commit {
			n.sendAppendReply(msg, n.log.commit)
			return
		}
		if !n.log.matchTerm(index, entries[skip-1].Term) {
			return
		}
		entries = entries[skip:]
	} else if !n.log.matchTerm(index, msg.LogTerm) {
		n.sendAppendRejection(msg)
		return
	}
	n.log.merge(entries)
	last := index + uint64(len(entries))
	n.log.commitTo(min(msg.Commit, last))
	n.sendAppendReply(msg, last)
}

func (n *Node) sendAppendReply(msg Message, index uint64) {
	if msg.Round == 0 && len(msg.Entries) == 0 {
		return
	}
	n.send(Message{Kind: MessageAppendReply, To: msg.From, Index: index, Round: msg.Round})
}

// sendAppendRejection tells the leader where the logs may agree, passing over whole terms.
func (n *Node) sendAppendRejection(msg Message) {
	hint, term := n.log.findConflictByTerm(msg.Index, msg.LogTerm)
	n.send(Message{Kind: MessageAppendReply, To: msg.From, Index: msg.Index, LogTerm: term, Reject: true, RejectHint: hint,
		Round: msg.Round})
}

// handleInstallSnapshot replaces log and state unless the log holds all of the snapshot already.
func (n *Node) handleInstallSnapshot(msg Message) {
	snapshot := *msg.Snapshot
	switch {
	case snapshot.Index <= n.log.commit:
	case n.log.matchTerm(snapshot.Index, snapshot.Term):
		n.log.commitTo(snapshot.Index)
	default:
		n.log.restore(snapshot)
	}
	n.send(Message{Kind: MessageInstallSnapshotReply, To: msg.From, Index: n.log.commit, Round: msg.Round})
}

// recordReply notes that a member has answered in this leader's term.
func (n *Node) recordReply(msg Message) *progress {
	peer := n.progressOf(msg.From)
	if n.role != Leader || msg.Term != n.term || peer == nil {
		return nil
	}
	peer.lastContact = n.now
	peer.ackedRound = max(peer.ackedRound, min(msg.Round, n.leaderState.round))
	n.updateConfirmedRound()
	return peer
}

func (n *Node) handleAppendReply(msg Message) {
	peer := n.recordReply(msg)
	if peer == nil || msg.Index > n.log.lastIndex() {
		return
	}
	if msg.Reject {
		n.handleAppendRejection(peer, msg)
		return
	}
	n.updateMatch(peer, msg.Index)
}

func (n *Node) handleInstallSnapshotReply(msg Message) {
	peer := n.recordReply(msg)
	if peer == nil || msg.Reject || msg.Index > n.log.lastIndex() {
		return
	}
	n.updateMatch(peer, msg.Index)
}

// updateMatch notes up to where a member holds the log.
func (n *Node) updateMatch(peer *progress, index uint64) {
	updated := index > peer.match
	peer.match = max(peer.match, index)
	peer.freeInflights(index)
	peer.updateCatchUp(n.log.lastIndex(), n.now)
	peer.next = max(peer.next, peer.match+1)
	switch peer.state {
	case stateProbe:
		if updated || peer.next == peer.match+1 {
			peer.becomeReplicate()
		}
	case stateSnapshot:
		if _, known := n.log.term(peer.match); known {
			peer.becomeReplicate()
		}
	}
	if updated {
		n.advanceCommit()
	}
}

// handleAppendRejection goes back to where a member's log may agree with this one.
func (n *Node) handleAppendRejection(peer *progress, msg Message) {
	if peer.state == stateSnapshot || msg.Index <= peer.match || peer.state == stateProbe && msg.Index != peer.next-1 {
		return // of old
	}
	hint, _ := n.log.findConflictByTerm(msg.RejectHint, msg.LogTerm)
	if msg.RejectHint < n.log.offset {
		hint = msg.RejectHint
	}
	peer.becomeProbe(max(peer.match, min(msg.Index-1, hint)) + 1)
}

// advanceCommit finds the last entry that a majority holds. Only one of this term commits, and with it all before it.
func (n *Node) advanceCommit() {
	index := n.quorumValue(func(id ReplicaID) uint64 {
		if id == n.config.ID {
			return n.log.durable
		}
		if peer := n.progressOf(id); peer != nil {
			return peer.match
		}
		return 0
	})
	if index <= n.log.commit || !n.log.matchTerm(index, n.term) {
		return
	}
	n.log.commitTo(index)
	n.completeReads()
	n.completeMembershipChange()
}
