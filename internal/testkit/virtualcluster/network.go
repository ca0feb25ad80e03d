// Package virtual runs fleets of members over a network of its own, in virtual time: the state machines are the real ones,
// everything else is drawn from a seed, so that a run that fails can be played again to the letter.
package virtualcluster

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"cinderroad/internal/shared/membership"
)

// Options are a network's.
type Options struct {
	Seed          uint64
	LossRate      float64 // share of the messages that get lost
	Delay         float64 // seconds that a message takes, at least
	Jitter        float64 // and more, drawn evenly
	DuplicateRate float64 // share that come twice
	ProbeInterval float64 // of the members; 0: 1 s
	PlainSWIM     bool    // SWIM as first published
	EncodeEvery   int     // every so many messages one is encoded and its bytes counted for all; 0: none is
}

// Network is the network and its members.
type Network struct {
	Options
	Now   float64
	Nodes []*Node
	// Partitioned says whether nothing gets from one member to another just now.
	Partitioned func(from, to *Node) bool
	// LossRateBetween is the share that gets lost from one to another; nil: Drop everywhere.
	LossRateBetween func(from, to *Node) float64
	// NewDelegate makes what rides along with a member's messages, for each of its processes; nil: nothing does.
	NewDelegate func(n *Node) membership.Delegate
	// AfterEvent is called after each thing that a member did.
	AfterEvent func(n *Node)

	random          *rand.Rand
	events          eventHeap
	lastSequence    uint64
	nodesByAddress  map[netip.AddrPort]*Node
	lastMessageSize float64 // bytes of the last message that was encoded
	messageCount    int
}

type event struct {
	at        float64
	sequence  uint64
	node      *Node
	message   *membership.Message // nil: a tick, or do
	tickEpoch int
	run       func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }

func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}

func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

func (e *eventHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// New makes a network of n places without processes.
func New(options Options, n int) *Network {
	if options.ProbeInterval == 0 {
		options.ProbeInterval = 1
	}
	network := &Network{Options: options, Now: 1000, random: rand.New(rand.NewPCG(options.Seed, 1)), nodesByAddress: map[netip.AddrPort]*Node{}}
	for i := range n {
		network.AddNode(fmt.Sprintf("m%04d", i))
	}
	return network
}

func (network *Network) pushEvent(e event) {
	network.lastSequence++
	e.sequence = network.lastSequence
	heap.Push(&network.events, e)
}

// Schedule does something at a time.
func (network *Network) Schedule(at float64, do func()) { network.pushEvent(event{at: at, run: do}) }

// Run plays until a time.
func (network *Network) Run(until float64) {
	for len(network.events) > 0 && network.events[0].at <= until {
		e := heap.Pop(&network.events).(event)
		network.Now = max(network.Now, e.at)
		switch {
		case e.run != nil:
			e.run()
			continue
		case e.node.Membership == nil:
			continue
		case e.message != nil && e.node.Paused:
			if len(e.node.buffered) < maxBuffered {
				e.node.buffered = append(e.node.buffered, e.message)
			}
			continue
		case e.message != nil:
			e.node.Membership.HandleMessage(network.Now, e.message)
		case e.tickEpoch != e.node.tickEpoch || e.node.Paused:
			continue
		default:
			e.node.Membership.Tick(network.Now)
			network.pushEvent(event{at: max(network.Now+1e-3, e.node.Membership.NextTick()+e.node.ProcessingDelay), node: e.node, tickEpoch: e.node.tickEpoch})
		}
		network.collectOutput(e.node)
	}
	network.Now = until
}

// RunUntil plays in steps until something holds, or a time has passed; it says whether it does.
func (network *Network) RunUntil(limit, step float64, condition func() bool) (took float64, ok bool) {
	for from := network.Now; ; {
		if condition() {
			return network.Now - from, true
		}
		if network.Now >= from+limit {
			return network.Now - from, false
		}
		network.Run(network.Now + step)
	}
}

// Flush sends what a member has to send, after a call of its own.
func (network *Network) Flush(node *Node) { network.collectOutput(node) }

func (network *Network) collectOutput(node *Node) {
	for _, change := range node.Membership.TakeChanges() {
		node.Changes = append(node.Changes, Change{network.Now, change})
	}
	for _, packet := range node.Membership.TakePackets() {
		network.send(node, packet)
	}
	if network.AfterEvent != nil {
		network.AfterEvent(node)
	}
}

func (network *Network) send(from *Node, p membership.Packet) {
	from.Sent++
	if network.EncodeEvery > 0 {
		if network.messageCount%network.EncodeEvery == 0 {
			b, err := membership.Encode(p.Message)
			if err != nil {
				panic(fmt.Sprintf("seed %d: %v: %+v", network.Seed, err, p.Message))
			}
			network.lastMessageSize = float64(len(b))
		}
		network.messageCount++
		from.Bytes += network.lastMessageSize
	}
	to := network.nodesByAddress[p.To]
	if to == nil || network.Partitioned != nil && network.Partitioned(from, to) {
		return
	}
	drop := network.LossRate
	if network.LossRateBetween != nil {
		drop = network.LossRateBetween(from, to)
	}
	for range 2 {
		if drop == 0 || network.random.Float64() >= drop {
			network.pushEvent(event{at: network.Now + network.Delay + network.Jitter*network.random.Float64() + to.ProcessingDelay, node: to, message: p.Message})
		}
		if network.DuplicateRate == 0 || network.random.Float64() >= network.DuplicateRate {
			break
		}
	}
}

// Converged says whether all members that run hold one view, and which number of living members it has.
func (network *Network) Converged() (one bool, alive int) {
	var digest uint64
	first := true
	for _, n := range network.Nodes {
		if n.Membership == nil || n.Paused || n.Membership.Withdrawn() {
			continue
		}
		a, _, _ := n.Membership.CountByState()
		if first {
			digest, alive, first = n.Membership.Digest(), a, false
		} else if n.Membership.Digest() != digest {
			return false, alive
		}
	}
	return true, alive
}

// RunningCount is how many processes run.
func (network *Network) RunningCount() (n int) {
	for _, node := range network.Nodes {
		if node.Membership != nil && !node.Paused {
			n++
		}
	}
	return n
}
