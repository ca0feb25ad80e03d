package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"cinderroad/internal/dispatcher/cluster/quota"
	"cinderroad/internal/shared/membership"
	"cinderroad/internal/testkit/virtualcluster"
	"cinderroad/loadbalancer"
)

// testSettings are those of one class whose requests fit a cold worker's share many times over.
func testSettings(configured, index int) loadbalancer.Settings {
	return loadbalancer.Settings{
		Classes: []loadbalancer.Class{{
			Name:        "score",
			Objective:   0.5,
			Deadline:    5,
			Value:       1,
			RetrySafety: loadbalancer.RetrySafe,
			Kind:        -1,
		}},
		Zones:     1,
		Instances: configured,
		Instance:  index,
		ReportFields: []loadbalancer.ReportField{
			loadbalancer.FieldInFlight,
			loadbalancer.FieldUtilization,
			loadbalancer.FieldFreeSlots,
		},
		MaxAttempts:           4,
		MaxRetryAfter:         2,
		Tick:                  0.004,
		AnswerSlack:           0.016,
		ListRefreshInterval:   10,
		SlowStartDuration:     9,
		SlowStartInitialShare: 0.34,
		OverloadMultiple:      3,
		OverloadWindow:        2,
		MayCancel:             true,
		ReportsStart:          true,
		MayRetryAfter:         true,
	}
}

const work = 0.01 // seconds of a job

// testDispatcher is a member's balancer. It gets more requests than its share of the one worker, which is cold, can
// serve.
type testDispatcher struct {
	node           *virtualcluster.Node
	balancer       *loadbalancer.Balancer
	calculator     *quota.Calculator
	share          quota.Share
	net            *virtualcluster.Network
	load           *workerLoad
	nextID         loadbalancer.RequestID
	inFlight       []attempt
	static         bool
	paused         bool
	stopped        bool    // submits nothing more
	fullShareSince float64 // time since when it uses its whole share
}

type attempt struct {
	id loadbalancer.RequestID
	at float64
}

// workerLoad is what the worker gets from all dispatchers.
type workerLoad struct {
	startedAt float64
	sends     []float64
	worst     float64 // largest load, in capacities of the worker
	worstAt   float64
	total     int
}

// Log and the following methods implement loadbalancer.Actions.
func (d *testDispatcher) Log(string)                             {}
func (d *testDispatcher) Reject(loadbalancer.RequestID, float64) {}
func (d *testDispatcher) Fail(loadbalancer.RequestID)            {}
func (d *testDispatcher) Cancel(loadbalancer.RequestID, int)     {}
func (d *testDispatcher) Probe(loadbalancer.WorkerID)            {}
func (d *testDispatcher) Watch(bool)                             {}
func (d *testDispatcher) Fetch()                                 {}
func (d *testDispatcher) SetTimer(token uint32, at float64)      {}
func (d *testDispatcher) Send(id loadbalancer.RequestID, _ loadbalancer.WorkerID, _ float64) {
	now := d.net.Now
	d.inFlight = append(d.inFlight, attempt{id, now})
	d.load.add(now)
}

func (s *workerLoad) add(now float64) {
	s.total++
	s.sends = append(s.sends, now)
	for len(s.sends) > 0 && now-s.sends[0] >= 2 {
		s.sends = s.sends[1:]
	}
	// what it bears by its state at the start of the span, when it was coldest
	warmth := min(1, 0.34+0.66*max(0, s.sends[0]-s.startedAt)/9)
	if share := work * float64(len(s.sends)) / (3 * warmth * 2); share > s.worst {
		s.worst = share
		s.worstAt = now
	}
}

// testCluster is a virtual cluster of dispatchers and one worker that is cold all the time.
type testCluster struct {
	t           *testing.T
	net         *virtualcluster.Network
	dispatchers map[*virtualcluster.Node]*testDispatcher
	list        []*testDispatcher
	load        workerLoad
	configured  int
	missed      int
	static      bool
	rng         *rand.Rand
}

func newTestCluster(t *testing.T, seed uint64, n, configured int, static bool) *testCluster {
	t.Helper()
	cluster := &testCluster{
		t: t,
		net: virtualcluster.New(virtualcluster.Options{
			Seed:          seed,
			LossRate:      0.05,
			Delay:         0.002,
			Jitter:        0.02,
			ProbeInterval: 0.5,
		}, n),
		configured:  configured,
		static:      static,
		dispatchers: map[*virtualcluster.Node]*testDispatcher{},
		rng:         rand.New(rand.NewPCG(seed, 3)),
	}
	cluster.net.AfterEvent = func(node *virtualcluster.Node) {
		if d := cluster.dispatchers[node]; d != nil {
			d.updateShare()
		}
	}
	cluster.load.startedAt = cluster.net.Now
	for at := cluster.net.Now; at < cluster.net.Now+400; at += 0.005 {
		cluster.net.Schedule(at, cluster.step)
	}
	return cluster
}

func (c *testCluster) start(i int) {
	node := c.net.Nodes[i]
	d := &testDispatcher{node: node, net: c.net, load: &c.load, static: c.static}
	bal, err := loadbalancer.New(testSettings(c.configured, i%c.configured), uint64(i), d)
	if err != nil {
		c.t.Fatal(err)
	}
	d.balancer = bal
	d.calculator = quota.New(quota.Config{
		Instances:     c.configured,
		Index:         i % c.configured,
		ProbeInterval: c.net.ProbeInterval,
		LoadDecay:     2,
		AllMembers:    true,
	})
	bal.Start(c.net.Now)
	bal.UpdateWorkers(c.net.Now, loadbalancer.ListFull, []loadbalancer.Worker{{
		ID:        7,
		State:     loadbalancer.Ready,
		StartedAt: c.load.startedAt,
	}})
	for j, old := range c.list {
		if old.node == node {
			c.list = append(c.list[:j], c.list[j+1:]...)
			break
		}
	}
	c.list = append(c.list, d)
	c.dispatchers[node] = d
	c.net.Start(node, c.net.Nodes[0], c.net.Nodes[1])
}

func (d *testDispatcher) updateShare() {
	if d.static || d.node.Membership == nil {
		return
	}
	v := d.node.Membership.View()
	p := d.calculator.Share(d.net.Now, &v)
	if p.Equal(&d.share) {
		return
	}
	if p.Fraction == 1 && d.share.Fraction < 1 {
		d.fullShareSince = d.net.Now
	}
	d.share = p
	err := d.balancer.SetInstanceShare(loadbalancer.InstanceShare{
		Instances:    p.Instances,
		Instance:     p.Index,
		BudgetShare:  p.Fraction,
		InstanceKeys: p.Keys,
	})
	if err != nil {
		panic(err)
	}
}

// step submits requests everywhere, and restarts the worker every 9 s.
func (c *testCluster) step() {
	now := c.net.Now
	if now >= c.load.startedAt+9 {
		c.load.startedAt = now
		c.load.sends = nil
		for _, d := range c.list {
			if d.node.Membership != nil {
				d.balancer.UpdateWorkers(now, loadbalancer.ListDelta, []loadbalancer.Worker{{
					ID:        7,
					State:     loadbalancer.Ready,
					StartedAt: now,
				}})
			}
		}
	}
	c.checkCounts()
	for _, d := range c.list {
		if d.node.Membership == nil || d.node.Paused || d.stopped {
			continue
		}
		if d.paused { // the loop reports a pause before anything else
			d.paused = false
			d.node.Membership.HandlePause(now)
			d.updateShare()
			c.net.Flush(d.node)
		}
		for len(d.inFlight) > 0 && now >= d.inFlight[0].at+work {
			x := d.inFlight[0]
			d.inFlight = d.inFlight[1:]
			d.balancer.HandleProgress(now, &loadbalancer.ProgressUpdate{Request: x.id, Started: true})
			d.balancer.HandleOutcome(now, &loadbalancer.Outcome{
				Request:        x.id,
				Worker:         7,
				Result:         loadbalancer.OK,
				Report:         []float32{1, 1, 0},
				ClientAnswered: true,
			})
		}
		d.balancer.HandleTimer(now, 1<<32-1)
		if c.rng.Float64() < 0.5 {
			d.nextID++
			d.balancer.HandleRequest(now, &loadbalancer.Request{ID: d.nextID, Work: work, Slots: 0.01, Deadline: now + 5})
		}
	}
}

// checkCounts fails for each pair that both use their whole shares while one does not count the other.
func (c *testCluster) checkCounts() {
	for _, a := range c.list {
		for _, b := range c.list {
			sends := func(d *testDispatcher) bool {
				return d.node.Membership != nil && !d.node.Paused && !d.paused && d.share.Fraction == 1 && d.share.Keys != nil
			}
			if a != b && sends(a) && sends(b) && !slices.Contains(b.share.Keys, membership.Key(a.node.Name)) {
				c.missed++
				c.t.Errorf("at %.2f %s takes its whole share since %.2f (%s of %d), and %s (since %.2f, %s of %d) does not count it",
					c.net.Now,
					a.node.Name, a.fullShareSince, a.share.Reason, a.share.Instances,
					b.node.Name, b.fullShareSince, b.share.Reason, b.share.Instances)
			}
		}
	}
	if c.missed > 3 {
		c.t.FailNow()
	}
}

func (c *testCluster) run(seconds float64) { c.net.Run(c.net.Now + seconds) }

func (c *testCluster) check(what string) {
	c.t.Helper()
	if c.load.worst > 1 {
		c.t.Errorf("%s: a cold worker was sent %.2f of what it bears at %.2f", what, c.load.worst, c.load.worstAt)
	}
	c.t.Logf("%s: at most %.2f of what it bears, %d jobs", what, c.load.worst, c.load.total)
	c.load.worst = 0
}

// TestCombinedSharesStayBounded checks that, whatever the members' views, no member that uses its whole share is
// missing from the count of another that does, and that together they send a cold worker no more than it can serve:
// while members join, are isolated, paused, killed, and return.
func TestCombinedSharesStayBounded(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 12, 62} {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			n := []int{3, 5, 8, 12}[seed%4]
			cluster := newTestCluster(t, seed, n, n, false)
			for i := range n {
				cluster.start(i)
				cluster.run(0.4 * cluster.rng.Float64())
			}
			cluster.run(20)
			cluster.check("joining")
			side := 1 + cluster.rng.IntN(n-1)
			in := func(node *virtualcluster.Node) bool {
				for _, o := range cluster.net.Nodes[:side] {
					if o == node {
						return true
					}
				}
				return false
			}
			cluster.net.Partitioned = func(a, b *virtualcluster.Node) bool { return in(a) != in(b) }
			cluster.run(90)
			cluster.check(fmt.Sprintf("cut %d to %d", side, n-side))
			cluster.net.Partitioned = nil
			cluster.run(30)
			cluster.check("healed")
			stalled := cluster.dispatchers[cluster.net.Nodes[cluster.rng.IntN(n)]]
			cluster.net.Pause(stalled.node)
			cluster.run([]float64{2, 8, 60}[seed%3])
			stalled.paused = true
			cluster.net.Resume(stalled.node)
			cluster.run(20)
			cluster.check("one that slept")
			for i := range n {
				if cluster.rng.Float64() < 0.4 {
					cluster.net.Kill(cluster.net.Nodes[i])
				}
			}
			cluster.run(20)
			for i := range n {
				if cluster.net.Nodes[i].Membership == nil {
					cluster.start(i)
				}
			}
			cluster.run(20)
			cluster.check("killed and started again")
		})
	}
}

// TestSharesGrowWhenMembersLeave checks that the five that stay when three of eight have left send a cold worker as
// much as the eight did. With the configured number alone they would send it five eighths.
func TestSharesGrowWhenMembersLeave(t *testing.T) {
	given := map[bool]int{}
	for _, off := range []bool{true, false} {
		cluster := newTestCluster(t, 5, 8, 8, off)
		for i := range 8 {
			cluster.start(i)
		}
		cluster.run(20)
		for _, node := range cluster.net.Nodes[5:] {
			cluster.dispatchers[node].stopped = true
			node.Membership.Leave(cluster.net.Now)
			cluster.net.Flush(node)
		}
		cluster.run(20)
		cluster.load.total = 0
		cluster.run(90)
		given[off] = cluster.load.total
		cluster.check(fmt.Sprintf("fleet off: %v", off))
	}
	t.Logf("given in 90 s: %d by the settings' number, %d by the view", given[true], given[false])
	if float64(given[false]) < 1.3*float64(given[true]) {
		t.Errorf("a cold worker is given %d jobs by the view, %d by the settings' number", given[false], given[true])
	}
}

// TestConfiguredShareWhenAlone checks that a member without contact uses the configured numbers.
func TestConfiguredShareWhenAlone(t *testing.T) {
	d := quota.New(quota.Config{Instances: 7, Index: 3, ProbeInterval: 1, LoadDecay: 2, AllMembers: true})
	m := membership.New(membership.Options{
		Cluster:       "f",
		Name:          "a",
		Addr:          virtualcluster.New(virtualcluster.Options{}, 1).Nodes[0].Addr,
		ProbeInterval: 1,
		Generation:    1,
	})
	m.Start(0)
	v := m.View()
	if p := d.Share(0, &v); p.Instances != 7 || p.Index != 3 || p.Fraction != 1 || p.Keys != nil {
		t.Errorf("%+v", p)
	}
}

// viewOf returns a view of members in the given states, the first of which is this one.
func viewOf(counted bool, states ...membership.State) *membership.View {
	v := &membership.View{Contacted: true, Recognized: counted}
	for i, s := range states {
		name := fmt.Sprint("m", i)
		v.Members = append(v.Members, membership.Member{
			Record: membership.Record{Name: name, Generation: 1, State: s},
			Key:    membership.Key(name),
			Self:   i == 0,
		})
	}
	return v
}

func withJoinTime(v *membership.View, at float64) *membership.View {
	v.JoinedAt = at
	return v
}

// TestShares checks who counts, and the fraction used, for each kind of view.
func TestShares(t *testing.T) {
	const alive, suspect, dead, left = membership.Alive, membership.Suspect, membership.Dead, membership.Left
	for _, tc := range []struct {
		name      string
		view      *membership.View
		told      int
		whole     bool
		instances int
		part      float64
		why       quota.Reason
	}{
		{"all alive", viewOf(true, alive, alive, alive), 9, true, 3, 1, quota.Full},
		{"one left", viewOf(true, alive, alive, left), 9, true, 2, 1, quota.Full},
		{"one suspect", viewOf(true, alive, alive, suspect), 9, true, 3, 1, quota.Full},
		{"one dead within the lease", viewOf(true, alive, alive, dead), 9, true, 3, 1, quota.Full},
		{"half of two", viewOf(true, alive, dead), 2, true, 2, 1, quota.Waiting},
		{"a third", viewOf(true, alive, dead, dead), 3, true, 3, quota.CautiousFraction, quota.CutOff},
		{"not counted", viewOf(false, alive, alive, alive), 3, true, 3, quota.CautiousFraction, quota.Unrecognized},
		{"not counted, and more are told of", viewOf(false, alive, alive), 8, true, 8, quota.CautiousFraction, quota.Unrecognized},
		{
			name:      "just begun, and fewer are known than told of",
			view:      withJoinTime(viewOf(true, alive, alive), 9),
			told:      8,
			whole:     true,
			instances: 8,
			part:      quota.CautiousFraction,
			why:       quota.Unrecognized,
		},
		{"begun a while ago, and fewer are known than told of", withJoinTime(viewOf(true, alive, alive), -16), 8, true, 2, 1, quota.Full},
		{"just begun, and those that are missing have left", withJoinTime(viewOf(true, alive, alive, left), 9), 3, true, 2, 1, quota.Full},
		{"just begun, and as many are known", withJoinTime(viewOf(true, alive, alive), 9), 2, true, 2, 1, quota.Full},
		{"not all are members", viewOf(true, alive, alive), 8, false, 8, 1, quota.Partial},
		{"not all are members, and more than told", viewOf(true, alive, alive, alive), 2, false, 3, 1, quota.Full},
	} {
		d := quota.New(quota.Config{Instances: tc.told, Index: 1, ProbeInterval: 1, LoadDecay: 2, AllMembers: tc.whole})
		if tc.view.JoinedAt == 0 {
			tc.view.JoinedAt = -100
		}
		p := d.Share(10, tc.view)
		if p.Instances != tc.instances || p.Fraction != tc.part || p.Reason != tc.why || p.Keys != nil && len(p.Keys) != p.Instances {
			t.Errorf("%s: %+v", tc.name, p)
		}
	}
}

// TestSharesOverTime checks when a member that is dead stops counting, and that one which is back counts at once.
func TestSharesOverTime(t *testing.T) {
	const alive, dead = membership.Alive, membership.Dead
	d := quota.New(quota.Config{Instances: 1, ProbeInterval: 1, LoadDecay: 2, AllMembers: true})
	v := viewOf(true, alive, alive, dead)
	lease := d.StopTimeout(3)
	if p := d.Share(lease, v); p.Instances != 3 { // contact with more than half begins now
		t.Errorf("one that is dead leaves the count as soon as more than half are heard: %+v", p)
	}
	v.Members[2].Since = lease + 1
	if p := d.Share(2*lease+0.9, v); p.Instances != 3 {
		t.Errorf("one that is dead leaves the count before its lease is over: %+v", p)
	}
	if p := d.Share(2*lease+1.1, v); p.Instances != 2 {
		t.Errorf("one that is dead stays in the count for ever: %+v", p)
	}
	// Contact with less than half: who is no longer counted stays so, all others are counted.
	v.Members[1].State = dead
	v.Members[1].Since = 10 * lease
	if p := d.Share(10*lease, v); p.Instances != 2 || p.Fraction != quota.CautiousFraction {
		t.Errorf("cut off: %+v", p)
	}
	v.Members[2].State = alive
	if p := d.Share(10*lease, v); p.Instances != 3 {
		t.Errorf("one that is back does not count at once: %+v", p)
	}
}
