package replica

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/rpc"
)

// peerOptions configure connections between replicas: an unreachable peer is given up and dialled again soon.
var peerOptions = rpc.ClientOptions{
	DialTimeout:    700 * time.Millisecond,
	CallTimeout:    2 * time.Second,
	TCPUserTimeout: 1500 * time.Millisecond,
	DialBackoff:    50 * time.Millisecond,
}

const (
	bulkTimeout          = time.Minute // for a large request to arrive and be handled
	maxPendingBytes      = 4 << 20     // of messages queued for a peer; more are dropped
	maxLearnedAddresses  = 64          // once there are more, all are forgotten: replies to joins bring them back
	maxReusedBufferBytes = 64 << 10    // larger send buffers are not reused
)

// peerSet is the other control machines, by the address of their control RPC. The host's mutex guards its maps.
type peerSet struct {
	context    context.Context
	goroutines *sync.WaitGroup // the host's
	byAddress  map[netip.AddrPort]*peer
	// learnedAddresses are those from join replies, of replicas that no known membership may have.
	learnedAddresses map[consensus.ReplicaID]netip.AddrPort
}

// peer is another control machine. Messages of all partitions are queued in pending until the connection takes them.
type peer struct {
	client *rpc.Client
	wake   chan struct{}
	cancel context.CancelFunc
	// joining is true while a join request to the peer is in flight.
	joining atomic.Bool

	mutex           sync.Mutex
	pending         []byte
	needsFlush      bool                    // pending has grown since the last flush
	activeSnapshots map[feed.Partition]bool // being sent
	bulkTransfers   map[feed.Partition]*bulkTransfer
}

// newPeerSet returns an empty set. The context ends its goroutines, which are counted in the wait group.
func newPeerSet(ctx context.Context, goroutines *sync.WaitGroup) *peerSet {
	return &peerSet{
		context:          ctx,
		goroutines:       goroutines,
		byAddress:        make(map[netip.AddrPort]*peer),
		learnedAddresses: make(map[consensus.ReplicaID]netip.AddrPort),
	}
}

// get returns the peer at an address; it creates the peer and starts its sender if there is none.
func (s *peerSet) get(address netip.AddrPort) *peer {
	remote := s.byAddress[address]
	if remote != nil {
		return remote
	}
	ctx, cancel := context.WithCancel(s.context)
	remote = &peer{
		client:          rpc.NewClient(address, peerOptions),
		wake:            make(chan struct{}, 1),
		cancel:          cancel,
		activeSnapshots: make(map[feed.Partition]bool),
		bulkTransfers:   make(map[feed.Partition]*bulkTransfer),
	}
	s.byAddress[address] = remote
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		remote.runSender(ctx)
	}()
	return remote
}

// retain closes the peers at all other addresses.
func (s *peerSet) retain(addresses map[netip.AddrPort]bool) {
	for address, p := range s.byAddress {
		if !addresses[address] {
			p.cancel()
			delete(s.byAddress, address)
		}
	}
}

// learnAddress records the address of a replica that may not be in any known membership.
func (s *peerSet) learnAddress(id consensus.ReplicaID, address netip.AddrPort) {
	if len(s.learnedAddresses) >= maxLearnedAddresses {
		clear(s.learnedAddresses)
	}
	s.learnedAddresses[id] = address
}

// learnedAddress returns an address that learnAddress recorded.
func (s *peerSet) learnedAddress(id consensus.ReplicaID) (netip.AddrPort, bool) {
	address, known := s.learnedAddresses[id]
	return address, known
}

// send queues a message. It is dropped if the queue is full, and lost if the peer cannot be reached; the consensus
// node retransmits.
func (s *peerSet) send(address netip.AddrPort, partition feed.Partition, message *consensus.Message) {
	remote := s.get(address)
	remote.mutex.Lock()
	defer remote.mutex.Unlock()
	transfer := remote.bulkTransfers[partition]
	connection, message := transfer.route(message)
	switch {
	case connection == bulkConnection && transfer == nil:
		s.startBulkTransfer(address, remote, partition, message)
	case connection == bulkConnection:
		transfer.add(partition, message)
	case connection == ordinaryConnection && len(remote.pending) < maxPendingBytes:
		remote.pending = appendMessage(remote.pending, partition, message)
		remote.needsFlush = true
	}
}

// flush wakes the senders of the peers for which messages were queued.
func (s *peerSet) flush() {
	for _, remote := range s.byAddress {
		remote.mutex.Lock()
		queued := remote.needsFlush
		remote.needsFlush = false
		remote.mutex.Unlock()
		if !queued {
			continue
		}
		select {
		case remote.wake <- struct{}{}:
		default:
		}
	}
}

// runSender sends queued messages in batches until the context ends.
func (p *peer) runSender(ctx context.Context) {
	defer p.client.Close()
	var spare []byte
	for {
		select {
		case <-p.wake:
		case <-ctx.Done():
			return
		}
		p.mutex.Lock()
		batch := p.pending
		p.pending = spare[:0]
		p.mutex.Unlock()
		if len(batch) == 0 {
			spare = batch
			continue
		}
		// No retries here: the consensus nodes retransmit, with newer messages.
		_ = deliverCall.Send(ctx, p.client, &DeliverRequest{Messages: batch})
		spare = batch
		if cap(spare) > maxReusedBufferBytes {
			spare = nil
		}
	}
}
