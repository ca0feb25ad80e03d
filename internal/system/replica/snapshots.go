package replica

import (
	"net/netip"

	"cinderroad/internal/system/consensus"
)

// Bounds on the log that is kept beside a snapshot. A snapshot is made once the log since the last one takes more than
// the larger of minSnapshotLogBytes and the last snapshot, in bytes, so that the cost of snapshots stays in proportion.
const (
	minSnapshotLogBytes = 512 << 10
	entryOverheadBytes  = 64 // bytes that an entry costs beside its data
	// Entries, and bytes of their data, that are kept in memory behind a snapshot for members that are behind; as many bytes
	// as the snapshot has, where that is more. A member that is further behind has less to receive by the snapshot.
	retainedEntries = 1024
	retainedBytes   = minSnapshotLogBytes / 2
)

// dueSnapshot is the snapshot that is due, or nil.
func (g *group) dueSnapshot() *consensus.Snapshot {
	if g.snapshotPending || g.logBytesSinceSnapshot < max(minSnapshotLogBytes, g.snapshotBytes) {
		return nil
	}
	if _, may := g.node.CreateSnapshot(g.appliedIndex, nil); !may {
		return nil // without the state's encoding, which may be large
	}
	snapshot, is := g.node.CreateSnapshot(g.appliedIndex, g.state.Snapshot())
	if !is {
		return nil
	}
	g.snapshotPending, g.logBytesSinceSnapshot = true, 0
	return &snapshot
}

// handleSnapshotPersisted notes that the snapshot is on disk.
func (g *group) handleSnapshotPersisted(snapshot *consensus.Snapshot) {
	g.snapshotPending = false
	g.snapshotBytes = len(snapshot.Data)
	g.node.Compact(snapshot.Index, nil, max(retainedBytes, len(snapshot.Data)))
}

// attachCurrentSnapshot fills the message of a snapshot with the state as it is: the machine keeps none, to save memory.
func (g *group) attachCurrentSnapshot(message *consensus.Message) {
	data := g.state.Snapshot()
	snapshot, is := g.node.CreateSnapshot(g.appliedIndex, data)
	if !is {
		snapshot = *message.Snapshot // the state machine has not moved on since
		snapshot.Data = data
	}
	message.Snapshot = &snapshot
}

// sendSnapshot sends a message with the present snapshot over a connection of its own, so that heartbeats do not wait
// behind it. It does nothing while an earlier one is under way.
func (s *peerSet) sendSnapshot(address netip.AddrPort, g *group, message *consensus.Message) {
	remote := s.get(address)
	remote.mutex.Lock()
	busy := remote.activeSnapshots[g.partition]
	remote.activeSnapshots[g.partition] = true
	remote.mutex.Unlock()
	if busy {
		return
	}
	filled := *message
	g.attachCurrentSnapshot(&filled)
	messages := appendMessage(nil, g.partition, &filled)
	partition := g.partition
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		client := newBulkClient(address)
		defer client.Close()
		_, _ = deliverCall.Invoke(s.context, client, newDeliverRequest(messages)) // the receiver's replica answers by itself
		remote.mutex.Lock()
		delete(remote.activeSnapshots, partition)
		remote.mutex.Unlock()
	}()
}
