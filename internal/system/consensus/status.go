package consensus

import (
	"bytes"
	"time"
)

// Role is what a replica is at present.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Status describes a replica.
type Status struct {
	ID         ReplicaID
	Role       Role
	Term       uint64
	Leader     ReplicaID // 0: not known
	Commit     uint64
	Applied    uint64 // last index returned in Ready.Committed or Ready.Snapshot
	LastIndex  uint64
	Membership Membership // the newest, which may not be committed yet
	// MembershipIndex is the entry that brought Membership, or the snapshot; it is committed if it is not above Commit.
	MembershipIndex uint64
	// LeaseExpiry of a leader: while the time is below it and this status is the newest, no other replica can be leader.
	LeaseExpiry  time.Duration
	Transferring bool // a leader that hands leadership over takes no proposals
	// LastLeaderContact is when this replica last heard the leader; a leader's is when its last confirmed round began.
	LastLeaderContact time.Duration
	// CaughtUpAt is when this replica last held all that the leader had committed, as far as the leader said, once that had
	// committed an entry of its term; a leader's is LastLeaderContact from then on. A replica that catches up hears its leader and
	// is not current, nor is one that has just stood still before it has heard anew.
	CaughtUpAt  time.Duration
	Match       map[ReplicaID]uint64        // of a leader: up to where each member surely holds the log
	LastContact map[ReplicaID]time.Duration // of a leader: when each other member last answered
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

// lastCaughtUp is when this replica last held all that a leader which a majority follows had committed. A leader knows how far
// that is once it has committed an entry of its term.
func (n *Node) lastCaughtUp() time.Duration {
	if n.role == Leader && n.committedInTerm() {
		return max(n.caughtUpAt, time.Duration(n.leaderState.confirmedRound))
	}
	return n.caughtUpAt
}

// Role is what the replica is at present. Unlike Status it takes no memory.
func (n *Node) Role() Role { return n.role }

// Leader is who leads as far as this replica knows, 0: not known.
func (n *Node) Leader() ReplicaID { return n.leaderID }

// CommitIndex is up to where the replica knows the log to be agreed on.
func (n *Node) CommitIndex() uint64 { return n.log.commit }

// Transferring tells whether the replica leads and is handing leadership over.
func (n *Node) Transferring() bool { return n.role == Leader && n.leaderState.transferee != 0 }

// Membership is the newest one, which may not be committed yet; it is not to be changed.
func (n *Node) Membership() Membership { return n.membership() }

// FindUncommitted finds a command among the entries that are not known to be agreed on.
func (n *Node) FindUncommitted(data []byte) (index, term uint64, found bool) {
	for i := n.log.commit - n.log.offset; i < uint64(len(n.log.entries)); i++ {
		entry := &n.log.entries[i]
		if entry.Kind == EntryCommand && bytes.Equal(entry.Data, data) {
			return entry.Index, entry.Term, true
		}
	}
	return 0, 0, false
}
