// Package virtualcluster runs clusters of membership nodes over a simulated network in virtual time. The nodes are
// the real state machines; everything else is drawn from a seed, so that a failing run can be reproduced exactly. It
// isn't safe for concurrent use.
package virtualcluster

import (
	"fmt"
	"math/rand/v2"
	"net/netip"

	"cinderroad/internal/shared/membership"
	"cinderroad/internal/testkit/eventqueue"
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

const (
	startTime       = 1000 // seconds; 0 would mean "never" to the nodes
	minTickInterval = 1e-3 // seconds
)

// Network is the simulated network, its nodes and the clock.
type Network struct {
	Options
	Now   float64 // seconds
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
	events          eventqueue.Queue
	nodesByAddress  map[netip.AddrPort]*Node
	lastMessageSize float64 // bytes
	messageCount    int
}

// New creates a network of n nodes without processes.
func New(options Options, n int) *Network {
	if options.ProbeInterval == 0 {
		options.ProbeInterval = 1
	}
	network := &Network{
		Options:        options,
		Now:            startTime,
		random:         rand.New(rand.NewPCG(options.Seed, 1)),
		nodesByAddress: map[netip.AddrPort]*Node{},
	}
	for i := range n {
		network.AddNode(fmt.Sprintf("m%04d", i))
	}
	return network
}

// Schedule calls a function at a time.
func (network *Network) Schedule(at float64, do func()) { network.events.Schedule(at, do) }

// Run runs all events up to a time.
func (network *Network) Run(until float64) {
	for {
		at, run, ok := network.events.PopUntil(until)
		if !ok {
			break
		}
		network.Now = max(network.Now, at)
		run()
	}
	network.Now = until
}

// scheduleTick schedules a tick of a node's process. It has no effect if another tick is scheduled by restartTicks, or
// the process ends, before.
func (network *Network) scheduleTick(node *Node, at float64) {
	epoch := node.tickEpoch
	network.Schedule(at, func() {
		if node.Membership != nil && !node.Paused && node.tickEpoch == epoch {
			network.tick(node)
		}
	})
}

func (network *Network) tick(node *Node) {
	node.Membership.Tick(network.Now)
	network.scheduleTick(node, max(network.Now+minTickInterval, node.Membership.NextTick()+node.ProcessingDelay))
	network.collectOutput(node)
}

// scheduleMessage schedules the delivery of a message to whichever process a node then has.
func (network *Network) scheduleMessage(node *Node, message *membership.Message, at float64) {
	network.Schedule(at, func() {
		switch {
		case node.Membership == nil:
		case node.Paused:
			node.bufferMessage(message)
		default:
			node.Membership.HandleMessage(network.Now, message)
			network.collectOutput(node)
		}
	})
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
		network.countBytes(from, packet.Message)
	}
	to := network.nodesByAddress[packet.To]
	if to == nil || network.Partitioned != nil && network.Partitioned(from, to) {
		return
	}
	lossRate := network.LossRate
	if network.LossRateBetween != nil {
		lossRate = network.LossRateBetween(from, to)
	}
	for range 2 { // once, or twice if the message is duplicated
		if lossRate == 0 || network.random.Float64() >= lossRate {
			arrival := network.Now + network.Delay + network.Jitter*network.random.Float64()
			network.scheduleMessage(to, packet.Message, arrival+to.ProcessingDelay)
		}
		if network.DuplicateRate == 0 || network.random.Float64() >= network.DuplicateRate {
			break
		}
	}
}

// countBytes counts the size of a sent message, as Options.EncodeEvery says.
func (network *Network) countBytes(from *Node, message *membership.Message) {
	if network.messageCount%network.EncodeEvery == 0 {
		b, err := membership.Encode(message)
		if err != nil {
			panic(fmt.Sprintf("seed %d: %v: %+v", network.Seed, err, message))
		}
		network.lastMessageSize = float64(len(b))
	}
	network.messageCount++
	from.Bytes += network.lastMessageSize
}

// Converged reports whether all running nodes have the same membership digest, and how many members are alive in it.
func (network *Network) Converged() (converged bool, alive int) {
	var first *membership.Node
	for _, node := range network.Nodes {
		if node.Membership == nil || node.Paused || node.Membership.Withdrawn() {
			continue
		}
		if first == nil {
			first = node.Membership
			alive, _, _ = first.CountByState()
		} else if node.Membership.Digest() != first.Digest() {
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
