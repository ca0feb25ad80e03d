// Package virtualcluster runs clusters of membership nodes over a simulated network in virtual time. The nodes are
// the real state machines; everything else is drawn from a seed, so that a failing run can be reproduced exactly. It
// isn't safe for concurrent use.
package virtualcluster

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"cinderroad/internal/shared/membership"
)

// Options configure a network. Shares are between 0 and 1.
type Options struct {
	Seed          uint64
	LossRate      float64 // share of messages lost
	Delay         float64 // latency in seconds
	Jitter        float64 // up to this much more, uniformly distributed
	DuplicateRate float64 // share of messages delivered twice
	ProbeInterval float64 // of the nodes, in seconds; 0: 1
	PlainSWIM     bool    // SWIM as first published, without the extensions
	EncodeEvery   int     // every n-th message is encoded, and its size counted for those until the next; 0: none
}

// Network is the simulated network, its nodes and the clock.
type Network struct {
	Options
	Now   float64
	Nodes []*Node
	// Partitioned reports whether messages from one node to another are lost; nil: none are.
	Partitioned func(from, to *Node) bool
	// LossRateBetween overrides LossRate; nil: LossRate applies to all links.
	LossRateBetween func(from, to *Node) float64
	// NewDelegate returns the delegate for a new process of a node; nil: none.
	NewDelegate func(n *Node) membership.Delegate
	// AfterEvent is called after each event of a node; nil: none.
	AfterEvent func(n *Node)

	random          *rand.Rand
	events          eventHeap
	lastSequence    uint64
	nodesByAddress  map[netip.AddrPort]*Node
	lastMessageSize float64 // bytes
	messageCount    int
}

type event struct {
	at        float64
	sequence  uint64
	node      *Node
	message   *membership.Message // nil: a tick, or run
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

// New creates a network of n nodes without processes.
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

// Schedule calls a function at a time.
func (network *Network) Schedule(at float64, do func()) { network.pushEvent(event{at: at, run: do}) }

// Run runs all events up to a time.
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

// RunUntil runs in steps until the condition holds; ok is false if it doesn't within limit seconds. It returns the
// time taken in seconds.
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

// Flush sends a node's pending messages after a direct call to its Membership.
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

func (network *Network) send(from *Node, packet membership.Packet) {
	from.Sent++
	if network.EncodeEvery > 0 {
		if network.messageCount%network.EncodeEvery == 0 {
			b, err := membership.Encode(packet.Message)
			if err != nil {
				panic(fmt.Sprintf("seed %d: %v: %+v", network.Seed, err, packet.Message))
			}
			network.lastMessageSize = float64(len(b))
		}
		network.messageCount++
		from.Bytes += network.lastMessageSize
	}
	to := network.nodesByAddress[packet.To]
	if to == nil || network.Partitioned != nil && network.Partitioned(from, to) {
		return
	}
	drop := network.LossRate
	if network.LossRateBetween != nil {
		drop = network.LossRateBetween(from, to)
	}
	for range 2 {
		if drop == 0 || network.random.Float64() >= drop {
			network.pushEvent(event{at: network.Now + network.Delay + network.Jitter*network.random.Float64() + to.ProcessingDelay, node: to, message: packet.Message})
		}
		if network.DuplicateRate == 0 || network.random.Float64() >= network.DuplicateRate {
			break
		}
	}
}

// Converged reports whether all running nodes have the same membership digest, and how many members are alive in it.
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

// RunningCount returns the number of nodes with a running process.
func (network *Network) RunningCount() (n int) {
	for _, node := range network.Nodes {
		if node.Membership != nil && !node.Paused {
			n++
		}
	}
	return n
}
