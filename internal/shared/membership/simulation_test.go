package membership_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"cinderroad/internal/shared/membership"
	"cinderroad/internal/testkit/virtualcluster"
)

var seed = flag.Uint64("fleet.seed", 0, "play this seed alone")

// runSeeds runs a test with n seeds, each a subtest, or with the one of the flag.
func runSeeds(t *testing.T, n uint64, play func(t *testing.T, seed uint64)) {
	t.Helper()
	first := uint64(1)
	if *seed != 0 {
		first, n = *seed, 1
	}
	for s := first; s < first+n; s++ {
		t.Run(fmt.Sprint("seed=", s), func(t *testing.T) { play(t, s) })
	}
}

// waitConverged waits until all have one view with the given number of alive members. It returns the time in probe
// intervals.
func waitConverged(t *testing.T, net *virtualcluster.Network, alive int, periods float64) float64 {
	t.Helper()
	took, ok := net.RunUntil(periods*net.ProbeInterval, net.ProbeInterval/2, func() bool {
		converged, n := net.Converged()
		return converged && n == alive
	})
	if !ok {
		for _, n := range net.Nodes {
			if n.Membership != nil {
				aliveCount, suspectCount, deadCount := n.Membership.CountByState()
				t.Logf("%s: digest %x, %d alive, %d suspect, %d dead, %+v",
					n.Name, n.Membership.Digest(), aliveCount, suspectCount, deadCount, n.Membership.Stats)
			}
		}
		t.Fatalf("no converged view of %d members after %v probe intervals", alive, periods)
	}
	return took / net.ProbeInterval
}

func deaths(net *virtualcluster.Network, name string) (n int) {
	for _, node := range net.Nodes {
		for _, c := range node.Changes {
			if c.To == membership.Dead && (name == "" || c.Name == name) {
				n++
			}
		}
	}
	return n
}

func newLossyNet(seed uint64, n int) *virtualcluster.Network {
	return virtualcluster.New(virtualcluster.Options{
		Seed:          seed,
		LossRate:      0.05,
		Delay:         0.002,
		Jitter:        0.01,
		DuplicateRate: 0.01,
	}, n)
}

// newConvergedNet returns a cluster of n members that has converged.
func newConvergedNet(t *testing.T, seed uint64, n int) *virtualcluster.Network {
	t.Helper()
	net := newLossyNet(seed, n)
	net.StartAll(1)
	waitConverged(t, net, n, 60)
	return net
}

// allRecognized reports whether all nodes hold the view for converged and are recognized.
func allRecognized(net *virtualcluster.Network) bool {
	for _, node := range net.Nodes {
		if view := node.Membership.View(); !view.Converged || !view.Recognized {
			return false
		}
	}
	return true
}

// TestJoin checks that members that start together find each other through one seed, at any size.
func TestJoin(t *testing.T) {
	for _, n := range []int{2, 3, 10, 60, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			runSeeds(t, 3, func(t *testing.T, seed uint64) {
				net := newLossyNet(seed, n)
				net.StartAll(1)
				t.Logf("converged after %.1f probe intervals", waitConverged(t, net, n, 60))
				if _, ok := net.RunUntil(60, 0.5, func() bool { return allRecognized(net) }); !ok {
					t.Error("a member has not converged or is not recognized")
				}
				if d := deaths(net, ""); d > 0 {
					t.Errorf("%d running members were declared dead", d)
				}
			})
		})
	}
}

// TestSeedStartsLast starts the only seed last: members that wait for it must ping it again.
func TestSeedStartsLast(t *testing.T) {
	runSeeds(t, 3, func(t *testing.T, seed uint64) {
		net := newLossyNet(seed, 8)
		for _, n := range net.Nodes[1:] {
			net.Start(n, net.Nodes[0])
		}
		net.Run(net.Now + 20)
		net.Start(net.Nodes[0])
		waitConverged(t, net, 8, 30)
	})
}

// TestKillAndRestart checks that all detect a killed process, and accept its restart under the same name.
func TestKillAndRestart(t *testing.T) {
	runSeeds(t, 5, func(t *testing.T, seed uint64) {
		net := newConvergedNet(t, seed, 12)
		net.Kill(net.Nodes[3])
		t.Logf("detected after %.1f probe intervals", waitConverged(t, net, 11, 60))
		net.Start(net.Nodes[3], net.Nodes[0])
		waitConverged(t, net, 12, 30)
		net.Kill(net.Nodes[5]) // and within one period
		net.Run(net.Now + 0.5)
		net.Start(net.Nodes[5], net.Nodes[0])
		waitConverged(t, net, 12, 30)
	})
}

// TestPausedProcess pauses a process for 2, 8 and 60 s, and again while it may be suspected: it comes back with its
// generation, and declares nobody dead because of the pause.
func TestPausedProcess(t *testing.T) {
	for _, span := range []float64{2, 8, 60} {
		t.Run(fmt.Sprint(span), func(t *testing.T) {
			runSeeds(t, 5, func(t *testing.T, seed uint64) {
				net := newConvergedNet(t, seed, 9)
				sleeper := net.Nodes[4]
				generation := sleeper.Membership.Generation
				net.Pause(sleeper)
				net.Run(net.Now + span)
				net.Resume(sleeper)
				net.Run(net.Now + 0.3)
				net.Pause(sleeper) // while it may be suspected
				net.Run(net.Now + 2)
				net.Resume(sleeper)
				waitConverged(t, net, 9, 60)
				if sleeper.Membership.Generation != generation {
					t.Error("it came back as another")
				}
				for _, c := range sleeper.Changes {
					if c.To == membership.Dead {
						t.Errorf("it gave up %s, which ran", c.Name)
					}
				}
			})
		})
	}
}

// TestOneWayPartition drops what A sends to B. Neither is declared dead, since others reach both.
func TestOneWayPartition(t *testing.T) {
	runSeeds(t, 5, func(t *testing.T, seed uint64) {
		net := newConvergedNet(t, seed, 6)
		a, b := net.Nodes[1], net.Nodes[2]
		net.Partitioned = func(from, to *virtualcluster.Node) bool { return from == a && to == b }
		net.Run(net.Now + 300)
		if d := deaths(net, ""); d > 0 {
			t.Errorf("%d times a member was declared dead that others reached", d)
		}
		net.Partitioned = nil
		waitConverged(t, net, 6, 30)
	})
}

// TestNonTransitiveConnectivity separates A from B, while C reaches both.
func TestNonTransitiveConnectivity(t *testing.T) {
	runSeeds(t, 5, func(t *testing.T, seed uint64) {
		net := virtualcluster.New(virtualcluster.Options{Seed: seed, Delay: 0.002, Jitter: 0.01}, 3)
		net.StartAll(1)
		waitConverged(t, net, 3, 40)
		a, b := net.Nodes[0], net.Nodes[1]
		net.Partitioned = func(from, to *virtualcluster.Node) bool {
			return from == a && to == b || from == b && to == a
		}
		net.Run(net.Now + 120)
		if d := deaths(net, ""); d > 0 {
			t.Errorf("%d times a member was declared dead that another reached", d)
		}
		for _, n := range net.Nodes { // the third one pings on their behalf
			if n.Membership.Suspicions > 0 {
				t.Errorf("%s met with %d suspicions", n.Name, n.Membership.Suspicions)
			}
		}
		net.Partitioned = nil
		waitConverged(t, net, 3, 30)
	})
}

// TestPartitionsHeal heals three partitions one after the other, after half an hour: all members are one cluster again,
// through the seeds, or without any by pings of dead members.
func TestPartitionsHeal(t *testing.T) {
	runSeeds(t, 4, func(t *testing.T, seed uint64) {
		net := newConvergedNet(t, seed, 15)
		if seed%2 == 0 {
			for _, n := range net.Nodes {
				n.Membership.SetSeeds(net.Now, nil)
			}
		}
		bridged := 0
		island := func(n *virtualcluster.Node) int {
			for i, o := range net.Nodes {
				if o == n {
					return max(i%3, bridged)
				}
			}
			return -1
		}
		net.Partitioned = func(from, to *virtualcluster.Node) bool { return island(from) != island(to) }
		net.Run(net.Now + 1800)
		for _, n := range net.Nodes {
			if a, _, _ := n.Membership.CountByState(); a != 5 {
				t.Fatalf("%s holds %d of its 5 alive", n.Name, a)
			}
		}
		bridged = 1
		net.Run(net.Now + 60)
		bridged = 2
		t.Logf("one view %.1f periods after the last heal", waitConverged(t, net, 15, 120))
	})
}

// TestFlappingLinkAndLoss has a flapping link and 30% loss: the view converges afterwards.
func TestFlappingLinkAndLoss(t *testing.T) {
	runSeeds(t, 3, func(t *testing.T, seed uint64) {
		net := virtualcluster.New(virtualcluster.Options{Seed: seed, LossRate: 0.3, Delay: 0.002, Jitter: 0.05}, 12)
		net.StartAll(1)
		waitConverged(t, net, 12, 120)
		net.Partitioned = func(from, to *virtualcluster.Node) bool {
			return int(net.Now/3)%2 == 0 && (from == net.Nodes[2]) != (to == net.Nodes[2])
		}
		net.Run(net.Now + 120)
		net.Partitioned = nil
		net.LossRate = 0
		waitConverged(t, net, 12, 60)
	})
}

// TestSlowMember has a member see everything 1.5 s late: it declares nobody dead for it.
func TestSlowMember(t *testing.T) {
	runSeeds(t, 5, func(t *testing.T, seed uint64) {
		net := newConvergedNet(t, seed, 10)
		slow := net.Nodes[6]
		slow.ProcessingDelay = 1.5
		net.Run(net.Now + 120)
		for _, n := range net.Nodes {
			for _, c := range n.Changes {
				if c.To == membership.Dead && c.Name != slow.Name {
					t.Errorf("%s declared %s dead: %s", n.Name, c.Name, c.Cause)
				}
			}
		}
		slow.ProcessingDelay = 0
		waitConverged(t, net, 10, 60)
	})
}

// TestMassFailure kills seven in ten at once, and restarts them.
func TestMassFailure(t *testing.T) {
	runSeeds(t, 3, func(t *testing.T, seed uint64) {
		net := newConvergedNet(t, seed, 50)
		for _, n := range net.Nodes[15:] {
			net.Kill(n)
		}
		t.Logf("detected after %.1f probe intervals", waitConverged(t, net, 15, 200))
		for _, n := range net.Nodes[15:] {
			net.Start(n, net.Nodes[0])
		}
		waitConverged(t, net, 50, 60)
	})
}

// TestLeave checks that nobody suspects a member that left, and that it is removed within a few probe intervals.
func TestLeave(t *testing.T) {
	runSeeds(t, 5, func(t *testing.T, seed uint64) {
		net := newConvergedNet(t, seed, 10)
		n := net.Nodes[7]
		n.Membership.Leave(net.Now)
		net.Flush(n)
		net.Kill(n)
		waitConverged(t, net, 9, 15)
		net.Run(net.Now + 60)
		if d := deaths(net, n.Name); d > 0 {
			t.Errorf("%d hold it for dead", d)
		}
	})
}

// TestDuplicateName runs two processes with one name: the later start keeps it, the other withdraws.
func TestDuplicateName(t *testing.T) {
	runSeeds(t, 5, func(t *testing.T, seed uint64) {
		net := newConvergedNet(t, seed, 6)
		twin := net.AddNode("m0002")
		net.Start(twin, net.Nodes[0])
		first := net.Nodes[2]
		if _, ok := net.RunUntil(20, 0.5, first.Membership.Withdrawn); !ok || twin.Membership.Withdrawn() {
			t.Fatal("the earlier start does not withdraw")
		}
		waitConverged(t, net, 6, 30)
		net.Kill(twin) // the name is free again
		if _, ok := net.RunUntil(60, 0.5, func() bool { return !first.Membership.Withdrawn() }); !ok {
			t.Fatal("it does not come back")
		}
		waitConverged(t, net, 6, 60)
	})
}

// TestClockStep restarts a process after its clock was set by a minute. Its generation may be lower than before; the
// address shows that no other process has the name.
func TestClockStep(t *testing.T) {
	for _, skew := range []float64{-60, 60} {
		runSeeds(t, 3, func(t *testing.T, seed uint64) {
			net := newConvergedNet(t, seed, 6)
			net.Kill(net.Nodes[1])
			net.Nodes[1].ClockSkew = skew
			net.Start(net.Nodes[1], net.Nodes[0])
			if took := waitConverged(t, net, 6, 30); took > 5 { // it need not verify a claim from its own address
				t.Errorf("it took %.1f probe intervals", took)
			}
			if net.Nodes[1].Membership.Withdrawn() {
				t.Error("it withdrew before itself")
			}
		})
	}
}

// TestNameChangeAtSameAddress restarts a process under another name: the old name is declared dead.
func TestNameChangeAtSameAddress(t *testing.T) {
	runSeeds(t, 3, func(t *testing.T, seed uint64) {
		net := newConvergedNet(t, seed, 6)
		n := net.Nodes[4]
		net.Kill(n)
		n.Name = "renamed"
		net.Start(n, net.Nodes[0])
		if _, ok := net.RunUntil(60, 0.5, func() bool {
			alive, suspect, dead := net.Nodes[0].Membership.CountByState()
			converged, _ := net.Converged()
			return converged && alive == 6 && suspect == 0 && dead == 1
		}); !ok {
			t.Error("the old name lives on")
		}
	})
}

// randomFaults injects random faults into a network.
type randomFaults struct {
	net    *virtualcluster.Network
	rng    *rand.Rand
	cuts   map[link]bool                 // links that lose everything
	island map[*virtualcluster.Node]bool // nodes that reach only each other
}

// link is the way from one node to another.
type link struct{ from, to *virtualcluster.Node }

func newRandomFaults(net *virtualcluster.Network, rng *rand.Rand) *randomFaults {
	faults := &randomFaults{net: net, rng: rng, cuts: map[link]bool{}}
	net.Partitioned = func(from, to *virtualcluster.Node) bool {
		return faults.cuts[link{from, to}] || faults.island[from] != faults.island[to]
	}
	return faults
}

// start starts a process at a node that has none.
func (f *randomFaults) start(node *virtualcluster.Node) {
	if node.Membership == nil {
		f.net.Start(node, f.net.Nodes[0], f.net.Nodes[len(f.net.Nodes)-1])
	}
}

// resume continues the process of a node if it is paused.
func (f *randomFaults) resume(node *virtualcluster.Node) {
	if node.Membership != nil && node.Paused {
		f.net.Resume(node)
	}
}

// inject injects a fault, or ends one.
func (f *randomFaults) inject() {
	size := len(f.net.Nodes)
	a := f.net.Nodes[f.rng.IntN(size)]
	b := f.net.Nodes[f.rng.IntN(size)]
	switch f.rng.IntN(11) {
	case 0, 1:
		f.net.Kill(a)
	case 2, 3:
		f.start(a)
	case 4, 5:
		if a.Membership != nil && !a.Paused {
			f.net.Pause(a)
		}
	case 6:
		f.resume(a)
	case 7:
		f.cuts[link{a, b}] = !f.cuts[link{a, b}]
	case 8:
		f.island = nil
		if f.rng.IntN(2) == 0 {
			f.island = map[*virtualcluster.Node]bool{a: true, b: true}
		}
	case 9:
		f.net.LossRate = f.rng.Float64() * 0.4
	case 10:
		a.ProcessingDelay = f.rng.Float64() * 2
	}
}

// endAll ends all faults; all nodes run afterwards.
func (f *randomFaults) endAll() {
	clear(f.cuts)
	f.island = nil
	f.net.LossRate = 0
	for _, node := range f.net.Nodes {
		node.ProcessingDelay = 0
		f.resume(node)
		f.start(node)
	}
}

// TestRandomFaults plays random faults: processes killed, started, paused and resumed, one-way and full partitions,
// loss, slow members, all at once and in any order. The invariants hold all the while, and after the last fault all
// have one view within 80 probe intervals.
func TestRandomFaults(t *testing.T) {
	runSeeds(t, 40, func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 99))
		size := 3 + rng.IntN(22)
		net := newLossyNet(seed, size)
		faults := newRandomFaults(net, rng)
		net.AfterEvent = func(node *virtualcluster.Node) {
			if wrong := node.Membership.CheckInvariants(); wrong != "" {
				t.Fatalf("at %.2f %s: %s", net.Now, node.Name, wrong)
			}
		}
		net.StartAll(2)
		for range 25 {
			faults.inject()
			net.Run(net.Now + 8*rng.Float64())
		}
		faults.endAll()
		t.Logf("%d members: converged after %.1f probe intervals", size, waitConverged(t, net, size, 80))
	})
}

// TestTrafficWhenConverged checks that once the view has converged a member sends as much as in a small cluster.
// Otherwise broadcasts of joins, already known to all, would go on for n log n records: 4.5 KB a member and probe
// interval for 45 intervals at 300 members, for 140 at 1,000.
func TestTrafficWhenConverged(t *testing.T) {
	for _, n := range []int{10, 100, 300} {
		net := virtualcluster.New(virtualcluster.Options{Seed: 3, Delay: 0.002, Jitter: 0.01, EncodeEvery: 1}, n)
		net.StartAll(1)
		formed := func() bool {
			converged, alive := net.Converged()
			return converged && alive == n
		}
		if _, ok := net.RunUntil(100, 0.5, formed); !ok {
			t.Fatal("no cluster has formed")
		}
		net.Run(net.Now + 10)
		sum := func() (bytes float64) {
			for _, node := range net.Nodes {
				bytes += node.Bytes
			}
			return bytes
		}
		before := sum()
		net.Run(net.Now + 20)
		got := (sum() - before) / float64(n) / 20
		t.Logf("%d members: %.0f bytes a member a period", n, got)
		if got > 260 {
			t.Errorf("%d members: %.0f bytes a member a period, 10 periods after the join", n, got)
		}
	}
}
