package gossip

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cinderroad/internal/shared/membership"
)

const (
	testProbeInterval = 30 * time.Millisecond
	waitTimeout       = 60 * time.Second // for a state to be reached
)

// testCluster is a system on loopback, each member at an address of its own.
type testCluster struct {
	t        *testing.T
	members  map[string]*Memberlist
	seed     netip.AddrPort
	lastHost byte
}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	cluster := &testCluster{t: t, members: map[string]*Memberlist{}}
	t.Cleanup(func() {
		for _, member := range cluster.members {
			member.Close()
		}
	})
	return cluster
}

func (cluster *testCluster) options(node string, role Role, zone string) Options {
	cluster.lastHost++
	options := Options{
		Node:          node,
		Role:          role,
		Zone:          zone,
		Zones:         map[string]string{"a1": "a", "a2": "a", "b1": "b"},
		Listen:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 10 + cluster.lastHost}), 0),
		ControlPort:   7000,
		AgentPort:     7003,
		ProbeInterval: testProbeInterval,
	}
	if cluster.seed.IsValid() {
		options.Seeds = []netip.AddrPort{cluster.seed}
	}
	return options
}

func (cluster *testCluster) start(options Options) *Memberlist {
	cluster.t.Helper()
	member, err := Start(options)
	if err != nil {
		cluster.t.Fatal(err)
	}
	if !cluster.seed.IsValid() {
		cluster.seed = member.Address()
	}
	cluster.members[options.Node] = member
	return member
}

func (cluster *testCluster) wait(what string, holds func() bool) {
	cluster.t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(testProbeInterval / 3) {
		if time.Now().After(end) {
			for node, member := range cluster.members {
				cluster.t.Logf("%s: %+v", node, member.View())
			}
			cluster.t.Fatalf("timeout waiting for: %s", what)
		}
	}
}

func (cluster *testCluster) memberOf(member *Memberlist, node string) Member {
	for _, m := range member.View() {
		if m.Node == node {
			return m
		}
	}
	return Member{State: Left}
}

// newSmallCluster starts two control replicas and three edges.
func newSmallCluster(t *testing.T) *testCluster {
	t.Helper()
	cluster := newTestCluster(t)
	cluster.start(cluster.options("core-1", Control, "a1"))
	cluster.start(cluster.options("core-2", Control, "b1"))
	for i := range 3 {
		options := cluster.options(fmt.Sprint("edge-", i+1), Edge, "a1")
		options.Front = fmt.Sprintf("10.0.0.%d:80", i+1)
		cluster.start(options)
	}
	cluster.wait("all know three proxies", func() bool {
		for _, member := range cluster.members {
			if member.ProxyCount() != 3 {
				return false
			}
		}
		return true
	})
	return cluster
}

func TestMetadataReachesAllMembers(t *testing.T) {
	cluster := newSmallCluster(t)
	cluster.members["edge-2"].SetServing(ServingNow)
	cluster.wait("all know that edge-2 serves", func() bool {
		for _, member := range cluster.members {
			edge := cluster.memberOf(member, "edge-2")
			if !edge.Usable() || edge.Front != "10.0.0.2:80" || edge.Zone != "a1" {
				return false
			}
		}
		return true
	})
	cluster.members["edge-2"].SetFront("10.0.0.9:80")
	cluster.members["edge-2"].SetServing(Stopping)
	cluster.wait("all know that edge-2 stops", func() bool {
		for _, member := range cluster.members {
			edge := cluster.memberOf(member, "edge-2")
			if edge.Usable() || edge.Front != "10.0.0.9:80" || edge.Serving != Stopping {
				return false
			}
		}
		return true
	})
}

func TestFailedMemberIsDetectedAndRejoins(t *testing.T) {
	cluster := newSmallCluster(t)
	options := cluster.members["edge-3"].options
	options.Listen = cluster.members["edge-3"].Address()
	cluster.members["edge-3"].Close()
	cluster.wait("core-1 finds edge-3 dead", func() bool { return cluster.memberOf(cluster.members["core-1"], "edge-3").State == Dead })
	if n := cluster.members["core-1"].ProxyCount(); n != 3 {
		t.Errorf("%d proxies may be sending just after one was found dead, want 3", n)
	}
	options.Seeds = nil // the others find it again by themselves
	cluster.start(options)
	cluster.wait("edge-3 is back everywhere", func() bool {
		for _, member := range cluster.members {
			if cluster.memberOf(member, "edge-3").State != Alive || member.ProxyCount() != 3 {
				return false
			}
		}
		return true
	})
}

func TestDeadProxyCountsUntilTTL(t *testing.T) {
	cluster := newTestCluster(t)
	options := cluster.options("core-1", Control, "a1")
	options.DeadProxyTTL = time.Millisecond
	cluster.start(options)
	cluster.start(cluster.options("edge-1", Edge, "a1"))
	cluster.start(cluster.options("edge-2", Edge, "a1"))
	cluster.wait("core-1 knows two proxies", func() bool { return cluster.members["core-1"].ProxyCount() == 2 })
	cluster.members["edge-2"].Close()
	cluster.wait("the dead one counts no more", func() bool { return cluster.members["core-1"].ProxyCount() == 1 })
}

func TestRestartAfterClockStepBack(t *testing.T) {
	cluster := newSmallCluster(t)
	options := cluster.members["edge-3"].options
	options.Listen = cluster.members["edge-3"].Address()
	cluster.members["edge-3"].Close()
	options.generation = 1
	cluster.start(options).SetServing(ServingNow)
	cluster.wait("all know the later life", func() bool {
		for _, member := range cluster.members {
			if edge := cluster.memberOf(member, "edge-3"); edge.State != Alive || edge.Serving != ServingNow {
				return false
			}
		}
		return true
	})
}

func TestLeaveIsNotFailure(t *testing.T) {
	cluster := newSmallCluster(t)
	cluster.members["edge-1"].Leave()
	cluster.wait("core-1 knows that edge-1 left", func() bool {
		return cluster.memberOf(cluster.members["core-1"], "edge-1").State == Left
	})
	cluster.wait("it counts no more", func() bool { return cluster.members["core-1"].ProxyCount() == 2 })
	cluster.wait("edge-2 knows, too", func() bool { return cluster.memberOf(cluster.members["edge-2"], "edge-1").State == Left })
	for _, address := range cluster.members["edge-2"].AgentAddresses() {
		if address.Addr() == cluster.members["edge-1"].Address().Addr() {
			t.Error("an agent that left is among the addresses")
		}
	}
	cluster.members["edge-1"].Leave() // again: nothing happens
	cluster.members["edge-1"].SetServing(ServingNow)
}

func TestProxyCountUnknownWhenAlone(t *testing.T) {
	cluster := newTestCluster(t)
	edge := cluster.start(cluster.options("edge-1", Edge, "a1"))
	if n := edge.ProxyCount(); n != 0 {
		t.Errorf("%d proxies without a message of another member, want 0", n)
	}
}

func TestControlAddressesNearestFirst(t *testing.T) {
	cluster := newTestCluster(t)
	far := cluster.start(cluster.options("core-1", Control, "b1"))
	near := cluster.start(cluster.options("core-2", Control, "a2"))
	same := cluster.start(cluster.options("core-3", Control, "a1"))
	options := cluster.options("edge-1", Edge, "a1")
	unknown := netip.MustParseAddrPort("127.0.0.200:9")
	options.Seeds = append(options.Seeds, unknown)
	edge := cluster.start(options)
	want := []netip.Addr{same.Address().Addr(), near.Address().Addr(), far.Address().Addr(), unknown.Addr()}
	cluster.wait("the edge knows all three, nearest first, then the seed that nothing is known of", func() bool {
		addresses := edge.ControlAddresses()
		if len(addresses) != len(want) {
			return false
		}
		for i, address := range addresses {
			if address != netip.AddrPortFrom(want[i], 7000) {
				return false
			}
		}
		return true
	})
	same.Close()
	cluster.wait("the one that is dead comes last", func() bool {
		addresses := edge.ControlAddresses()
		return len(addresses) == len(want) && addresses[len(want)-1].Addr() == want[0]
	})
}

func TestOnChange(t *testing.T) {
	cluster := newTestCluster(t)
	changes := make(chan struct{}, 1)
	options := cluster.options("core-1", Control, "a1")
	options.OnChange = func() {
		select {
		case changes <- struct{}{}:
		default:
		}
	}
	core := cluster.start(options)
	edge := cluster.start(cluster.options("edge-1", Edge, "a1"))
	edge.SetServing(ServingNow)
	end := time.After(waitTimeout)
	for cluster.memberOf(core, "edge-1").Serving != ServingNow {
		select {
		case <-changes:
		case <-end:
			t.Fatal("OnChange was not called")
		}
	}
}

func TestSetSeeds(t *testing.T) {
	cluster := newTestCluster(t)
	core := cluster.start(cluster.options("core-1", Control, "a1"))
	options := cluster.options("edge-1", Edge, "a1")
	options.Seeds = nil
	edge := cluster.start(options)
	edge.SetSeeds([]netip.AddrPort{core.Address()})
	cluster.wait("edge knows core", func() bool { return cluster.memberOf(edge, "core-1").State == Alive })
}

func TestAddressInUse(t *testing.T) {
	cluster := newTestCluster(t)
	first := cluster.start(cluster.options("core-1", Control, "a1"))
	options := cluster.options("core-2", Control, "a1")
	options.Listen = first.Address()
	if _, err := Start(options); err == nil {
		t.Fatal("two members have one address")
	}
}

func TestLongNodeNames(t *testing.T) {
	long := ""
	for range 100 {
		long += "x"
	}
	one, other := memberName(long+"1", Edge), memberName(long+"2", Edge)
	if len(one) > maxNameLength || one == other {
		t.Errorf("%q and %q: too long, or the same", one, other)
	}
}

func TestControlMembersLogControlChanges(t *testing.T) {
	for _, test := range []struct {
		own     Role
		changed string
		want    int
	}{
		{Control, "core-1/control", 1}, {Control, "edge-1/edge", 0}, {Edge, "core-1/control", 0}, {Edge, "edge-1/edge", 0},
	} {
		core, logs := observer.New(zap.InfoLevel)
		g := &Memberlist{options: Options{Role: test.own}, log: zap.New(core)}
		g.logChange(membership.Change{Name: test.changed, From: membership.Alive, To: membership.Dead})
		if logs.Len() != test.want {
			t.Errorf("a member of role %s: %d lines of %s, want %d", test.own, logs.Len(), test.changed, test.want)
		}
	}
}
