package consensus

import "time"

// TransferLeadership has a leader hand over to a voter, 0: to the one that is best caught up. It takes no proposals
// until the other leads or an election time has passed. Its lease ends for good once the other was told to take over.
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

// StepDown has this replica not lead for some election times, because its disk fails or its process stops. A leader
// hands over to another voter if one answers, and else just ceases to lead.
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

// bestTransferee is the voter that holds most of the log among those that have answered of late.
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

// sendTimeoutNow tells the transferee to take over once it holds the whole log.
func (n *Node) sendTimeoutNow() {
	peer := n.progressOf(n.leaderState.transferee)
	if peer == nil || n.leaderState.timeoutNowSent || peer.match < n.log.lastIndex() {
		return
	}
	n.leaderState.timeoutNowSent = true
	n.sendEarly(Message{Kind: MessageTimeoutNow, To: peer.id})
}

// abortTransfer is called when the transferee has not taken over in time.
func (n *Node) abortTransfer() {
	if n.now < n.noCampaignUntil {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.leaderState.timeoutNowSent && n.promotable() {
		n.startElection(true) // in this term the transferee may still call an election at any time, so that no lease is sure
		return
	}
	n.leaderState.transferee = 0
}

// handleTimeoutNow stands for election at once.
func (n *Node) handleTimeoutNow(msg Message) {
	if msg.Term != n.term || n.role == Leader || n.leaderID != msg.From {
		return
	}
	if n.now < n.noCampaignUntil || !n.promotable() {
		return
	}
	n.failedElections = 0
	n.startElection(true)
}
