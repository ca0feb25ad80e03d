package consensus

import "time"

// pendingRead waits for a round that began after it came.
type pendingRead struct {
	token uint64
	index uint64 // 0: not known before the leader has committed an entry of its term
	round uint64 // any from here on will do
}

// ReadIndex asks for an index from which on the state machine shows all that was agreed on before the call. Ready.Reads
// brings it under the token, or an error if this replica does not lead.
func (m *Node) ReadIndex(now time.Duration, token uint64) {
	m.advance(now)
	if m.mute || m.role != Leader {
		m.readStates = append(m.readStates, ReadState{Token: token, Err: m.notLeader()})
		return
	}
	read := pendingRead{token: token, round: m.leading.round + 1}
	if m.committedInTerm() {
		read.index = m.log.commit
	}
	m.leading.reads = append(m.leading.reads, read)
	m.confirmRounds()
}

// committedInTerm tells whether a leader knows how far the log is committed.
func (m *Node) committedInTerm() bool {
	term, known := m.log.term(m.log.commit)
	return known && term == m.term
}

// flushRounds begins a round where a read needs one. The number of a round is the time at which it began, in
// nanoseconds, or the next one after the last round's.
func (m *Node) flushRounds() {
	l := &m.leading
	l.round = max(l.round, uint64(max(m.now, 0)))
	if len(l.reads) == 0 || l.reads[len(l.reads)-1].round <= l.asked {
		return
	}
	l.round = max(l.round, l.reads[len(l.reads)-1].round)
	l.asked = l.round
	for _, p := range l.peers {
		p.beat = p.beat || m.membership().hasVote(p.id)
	}
}

// confirmRounds finds the last round that a majority has answered.
func (m *Node) confirmRounds() {
	l := &m.leading
	confirmed := m.majority(func(id ReplicaID) uint64 {
		if id == m.options.ID {
			return l.round
		}
		if p := m.peer(id); p != nil {
			return p.round
		}
		return 0
	})
	l.confirmed = max(l.confirmed, confirmed)
	m.answerReads()
}

// answerReads answers the reads that were confirmed, in their order.
func (m *Node) answerReads() {
	l := &m.leading
	if len(l.reads) == 0 || !m.committedInTerm() {
		return
	}
	n := 0
	for n < len(l.reads) && l.reads[n].round <= l.confirmed {
		index := l.reads[n].index
		if index == 0 {
			index = m.log.commit
		}
		m.readStates = append(m.readStates, ReadState{Token: l.reads[n].token, Index: index})
		n++
	}
	l.reads = l.reads[n:]
}

// dropReads answers the pending reads with an error.
func (m *Node) dropReads() {
	for _, read := range m.leading.reads {
		m.readStates = append(m.readStates, ReadState{Token: read.token, Err: &NotLeaderError{Leader: m.leader}})
	}
	m.leading.reads = nil
}

// LeaseExpiry is until when no other replica can be leader, 0 if that is not sure; see Status.LeaseExpiry. Each follower that
// answered a round holds to this leader for an election time after it got that round's message.
func (m *Node) LeaseExpiry() time.Duration {
	l := &m.leading
	if m.role != Leader || l.handedOver || l.confirmed == 0 {
		return 0
	}
	return time.Duration(l.confirmed) + m.options.ElectionTimeout - m.options.ElectionTimeout/leaseMarginPart
}
