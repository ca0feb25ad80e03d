package replica

import (
	"net/netip"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/rpc"
)

// bulkBytes is the size of entries, in one message, from which they do not hold up what follows them: a heartbeat behind
// megabytes on a thin link comes after the election time.
const bulkBytes = 64 << 10

// lane is the connection to a peer that a message goes over.
type lane uint8

const (
	ordinaryLane lane = iota
	bulkLane          // for entries of a partition, in their order, while large ones are on their way
	noLane            // the message need not be sent
)

// transfer is a partition's entries on their way to a peer over a connection of their own.
type transfer struct {
	last    consensus.Entry // the last one that was taken, without its data
	pending []byte          // messages that wait for the ones under way
}

// laneOf says which way a message goes while the transfer is under way (nil: there is none), and in what form. Entries
// follow those that are under way, and the same ones are not sent again. A heartbeat overtakes them, and asks about no
// entry: the follower would refuse what it has not got yet.
func (t *transfer) laneOf(message *consensus.Message) (lane, *consensus.Message) {
	if message.Kind != consensus.MessageAppend {
		return ordinaryLane, message
	}
	if t == nil {
		if entryBytes(message) < bulkBytes {
			return ordinaryLane, message
		}
		return bulkLane, message
	}
	if n := len(message.Entries); n > 0 {
		last := &message.Entries[n-1]
		if last.Term == t.last.Term && last.Index <= t.last.Index {
			return noLane, nil
		}
		return bulkLane, message
	}
	if message.Round == 0 {
		return noLane, nil // it tells of a commit only, as does the next heartbeat after the entries
	}
	present := *message
	present.Index, present.LogTerm = 0, 0 // where all logs agree
	return ordinaryLane, &present
}

// take adds a message to what is to be sent; false: too much waits already.
func (t *transfer) take(partition feed.Partition, message *consensus.Message) bool {
	if len(t.pending) >= mostPending {
		return false
	}
	t.pending = appendMessage(t.pending, partition, message)
	last := &message.Entries[len(message.Entries)-1]
	t.last = consensus.Entry{Index: last.Index, Term: last.Term}
	return true
}

func entryBytes(message *consensus.Message) (bytes int) {
	for i := range message.Entries {
		bytes += len(message.Entries[i].Data)
	}
	return bytes
}

// startTransfer sends a message with large entries, and what comes to wait behind it, over a connection of its own. The
// peer's mutex is held.
func (s *peers) startTransfer(address netip.AddrPort, p *peer, partition feed.Partition, message *consensus.Message) {
	t := &transfer{}
	t.take(partition, message)
	p.transfers[partition] = t
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		s.runTransfer(address, p, partition, t)
	}()
}

// runTransfer ends once nothing waits any more, or the peer is not reached: then the machines send anew what was lost.
func (s *peers) runTransfer(address netip.AddrPort, p *peer, partition feed.Partition, t *transfer) {
	client := bulkClient(address)
	defer client.Close()
	var err error
	for {
		p.mutex.Lock()
		batch := t.pending
		t.pending = nil
		if len(batch) == 0 || err != nil {
			delete(p.transfers, partition)
			p.mutex.Unlock()
			return
		}
		p.mutex.Unlock()
		_, err = deliverCall.Invoke(s.context, client, packedRequest(batch))
	}
}

// sendSnapshot sends a message with the present snapshot over a connection of its own, so that heartbeats do not wait
// behind it. It does nothing while an earlier one is under way.
func (s *peers) sendSnapshot(address netip.AddrPort, g *group, message *consensus.Message) {
	p := s.at(address)
	p.mutex.Lock()
	busy := p.snapshots[g.partition]
	p.snapshots[g.partition] = true
	p.mutex.Unlock()
	if busy {
		return
	}
	filled := *message
	g.currentSnapshot(&filled)
	messages := appendMessage(nil, g.partition, &filled)
	partition := g.partition
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		client := bulkClient(address)
		defer client.Close()
		_, _ = deliverCall.Invoke(s.context, client, packedRequest(messages)) // the receiver's replica answers by itself
		p.mutex.Lock()
		delete(p.snapshots, partition)
		p.mutex.Unlock()
	}()
}

// bulkClient is a client for requests that are large. They have long to arrive; a peer that takes nothing is given up as
// soon as others are.
func bulkClient(address netip.AddrPort) *rpc.Client {
	options := peerOptions
	options.CallTimeout = bulkWithin
	return rpc.NewClient(address, options)
}
