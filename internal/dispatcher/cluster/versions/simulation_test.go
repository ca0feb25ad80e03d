package versions_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"cinderroad/internal/dispatcher/cluster/versions"
	"cinderroad/internal/shared/membership"
	"cinderroad/internal/testkit/virtualcluster"
)

var large = flag.Bool("fleet.large", false, "fleets of 300 and 1,000, too, and more seeds")

const src = "10.0.0.9:8500"

// newTestCluster returns members of a virtual cluster that have one list of ready workers.
func newTestCluster(t *testing.T, seed uint64, n int, loss float64) (*virtualcluster.Network, map[*virtualcluster.Node]*versions.Table) {
	t.Helper()
	net := virtualcluster.New(virtualcluster.Options{Seed: seed, LossRate: loss, Delay: 0.002, Jitter: 0.01}, n)
	tables := map[*virtualcluster.Node]*versions.Table{}
	net.NewDelegate = func(node *virtualcluster.Node) membership.Delegate {
		table := versions.New(node.Name)
		table.ApplyList(net.Now, src, 5, false, []versions.Entry{{Worker: "x"}, {Worker: "y"}})
		tables[node] = table
		return table
	}
	net.StartAll(1)
	_, ok := net.RunUntil(120, 0.5, func() bool {
		isOneView, alive := net.Converged()
		return loss > 0.1 || isOneView && alive == n
	})
	if !ok {
		t.Fatal("no fleet")
	}
	net.Run(net.Now + 15)
	return net, tables
}

// TestDrainReachesAllMembers checks that a drain that discovery sends to one member is known to all within a time that
// grows with the logarithm of the cluster size, also at 20% loss, and to a member that was paused as soon as it is
// back.
func TestDrainReachesAllMembers(t *testing.T) {
	sizes, seeds := []int{5, 50}, uint64(5)
	if *large {
		sizes = []int{10, 100, 300, 1000}
		seeds = 20
	}
	for _, n := range sizes {
		if n >= 300 { // a minute each
			seeds = uint64(1800 / n)
		}
		for _, loss := range []float64{0, 0.05, 0.2} {
			t.Run(fmt.Sprintf("%d/%v", n, loss), func(t *testing.T) {
				var took []float64
				answered := uint64(0)
				for seed := uint64(1); seed <= seeds; seed++ {
					span, replies := spreadDrain(t, seed, n, loss)
					took = append(took, span)
					answered = max(answered, replies)
				}
				slices.Sort(took)
				t.Logf("known to all after %.2f periods (median), %.2f (worst of %d); at most %d questions answered by one",
					took[len(took)/2], took[len(took)-1], seeds, answered)
				if loss == 0 && took[len(took)-1] > 5 {
					t.Errorf("%.2f periods", took[len(took)-1])
				}
			})
		}
	}
}

// spreadDrain has discovery send a drain to one of n members while the last one is paused, which resumes 30 s after all
// others know it. It returns the probe intervals until these knew it, and the replies of the member that sent most.
func spreadDrain(t *testing.T, seed uint64, n int, loss float64) (span float64, maxReplies uint64) {
	t.Helper()
	net, tables := newTestCluster(t, seed, n, loss)
	paused := net.Nodes[n-1]
	net.Pause(paused)
	first := net.Nodes[seed%uint64(n-1)]
	tables[first].ApplyList(net.Now, src, 6, false, []versions.Entry{{Worker: "x", State: versions.Draining}})
	first.Membership.GossipNow(net.Now)
	net.Flush(first)
	areInformed := func(nodes []*virtualcluster.Node) bool {
		for _, node := range nodes {
			if node != first && tables[node].Restrictions()["x"].State != versions.Draining {
				return false
			}
		}
		return true
	}
	span, ok := net.RunUntil(60, 0.02, func() bool { return areInformed(net.Nodes[:n-1]) })
	if !ok {
		t.Fatalf("seed %d: not known to all after 60 periods", seed)
	}
	net.Run(net.Now + 30)
	net.Resume(paused)
	resumedSpan, ok := net.RunUntil(30, 0.02, func() bool { return areInformed(net.Nodes) })
	if !ok {
		t.Errorf("seed %d: one that slept does not know it after 30 periods", seed)
	} else if loss == 0 && resumedSpan > 3 {
		t.Errorf("seed %d: one that slept knows it after %.2f periods", seed, resumedSpan)
	}
	for _, table := range tables {
		maxReplies = max(maxReplies, table.Stats.Replies)
	}
	return span, maxReplies
}

// TestNothingWithheldWithoutDiscovery has discovery be down for all: nobody lags, and nothing is restricted.
func TestNothingWithheldWithoutDiscovery(t *testing.T) {
	net, tables := newTestCluster(t, 3, 12, 0.05)
	net.Run(net.Now + 300)
	for node, table := range tables {
		if len(table.Restrictions()) > 0 || table.MaxLag() != 0 {
			t.Errorf("%s withholds %v, behind by %d", node.Name, table.Restrictions(), table.MaxLag())
		}
	}
}
