package consensus

// Role is what the replica is at present. Unlike Status it takes no memory.
func (m *Machine) Role() Role { return m.role }

// Commit is up to where the replica knows the log to be agreed on.
func (m *Machine) Commit() uint64 { return m.log.commit }

// Transferring tells whether the replica leads and is handing leadership over.
func (m *Machine) Transferring() bool { return m.role == Leader && m.leading.transferee != 0 }

// Membership is the newest one, which may not be committed yet; it is not to be changed.
func (m *Machine) Membership() Membership { return m.membership() }
