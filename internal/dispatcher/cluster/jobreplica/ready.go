package jobreplica

import "cinderroad/internal/system/consensus"

// processReady does what the consensus node asks for until it asks for nothing more.
func (r *Replica) processReady() {
	for r.node != nil {
		ready := r.node.Ready()
		if ready.Empty() {
			break
		}
		r.handleReady(&ready)
	}
	r.pruneContacts()
}

// handleReady sends, applies and compacts. Nothing is persisted, since a replica ends with its memory: what is in memory
// counts as persisted at once.
func (r *Replica) handleReady(ready *consensus.Ready) {
	if ready.HardState != nil {
		r.hardState = *ready.HardState
	}
	r.sendMessages(ready.EarlyMessages)
	r.node.MarkPersisted(*ready)
	r.sendMessages(ready.Messages)
	if ready.Snapshot != nil && !r.restoreSnapshot(ready.Snapshot) {
		return
	}
	for i := range ready.CommittedEntries {
		if !r.applyEntry(&ready.CommittedEntries[i]) {
			return
		}
	}
	if ready.CompactIndex > 0 {
		r.node.Compact(ready.CompactIndex, nil, 0) // a replica that needs a snapshot gets the current state
	}
}

// sendMessages sends messages of the consensus.
func (r *Replica) sendMessages(messages []consensus.Message) {
	for i := range messages {
		message := messages[i]
		if message.Kind == consensus.MessageInstallSnapshot {
			r.fillSnapshot(&message)
		}
		r.send(&envelope{kind: kindConsensus, to: uint64(message.To), message: message})
	}
}

// fillSnapshot puts the current state into a message: the consensus node retains no snapshot data.
func (r *Replica) fillSnapshot(message *consensus.Message) {
	data := r.options.StateMachine.Snapshot()
	snapshot, newer := r.node.CreateSnapshot(r.appliedIndex, data)
	if !newer {
		snapshot = *message.Snapshot // the state has not changed since
		snapshot.Data = data
	}
	message.Snapshot = &snapshot
}

// applyEntry reports whether the replica can go on.
func (r *Replica) applyEntry(entry *consensus.Entry) bool {
	r.appliedIndex = entry.Index
	if entry.Kind != consensus.EntryCommand || len(entry.Data) == 0 { // empty: the first entry of a new leader
		return true
	}
	if entry.Term == r.uncommittedTerm {
		r.uncommittedBytes = max(r.uncommittedBytes-len(entry.Data), 0)
	}
	result, err := r.options.StateMachine.Apply(entry.Index, entry.Data)
	if err != nil {
		r.stop("it can't apply a command", err)
		return false
	}
	r.appliedCommands = append(r.appliedCommands, Applied{entry.Index, entry.Data, result})
	return true
}

// restoreSnapshot reports whether the replica can go on.
func (r *Replica) restoreSnapshot(snapshot *consensus.Snapshot) bool {
	if err := r.options.StateMachine.Restore(snapshot.Data); err != nil {
		r.stop("it can't restore a snapshot", err)
		return false
	}
	r.appliedIndex = snapshot.Index
	return true
}

// pruneContacts removes the contacts that are not members.
func (r *Replica) pruneContacts() {
	if r.node == nil || len(r.lastContact) <= len(r.node.Membership().Members) {
		return
	}
	for id := range r.lastContact {
		if !r.isMember(id) {
			delete(r.lastContact, id)
		}
	}
}
