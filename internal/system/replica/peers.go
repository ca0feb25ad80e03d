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
	bulkWithin  = time.Minute // for a large request to be sent and taken
	mostPending = 4 << 20     // bytes of messages that wait for a peer; more are dropped
	mostOrigins = 64
	keptBuffer  = 64 << 10 // larger buffers are given back once sent
)

// peers are the other machines, by the address of their control RPC. The host's mutex guards the maps.
type peers struct {
	context   context.Context
	running   *sync.WaitGroup
	byAddress map[netip.AddrPort]*peer
	// origins are addresses of replicas that the memberships at hand do not name, as they were told.
	origins map[consensus.ReplicaID]netip.AddrPort
}

// peer is another machine. Messages for it, of all partitions, gather until the connection takes them.
type peer struct {
	client *rpc.Client
	wake   chan struct{}
	ended  context.CancelFunc
	// joining: a request to be taken in is under way.
	joining atomic.Bool

	mutex     sync.Mutex
	pending   []byte
	fresh     bool                    // pending grew since the last flush
	snapshots map[feed.Partition]bool // under way
	transfers map[feed.Partition]*transfer
}

func newPeers(ctx context.Context, running *sync.WaitGroup) *peers {
	return &peers{context: ctx, running: running, byAddress: make(map[netip.AddrPort]*peer),
		origins: make(map[consensus.ReplicaID]netip.AddrPort)}
}

// at returns the peer at an address.
func (s *peers) at(address netip.AddrPort) *peer {
	p := s.byAddress[address]
	if p != nil {
		return p
	}
	ctx, cancel := context.WithCancel(s.context)
	p = &peer{client: rpc.NewClient(address, peerOptions), wake: make(chan struct{}, 1), ended: cancel,
		snapshots: make(map[feed.Partition]bool), transfers: make(map[feed.Partition]*transfer)}
	s.byAddress[address] = p
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		p.run(ctx)
	}()
	return p
}

// retain ends the peers at all other addresses.
func (s *peers) retain(addresses map[netip.AddrPort]bool) {
	for address, p := range s.byAddress {
		if !addresses[address] {
			p.ended()
			delete(s.byAddress, address)
		}
	}
}

// learn notes where a replica is.
func (s *peers) learn(id consensus.ReplicaID, address netip.AddrPort) {
	if len(s.origins) >= mostOrigins {
		clear(s.origins)
	}
	s.origins[id] = address
}

func (s *peers) origin(id consensus.ReplicaID) (netip.AddrPort, bool) {
	address, known := s.origins[id]
	return address, known
}

// send puts a message on its way; it is lost where the peer is not reached or too slow.
func (s *peers) send(address netip.AddrPort, partition feed.Partition, message *consensus.Message) {
	p := s.at(address)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	under := p.transfers[partition]
	way, message := under.laneOf(message)
	switch {
	case way == bulkLane && under == nil:
		s.startTransfer(address, p, partition, message)
	case way == bulkLane:
		under.take(partition, message)
	case way == ordinaryLane && len(p.pending) < mostPending:
		p.pending = appendMessage(p.pending, partition, message)
		p.fresh = true
	}
}

// flush wakes the peers that have got messages.
func (s *peers) flush() {
	for _, p := range s.byAddress {
		p.mutex.Lock()
		fresh := p.fresh
		p.fresh = false
		p.mutex.Unlock()
		if !fresh {
			continue
		}
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// run sends what gathers.
func (p *peer) run(ctx context.Context) {
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
		if cap(spare) > keptBuffer {
			spare = nil
		}
	}
}
