package consensus

import "time"

// TransferLeadership has a leader hand over to a voter, 0: to the one that is best caught up. It takes no proposals
// until the other leads or an election time has passed. Its lease ends for good once the other was told to take over.
func (m *Node) TransferLeadership(now time.Duration, to ReplicaID) {
	m.advance(now)
	if m.role != Leader || m.leading.transferee != 0 {
		return
	}
	if to == 0 {
		to = m.heir()
	}
	if to == 0 || to == m.options.ID || !m.membership().votes(to) {
		return
	}
	m.leading.transferee = to
	m.leading.transferEnds = m.now + m.options.ElectionTimeout
}

// StepDown has this replica not lead for some election times, because its disk fails or its process stops. A leader
// hands over to another voter if one answers, and else just ceases to lead.
func (m *Node) StepDown(now time.Duration) {
	m.advance(now)
	m.noLeaderUntil = m.now + stepDownElections*m.options.ElectionTimeout
	if m.role == PreCandidate || m.role == Candidate {
		m.becomeFollower(m.term, 0)
		return
	}
	if m.role != Leader {
		return
	}
	m.TransferLeadership(now, 0)
	if m.leading.transferee == 0 {
		m.becomeFollower(m.term, 0)
	}
}

// heir is the voter that holds most of the log among those that have answered of late.
func (m *Node) heir() ReplicaID {
	var best *peer
	for _, p := range m.leading.peers {
		if !m.membership().votes(p.id) || m.now-p.answeredAt >= m.options.ElectionTimeout {
			continue
		}
		if best == nil || p.match > best.match || p.match == best.match && p.answeredAt > best.answeredAt {
			best = p
		}
	}
	if best == nil {
		return 0
	}
	return best.id
}

// flushTransfer tells the transferee to take over once it holds the whole log.
func (m *Node) flushTransfer() {
	p := m.peer(m.leading.transferee)
	if p == nil || m.leading.handedOver || p.match < m.log.last() {
		return
	}
	m.leading.handedOver = true
	m.sendEarly(Message{Kind: MessageTimeoutNow, To: p.id})
}

// endTransfer is called when the transferee has not taken over in time.
func (m *Node) endTransfer() {
	if m.now < m.noLeaderUntil {
		m.becomeFollower(m.term, 0)
		return
	}
	if m.leading.handedOver && m.mayLead() {
		m.stand(true) // in this term the transferee may still call an election at any time, so that no lease is sure
		return
	}
	m.leading.transferee = 0
}

// handleTimeoutNow stands for election at once.
func (m *Node) handleTimeoutNow(msg Message) {
	if msg.Term != m.term || m.role == Leader || m.leader != msg.From {
		return
	}
	if m.now < m.noLeaderUntil || !m.mayLead() {
		return
	}
	m.attempts = 0
	m.stand(true)
}
