package versions_test

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"

	"cinderroad/internal/dispatcher/cluster/versions"
	"cinderroad/internal/shared/lease"
	"cinderroad/internal/shared/membership"
	"cinderroad/internal/testkit/virtualcluster"
)

var (
	size      = flag.Int("fleet.size", 0, "fleets of this size alone")
	sizeSeeds = flag.Int("fleet.sizeseeds", 10, "and so many of them")
)

// leaseSimulation plays discovery and the leases of a virtual cluster, a second at a time.
type leaseSimulation struct {
	net              *virtualcluster.Network
	boards           map[*virtualcluster.Node]*versions.Table
	withoutDiscovery map[*virtualcluster.Node]bool // its discovery is silent
	group            map[*virtualcluster.Node]int  // members of different groups are separated
	maxOut           int
	violations       []string
	informedSince    map[*virtualcluster.Node]float64 // time since when it must have a fresh update
}

func newLeaseSimulation(t *testing.T, seed uint64, n int, loss float64) *leaseSimulation {
	t.Helper()
	net, tables := newTestCluster(t, seed, n, loss)
	l := &leaseSimulation{
		net:              net,
		boards:           tables,
		withoutDiscovery: map[*virtualcluster.Node]bool{},
		group:            map[*virtualcluster.Node]int{},
		informedSince:    map[*virtualcluster.Node]float64{},
	}
	net.Partitioned = func(from, to *virtualcluster.Node) bool { return l.group[from] != l.group[to] }
	l.run(30)
	return l
}

func (sim *leaseSimulation) run(seconds int) {
	for s := range seconds {
		sim.net.Run(sim.net.Now + 1)
		for i, node := range sim.net.Nodes {
			if table := sim.boards[node]; !node.Paused && !sim.withoutDiscovery[node] && (s+i)%2 == 0 {
				table.HandleDiscoveryContact(sim.net.Now)
			}
		}
		out := 0
		for _, node := range sim.net.Nodes {
			if node.Paused {
				continue
			}
			table, v := sim.boards[node], node.Membership.View()
			table.UpdateLease(sim.net.Now, &v)
			node.Membership.SetMetadata(sim.net.Now, membership.Metadata{Zone: "z", Lease: table.Lease.State()})
			if table.Lease.State() == lease.Out {
				out++
			}
			if !sim.isInformed(node) {
				sim.informedSince[node] = sim.net.Now
			} else if table.Lease.State() == lease.Out && sim.net.Now > sim.informedSince[node]+healTime {
				sim.violations = append(sim.violations, node.Name+": "+table.Lease.Reason)
			}
		}
		sim.maxOut = max(sim.maxOut, out)
	}
}

// healTime is how long it may take until members that were separated reach each other again, in seconds: dead members
// are pinged every ten probe intervals, and a ping or two may be lost.
const healTime = 30

// isInformed reports whether updates of discovery can reach a member, or cannot reach some others in its group either.
func (sim *leaseSimulation) isInformed(node *virtualcluster.Node) bool {
	others := 0
	for _, o := range sim.net.Nodes {
		if !o.Paused && sim.group[o] == sim.group[node] {
			if !sim.withoutDiscovery[o] {
				return true
			}
			others++
		}
	}
	return others > 1
}

// disrupt has some members lose discovery, partitions the network in a drawn way, and may pause a member for a while.
func (sim *leaseSimulation) disrupt(rng *rand.Rand) {
	nodes := sim.net.Nodes
	lossShare := rng.Float64()
	for _, node := range nodes {
		sim.withoutDiscovery[node] = rng.Float64() < lossShare
		sim.group[node] = 0
	}
	switch rng.IntN(4) {
	case 0: // a few are alone
		for i := range 1 + rng.IntN(max(1, len(nodes)/4)) {
			sim.group[nodes[rng.IntN(len(nodes))]] = i + 1
		}
	case 1: // two parts
		for _, node := range nodes {
			sim.group[node] = rng.IntN(2)
		}
	case 2: // everybody is alone
		for i, node := range nodes {
			sim.group[node] = i
		}
	}
	paused := nodes[rng.IntN(len(nodes))]
	if rng.IntN(2) == 0 {
		sim.net.Pause(paused)
		sim.run([]int{3, 8, 20}[rng.IntN(3)])
		sim.net.Resume(paused)
		sim.boards[paused].ExpireUpdates(sim.net.Now)
		sim.informedSince[paused] = sim.net.Now
	}
}

// TestNobodyIsOutWrongly plays random losses of discovery, members and links. Nobody is out whom updates of discovery
// can reach, nobody in a group that none can reach, and never more than a third.
func TestNobodyIsOutWrongly(t *testing.T) {
	seeds, sizes := uint64(24), []int{3, 5, 12, 30}
	if *large {
		seeds = 200
	}
	if *size > 0 {
		seeds = uint64(*sizeSeeds)
		sizes = []int{*size}
	}
	outs := 0
	for seed := uint64(1); seed <= seeds; seed++ {
		rng := rand.New(rand.NewPCG(seed, 7))
		n := sizes[rng.IntN(len(sizes))]
		l := newLeaseSimulation(t, seed, n, []float64{0, 0.05, 0.2}[rng.IntN(3)])
		for range 4 {
			l.disrupt(rng)
			l.run(20 + rng.IntN(60))
		}
		clear(l.group)
		clear(l.withoutDiscovery)
		l.run(60)
		for node, table := range l.boards {
			if table.Lease.State() != lease.Held {
				t.Errorf("seed %d: %s is %v (%s) long after all was mended", seed, node.Name, table.Lease.State(), table.Lease.Reason)
			}
		}
		outs += l.maxOut
		if l.maxOut > lease.MaxOut(n) {
			t.Errorf("seed %d: %d of %d were out at once", seed, l.maxOut, n)
		}
		if len(l.violations) > 0 {
			slices.Sort(l.violations)
			t.Errorf("seed %d of %d: wrongly out: %v", seed, n, slices.Compact(l.violations))
		}
	}
	t.Logf("%d fleets; %d members were out at one time or another, nobody wrongly", seeds, outs)
}

// TestIsolatedMemberIsOutAndReturns has a member lose discovery and then all peers: it is out while the rest go on, and
// back within a few probe intervals after contact.
func TestIsolatedMemberIsOutAndReturns(t *testing.T) {
	sizes := []int{5, 30}
	if *large {
		sizes = []int{5, 30, 300}
	}
	for _, n := range sizes {
		l := newLeaseSimulation(t, 5, n, 0.05)
		one := l.net.Nodes[1]
		l.withoutDiscovery[one] = true
		l.run(60)
		if table := l.boards[one]; table.Lease.State() != lease.Held || table.LastConfirmed() < l.net.Now-5 {
			t.Errorf("%d: not brought up by its peers: %v, a word %.1f s old", n, table.Lease.State(), l.net.Now-table.LastConfirmed())
		}
		l.group[one] = 1
		from := l.net.Now
		for l.boards[one].Lease.State() != lease.Out && l.net.Now < from+200 {
			l.run(1)
		}
		t.Logf("%s", l.boards[one].Lease.Reason)
		t.Logf("%d members: out after %.0f periods", n, l.net.Now-from)
		if l.net.Now > from+lease.Term(5, 1)+5 || l.maxOut != 1 {
			t.Errorf("%d members: out after %.0f periods, %d at most", n, l.net.Now-from, l.maxOut)
		}
		l.group[one] = 0
		from = l.net.Now
		for l.boards[one].Lease.State() != lease.Held && l.net.Now < from+200 {
			l.run(1)
		}
		t.Logf("%d members: in again after %.0f periods", n, l.net.Now-from)
		if l.net.Now > from+40 {
			t.Errorf("in again after %.0f periods", l.net.Now-from)
		}
	}
}
