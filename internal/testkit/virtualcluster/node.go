package virtualcluster

import (
	"net/netip"

	"cinderroad/internal/shared/membership"
)

// Node is a node of the network, whose process may be paused, killed and restarted.
type Node struct {
	Name            string
	Addr            netip.AddrPort
	Membership      *membership.Node // nil: no process
	Paused          bool
	ProcessingDelay float64 // added in seconds to each message and timer
	ClockSkew       float64 // seconds that its clock is ahead; affects generations
	Sent            int
	Bytes           float64
	Changes         []Change
	tickEpoch       int // invalidates scheduled ticks
	buffered        []*membership.Message
}

// Change is a membership change that a node observed, and when.
type Change struct {
	At float64
	membership.Change
}

// AddNode adds a node without a process.
func (network *Network) AddNode(name string) *Node {
	i := len(network.Nodes)
	node := &Node{Name: name, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7946)}
	network.Nodes = append(network.Nodes, node)
	network.nodesByAddress[node.Addr] = node
	return node
}

// Start starts a process at a node, which joins through the seeds.
func (network *Network) Start(node *Node, seeds ...*Node) {
	o := membership.Options{Cluster: "virtual", Name: node.Name, Addr: node.Addr, ProbeInterval: network.ProbeInterval, Generation: uint64((network.Now + node.ClockSkew) * 1e6),
		RandomSeed: network.random.Uint64(), PlainSWIM: network.PlainSWIM, Metadata: membership.Metadata{Zone: "z", Version: "v1", Serving: "serving"}}
	if network.NewDelegate != nil {
		o.Delegate = network.NewDelegate(node)
	}
	for _, s := range seeds {
		o.Seeds = append(o.Seeds, s.Addr)
	}
	node.Membership = membership.New(o)
	node.Paused, node.buffered = false, nil
	node.tickEpoch++
	node.Membership.Start(network.Now)
	network.collectOutput(node)
	network.scheduleTick(node)
}

// StartAll starts processes at all nodes at random times within a duration, with the first node as seed.
func (network *Network) StartAll(within float64) {
	for _, node := range network.Nodes {
		network.Schedule(network.Now+within*network.random.Float64(), func() { network.Start(node, network.Nodes[0]) })
	}
	network.Run(network.Now + within)
}

// Kill ends the process without notice to the others.
func (network *Network) Kill(node *Node) {
	node.Membership, node.buffered = nil, nil
	node.tickEpoch++
}

// Pause suspends the process; messages are buffered, as in a socket.
func (network *Network) Pause(node *Node) { node.Paused = true }

// Resume continues a paused process.
func (network *Network) Resume(node *Node) {
	node.Paused = false
	held := node.buffered
	node.buffered = nil
	for _, msg := range held {
		network.pushEvent(event{at: network.Now, node: node, message: msg, tickEpoch: node.tickEpoch})
	}
	network.scheduleTick(node)
}

func (network *Network) scheduleTick(node *Node) {
	node.tickEpoch++
	network.pushEvent(event{at: max(network.Now, node.Membership.NextTick()+node.ProcessingDelay), node: node, tickEpoch: node.tickEpoch})
}

// maxBuffered is the number of messages that a paused node's socket buffers.
const maxBuffered = 200
