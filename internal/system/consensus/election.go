package consensus

import (
	"slices"
	"time"
)

const (
	// quickAttempts is how many elections in a row are tried after short waits.
	quickAttempts = 4
	// stepDownElections is how long a replica does not lead after StepDown, in election times.
	stepDownElections = 4
)

// yield is the pre-candidate that this replica last put its own election off for, once for each term.
type yield struct {
	to   ReplicaID
	term uint64
}

// between draws a time from a range.
func (m *Node) between(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(m.random.Int64N(int64(most-least)))
}

// resetElection puts the next election off by a whole election time or more. Replicas that begin at about the same time
// are told apart by rank, see yieldTo, so that the times need not be far apart.
func (m *Node) resetElection() {
	m.electionDue = m.now + m.between(m.options.ElectionTimeout, m.options.ElectionTimeout*3/2)
}

// retryElection sets when an election that has just begun is given up: the first few soon.
func (m *Node) retryElection(least, most time.Duration) {
	m.attempts++
	if m.attempts > quickAttempts {
		m.resetElection()
		return
	}
	m.electionDue = m.now + m.between(least, most)
}

// campaignDue is when this replica stands for election.
func (m *Node) campaignDue() time.Duration {
	if !m.mayLead() {
		return Never
	}
	return max(m.electionDue, m.noLeaderUntil)
}

// becomeFollower ends whatever role this replica has.
func (m *Node) becomeFollower(term uint64, leader ReplicaID) {
	m.currentAt = m.current()
	if term > m.term {
		m.term, m.vote = term, 0
	}
	m.role = Follower
	m.leader = leader
	m.granted = nil
	m.dropReads()
	m.leading = leadership{}
	m.resetElection()
}

// campaign asks whether others would vote for this replica, which disturbs nobody who follows a leader.
func (m *Node) campaign() {
	if m.role != PreCandidate {
		m.askedAt = m.now
	}
	m.role = PreCandidate
	m.leader = 0
	m.granted = []ReplicaID{m.options.ID}
	m.retryElection(m.options.ElectionTimeout/4, m.options.ElectionTimeout/2)
	if m.elected() {
		m.stand(false)
		return
	}
	m.askVotes(Message{Kind: MessagePreVote, Term: m.term + 1})
}

// stand is the election proper. Votes are waited for twice as long as the pre-votes took.
func (m *Node) stand(force bool) {
	if m.role == PreCandidate {
		m.voteTook = m.now - m.askedAt
	}
	m.currentAt = m.current()
	m.dropReads()
	m.leading = leadership{}
	m.role = Candidate
	m.leader = 0
	m.term++
	m.vote = m.options.ID
	m.granted = nil // its own vote counts once it is on disk
	least := max(m.options.ElectionTimeout/2, 2*m.voteTook)
	m.retryElection(least, least+m.options.ElectionTimeout/2)
	m.askVotes(Message{Kind: MessageVote, Term: m.term, Force: force})
}

func (m *Node) askVotes(msg Message) {
	msg.Index, msg.LogTerm = m.log.last(), m.log.lastTerm()
	for _, member := range m.membership().Members {
		if member.HasVote() && member.ID != m.options.ID {
			msg.To = member.ID
			m.send(msg)
		}
	}
}

// elected tells whether a majority of the voters has granted.
func (m *Node) elected() bool {
	return m.membership().HasQuorum(func(id ReplicaID) bool { return slices.Contains(m.granted, id) })
}

// mayLead tells whether this replica is a voter, or would be if a membership that is not known to be committed came to
// nothing: it may be the only one that holds that membership, and then nobody else can be elected. It leads until the
// membership is committed.
func (m *Node) mayLead() bool {
	return m.log.anyMembership(func(s Membership) bool { return s.hasVote(m.options.ID) })
}

// mayVote tells whether this replica takes part in elections. A learner votes if it is asked: whoever asks it has made
// it a voter, and the entry that says so may not have come here yet.
func (m *Node) mayVote() bool {
	return m.log.anyMembership(func(s Membership) bool { return s.has(m.options.ID) })
}

// holdsToLeader tells whether there may be a leader whose lease rests on this replica.
func (m *Node) holdsToLeader() bool { return m.role == Leader || m.now < m.refuseUntil }

func (m *Node) handlePreVote(msg Message) {
	if !m.mayVote() {
		return
	}
	reply := Message{Kind: MessagePreVoteReply, To: msg.From, Term: msg.Term}
	if msg.Term <= m.term || m.holdsToLeader() || !m.log.upToDate(msg.Index, msg.LogTerm) {
		reply.Term, reply.Reject = m.term, true
	}
	if reply.Term > 0 {
		m.send(reply)
	}
	if !reply.Reject {
		m.yieldTo(msg)
	}
}

// yieldTo puts an election of this replica's own off for a pre-candidate that it would vote for, so that the two do not
// split the votes. Of two pre-candidates with equal logs the one with the lower id yields. A replica yields once to one
// in a term, so that one that is not elected holds up nobody for long.
func (m *Node) yieldTo(msg Message) {
	ahead := m.role == PreCandidate && m.log.matchesEnd(msg.Index, msg.LogTerm) && m.options.ID > msg.From
	yielded := yield{to: msg.From, term: msg.Term}
	if ahead || m.yielded == yielded {
		return
	}
	m.yielded = yielded
	if m.role == PreCandidate {
		m.role = Follower
		m.granted = nil
	}
	m.electionDue = max(m.electionDue, m.now+m.between(m.options.ElectionTimeout*3/4, m.options.ElectionTimeout*5/4))
}

func (m *Node) handlePreVoteReply(msg Message) {
	if m.role != PreCandidate || msg.Reject || msg.Term != m.term+1 {
		return
	}
	m.grant(msg.From)
	if m.elected() {
		m.stand(false)
	}
}

func (m *Node) handleVote(msg Message) {
	if !m.mayVote() || msg.Term < m.term {
		return
	}
	if m.holdsToLeader() && !msg.Force {
		return
	}
	if msg.Term > m.term {
		m.becomeFollower(msg.Term, 0)
	}
	free := m.vote == msg.From || m.vote == 0 && m.leader == 0
	reply := Message{Kind: MessageVoteReply, To: msg.From, Reject: true}
	if free && m.log.upToDate(msg.Index, msg.LogTerm) {
		reply.Reject = false
		m.vote = msg.From
		m.resetElection()
	}
	m.send(reply)
}

func (m *Node) handleVoteReply(msg Message) {
	if m.role != Candidate || msg.Reject || msg.Term != m.term {
		return
	}
	m.countVote(msg.From)
}

// countVote notes a vote for this candidate.
func (m *Node) countVote(from ReplicaID) {
	m.grant(from)
	if m.elected() {
		m.becomeLeader()
	}
}

func (m *Node) grant(from ReplicaID) {
	if !slices.Contains(m.granted, from) {
		m.granted = append(m.granted, from)
	}
}

// heardLeader notes a message of the leader of this term.
func (m *Node) heardLeader(from ReplicaID) {
	if m.role != Follower || m.leader != from {
		m.becomeFollower(m.term, from)
	}
	m.attempts = 0
	m.heardAt = m.now
	m.heardFrom = from
	m.refuseUntil = m.now + m.options.ElectionTimeout
	m.resetElection()
}
