package gossip

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"cinderroad/internal/shared/membership"
	"cinderroad/internal/system/processconfig"
)

const (
	simulationSeeds = 150
	// detectionBound is the longest time, in seconds, until a killed member is detected to be dead.
	detectionBound = 25.0
)

// TestIsolatedMemberRetainsConfirmedView closes all other members without a leave.
func TestIsolatedMemberRetainsConfirmedView(t *testing.T) {
	cluster := newSmallCluster(t)
	core := cluster.members["core-1"]
	state := func(members []Member, node string) State {
		for _, m := range members {
			if m.Node == node {
				return m.State
			}
		}
		return Left
	}
	cluster.members["edge-3"].Close()
	cluster.wait("edge-3 is dead, and somebody has answered since", func() bool {
		edge := cluster.memberOf(core, "edge-3")
		core.mutex.Lock()
		defer core.mutex.Unlock()
		return edge.State == Dead && core.isolation.lastAckAt > core.changedAt(&edge)
	})
	for _, node := range []string{"core-2", "edge-1", "edge-2"} {
		cluster.members[node].Close()
	}
	cluster.wait("all others are dead, as far as core-1 can tell", func() bool {
		return state(core.View(), "edge-1") == Dead && state(core.View(), "edge-2") == Dead
	})
	for node, dead := range map[string]bool{"edge-1": false, "edge-2": false, "edge-3": true} {
		if got := state(core.LastConfirmedView(), node); (got == Dead) != dead {
			t.Errorf("%s was %v at the last acknowledgment", node, got)
		}
	}
	options := cluster.options("edge-4", Edge, "a1")
	options.Seeds = []netip.AddrPort{core.Address()}
	cluster.start(options)
	cluster.wait("edge-4 is heard, the others are dead", func() bool {
		return state(core.LastConfirmedView(), "edge-4") == Alive && state(core.LastConfirmedView(), "edge-1") == Dead
	})
}

// simulation is a system's membership in virtual time. One node is cut off from all others for a while.
type simulation struct {
	random    *rand.Rand
	now       float64
	nodes     []*simulatedNode
	nodeAt    map[netip.AddrPort]*simulatedNode
	inFlight  []inFlightPacket
	maxDelay  float64   // of a message, at most, in seconds
	partition partition // of the first node
}

// partition is which messages of the first node are lost.
type partition struct{ inbound, outbound bool }

// simulatedNode is a member without a socket.
type simulatedNode struct {
	*Memberlist
	up       bool
	killedAt float64
}

// inFlightPacket is a message on its way, delivered at a time.
type inFlightPacket struct {
	at       float64
	from, to *simulatedNode
	message  *membership.Message
}

func newSimulation(seed uint64) *simulation {
	random := rand.New(rand.NewPCG(seed, 7))
	sim := &simulation{random: random, nodeAt: map[netip.AddrPort]*simulatedNode{}, maxDelay: 0.001 + 0.09*random.Float64()}
	edges := 4 + random.IntN(24)
	first := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(processconfig.GossipPort))
	for i := range 2 + edges {
		role := Edge
		if i < 2 {
			role = Control
		}
		list := &Memberlist{
			epoch:   time.Now(),
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), first.Port()),
			options: Options{
				Node:          fmt.Sprint("node-", i),
				Role:          role,
				ProbeInterval: DefaultProbeInterval,
				Seeds:         []netip.AddrPort{first},
			},
		}
		list.metadata = membership.Metadata{Role: string(role), Serving: string(ServingNow), Front: fmt.Sprintf("10.0.0.%d:80", i+1)}
		options := list.nodeOptions()
		options.RandomSeed = random.Uint64()
		options.Generation = 1
		list.node = membership.New(options)
		n := &simulatedNode{Memberlist: list, up: true}
		sim.nodes = append(sim.nodes, n)
		sim.nodeAt[list.address] = n
	}
	return sim
}

// send puts a node's messages in flight.
func (s *simulation) send(n *simulatedNode) {
	for _, packet := range n.node.TakePackets() {
		if to := s.nodeAt[packet.To]; to != nil {
			s.inFlight = append(s.inFlight, inFlightPacket{s.now + s.maxDelay*s.random.Float64(), n, to, packet.Message})
		}
	}
	n.node.TakeChanges()
	n.node.TakeConvergenceTimes()
}

// run plays until a time.
func (s *simulation) run(until float64) {
	const step = 0.02
	for ; s.now < until; s.now += step {
		arrived := s.inFlight
		s.inFlight = nil
		for _, f := range arrived {
			s.deliver(f)
		}
		for _, n := range s.nodes {
			if n.up && s.now >= n.node.NextTick() {
				n.node.Tick(s.now)
				s.send(n)
			}
			n.isolation.update(s.now, isolationProbes*n.options.ProbeInterval.Seconds(), n.currentMembers, n.changedAt)
		}
	}
}

func (s *simulation) deliver(p inFlightPacket) {
	if p.at > s.now {
		s.inFlight = append(s.inFlight, p)
		return
	}
	if !p.to.up || s.partition.inbound && p.to == s.nodes[0] || s.partition.outbound && p.from == s.nodes[0] {
		return
	}
	p.to.isolation.handleMessage(s.now, p.message)
	p.to.node.HandleMessage(s.now, p.message)
	s.send(p.to)
}

// killEdges ends a fraction of the edges.
func (s *simulation) killEdges(fraction float64) {
	for _, n := range s.nodes[2:] {
		if n.up && s.random.Float64() < fraction {
			n.up = false
			n.killedAt = s.now
		}
	}
}

// killedCount returns how many edges were killed.
func (s *simulation) killedCount() (count int) {
	for _, n := range s.nodes {
		if !n.up {
			count++
		}
	}
	return count
}

// checkConfirmedView fails unless the isolated node's confirmed view has all members that were alive when it was last
// connected, and none that was dead then.
func (s *simulation) checkConfirmedView(connectedUntil float64) error {
	members := s.nodes[0].LastConfirmedView()
	if len(members) < len(s.nodes)-s.killedCount() {
		return fmt.Errorf("at %.1f: %d members of %d are known", s.now, len(members), len(s.nodes))
	}
	for _, member := range members {
		n := s.nodeAt[netip.AddrPortFrom(member.Address, s.nodes[0].address.Port())]
		switch {
		case n.killedAt > 0 && n.killedAt < connectedUntil-detectionBound && member.State <= Suspect:
			return fmt.Errorf("at %.1f: %s, killed at %.1f, is %v", s.now, member.Node, n.killedAt, member.State)
		case (n.killedAt == 0 || n.killedAt > connectedUntil) && member.State > Suspect:
			return fmt.Errorf("at %.1f: %s, killed at %.1f, is %v", s.now, member.Node, n.killedAt, member.State)
		}
	}
	return nil
}

// play kills edges before, during and after a time in which the first node is cut off.
func (s *simulation) play(ways partition) error {
	for _, n := range s.nodes {
		n.node.Start(s.now)
		s.send(n)
	}
	s.run(20)
	s.killEdges(0.2)
	s.run(s.now + detectionBound + 1)
	s.partition = ways
	connectedUntil := s.now
	for end := s.now + 20 + 40*s.random.Float64(); s.now < end; {
		s.killEdges(0.01)
		s.run(s.now + 1)
		if s.now < connectedUntil+isolationProbes*DefaultProbeInterval.Seconds()+2*s.maxDelay {
			continue
		}
		if err := s.checkConfirmedView(connectedUntil); err != nil {
			return err
		}
	}
	s.partition = partition{}
	s.run(s.now + detectionBound + 1)
	return s.checkConfirmedView(s.now)
}

// TestIsolatedMemberViewSimulation plays random systems in virtual time, with partitions in either and in both
// directions.
func TestIsolatedMemberViewSimulation(t *testing.T) {
	ways := []partition{{inbound: true, outbound: true}, {inbound: true}, {outbound: true}}
	for seed := uint64(1); seed <= simulationSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			way := ways[seed%uint64(len(ways))]
			if err := newSimulation(seed).play(way); err != nil {
				t.Errorf("seed %d, cut %+v, %v", seed, way, err)
			}
		})
	}
}
