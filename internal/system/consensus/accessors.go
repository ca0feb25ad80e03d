package consensus

import "bytes"

// Role is what the replica is at present. Unlike Status it takes no memory.
func (n *Node) Role() Role { return n.role }

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
