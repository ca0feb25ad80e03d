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
	waitTimeout       = 60 * time.Second // that a state is waited for
)

// testCluster is a system on loopback, each member at an address of its own.
type testCluster struct {
	t        *testing.T
	members  map[string]*Memberlist
	seed     netip.AddrPort
	lastHost byte
}

func newCluster(t *testing.T) *testCluster {
	c := &testCluster{t: t, members: map[string]*Memberlist{}}
	t.Cleanup(func() {
		for _, member := range c.members {
			member.Close()
		}
	})
	return c
}

func (c *testCluster) options(node string, role Role, zone string) Options {
	c.lastHost++
	options := Options{
		Node: node, Role: role, Zone: zone,
		Zones:       map[string]string{"a1": "a", "a2": "a", "b1": "b"},
		Listen:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 10 + c.lastHost}), 0),
		ControlPort: 7000, AgentPort: 7003,
		ProbeInterval: testProbeInterval,
	}
	if c.seed.IsValid() {
		options.Seeds = []netip.AddrPort{c.seed}
	}
	return options
}

func (c *testCluster) start(options Options) *Memberlist {
	c.t.Helper()
	member, err := Start(options)
	if err != nil {
		c.t.Fatal(err)
	}
	if !c.seed.IsValid() {
		c.seed = member.Address()
	}
	c.members[options.Node] = member
	return member
}

func (c *testCluster) wait(what string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(testProbeInterval / 3) {
		if time.Now().After(end) {
			for node, member := range c.members {
				c.t.Logf("%s: %+v", node, member.View())
			}
			c.t.Fatalf("did not come about: %s", what)
		}
	}
}

func (c *testCluster) memberOf(member *Memberlist, node string) Member {
	for _, m := range member.View() {
		if m.Node == node {
			return m
		}
	}
	return Member{State: Left}
}

// newSmallCluster starts two control replicas and three edges.
func newSmallCluster(t *testing.T) *testCluster {
	c := newCluster(t)
	c.start(c.options("core-1", Control, "a1"))
	c.start(c.options("core-2", Control, "b1"))
	for i := range 3 {
		options := c.options(fmt.Sprint("edge-", i+1), Edge, "a1")
		options.Front = fmt.Sprintf("10.0.0.%d:80", i+1)
		c.start(options)
	}
	c.wait("all know three proxies", func() bool {
		for _, member := range c.members {
			if member.ProxyCount() != 3 {
				return false
			}
		}
		return true
	})
	return c
}

func TestMetadataReachesAllMembers(t *testing.T) {
	c := newSmallCluster(t)
	c.members["edge-2"].SetServing(ServingNow)
	c.wait("all know that edge-2 serves", func() bool {
		for _, member := range c.members {
			edge := c.memberOf(member, "edge-2")
			if !edge.Usable() || edge.Front != "10.0.0.2:80" || edge.Zone != "a1" {
				return false
			}
		}
		return true
	})
	c.members["edge-2"].SetFront("10.0.0.9:80")
	c.members["edge-2"].SetServing(Stopping)
	c.wait("all know that edge-2 stops", func() bool {
		for _, member := range c.members {
			edge := c.memberOf(member, "edge-2")
			if edge.Usable() || edge.Front != "10.0.0.9:80" || edge.Serving != Stopping {
				return false
			}
		}
		return true
	})
}

func TestFailedMemberIsDetectedAndRejoins(t *testing.T) {
	c := newSmallCluster(t)
	options := c.members["edge-3"].options
	options.Listen = c.members["edge-3"].Address()
	c.members["edge-3"].Close()
	c.wait("core-1 finds edge-3 dead", func() bool { return c.memberOf(c.members["core-1"], "edge-3").State == Dead })
	if n := c.members["core-1"].ProxyCount(); n != 3 {
		t.Errorf("%d proxies may be sending just after one was found dead, want 3", n)
	}
	options.Seeds = nil // the others find it again by themselves
	c.start(options)
	c.wait("edge-3 is back everywhere", func() bool {
		for _, member := range c.members {
			if c.memberOf(member, "edge-3").State != Alive || member.ProxyCount() != 3 {
				return false
			}
		}
		return true
	})
}

func TestDeadProxyCountsUntilTTL(t *testing.T) {
	c := newCluster(t)
	options := c.options("core-1", Control, "a1")
	options.DeadProxyTTL = time.Millisecond
	c.start(options)
	c.start(c.options("edge-1", Edge, "a1"))
	c.start(c.options("edge-2", Edge, "a1"))
	c.wait("core-1 knows two proxies", func() bool { return c.members["core-1"].ProxyCount() == 2 })
	c.members["edge-2"].Close()
	c.wait("the dead one counts no more", func() bool { return c.members["core-1"].ProxyCount() == 1 })
}

func TestRestartAfterClockStepBack(t *testing.T) {
	c := newSmallCluster(t)
	options := c.members["edge-3"].options
	options.Listen = c.members["edge-3"].Address()
	c.members["edge-3"].Close()
	options.incarnation = 1
	c.start(options).SetServing(ServingNow)
	c.wait("all know the later life", func() bool {
		for _, member := range c.members {
			if edge := c.memberOf(member, "edge-3"); edge.State != Alive || edge.Serving != ServingNow {
				return false
			}
		}
		return true
	})
}

func TestLeaveIsNotFailure(t *testing.T) {
	c := newSmallCluster(t)
	c.members["edge-1"].Leave()
	c.wait("core-1 knows that edge-1 left", func() bool { return c.memberOf(c.members["core-1"], "edge-1").State == Left })
	c.wait("it counts no more", func() bool { return c.members["core-1"].ProxyCount() == 2 })
	c.wait("edge-2 knows, too", func() bool { return c.memberOf(c.members["edge-2"], "edge-1").State == Left })
	for _, address := range c.members["edge-2"].AgentAddresses() {
		if address.Addr() == c.members["edge-1"].Address().Addr() {
			t.Error("one that left is named as an agent to ask")
		}
	}
	c.members["edge-1"].Leave() // again: nothing happens
	c.members["edge-1"].SetServing(ServingNow)
}

func TestProxyCountUnknownWhenAlone(t *testing.T) {
	c := newCluster(t)
	edge := c.start(c.options("edge-1", Edge, "a1"))
	if n := edge.ProxyCount(); n != 0 {
		t.Errorf("%d proxies where nobody else was heard from, want 0", n)
	}
}

func TestControlAddressesNearestFirst(t *testing.T) {
	c := newCluster(t)
	far := c.start(c.options("core-1", Control, "b1"))
	near := c.start(c.options("core-2", Control, "a2"))
	same := c.start(c.options("core-3", Control, "a1"))
	options := c.options("edge-1", Edge, "a1")
	unknown := netip.MustParseAddrPort("127.0.0.200:9")
	options.Seeds = append(options.Seeds, unknown)
	edge := c.start(options)
	want := []netip.Addr{same.Address().Addr(), near.Address().Addr(), far.Address().Addr(), unknown.Addr()}
	c.wait("the edge knows all three, nearest first, then the seed that nothing is known of", func() bool {
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
	c.wait("the one that is dead comes last", func() bool {
		addresses := edge.ControlAddresses()
		return len(addresses) == len(want) && addresses[len(want)-1].Addr() == want[0]
	})
}

func TestOnChange(t *testing.T) {
	c := newCluster(t)
	changes := make(chan struct{}, 1)
	options := c.options("core-1", Control, "a1")
	options.OnChange = func() {
		select {
		case changes <- struct{}{}:
		default:
		}
	}
	core := c.start(options)
	edge := c.start(c.options("edge-1", Edge, "a1"))
	edge.SetServing(ServingNow)
	end := time.After(waitTimeout)
	for c.memberOf(core, "edge-1").Serving != ServingNow {
		select {
		case <-changes:
		case <-end:
			t.Fatal("no change was told")
		}
	}
}

func TestSetSeeds(t *testing.T) {
	c := newCluster(t)
	core := c.start(c.options("core-1", Control, "a1"))
	options := c.options("edge-1", Edge, "a1")
	options.Seeds = nil
	edge := c.start(options)
	edge.SetSeeds([]netip.AddrPort{core.Address()})
	c.wait("edge knows core", func() bool { return c.memberOf(edge, "core-1").State == Alive })
}

func TestAddressInUse(t *testing.T) {
	c := newCluster(t)
	first := c.start(c.options("core-1", Control, "a1"))
	options := c.options("core-2", Control, "a1")
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
	for _, c := range []struct {
		own     Role
		changed string
		want    int
	}{
		{Control, "core-1/control", 1}, {Control, "edge-1/edge", 0}, {Edge, "core-1/control", 0}, {Edge, "edge-1/edge", 0},
	} {
		core, logs := observer.New(zap.InfoLevel)
		g := &Memberlist{options: Options{Role: c.own}, log: zap.New(core)}
		g.logChange(membership.Change{Name: c.changed, From: membership.Alive, To: membership.Dead})
		if logs.Len() != c.want {
			t.Errorf("a member of role %s: %d lines of %s, want %d", c.own, logs.Len(), c.changed, c.want)
		}
	}
}
