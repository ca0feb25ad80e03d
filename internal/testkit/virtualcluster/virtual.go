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
	epoch           int // of its ticks
	held            []*membership.Message
}

// Change is a change that a member saw.
type Change struct {
	At float64
	membership.Change
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

	rng    *rand.Rand
	events events
	seq    uint64
	byAddr map[netip.AddrPort]*Node
	size   float64 // bytes of the last message that was encoded
	count  int
}

type event struct {
	at    float64
	seq   uint64
	node  *Node
	msg   *membership.Message // nil: a tick, or do
	epoch int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// New makes a network of n places without processes.
func New(o Options, n int) *Network {
	if o.ProbeInterval == 0 {
		o.ProbeInterval = 1
	}
	net := &Network{Options: o, Now: 1000, rng: rand.New(rand.NewPCG(o.Seed, 1)), byAddr: map[netip.AddrPort]*Node{}}
	for i := range n {
		net.AddNode(fmt.Sprintf("m%04d", i))
	}
	return net
}

// AddNode adds a place.
func (net *Network) AddNode(name string) *Node {
	i := len(net.Nodes)
	node := &Node{Name: name, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7946)}
	net.Nodes = append(net.Nodes, node)
	net.byAddr[node.Addr] = node
	return node
}

func (net *Network) push(e event) {
	net.seq++
	e.seq = net.seq
	heap.Push(&net.events, e)
}

// Schedule does something at a time.
func (net *Network) Schedule(at float64, do func()) { net.push(event{at: at, do: do}) }

// Start starts a process at a place; seeds are places.
func (net *Network) Start(node *Node, seeds ...*Node) {
	o := membership.Options{Cluster: "virtual", Name: node.Name, Addr: node.Addr, ProbeInterval: net.ProbeInterval, Generation: uint64((net.Now + node.ClockSkew) * 1e6),
		RandomSeed: net.rng.Uint64(), PlainSWIM: net.PlainSWIM, Metadata: membership.Metadata{Zone: "z", Version: "v1", Serving: "serving"}}
	if net.NewDelegate != nil {
		o.Delegate = net.NewDelegate(node)
	}
	for _, s := range seeds {
		o.Seeds = append(o.Seeds, s.Addr)
	}
	node.Membership = membership.New(o)
	node.Paused, node.held = false, nil
	node.epoch++
	node.Membership.Start(net.Now)
	net.after(node)
	net.tick(node)
}

// StartAll starts a process at each place, all within a span, with the first place as their seed.
func (net *Network) StartAll(within float64) {
	for _, node := range net.Nodes {
		net.Schedule(net.Now+within*net.rng.Float64(), func() { net.Start(node, net.Nodes[0]) })
	}
	net.Run(net.Now + within)
}

// Kill ends the process of a place without a word.
func (net *Network) Kill(node *Node) {
	node.Membership, node.held = nil, nil
	node.epoch++
}

// Pause stops a process; what comes meanwhile waits, as in a socket's buffer.
func (net *Network) Pause(node *Node) { node.Paused = true }

// Resume has it go on.
func (net *Network) Resume(node *Node) {
	node.Paused = false
	held := node.held
	node.held = nil
	for _, msg := range held {
		net.push(event{at: net.Now, node: node, msg: msg, epoch: node.epoch})
	}
	net.tick(node)
}

func (net *Network) tick(node *Node) {
	node.epoch++
	net.push(event{at: max(net.Now, node.Membership.NextTick()+node.ProcessingDelay), node: node, epoch: node.epoch})
}

// mostHeld is how many messages a socket's buffer holds.
const mostHeld = 200

// Run plays until a time.
func (net *Network) Run(until float64) {
	for len(net.events) > 0 && net.events[0].at <= until {
		e := heap.Pop(&net.events).(event)
		net.Now = max(net.Now, e.at)
		switch {
		case e.do != nil:
			e.do()
			continue
		case e.node.Membership == nil:
			continue
		case e.msg != nil && e.node.Paused:
			if len(e.node.held) < mostHeld {
				e.node.held = append(e.node.held, e.msg)
			}
			continue
		case e.msg != nil:
			e.node.Membership.HandleMessage(net.Now, e.msg)
		case e.epoch != e.node.epoch || e.node.Paused:
			continue
		default:
			e.node.Membership.Tick(net.Now)
			net.push(event{at: max(net.Now+1e-3, e.node.Membership.NextTick()+e.node.ProcessingDelay), node: e.node, epoch: e.node.epoch})
		}
		net.after(e.node)
	}
	net.Now = until
}

// RunUntil plays in steps until something holds, or a time has passed; it says whether it does.
func (net *Network) RunUntil(limit, step float64, ok func() bool) (took float64, held bool) {
	for from := net.Now; ; {
		if ok() {
			return net.Now - from, true
		}
		if net.Now >= from+limit {
			return net.Now - from, false
		}
		net.Run(net.Now + step)
	}
}

// Flush sends what a member has to send, after a call of its own.
func (net *Network) Flush(node *Node) { net.after(node) }

func (net *Network) after(node *Node) {
	for _, c := range node.Membership.TakeChanges() {
		node.Changes = append(node.Changes, Change{net.Now, c})
	}
	for _, p := range node.Membership.TakePackets() {
		net.deliver(node, p)
	}
	if net.AfterEvent != nil {
		net.AfterEvent(node)
	}
}

func (net *Network) deliver(from *Node, p membership.Packet) {
	from.Sent++
	if net.EncodeEvery > 0 {
		if net.count%net.EncodeEvery == 0 {
			b, err := membership.Encode(p.Message)
			if err != nil {
				panic(fmt.Sprintf("seed %d: %v: %+v", net.Seed, err, p.Message))
			}
			net.size = float64(len(b))
		}
		net.count++
		from.Bytes += net.size
	}
	to := net.byAddr[p.To]
	if to == nil || net.Partitioned != nil && net.Partitioned(from, to) {
		return
	}
	drop := net.LossRate
	if net.LossRateBetween != nil {
		drop = net.LossRateBetween(from, to)
	}
	for range 2 {
		if drop == 0 || net.rng.Float64() >= drop {
			net.push(event{at: net.Now + net.Delay + net.Jitter*net.rng.Float64() + to.ProcessingDelay, node: to, msg: p.Message})
		}
		if net.DuplicateRate == 0 || net.rng.Float64() >= net.DuplicateRate {
			break
		}
	}
}

// Converged says whether all members that run hold one view, and which number of living members it has.
func (net *Network) Converged() (one bool, alive int) {
	var digest uint64
	first := true
	for _, n := range net.Nodes {
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
func (net *Network) RunningCount() (n int) {
	for _, node := range net.Nodes {
		if node.Membership != nil && !node.Paused {
			n++
		}
	}
	return n
}
