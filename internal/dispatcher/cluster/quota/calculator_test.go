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

// testSettings are those of one class whose jobs fit a cold worker's share many times over.
func testSettings(told, me int) loadbalancer.Settings {
	return loadbalancer.Settings{Classes: []loadbalancer.Class{{Name: "score", Objective: 0.5, Deadline: 5, Value: 1, RetrySafety: loadbalancer.RetrySafe, Kind: -1}},
		Zones: 1, Instances: told, Instance: me, ReportFields: []loadbalancer.ReportField{loadbalancer.FieldInFlight, loadbalancer.FieldUtilization, loadbalancer.FieldFreeSlots},
		MaxAttempts: 4, MaxRetryAfter: 2, Tick: 0.004, AnswerSlack: 0.016, ListRefreshInterval: 10, SlowStartDuration: 9, SlowStartInitialShare: 0.34, OverloadMultiple: 3,
		OverloadWindow: 2, MayCancel: true, ReportsStart: true, MayRetryAfter: true}
}

const work = 0.01 // seconds of a job

// testDispatcher is a member's decisions: it gets more jobs than its share of the one worker, which is cold, bears.
type testDispatcher struct {
	node    *virtualcluster.Node
	bal     *loadbalancer.Balancer
	div     *quota.Calculator
	place   quota.Share
	net     *virtualcluster.Network
	sum     *workerLoad
	next    loadbalancer.RequestID
	out     []attempt
	off     bool
	slept   bool
	stopped bool    // hands in nothing more
	wholeAt float64 // since when it takes its whole share
}

type attempt struct {
	id loadbalancer.RequestID
	at float64
}

// workerLoad is what the worker gets from all.
type workerLoad struct {
	since float64
	sends []float64
	worst float64 // of what it bears in a fall time
	at    float64
	all   int
}

// Log and the rest implement brain.Actions.
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
	d.out = append(d.out, attempt{id, now})
	d.sum.book(now)
}

func (s *workerLoad) book(now float64) {
	s.all++
	s.sends = append(s.sends, now)
	for len(s.sends) > 0 && now-s.sends[0] >= 2 {
		s.sends = s.sends[1:]
	}
	// what it bears by its state at the start of the span, when it was coldest
	warmth := min(1, 0.34+0.66*max(0, s.sends[0]-s.since)/9)
	if share := work * float64(len(s.sends)) / (3 * warmth * 2); share > s.worst {
		s.worst, s.at = share, now
	}
}

// testCluster is a virtual fleet of dispatchers round one worker that is cold all the time.
type testCluster struct {
	t      *testing.T
	net    *virtualcluster.Network
	all    map[*virtualcluster.Node]*testDispatcher
	list   []*testDispatcher
	sum    workerLoad
	told   int
	missed int
	off    bool
	rng    *rand.Rand
}

func newTestCluster(t *testing.T, seed uint64, n, told int, off bool) *testCluster {
	f := &testCluster{t: t, net: virtualcluster.New(virtualcluster.Options{Seed: seed, LossRate: 0.05, Delay: 0.002, Jitter: 0.02, ProbeInterval: 0.5}, n), told: told, off: off,
		all: map[*virtualcluster.Node]*testDispatcher{}, rng: rand.New(rand.NewPCG(seed, 3))}
	f.net.AfterEvent = func(node *virtualcluster.Node) {
		if d := f.all[node]; d != nil {
			d.divide()
		}
	}
	f.sum.since = f.net.Now
	for at := f.net.Now; at < f.net.Now+400; at += 0.005 {
		f.net.Schedule(at, f.step)
	}
	return f
}

func (f *testCluster) start(i int) {
	node := f.net.Nodes[i]
	d := &testDispatcher{node: node, net: f.net, sum: &f.sum, off: f.off}
	bal, err := loadbalancer.New(testSettings(f.told, i%f.told), uint64(i), d)
	if err != nil {
		f.t.Fatal(err)
	}
	d.bal = bal
	d.div = quota.New(quota.Config{Instances: f.told, Index: i % f.told, ProbeInterval: f.net.ProbeInterval, LoadDecay: 2, AllMembers: true})
	bal.Start(f.net.Now)
	bal.UpdateWorkers(f.net.Now, loadbalancer.ListFull, []loadbalancer.Worker{{ID: 7, State: loadbalancer.Ready, StartedAt: f.sum.since}})
	for j, old := range f.list {
		if old.node == node {
			f.list = append(f.list[:j], f.list[j+1:]...)
			break
		}
	}
	f.list = append(f.list, d)
	f.all[node] = d
	f.net.Start(node, f.net.Nodes[0], f.net.Nodes[1])
}

func (d *testDispatcher) divide() {
	if d.off || d.node.Membership == nil {
		return
	}
	v := d.node.Membership.View()
	p := d.div.Share(d.net.Now, &v)
	if p.Equal(&d.place) {
		return
	}
	if p.Fraction == 1 && d.place.Fraction < 1 {
		d.wholeAt = d.net.Now
	}
	d.place = p
	if err := d.bal.SetInstanceShare(loadbalancer.InstanceShare{Instances: p.Instances, Instance: p.Index, BudgetShare: p.Fraction, InstanceKeys: p.Keys}); err != nil {
		panic(err)
	}
}

// step hands jobs in everywhere, and has the worker be cold anew every 9 s.
func (f *testCluster) step() {
	now := f.net.Now
	if now >= f.sum.since+9 {
		f.sum.since, f.sum.sends = now, nil
		for _, d := range f.list {
			if d.node.Membership != nil {
				d.bal.UpdateWorkers(now, loadbalancer.ListDelta, []loadbalancer.Worker{{ID: 7, State: loadbalancer.Ready, StartedAt: now}})
			}
		}
	}
	f.unseen()
	for _, d := range f.list {
		if d.node.Membership == nil || d.node.Paused || d.stopped {
			continue
		}
		if d.slept { // the loop tells it before anything else
			d.slept = false
			d.node.Membership.HandlePause(now)
			d.divide()
			f.net.Flush(d.node)
		}
		for len(d.out) > 0 && now >= d.out[0].at+work {
			x := d.out[0]
			d.out = d.out[1:]
			d.bal.HandleProgress(now, &loadbalancer.ProgressUpdate{Request: x.id, Started: true})
			d.bal.HandleOutcome(now, &loadbalancer.Outcome{Request: x.id, Worker: 7, Result: loadbalancer.OK, Report: []float32{1, 1, 0}, ClientAnswered: true})
		}
		d.bal.HandleTimer(now, 1<<32-1)
		if f.rng.Float64() < 0.5 {
			d.next++
			d.bal.HandleRequest(now, &loadbalancer.Request{ID: d.next, Work: work, Slots: 0.01, Deadline: now + 5})
		}
	}
}

// unseen counts the pairs of which both take whole shares and one does not count the other.
func (f *testCluster) unseen() {
	for _, a := range f.list {
		for _, b := range f.list {
			sends := func(d *testDispatcher) bool {
				return d.node.Membership != nil && !d.node.Paused && !d.slept && d.place.Fraction == 1 && d.place.Keys != nil
			}
			if a != b && sends(a) && sends(b) && !slices.Contains(b.place.Keys, membership.Key(a.node.Name)) {
				f.missed++
				f.t.Errorf("at %.2f %s takes its whole share since %.2f (%s of %d), and %s (since %.2f, %s of %d) does not count it", f.net.Now, a.node.Name, a.wholeAt,
					a.place.Reason, a.place.Instances, b.node.Name, b.wholeAt, b.place.Reason, b.place.Instances)
			}
		}
	}
	if f.missed > 3 {
		f.t.FailNow()
	}
}

func (f *testCluster) run(seconds float64) { f.net.Run(f.net.Now + seconds) }

func (f *testCluster) check(what string) {
	f.t.Helper()
	if f.sum.worst > 1 {
		f.t.Errorf("%s: a cold worker was sent %.2f of what it bears at %.2f", what, f.sum.worst, f.sum.at)
	}
	f.t.Logf("%s: at most %.2f of what it bears, %d jobs", what, f.sum.worst, f.sum.all)
	f.sum.worst = 0
}

// F4: whatever the members' views, none that takes its whole share is missing from the count of another that does, and what
// they give a cold worker together stays in what it bears: while they join, one after another and all at once, while some are
// cut off, stalled, killed, and come back.
func TestCombinedSharesStayBounded(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 12, 62} {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			n := []int{3, 5, 8, 12}[seed%4]
			f := newTestCluster(t, seed, n, n, false)
			for i := range n {
				f.start(i)
				f.run(0.4 * f.rng.Float64())
			}
			f.run(20)
			f.check("joining")
			side := 1 + f.rng.IntN(n-1)
			in := func(node *virtualcluster.Node) bool {
				for _, o := range f.net.Nodes[:side] {
					if o == node {
						return true
					}
				}
				return false
			}
			f.net.Partitioned = func(a, b *virtualcluster.Node) bool { return in(a) != in(b) }
			f.run(90)
			f.check(fmt.Sprintf("cut %d to %d", side, n-side))
			f.net.Partitioned = nil
			f.run(30)
			f.check("healed")
			stalled := f.all[f.net.Nodes[f.rng.IntN(n)]]
			f.net.Pause(stalled.node)
			f.run([]float64{2, 8, 60}[seed%3])
			stalled.slept = true
			f.net.Resume(stalled.node)
			f.run(20)
			f.check("one that slept")
			for i := range n {
				if f.rng.Float64() < 0.4 {
					f.net.Kill(f.net.Nodes[i])
				}
			}
			f.run(20)
			for i := range n {
				if f.net.Nodes[i].Membership == nil {
					f.start(i)
				}
			}
			f.run(20)
			f.check("killed and started again")
		})
	}
}

// What the fleet gains: where three in eight have left, the five that stay give a cold worker what the eight did; with the
// number of the settings alone it gets what five of eight shares are.
func TestSharesGrowWhenMembersLeave(t *testing.T) {
	given := map[bool]int{}
	for _, off := range []bool{true, false} {
		f := newTestCluster(t, 5, 8, 8, off)
		for i := range 8 {
			f.start(i)
		}
		f.run(20)
		for _, node := range f.net.Nodes[5:] {
			f.all[node].stopped = true
			node.Membership.Leave(f.net.Now)
			f.net.Flush(node)
		}
		f.run(20)
		f.sum.all = 0
		f.run(90)
		given[off] = f.sum.all
		f.check(fmt.Sprintf("fleet off: %v", off))
	}
	t.Logf("given in 90 s: %d by the settings' number, %d by the view", given[true], given[false])
	if float64(given[false]) < 1.3*float64(given[true]) {
		t.Errorf("a cold worker is given %d jobs by the view, %d by the settings' number", given[false], given[true])
	}
}

// F1: one that has heard nobody decides by the settings alone.
func TestConfiguredShareWhenAlone(t *testing.T) {
	d := quota.New(quota.Config{Instances: 7, Index: 3, ProbeInterval: 1, LoadDecay: 2, AllMembers: true})
	m := membership.New(membership.Options{Cluster: "f", Name: "a", Addr: virtualcluster.New(virtualcluster.Options{}, 1).Nodes[0].Addr, ProbeInterval: 1, Generation: 1})
	m.Start(0)
	v := m.View()
	if p := d.Share(0, &v); p.Instances != 7 || p.Index != 3 || p.Fraction != 1 || p.Keys != nil {
		t.Errorf("%+v", p)
	}
}

// seen makes a view of members in states, the first of which is oneself.
func seen(counted bool, states ...membership.State) *membership.View {
	v := &membership.View{Contacted: true, Recognized: counted}
	for i, s := range states {
		name := fmt.Sprint("m", i)
		v.Members = append(v.Members, membership.Member{Record: membership.Record{Name: name, Generation: 1, State: s}, Key: membership.Key(name), Self: i == 0})
	}
	return v
}

func begun(v *membership.View, at float64) *membership.View {
	v.JoinedAt = at
	return v
}

// Who counts, and by how much, for each kind of view.
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
		{"all alive", seen(true, alive, alive, alive), 9, true, 3, 1, quota.Full},
		{"one left", seen(true, alive, alive, left), 9, true, 2, 1, quota.Full},
		{"one suspect", seen(true, alive, alive, suspect), 9, true, 3, 1, quota.Full},
		{"one dead within the lease", seen(true, alive, alive, dead), 9, true, 3, 1, quota.Full},
		{"half of two", seen(true, alive, dead), 2, true, 2, 1, quota.Waiting},
		{"a third", seen(true, alive, dead, dead), 3, true, 3, quota.CautiousFraction, quota.CutOff},
		{"not counted", seen(false, alive, alive, alive), 3, true, 3, quota.CautiousFraction, quota.Unrecognized},
		{"not counted, and more are told of", seen(false, alive, alive), 8, true, 8, quota.CautiousFraction, quota.Unrecognized},
		{"just begun, and fewer are known than told of", begun(seen(true, alive, alive), 9), 8, true, 8, quota.CautiousFraction, quota.Unrecognized},
		{"begun a while ago, and fewer are known than told of", begun(seen(true, alive, alive), -16), 8, true, 2, 1, quota.Full},
		{"just begun, and those that are missing have left", begun(seen(true, alive, alive, left), 9), 3, true, 2, 1, quota.Full},
		{"just begun, and as many are known", begun(seen(true, alive, alive), 9), 2, true, 2, 1, quota.Full},
		{"not all are members", seen(true, alive, alive), 8, false, 8, 1, quota.Partial},
		{"not all are members, and more than told", seen(true, alive, alive, alive), 2, false, 3, 1, quota.Full},
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
	d := quota.New(quota.Config{Instances: 1, ProbeInterval: 1, LoadDecay: 2, AllMembers: true})
	v := seen(true, alive, alive, dead)
	lease := d.StopTimeout(3)
	if p := d.Share(lease, v); p.Instances != 3 { // more than half are heard since now only
		t.Errorf("one that is dead leaves the count as soon as more than half are heard: %+v", p)
	}
	v.Members[2].Since = lease + 1
	if p := d.Share(2*lease+0.9, v); p.Instances != 3 {
		t.Errorf("one that is dead leaves the count before its lease is over: %+v", p)
	}
	if p := d.Share(2*lease+1.1, v); p.Instances != 2 {
		t.Errorf("one that is dead stays in the count for ever: %+v", p)
	}
	v.Members[1].State, v.Members[1].Since = dead, 10*lease // now it is heard by less than half: who left the count stays out, nobody else leaves it
	if p := d.Share(10*lease, v); p.Instances != 2 || p.Fraction != quota.CautiousFraction {
		t.Errorf("cut off: %+v", p)
	}
	v.Members[2].State = alive
	if p := d.Share(10*lease, v); p.Instances != 3 {
		t.Errorf("one that is back does not count at once: %+v", p)
	}
}
