package virtualcluster

import (
	"net/netip"

	"cinderroad/internal/shared/membership"
)

// Node is one member's place: its process may be stopped, killed and started again.
type Node struct {
	Name            string
	Addr            netip.AddrPort
	Membership      *membership.Node // nil: no process
	Paused          bool
	ProcessingDelay float64 // seconds that the process takes longer to see a message or a deadline
	ClockSkew       float64 // seconds that its clock is ahead, for lives
	Sent            int
	Bytes           float64
	Changes         []Change
	tickEpoch       int // of its ticks
	buffered        []*membership.Message
}

// Change is a change that a member saw.
type Change struct {
	At float64
	membership.Change
}

// AddNode adds a place.
func (network *Network) AddNode(name string) *Node {
	i := len(network.Nodes)
	node := &Node{Name: name, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7946)}
	network.Nodes = append(network.Nodes, node)
	network.nodesByAddress[node.Addr] = node
	return node
}

// Start starts a process at a place; seeds are places.
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

// StartAll starts a process at each place, all within a span, with the first place as their seed.
func (network *Network) StartAll(within float64) {
	for _, node := range network.Nodes {
		network.Schedule(network.Now+within*network.random.Float64(), func() { network.Start(node, network.Nodes[0]) })
	}
	network.Run(network.Now + within)
}

// Kill ends the process of a place without a word.
func (network *Network) Kill(node *Node) {
	node.Membership, node.buffered = nil, nil
	node.tickEpoch++
}

// Pause stops a process; what comes meanwhile waits, as in a socket's buffer.
func (network *Network) Pause(node *Node) { node.Paused = true }

// Resume has it go on.
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

// maxBuffered is how many messages a socket's buffer holds.
const maxBuffered = 200
