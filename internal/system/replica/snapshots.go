package replica

import (
	"net/netip"

	"cinderroad/internal/system/consensus"
)

// Sizes that trigger snapshots. A snapshot is made once the log since the last one exceeds both minSnapshotLogBytes
// and the size of the last snapshot, so that the cost of snapshots stays in proportion to what is written.
const (
	minSnapshotLogBytes = 512 << 10
	entryOverheadBytes  = 64 // memory of an entry besides its data
	// Entries, and bytes of their data, that are retained before a snapshot for members that lag; as many bytes as the
	// snapshot has if that is more. A member that lags further receives less with the snapshot.
	retainedEntries = 1024
	retainedBytes   = minSnapshotLogBytes / 2
)

// dueSnapshot returns the snapshot to store now, nil if none is due.
func (g *group) dueSnapshot() *consensus.Snapshot {
	if g.snapshotPending || g.logBytesSinceSnapshot < max(minSnapshotLogBytes, g.snapshotBytes) {
		return nil
	}
	if _, may := g.node.CreateSnapshot(g.appliedIndex, nil); !may {
		return nil // checked first because encoding the state may be expensive
	}
	snapshot, ok := g.node.CreateSnapshot(g.appliedIndex, g.state.Snapshot())
	if !ok {
		return nil
	}
	g.snapshotPending = true
	g.logBytesSinceSnapshot = 0
	return &snapshot
}

// handleSnapshotPersisted truncates the log once the snapshot is durable.
func (g *group) handleSnapshotPersisted(snapshot *consensus.Snapshot) {
	g.snapshotPending = false
	g.snapshotBytes = len(snapshot.Data)
	g.node.Compact(snapshot.Index, nil, max(retainedBytes, len(snapshot.Data)))
}

// attachCurrentSnapshot puts the present state into a message that installs a snapshot. The consensus node keeps no
// snapshot data, which saves memory.
func (g *group) attachCurrentSnapshot(message *consensus.Message) {
	data := g.state.Snapshot()
	snapshot, ok := g.node.CreateSnapshot(g.appliedIndex, data)
	if !ok {
		snapshot = *message.Snapshot // nothing has been applied since
		snapshot.Data = data
	}
	message.Snapshot = &snapshot
}

// sendSnapshot sends the present snapshot over a separate connection, so that heartbeats do not wait behind it. It
// does nothing while an earlier snapshot of the partition is being sent to the peer.
func (s *peerSet) sendSnapshot(address netip.AddrPort, group *group, message *consensus.Message) {
	remote := s.get(address)
	remote.mutex.Lock()
	active := remote.activeSnapshots[group.partition]
	remote.activeSnapshots[group.partition] = true
	remote.mutex.Unlock()
	if active {
		return
	}
	filled := *message
	group.attachCurrentSnapshot(&filled)
	messages := appendMessage(nil, group.partition, &filled)
	partition := group.partition
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		client := newBulkClient(address)
		defer client.Close()
		// The result comes as a consensus message.
		_, _ = deliverCall.Invoke(s.context, client, newDeliverRequest(messages))
		remote.mutex.Lock()
		delete(remote.activeSnapshots, partition)
		remote.mutex.Unlock()
	}()
}
