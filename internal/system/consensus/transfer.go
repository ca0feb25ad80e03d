package consensus

import "time"

// TransferLeadership transfers the leadership to a voter; 0: to the one with the most complete log. The leader accepts
// no proposals until the transferee leads or an election timeout has passed. The leader's lease ends for good once the
// transferee is told to start its election.
func (n *Node) TransferLeadership(now time.Duration, to ReplicaID) {
	n.advanceClock(now)
	if n.role != Leader || n.leaderState.transferee != 0 {
		return
	}
	if to == 0 {
		to = n.bestTransferee()
	}
	if to == 0 || to == n.config.ID || !n.membership().isVoter(to) {
		return
	}
	n.leaderState.transferee = to
	n.leaderState.transferDeadline = n.now + n.config.ElectionTimeout
}

// StepDown keeps this replica from leading for several election timeouts, because its disk fails or its process stops.
// A leader transfers its leadership to another voter that is in contact, and otherwise resigns at once.
func (n *Node) StepDown(now time.Duration) {
	n.advanceClock(now)
	n.noCampaignUntil = n.now + stepDownElectionTimeouts*n.config.ElectionTimeout
	if n.role == PreCandidate || n.role == Candidate {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.role != Leader {
		return
	}
	n.TransferLeadership(now, 0)
	if n.leaderState.transferee == 0 {
		n.becomeFollower(n.term, 0)
	}
}

// bestTransferee returns the voter with the most complete log among those in contact within an election timeout; 0:
// none.
func (n *Node) bestTransferee() ReplicaID {
	var best *progress
	for _, peer := range n.leaderState.peers {
		if !n.membership().isVoter(peer.id) || n.now-peer.lastContact >= n.config.ElectionTimeout {
			continue
		}
		if best == nil || peer.match > best.match || peer.match == best.match && peer.lastContact > best.lastContact {
			best = peer
		}
	}
	if best == nil {
		return 0
	}
	return best.id
}

// sendTimeoutNow tells the transferee to start its election once it holds the whole log.
func (n *Node) sendTimeoutNow() {
	peer := n.progressOf(n.leaderState.transferee)
	if peer == nil || n.leaderState.timeoutNowSent || peer.match < n.log.lastIndex() {
		return
	}
	n.leaderState.timeoutNowSent = true
	n.sendEarly(Message{Kind: MessageTimeoutNow, To: peer.id})
}

// abortTransfer ends a transfer that has timed out: a leader that has to step down resigns, one that has already told the
// transferee to start its election starts one itself, and any other leads on.
func (n *Node) abortTransfer() {
	if n.now < n.noCampaignUntil {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.leaderState.timeoutNowSent && n.promotable() {
		// The transferee may still start one in this term at any time, so that no lease would be safe.
		n.startElection(campaignTransfer)
		return
	}
	n.leaderState.transferee = 0
}

// handleTimeoutNow starts an election at once, without a pre-vote.
func (n *Node) handleTimeoutNow(msg Message) {
	if msg.Term != n.term || n.role == Leader || n.leaderID != msg.From {
		return
	}
	if n.now < n.noCampaignUntil || !n.promotable() {
		return
	}
	n.failedElections = 0
	n.startElection(campaignTransfer)
}
