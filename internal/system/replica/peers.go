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

// peerOptions are for connections between replicas: a peer that is cut off is given up and dialled anew soon.
var peerOptions = rpc.ClientOptions{DialTimeout: 700 * time.Millisecond, CallTimeout: 2 * time.Second, TCPUserTimeout: 1500 * time.Millisecond,
	DialBackoff: 50 * time.Millisecond}

const (
	bulkTimeout          = time.Minute // for a large request to be sent and taken
	maxPendingBytes      = 4 << 20     // bytes of messages that wait for a peer; more are dropped
	maxLearnedAddresses  = 64
	maxReusedBufferBytes = 64 << 10 // larger buffers are given back once sent
)

// peerSet are the other machines, by the address of their control RPC. The host's mutex guards the maps.
type peerSet struct {
	context    context.Context
	goroutines *sync.WaitGroup
	byAddress  map[netip.AddrPort]*peer
	// learnedAddresses are addresses of replicas that the memberships at hand do not name, as they were told.
	learnedAddresses map[consensus.ReplicaID]netip.AddrPort
}

// peer is another machine. Messages for it, of all partitions, gather until the connection takes them.
type peer struct {
	client *rpc.Client
	wake   chan struct{}
	cancel context.CancelFunc
	// joining: a request to be taken in is under way.
	joining atomic.Bool

	mutex           sync.Mutex
	pending         []byte
	needsFlush      bool                    // pending grew since the last flush
	activeSnapshots map[feed.Partition]bool // under way
	bulkTransfers   map[feed.Partition]*bulkTransfer
}

func newPeerSet(ctx context.Context, running *sync.WaitGroup) *peerSet {
	return &peerSet{context: ctx, goroutines: running, byAddress: make(map[netip.AddrPort]*peer),
		learnedAddresses: make(map[consensus.ReplicaID]netip.AddrPort)}
}

// get returns the peer at an address.
func (s *peerSet) get(address netip.AddrPort) *peer {
	remote := s.byAddress[address]
	if remote != nil {
		return remote
	}
	ctx, cancel := context.WithCancel(s.context)
	remote = &peer{client: rpc.NewClient(address, peerOptions), wake: make(chan struct{}, 1), cancel: cancel,
		activeSnapshots: make(map[feed.Partition]bool), bulkTransfers: make(map[feed.Partition]*bulkTransfer)}
	s.byAddress[address] = remote
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		remote.runSender(ctx)
	}()
	return remote
}

// retain ends the peers at all other addresses.
func (s *peerSet) retain(addresses map[netip.AddrPort]bool) {
	for address, p := range s.byAddress {
		if !addresses[address] {
			p.cancel()
			delete(s.byAddress, address)
		}
	}
}

// learnAddress notes where a replica is.
func (s *peerSet) learnAddress(id consensus.ReplicaID, address netip.AddrPort) {
	if len(s.learnedAddresses) >= maxLearnedAddresses {
		clear(s.learnedAddresses)
	}
	s.learnedAddresses[id] = address
}

func (s *peerSet) learnedAddress(id consensus.ReplicaID) (netip.AddrPort, bool) {
	address, known := s.learnedAddresses[id]
	return address, known
}

// send puts a message on its way; it is lost where the peer is not reached or too slow.
func (s *peerSet) send(address netip.AddrPort, partition feed.Partition, message *consensus.Message) {
	remote := s.get(address)
	remote.mutex.Lock()
	defer remote.mutex.Unlock()
	under := remote.bulkTransfers[partition]
	way, message := under.route(message)
	switch {
	case way == bulkConnection && under == nil:
		s.startBulkTransfer(address, remote, partition, message)
	case way == bulkConnection:
		under.add(partition, message)
	case way == ordinaryConnection && len(remote.pending) < maxPendingBytes:
		remote.pending = appendMessage(remote.pending, partition, message)
		remote.needsFlush = true
	}
}

// flush wakes the peers that have got messages.
func (s *peerSet) flush() {
	for _, remote := range s.byAddress {
		remote.mutex.Lock()
		fresh := remote.needsFlush
		remote.needsFlush = false
		remote.mutex.Unlock()
		if !fresh {
			continue
		}
		select {
		case remote.wake <- struct{}{}:
		default:
		}
	}
}

// runSender sends what gathers.
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
		// What fails is not sent again here: the machines themselves do that, with newer messages.
		_ = deliverCall.Send(ctx, p.client, &DeliverRequest{Messages: batch})
		spare = batch
		if cap(spare) > maxReusedBufferBytes {
			spare = nil
		}
	}
}
