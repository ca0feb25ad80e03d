package virtualcluster

import (
	"net/netip"

	"cinderroad/internal/shared/membership"
)

const (
	maxBuffered           = 200 // messages that a paused node's socket buffers
	nodePort              = 7946
	microsecondsPerSecond = 1e6
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
	tickEpoch       int                   // ticks that were scheduled in an earlier one have no effect
	buffered        []*membership.Message // while paused
}

// Change is a membership change that a node observed, and when.
type Change struct {
	At float64
	membership.Change
}

// AddNode adds a node without a process.
func (network *Network) AddNode(name string) *Node {
	i := len(network.Nodes)
	ip := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
	node := &Node{Name: name, Addr: netip.AddrPortFrom(ip, nodePort)}
	network.Nodes = append(network.Nodes, node)
	network.nodesByAddress[node.Addr] = node
	return node
}

// Start starts a process at a node, which joins through the seeds.
func (network *Network) Start(node *Node, seeds ...*Node) {
	options := membership.Options{
		Cluster:       "virtual",
		Name:          node.Name,
		Addr:          node.Addr,
		ProbeInterval: network.ProbeInterval,
		Generation:    uint64((network.Now + node.ClockSkew) * microsecondsPerSecond),
		RandomSeed:    network.random.Uint64(),
		PlainSWIM:     network.PlainSWIM,
		Metadata:      membership.Metadata{Zone: "z", Version: "v1", Serving: "serving"},
	}
	if network.NewDelegate != nil {
		options.Delegate = network.NewDelegate(node)
	}
	for _, seed := range seeds {
		options.Seeds = append(options.Seeds, seed.Addr)
	}
	node.Membership = membership.New(options)
	node.Paused = false
	node.buffered = nil
	node.Membership.Start(network.Now)
	network.collectOutput(node)
	network.restartTicks(node)
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
	node.Membership = nil
	node.buffered = nil
	node.tickEpoch++
}

// Pause suspends the process; messages are buffered, as in a socket.
func (network *Network) Pause(node *Node) { node.Paused = true }

// Resume continues a paused process.
func (network *Network) Resume(node *Node) {
	node.Paused = false
	buffered := node.buffered
	node.buffered = nil
	for _, message := range buffered {
		network.scheduleMessage(node, message, network.Now)
	}
	network.restartTicks(node)
}

// restartTicks schedules the next tick, and invalidates those scheduled before.
func (network *Network) restartTicks(node *Node) {
	node.tickEpoch++
	network.scheduleTick(node, max(network.Now, node.Membership.NextTick()+node.ProcessingDelay))
}

// bufferMessage keeps a message for when the process continues, as its socket would: what does not fit is lost.
func (node *Node) bufferMessage(message *membership.Message) {
	if len(node.buffered) < maxBuffered {
		node.buffered = append(node.buffered, message)
	}
}
