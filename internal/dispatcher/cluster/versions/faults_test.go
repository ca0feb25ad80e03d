package versions_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"cinderroad/internal/dispatcher/cluster/versions"
	"cinderroad/internal/shared/lease"
	"cinderroad/internal/shared/membership"
	"cinderroad/internal/testkit/virtualcluster"
)

// skewedTable is a Table whose clock is off.
type skewedTable struct {
	*versions.Table
	offset float64
}

func (s skewedTable) Payload(now float64, room int) []byte {
	return s.Table.Payload(now+s.offset, room)
}
func (s skewedTable) Tick(now float64) { s.Table.Tick(now + s.offset) }
func (s skewedTable) HandlePayload(now float64, from string, ride []byte) [][]byte {
	return s.Table.HandlePayload(now+s.offset, from, ride)
}

// TestClockSkew has clocks be up to two seconds off: a member that loses discovery keeps its lease through its peers,
// and the clock differences that members report are never less than the true ones, and little more.
func TestClockSkew(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		rng := rand.New(rand.NewPCG(seed, 2))
		tables := map[*virtualcluster.Node]*versions.Table{}
		skews := map[string]float64{}
		net := virtualcluster.New(virtualcluster.Options{Seed: seed, LossRate: 0.05, Delay: 0.002, Jitter: 0.01}, 8)
		best := map[[2]string]float64{}
		net.NewDelegate = func(node *virtualcluster.Node) membership.Delegate {
			table := versions.New(node.Name)
			by := 4*rng.Float64() - 2
			tables[node] = table
			skews[node.Name] = by
			table.ApplyList(net.Now+by, src, 5, false, nil)
			table.OnEvent = func(now float64, n *versions.Event) {
				if n.Kind == versions.ClockReceived {
					best[[2]string{node.Name, n.From}] = now - n.PeerClock
				}
			}
			return skewedTable{table, by}
		}
		net.StartAll(1)
		for s := range 90 {
			net.Run(net.Now + 1)
			for i, node := range net.Nodes {
				table, by := tables[node], skews[node.Name]
				if i > 2 && s%2 == 0 {
					table.HandleDiscoveryContact(net.Now + by)
				}
				view := node.Membership.View()
				table.UpdateLease(net.Now+by, &view)
				if s > 20 && table.Lease.State() != lease.Held {
					t.Fatalf("seed %d: %s is %v: %s", seed, node.Name, table.Lease.State(), table.Lease.Reason)
				}
			}
		}
		for pair, lead := range best {
			if over := lead - (skews[pair[0]] - skews[pair[1]]); over < 0 || over > 0.03 {
				t.Errorf("seed %d: %s hears a lead before %s that is %.4f s over the truth", seed, pair[0], pair[1], over)
			}
		}
		if len(best) < 8*7 {
			t.Errorf("%d pairs of clocks compared", len(best))
		}
	}
}

// TestManyStragglers has most members be paused while workers of a large list drain. Afterwards all of them send
// requests at once, are answered by many peers, and none of these has to answer all.
func TestManyStragglers(t *testing.T) {
	n := 24
	workers := 2000
	drains := 300
	if *large {
		n = 120
		workers = 10000
		drains = 900
	}
	var all, drained []versions.Entry
	for i := range workers {
		e := versions.Entry{Worker: fmt.Sprintf("worker-%05d", i)}
		all = append(all, e)
		if i%(workers/drains) == 0 && len(drained) < drains {
			e.State = versions.Draining
			drained = append(drained, e)
		}
	}
	net, tables := newTestCluster(t, 7, n, 0.05)
	for _, table := range tables {
		table.ApplyList(net.Now, src, 6, false, all)
	}
	awake, asleep := net.Nodes[:n/6], net.Nodes[n/6:]
	for _, node := range asleep {
		net.Pause(node)
	}
	for _, node := range awake {
		tables[node].ApplyList(net.Now, src, 7, false, drained)
	}
	net.Run(net.Now + 60) // news of it goes out by itself no more
	before := map[*virtualcluster.Node]uint64{}
	for node, table := range tables {
		before[node] = table.Stats.Replies
	}
	for _, node := range asleep {
		net.Resume(node)
	}
	took, ok := net.RunUntil(300, 0.1, func() bool {
		return !slices.ContainsFunc(asleep, func(node *virtualcluster.Node) bool { return len(tables[node].Restrictions()) < drains })
	})
	if !ok {
		t.Fatal("not all were brought up after 300 periods")
	}
	most, sum := uint64(0), uint64(0)
	for node, table := range tables {
		replies := table.Stats.Replies - before[node]
		most = max(most, replies)
		sum += replies
	}
	t.Logf("%d stragglers, %d of %d workers: brought up after %.1f periods; %d questions answered, %d by one at most",
		len(asleep), drains, workers, took, sum, most)
	if most*4 > sum {
		t.Errorf("one answered %d of %d questions", most, sum)
	}
}

// TestPeerDiesWhileReplying kills members in the middle of a reply: others answer.
func TestPeerDiesWhileReplying(t *testing.T) {
	net, tables := newTestCluster(t, 9, 5, 0)
	var drained []versions.Entry
	var all []versions.Entry
	for i := range 400 {
		name := fmt.Sprintf("worker-%04d", i)
		all = append(all, versions.Entry{Worker: name})
		drained = append(drained, versions.Entry{Worker: name, State: versions.Draining})
	}
	for _, table := range tables {
		table.ApplyList(net.Now, src, 6, false, all)
	}
	straggler := net.Nodes[4]
	net.Pause(straggler)
	for _, node := range net.Nodes[:4] {
		tables[node].ApplyList(net.Now, src, 7, false, drained)
	}
	net.Run(net.Now + 90)
	net.Resume(straggler)
	killed := 0
	answered := map[*virtualcluster.Node]uint64{}
	for node, table := range tables {
		answered[node] = table.Stats.Replies
	}
	net.AfterEvent = func(node *virtualcluster.Node) { // part of a reply has been sent
		if node != straggler && node.Membership != nil && killed < 2 && tables[node].Stats.Replies > answered[node] {
			killed++
			net.Schedule(net.Now, func() { net.Kill(node) })
		}
	}
	took, ok := net.RunUntil(120, 0.1, func() bool { return len(tables[straggler].Restrictions()) == 400 })
	if !ok || killed != 2 {
		t.Fatalf("%d of 400 known after %.0f periods; %d killed", len(tables[straggler].Restrictions()), took, killed)
	}
	t.Logf("all of 400 known after %.1f periods, two that answered having died", took)
}

// TestCrossingDrainAndReady checks that of a drain and a later readiness that cross on their ways the newer one holds
// everywhere, whichever arrives first.
func TestCrossingDrainAndReady(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		net, tables := newTestCluster(t, seed, 8, 0.2)
		a, table := net.Nodes[1], net.Nodes[5]
		tables[a].ApplyList(net.Now, src, 6, false, []versions.Entry{{Worker: "x", State: versions.Draining}})
		tables[table].ApplyList(net.Now, src, 7, false, []versions.Entry{{Worker: "x"}, {Worker: "y", State: versions.Draining}})
		a.Membership.GossipNow(net.Now)
		table.Membership.GossipNow(net.Now)
		net.Flush(table)
		net.Flush(a)
		net.Run(net.Now + 60)
		for node, board := range tables {
			want := map[string]versions.State{"y": versions.Draining}
			got := map[string]versions.State{}
			for name, h := range board.Restrictions() {
				got[name] = h.State
			}
			if node == table {
				want = map[string]versions.State{}
			}
			if !maps.Equal(got, want) {
				t.Errorf("seed %d: %s withholds %v", seed, node.Name, got)
			}
		}
	}
}

// TestSourceChangeWhileMemberIsPaused moves the cluster to another discovery while a member is paused: versions of the
// two sources restrict nothing across, until the member has moved as well.
func TestSourceChangeWhileMemberIsPaused(t *testing.T) {
	const other = "10.0.0.8:8500"
	net, tables := newTestCluster(t, 3, 6, 0.05)
	away := net.Nodes[2]
	net.Pause(away)
	for node, table := range tables {
		if node != away {
			table.ApplyList(net.Now, other, 90, false, []versions.Entry{{Worker: "x"}, {Worker: "y"}})
			table.ApplyList(net.Now, other, 91, false, []versions.Entry{{Worker: "x", State: versions.Draining}})
		}
	}
	net.Run(net.Now + 40)
	net.Resume(away)
	tables[away].ApplyList(net.Now, src, 6, false, []versions.Entry{{Worker: "y", State: versions.Gone}})
	net.Run(net.Now + 40)
	for node, table := range tables {
		if len(table.Restrictions()) > 0 {
			t.Errorf("%s withholds %v across sources", node.Name, table.Restrictions())
		}
	}
	tables[away].ApplyList(net.Now, other, 90, false, []versions.Entry{{Worker: "x"}, {Worker: "y"}}) // a little behind
	if _, ok := net.RunUntil(60, 0.1, func() bool { return tables[away].Restrictions()["x"].State == versions.Draining }); !ok {
		t.Error("moved, and not brought up")
	}
}
