package consensus

import (
	"bytes"
	"time"
)

// Role is the part that a replica plays in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Status describes a replica. Its maps are the caller's.
type Status struct {
	ID         ReplicaID
	Role       Role
	Term       uint64
	Leader     ReplicaID // 0: unknown
	Commit     uint64    // index of the last entry known to be committed
	Applied    uint64    // last index returned in Ready.CommittedEntries or Ready.Snapshot
	LastIndex  uint64
	Membership Membership // the newest in the log, which may not be committed yet
	// MembershipIndex is the index of the entry, or the snapshot, that holds Membership.
	MembershipIndex uint64
	// LeaseExpiry is that of Node.LeaseExpiry.
	LeaseExpiry  time.Duration
	Transferring bool // a leader that transfers its leadership and accepts no proposals
	// LastLeaderContact is when the last message of the leader was received; on a leader, when its last confirmed round
	// began.
	LastLeaderContact time.Duration
	// CaughtUpAt is when the replica last held every entry that the leader had announced as committed, provided that the
	// leader had committed an entry of its term; on such a leader it is LastLeaderContact. A follower that still receives
	// missing entries does not advance it, nor does one whose process was just paused before it gets a fresh message.
	CaughtUpAt  time.Duration
	Match       map[ReplicaID]uint64        // of a leader: index up to which each member is known to hold the log
	LastContact map[ReplicaID]time.Duration // of a leader: when the last reply of each other member was received
}

// Status returns the present state. It allocates; Role, Leader, CommitIndex, Transferring and Membership do not.
func (n *Node) Status() Status {
	status := Status{
		ID:                n.config.ID,
		Role:              n.role,
		Term:              n.term,
		Leader:            n.leaderID,
		Commit:            n.log.commit,
		Applied:           n.log.applied,
		LastIndex:         n.log.lastIndex(),
		Membership:        n.membership(),
		MembershipIndex:   n.log.lastMembership().index,
		LastLeaderContact: n.lastLeaderContact,
		CaughtUpAt:        n.lastCaughtUp(),
	}
	if n.role != Leader {
		return status
	}
	status.LeaseExpiry = n.LeaseExpiry()
	status.Transferring = n.leaderState.transferee != 0
	status.LastLeaderContact = roundStart(n.leaderState.confirmedRound)
	status.Match = map[ReplicaID]uint64{n.config.ID: n.log.durable}
	status.LastContact = map[ReplicaID]time.Duration{}
	for _, peer := range n.leaderState.peers {
		status.Match[peer.id] = peer.match
		status.LastContact[peer.id] = peer.lastContact
	}
	return status
}

// lastCaughtUp returns Status.CaughtUpAt. A leader knows the commit index of the group once it has committed an entry
// of its term.
func (n *Node) lastCaughtUp() time.Duration {
	if n.role == Leader && n.committedInTerm() {
		return max(n.caughtUpAt, roundStart(n.leaderState.confirmedRound))
	}
	return n.caughtUpAt
}

// Role returns the present role.
func (n *Node) Role() Role { return n.role }

// Leader returns the leader as far as this replica knows; 0: unknown.
func (n *Node) Leader() ReplicaID { return n.leaderID }

// CommitIndex returns the index of the last entry that this replica knows to be committed.
func (n *Node) CommitIndex() uint64 { return n.log.commit }

// Transferring reports whether the replica is a leader that transfers its leadership.
func (n *Node) Transferring() bool { return n.role == Leader && n.leaderState.transferee != 0 }

// Membership returns the newest membership in the log, which may not be committed yet. It must not be changed.
func (n *Node) Membership() Membership { return n.membership() }

// FindUncommitted finds a command with this data among the entries not known to be committed. It lets a driver join a
// repeated proposal with one in flight.
func (n *Node) FindUncommitted(data []byte) (index, term uint64, found bool) {
	for i := n.log.commit - n.log.offset; i < uint64(len(n.log.entries)); i++ {
		entry := &n.log.entries[i]
		if entry.Kind == EntryCommand && bytes.Equal(entry.Data, data) {
			return entry.Index, entry.Term, true
		}
	}
	return 0, 0, false
}
