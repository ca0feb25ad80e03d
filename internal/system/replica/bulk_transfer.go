package replica

import (
	"net/netip"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/rpc"
)

// bulkThresholdBytes is the size of entries, in one message, from which they do not hold up what follows them: a heartbeat behind
// megabytes on a thin link comes after the election time.
const bulkThresholdBytes = 64 << 10

// connectionKind is the connection to a peer that a message goes over.
type connectionKind uint8

const (
	ordinaryConnection connectionKind = iota
	bulkConnection                    // for entries of a partition, in their order, while large ones are on their way
	noConnection                      // the message need not be sent
)

// bulkTransfer is a partition's entries on their way to a peer over a connection of their own.
type bulkTransfer struct {
	lastEntry consensus.Entry // the last one that was taken, without its data
	pending   []byte          // messages that wait for the ones under way
}

// route says which way a message goes while the transfer is under way (nil: there is none), and in what form. Entries
// follow those that are under way, and the same ones are not sent again. A heartbeat overtakes them, and asks about no
// entry: the follower would refuse what it has not got yet.
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
		return noConnection, nil // it tells of a commit only, as does the next heartbeat after the entries
	}
	present := *message
	present.Index, present.LogTerm = 0, 0 // where all logs agree
	return ordinaryConnection, &present
}

// add adds a message to what is to be sent; false: too much waits already.
func (t *bulkTransfer) add(partition feed.Partition, message *consensus.Message) bool {
	if len(t.pending) >= maxPendingBytes {
		return false
	}
	t.pending = appendMessage(t.pending, partition, message)
	last := &message.Entries[len(message.Entries)-1]
	t.lastEntry = consensus.Entry{Index: last.Index, Term: last.Term}
	return true
}

func entryBytes(message *consensus.Message) (bytes int) {
	for i := range message.Entries {
		bytes += len(message.Entries[i].Data)
	}
	return bytes
}

// startBulkTransfer sends a message with large entries, and what comes to wait behind it, over a connection of its own. The
// peer's mutex is held.
func (s *peerSet) startBulkTransfer(address netip.AddrPort, remote *peer, partition feed.Partition, message *consensus.Message) {
	t := &bulkTransfer{}
	t.add(partition, message)
	remote.bulkTransfers[partition] = t
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		s.runBulkTransfer(address, remote, partition, t)
	}()
}

// runBulkTransfer ends once nothing waits any more, or the peer is not reached: then the machines send anew what was lost.
func (s *peerSet) runBulkTransfer(address netip.AddrPort, remote *peer, partition feed.Partition, t *bulkTransfer) {
	client := newBulkClient(address)
	defer client.Close()
	var err error
	for {
		remote.mutex.Lock()
		batch := t.pending
		t.pending = nil
		if len(batch) == 0 || err != nil {
			delete(remote.bulkTransfers, partition)
			remote.mutex.Unlock()
			return
		}
		remote.mutex.Unlock()
		_, err = deliverCall.Invoke(s.context, client, newDeliverRequest(batch))
	}
}

// newBulkClient is a client for requests that are large. They have long to arrive; a peer that takes nothing is given up as
// soon as others are.
func newBulkClient(address netip.AddrPort) *rpc.Client {
	options := peerOptions
	options.CallTimeout = bulkTimeout
	return rpc.NewClient(address, options)
}
