package replica

import (
	"net/netip"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/rpc"
)

// bulkThresholdBytes is the size of the entries in one message from which they are sent over a connection of their
// own. A heartbeat that waits behind megabytes on a slow link would arrive after the election timeout.
const bulkThresholdBytes = 64 << 10

// connectionKind selects the connection to a peer that a message is sent over.
type connectionKind uint8

// The kinds of connection.
const (
	ordinaryConnection connectionKind = iota
	bulkConnection                    // for entries of a partition, in order, while large ones are being sent
	noConnection                      // the message need not be sent
)

// bulkTransfer sends large entries of one partition to a peer over a connection of its own. The peer's mutex guards
// it.
type bulkTransfer struct {
	lastEntry consensus.Entry // the last entry queued, without its data
	pending   []byte          // messages queued behind those in flight
}

// route returns the connection for a message, and the message in the form to send, while a transfer is in progress (a
// nil receiver means that there is none). Entries are queued behind those in flight and are not sent twice. A
// heartbeat overtakes them without referring to an entry: the follower would reject an index that it does not have
// yet.
func (t *bulkTransfer) route(message *consensus.Message) (connectionKind, *consensus.Message) {
	if message.Kind != consensus.MessageAppend {
		return ordinaryConnection, message
	}
	if t == nil {
		if entryBytes(message) < bulkThresholdBytes {
			return ordinaryConnection, message
		}
		return bulkConnection, message
	}
	if n := len(message.Entries); n > 0 {
		last := &message.Entries[n-1]
		if last.Term == t.lastEntry.Term && last.Index <= t.lastEntry.Index {
			return noConnection, nil
		}
		return bulkConnection, message
	}
	if message.Round == 0 {
		return noConnection, nil // it only announces the commit index, as the next heartbeat after the entries will
	}
	heartbeat := *message
	heartbeat.Index, heartbeat.LogTerm = 0, 0 // the start of the log, where all logs match
	return ordinaryConnection, &heartbeat
}

// add queues a message with entries; it returns false, and drops the message, if too much is queued already.
func (t *bulkTransfer) add(partition feed.Partition, message *consensus.Message) bool {
	if len(t.pending) >= maxPendingBytes {
		return false
	}
	t.pending = appendMessage(t.pending, partition, message)
	last := &message.Entries[len(message.Entries)-1]
	t.lastEntry = consensus.Entry{Index: last.Index, Term: last.Term}
	return true
}

// entryBytes returns the size of the data of a message's entries.
func entryBytes(message *consensus.Message) (bytes int) {
	for i := range message.Entries {
		bytes += len(message.Entries[i].Data)
	}
	return bytes
}

// startBulkTransfer sends a message with large entries, and what is queued behind it, over a connection of its own.
// The peer's mutex is held.
func (s *peerSet) startBulkTransfer(address netip.AddrPort, remote *peer, partition feed.Partition, message *consensus.Message) {
	transfer := &bulkTransfer{}
	transfer.add(partition, message)
	remote.bulkTransfers[partition] = transfer
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		s.runBulkTransfer(address, remote, partition, transfer)
	}()
}

// runBulkTransfer sends until nothing is queued or a call fails. The consensus node retransmits what was lost.
func (s *peerSet) runBulkTransfer(address netip.AddrPort, remote *peer, partition feed.Partition, transfer *bulkTransfer) {
	client := newBulkClient(address)
	defer client.Close()
	var err error
	for {
		remote.mutex.Lock()
		batch := transfer.pending
		transfer.pending = nil
		if len(batch) == 0 || err != nil {
			delete(remote.bulkTransfers, partition)
			remote.mutex.Unlock()
			return
		}
		remote.mutex.Unlock()
		_, err = deliverCall.Invoke(s.context, client, newDeliverRequest(batch))
	}
}

// newBulkClient returns a client for large requests: they may take bulkTimeout to arrive, but a peer that accepts no
// data is given up as early as by other clients.
func newBulkClient(address netip.AddrPort) *rpc.Client {
	options := peerOptions
	options.CallTimeout = bulkTimeout
	return rpc.NewClient(address, options)
}
