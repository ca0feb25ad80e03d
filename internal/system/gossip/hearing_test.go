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
	cutSeeds = 150
	// judgedWithin is how long it takes at most until a member that was killed is held to be dead.
	judgedWithin = 25.0
)

// TestMachineThatHearsNobodyKeepsTheOthers closes all others without a word.
func TestMachineThatHearsNobodyKeepsTheOthers(t *testing.T) {
	c := small(t)
	core := c.members["core-1"]
	state := func(members []Member, node string) State {
		for _, m := range members {
			if m.Node == node {
				return m.State
			}
		}
		return Left
	}
	c.members["edge-3"].Close()
	c.wait("edge-3 is dead, and somebody has answered since", func() bool {
		edge := c.find(core, "edge-3")
		core.mutex.Lock()
		defer core.mutex.Unlock()
		return edge.State == Dead && core.hearing.at > core.changedAt(&edge)
	})
	for _, node := range []string{"core-2", "edge-1", "edge-2"} {
		c.members[node].Close()
	}
	c.wait("all others are dead, as far as core-1 can tell", func() bool {
		return state(core.View(), "edge-1") == Dead && state(core.View(), "edge-2") == Dead
	})
	for node, dead := range map[string]bool{"edge-1": false, "edge-2": false, "edge-3": true} {
		if got := state(core.LastHeard(), node); (got == Dead) != dead {
			t.Errorf("%s was %v when somebody was last heard", node, got)
		}
	}
	options := c.options("edge-4", Edge, "a1")
	options.Seeds = []netip.AddrPort{core.Address()}
	c.start(options)
	c.wait("edge-4 is heard, the others are dead", func() bool {
		return state(core.LastHeard(), "edge-4") == Alive && state(core.LastHeard(), "edge-1") == Dead
	})
}

// virtual is a system's membership in virtual time, with one machine that is cut off from all others for a while.
type virtual struct {
	random *rand.Rand
	now    float64
	nodes  []*node
	byAddr map[netip.AddrPort]*node
	flying []flying
	delay  float64 // at most
	cut    cut     // of the first node
}

// cut says which messages of the first node are lost.
type cut struct{ in, out bool }

// node is a member without a socket.
type node struct {
	*Gossip
	up       bool
	killedAt float64
}

// flying is a message on its way.
type flying struct {
	at       float64
	from, to *node
	message  *membership.Message
}

func newVirtual(seed uint64) *virtual {
	random := rand.New(rand.NewPCG(seed, 7))
	v := &virtual{random: random, byAddr: map[netip.AddrPort]*node{}, delay: 0.001 + 0.09*random.Float64()}
	edges := 4 + random.IntN(24)
	first := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(processconfig.GossipPort))
	for i := range 2 + edges {
		role := Edge
		if i < 2 {
			role = Control
		}
		g := &Gossip{epoch: time.Now(), address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), first.Port()),
			options: Options{Node: fmt.Sprint("node-", i), Role: role, Period: DefaultPeriod, Seeds: []netip.AddrPort{first}}}
		g.facts = membership.Facts{Role: string(role), Serving: string(ServingNow), Front: fmt.Sprintf("10.0.0.%d:80", i+1)}
		options := g.machineOptions()
		options.Seed, options.Life = random.Uint64(), 1
		g.machine = membership.New(options)
		n := &node{Gossip: g, up: true}
		v.nodes, v.byAddr[g.address] = append(v.nodes, n), n
	}
	return v
}

// send puts what a node has to say on its way.
func (v *virtual) send(n *node) {
	for _, packet := range n.machine.Out() {
		if to := v.byAddr[packet.To]; to != nil {
			v.flying = append(v.flying, flying{v.now + v.delay*v.random.Float64(), n, to, packet.Msg})
		}
	}
	n.machine.Changes()
	n.machine.Settlings()
}

// run plays until a time.
func (v *virtual) run(until float64) {
	const step = 0.02
	for ; v.now < until; v.now += step {
		arrived := v.flying
		v.flying = nil
		for _, f := range arrived {
			v.arrive(f)
		}
		for _, n := range v.nodes {
			if n.up && v.now >= n.machine.Next() {
				n.machine.Tick(v.now)
				v.send(n)
			}
			n.hearing.look(v.now, silentPeriods*n.options.Period.Seconds(), n.members, n.changedAt)
		}
	}
}

func (v *virtual) arrive(f flying) {
	if f.at > v.now {
		v.flying = append(v.flying, f)
		return
	}
	if !f.to.up || v.cut.in && f.to == v.nodes[0] || v.cut.out && f.from == v.nodes[0] {
		return
	}
	f.to.hearing.received(v.now, f.message)
	f.to.machine.Receive(v.now, f.message)
	v.send(f.to)
}

// kill ends some of the edges.
func (v *virtual) kill(share float64) {
	for _, n := range v.nodes[2:] {
		if n.up && v.random.Float64() < share {
			n.up, n.killedAt = false, v.now
		}
	}
}

// killed is how many edges were killed.
func (v *virtual) killed() (count int) {
	for _, n := range v.nodes {
		if !n.up {
			count++
		}
	}
	return count
}

// check sees that the cut-off machine names who was there when it last heard anybody, and nobody who was dead then.
func (v *virtual) check(lastHeard float64) error {
	members := v.nodes[0].LastHeard()
	if len(members) < len(v.nodes)-v.killed() {
		return fmt.Errorf("at %.1f: %d members of %d are known", v.now, len(members), len(v.nodes))
	}
	for _, member := range members {
		n := v.byAddr[netip.AddrPortFrom(member.Address, v.nodes[0].address.Port())]
		switch {
		case n.killedAt > 0 && n.killedAt < lastHeard-judgedWithin && member.State <= Suspect:
			return fmt.Errorf("at %.1f: %s, killed at %.1f, is %v", v.now, member.Node, n.killedAt, member.State)
		case (n.killedAt == 0 || n.killedAt > lastHeard) && member.State > Suspect:
			return fmt.Errorf("at %.1f: %s, killed at %.1f, is %v", v.now, member.Node, n.killedAt, member.State)
		}
	}
	return nil
}

// play has edges be killed before, in and after a time in which the first machine is cut off.
func (v *virtual) play(ways cut) error {
	for _, n := range v.nodes {
		n.machine.Start(v.now)
		v.send(n)
	}
	v.run(20)
	v.kill(0.2)
	v.run(v.now + judgedWithin + 1)
	v.cut = ways
	lastHeard := v.now
	for end := v.now + 20 + 40*v.random.Float64(); v.now < end; {
		v.kill(0.01)
		v.run(v.now + 1)
		if v.now < lastHeard+silentPeriods*DefaultPeriod.Seconds()+2*v.delay {
			continue
		}
		if err := v.check(lastHeard); err != nil {
			return err
		}
	}
	v.cut = cut{}
	v.run(v.now + judgedWithin + 1)
	return v.check(v.now)
}

// TestCutOffMachineNamesWhoWasThere plays drawn systems in virtual time, with cuts in either and in both directions.
func TestCutOffMachineNamesWhoWasThere(t *testing.T) {
	ways := []cut{{in: true, out: true}, {in: true}, {out: true}}
	for seed := uint64(1); seed <= cutSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			way := ways[seed%uint64(len(ways))]
			if err := newVirtual(seed).play(way); err != nil {
				t.Errorf("seed %d, cut %+v, %v", seed, way, err)
			}
		})
	}
}
