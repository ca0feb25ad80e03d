package consensus

import "bytes"

// Role is what the replica is at present. Unlike Status it takes no memory.
func (m *Node) Role() Role { return m.role }

// CommitIndex is up to where the replica knows the log to be agreed on.
func (m *Node) CommitIndex() uint64 { return m.log.commit }

// Transferring tells whether the replica leads and is handing leadership over.
func (m *Node) Transferring() bool { return m.role == Leader && m.leading.transferee != 0 }

// Membership is the newest one, which may not be committed yet; it is not to be changed.
func (m *Node) Membership() Membership { return m.membership() }

// FindUncommitted finds a command among the entries that are not known to be agreed on.
func (m *Node) FindUncommitted(data []byte) (index, term uint64, found bool) {
	for i := m.log.commit - m.log.offset; i < uint64(len(m.log.entries)); i++ {
		entry := &m.log.entries[i]
		if entry.Kind == EntryCommand && bytes.Equal(entry.Data, data) {
			return entry.Index, entry.Term, true
		}
	}
	return 0, 0, false
}
