package consensus

import (
	"slices"
	"time"
)

const (
	// maxQuickElections is how many failed elections in a row are retried after a short wait.
	maxQuickElections = 4
	// stepDownElectionTimeouts is how long a replica does not lead after StepDown, in election timeouts.
	stepDownElectionTimeouts = 4
)

// campaignKind says why an election is started, and with that whether it may disturb a leader.
type campaignKind uint8

const (
	campaignElection campaignKind = iota // there seems to be no leader; voters ignore it while one may hold a lease
	campaignTransfer                     // the leader gives up its leadership by it: voters need not respect its lease
)

// preVoteYield is the pre-candidate, and its term, for which this replica last postponed its own election.
type preVoteYield struct {
	candidate ReplicaID
	term      uint64
}

// randomDuration draws a duration from a range.
func (n *Node) randomDuration(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(n.random.Int64N(int64(high-low)))
}

// resetElectionTimer postpones the next election by an election timeout or more. Replicas whose timers fire at about
// the same time are ordered by yieldToPreCandidate, so that the range of timeouts can be narrow.
func (n *Node) resetElectionTimer() {
	n.electionDeadline = n.now + n.randomDuration(n.config.ElectionTimeout, n.config.ElectionTimeout*3/2)
}

// setCampaignDeadline sets when an election that has just started is given up and the next one starts. After several
// failures in a row that is a whole election timeout. It counts the election as failed; winning it, or a message of a
// leader, resets the count.
func (n *Node) setCampaignDeadline(shortest, longest time.Duration) {
	n.failedElections++
	if n.failedElections > maxQuickElections {
		n.resetElectionTimer()
		return
	}
	n.electionDeadline = n.now + n.randomDuration(shortest, longest)
}

// campaignDeadline returns when this replica starts an election.
func (n *Node) campaignDeadline() time.Duration {
	if !n.promotable() {
		return Never
	}
	return max(n.electionDeadline, n.noCampaignUntil)
}

// becomeFollower ends any role of this replica.
func (n *Node) becomeFollower(term uint64, leader ReplicaID) {
	n.caughtUpAt = n.lastCaughtUp()
	if term > n.term {
		n.term = term
		n.vote = 0
	}
	n.role = Follower
	n.leaderID = leader
	n.grantedBy = nil
	n.failReads()
	n.leaderState = leaderState{}
	n.resetElectionTimer()
}

// startPreVote asks whether the others would vote for this replica. That does not disturb followers of a live leader.
func (n *Node) startPreVote() {
	if n.role != PreCandidate {
		n.preVoteStartedAt = n.now
	}
	n.role = PreCandidate
	n.leaderID = 0
	n.grantedBy = []ReplicaID{n.config.ID}
	n.setCampaignDeadline(n.config.ElectionTimeout/4, n.config.ElectionTimeout/2)
	if n.hasVoteQuorum() {
		n.startElection(campaignElection)
		return
	}
	n.requestVotes(Message{Kind: MessagePreVote, Term: n.term + 1})
}

// startElection starts an election in a new term. It waits for votes at least twice as long as the pre-vote took.
func (n *Node) startElection(kind campaignKind) {
	if n.role == PreCandidate {
		n.preVoteDuration = n.now - n.preVoteStartedAt
	}
	n.caughtUpAt = n.lastCaughtUp()
	n.failReads()
	n.leaderState = leaderState{}
	n.role = Candidate
	n.leaderID = 0
	n.term++
	n.vote = n.config.ID
	n.grantedBy = nil // its own vote counts once it is persisted
	shortest := max(n.config.ElectionTimeout/2, 2*n.preVoteDuration)
	n.setCampaignDeadline(shortest, shortest+n.config.ElectionTimeout/2)
	n.requestVotes(Message{Kind: MessageVote, Term: n.term, Force: kind == campaignTransfer})
}

// requestVotes sends a vote or pre-vote request to all other voters.
func (n *Node) requestVotes(msg Message) {
	msg.Index, msg.LogTerm = n.log.lastIndex(), n.log.lastTerm()
	for _, member := range n.membership().Members {
		if member.HasVote() && member.ID != n.config.ID {
			msg.To = member.ID
			n.send(msg)
		}
	}
}

// hasVoteQuorum reports whether a majority of the voters has granted its vote or pre-vote.
func (n *Node) hasVoteQuorum() bool {
	return n.membership().HasQuorum(func(id ReplicaID) bool { return slices.Contains(n.grantedBy, id) })
}

// promotable reports whether this replica may become leader. It is so if the replica votes in the committed membership
// or in a later one: if it is the only one that holds the entry that removes it, nobody else can be elected. It then
// leads until that entry is committed.
func (n *Node) promotable() bool {
	return n.log.anyPossibleMembership(func(membership Membership) bool { return membership.hasVote(n.config.ID) })
}

// canVote reports whether this replica grants votes. A learner does so if asked: the candidate considers it a voter, by
// an entry that may not have arrived here yet.
func (n *Node) canVote() bool {
	return n.log.anyPossibleMembership(func(membership Membership) bool { return membership.has(n.config.ID) })
}

// handlePreVote answers whether this replica would vote for the sender in the term of the message.
func (n *Node) handlePreVote(msg Message) {
	if !n.canVote() {
		return
	}
	reply := Message{Kind: MessagePreVoteReply, To: msg.From, Term: msg.Term}
	if msg.Term <= n.term || n.inLease() || !n.log.isUpToDate(msg.Index, msg.LogTerm) {
		reply.Term = n.term
		reply.Reject = true
	}
	if reply.Term > 0 { // a message needs a term, and a new replica has none yet
		n.send(reply)
	}
	if !reply.Reject {
		n.yieldToPreCandidate(msg)
	}
}

// yieldToPreCandidate postpones this replica's own election in favour of a pre-candidate that it would vote for, so
// that the two do not split the votes. Of two pre-candidates with equal logs the one with the lower ID yields. It
// yields once per pre-candidate and term, so that one that can't win does not delay the others for long.
func (n *Node) yieldToPreCandidate(msg Message) {
	ahead := n.role == PreCandidate && n.log.endsAt(msg.Index, msg.LogTerm) && n.config.ID > msg.From
	yielded := preVoteYield{candidate: msg.From, term: msg.Term}
	if ahead || n.lastYield == yielded {
		return
	}
	n.lastYield = yielded
	if n.role == PreCandidate {
		n.role = Follower
		n.grantedBy = nil
	}
	postponement := n.randomDuration(n.config.ElectionTimeout*3/4, n.config.ElectionTimeout*5/4)
	n.electionDeadline = max(n.electionDeadline, n.now+postponement)
}

// handlePreVoteReply counts a pre-vote and starts the election once a majority has granted one.
func (n *Node) handlePreVoteReply(msg Message) {
	if n.role != PreCandidate || msg.Reject || msg.Term != n.term+1 {
		return
	}
	n.recordGrant(msg.From)
	if n.hasVoteQuorum() {
		n.startElection(campaignElection)
	}
}

// handleVote grants or refuses the vote of a term. It ignores candidates while a leader may hold a lease, unless that
// leader has asked for this election.
func (n *Node) handleVote(msg Message) {
	if !n.canVote() || msg.Term < n.term {
		return
	}
	if n.inLease() && !msg.Force {
		return
	}
	if msg.Term > n.term {
		n.becomeFollower(msg.Term, 0)
	}
	hasVoteLeft := n.vote == msg.From || n.vote == 0 && n.leaderID == 0
	reply := Message{Kind: MessageVoteReply, To: msg.From, Reject: true}
	if hasVoteLeft && n.log.isUpToDate(msg.Index, msg.LogTerm) {
		reply.Reject = false
		n.vote = msg.From
		n.resetElectionTimer()
	}
	n.send(reply)
}

func (n *Node) handleVoteReply(msg Message) {
	if n.role != Candidate || msg.Reject || msg.Term != n.term {
		return
	}
	n.recordVote(msg.From)
}

// recordVote counts a vote for this candidate.
func (n *Node) recordVote(from ReplicaID) {
	n.recordGrant(from)
	if n.hasVoteQuorum() {
		n.becomeLeader()
	}
}

// recordGrant counts a vote or pre-vote.
func (n *Node) recordGrant(from ReplicaID) {
	if !slices.Contains(n.grantedBy, from) {
		n.grantedBy = append(n.grantedBy, from)
	}
}
