package runnersync

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/replica"
)

const partitions = 2

// fakeCluster is a system of one replica of each partition in virtual time, with the platform's list.
type fakeCluster struct {
	mutex         sync.Mutex
	now           time.Duration
	list          []discovery.Runner
	pages         int
	listError     error
	calls         uint64
	lease         time.Duration
	leads         bool              // partition 0
	ledPartitions feed.PartitionSet // other partitions that it leads
	staleness     time.Duration     // since a leader of partition 0 was heard
	states        []*state.Runners
	index         uint64
	proposals     int
	loseResponse  bool                           // of the next proposal
	leaderless    map[feed.Partition]bool        // partitions without a leader
	beforeApply   func(partition feed.Partition) // a proposal is applied
	syncer        *Syncer
}

func newFakeCluster() *fakeCluster {
	c := &fakeCluster{now: time.Hour, pages: 1, leads: true, lease: time.Second, leaderless: map[feed.Partition]bool{}}
	var local []Partition
	for i := range partitions {
		s := state.NewRunners(feed.Partition(i+1), c.clock, func() {})
		c.states = append(c.states, s)
		local = append(local, s)
	}
	c.syncer = New(Options{Lister: c, Replicas: c, Partitions: local, CallsPerSecond: 40, Now: c.clock, Log: zap.NewNop()})
	return c
}

func (c *fakeCluster) clock() time.Duration { return c.now }

func (c *fakeCluster) List(context.Context) ([]discovery.Runner, error) {
	c.calls += uint64(c.pages)
	return append([]discovery.Runner(nil), c.list...), c.listError
}

func (c *fakeCluster) CallCount() uint64 { return c.calls }

func (c *fakeCluster) Propose(_ context.Context, partition feed.Partition, command []byte) ([]byte, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leaderless[partition] {
		return nil, &replica.UnavailableError{Partition: partition}
	}
	if before := c.beforeApply; before != nil {
		c.beforeApply = nil
		before(partition)
	}
	c.proposals++
	answer := c.apply(partition, command)
	if c.loseResponse {
		c.loseResponse = false
		return nil, errors.New("the answer was lost")
	}
	return answer, nil
}

func (c *fakeCluster) apply(partition feed.Partition, command []byte) []byte {
	c.index++
	return c.states[partition-1].Apply(c.index, command)
}

func (c *fakeCluster) Barrier(_ context.Context, partition feed.Partition) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leaderless[partition] {
		return &replica.UnavailableError{Partition: partition}
	}
	return nil
}

func (c *fakeCluster) LeaderLease(partition feed.Partition) (time.Duration, bool) {
	if partition == feed.ConfigurationPartition {
		return c.lease, c.leads
	}
	return c.lease, c.ledPartitions.Contains(partition)
}

func (c *fakeCluster) Staleness(feed.Partition) time.Duration { return c.staleness }
func (c *fakeCluster) InContact(feed.Partition) bool          { return true }
func (c *fakeCluster) Status() []replica.PartitionStatus      { return nil }

func (c *fakeCluster) step() time.Duration { return c.syncer.Step(context.Background()) }

// testReporter is a test that is written by hand or drawn.
type testReporter interface {
	Helper()
	Fatal(arguments ...any)
	Fatalf(format string, arguments ...any)
}

// storedRunners is what the partitions hold, by id.
func (c *fakeCluster) storedRunners(t testReporter) map[string]discovery.Runner {
	t.Helper()
	out := map[string]discovery.Runner{}
	for i, s := range c.states {
		for _, item := range s.Since(0, 0).Items {
			runner, err := discovery.DecodeRunner(item.Value)
			if err != nil {
				t.Fatal(err)
			}
			if p := feed.PartitionOf(runner.Service, partitions); int(p) != i+1 {
				t.Fatalf("runner %s of service %s is in partition %d", runner.ID, runner.Service, i+1)
			}
			out[runner.ID] = runner
		}
	}
	return out
}

func newRunner(n int) discovery.Runner {
	return discovery.Runner{
		ID: fmt.Sprint("i-", n), Service: fmt.Sprint("service-", n%5), Zone: "a", Capacity: 4, Phase: "both",
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80),
		Models:  []discovery.Model{{Name: "m", Version: 1}},
	}
}

// inSync says whether what is held is the list.
func (c *fakeCluster) inSync(t testReporter) bool {
	held := c.storedRunners(t)
	if len(held) != len(c.list) {
		return false
	}
	for i := range c.list {
		h, known := held[c.list[i].ID]
		if !known || !equalExceptTimes(&h, &c.list[i]) {
			return false
		}
	}
	return true
}

func TestOnlyChangesAreWritten(t *testing.T) {
	w := newFakeCluster()
	for i := range 20 {
		w.list = append(w.list, newRunner(i))
	}
	w.step()
	if !w.inSync(t) || w.proposals != partitions {
		t.Fatalf("%d proposals, settled: %t", w.proposals, w.inSync(t))
	}
	before := w.index
	w.step()
	if w.index != before {
		t.Error("an unchanged list is written again")
	}
	w.list[3].Draining = true
	w.list = append(w.list[:7], w.list[8:]...)
	w.list = append(w.list, newRunner(30))
	w.step()
	if !w.inSync(t) {
		t.Error("changes are not taken over")
	}
	changed := 0
	for _, s := range w.states {
		changed += len(s.Since(before, 0).Items)
	}
	if changed != 3 {
		t.Errorf("%d items changed, want 3", changed)
	}
}

func TestCountdownsAreNotRewritten(t *testing.T) {
	w := newFakeCluster()
	w.list = []discovery.Runner{newRunner(1)}
	runner := &w.list[0]
	pass := func(d time.Duration) {
		w.now += d
		runner.SlowStartRemaining = max(0, runner.SlowStartRemaining-d)
		runner.TimeToTermination = max(0, runner.TimeToTermination-d)
	}
	runner.SlowStartRemaining = 3 * time.Second
	w.step()
	for range 6 {
		pass(450 * time.Millisecond)
		w.step()
	}
	if w.proposals != 1 {
		t.Errorf("%d proposals while a cold time runs down", w.proposals)
	}
	pass(2 * time.Second)
	w.step()
	if w.proposals != 1 {
		t.Error("the end of a cold time is written too early")
	}
	pass(2 * time.Second)
	w.step()
	if w.proposals != 2 || w.storedRunners(t)["i-1"].SlowStartRemaining != 0 {
		t.Errorf("%d proposals, %v left cold: the end is not settled", w.proposals, w.storedRunners(t)["i-1"].SlowStartRemaining)
	}
	runner.SlowStartRemaining = 3 * time.Second
	w.step()
	if w.proposals != 3 {
		t.Error("cold again is not written")
	}
	pass(time.Second)
	runner.SlowStartRemaining = 3 * time.Second // again, by the same value as the one that stands
	w.step()
	item := w.states[feed.PartitionOf(runner.Service, partitions)-1].Since(0, 0).Items[0]
	if w.proposals != 4 || item.Age != 0 {
		t.Errorf("cold again by an equal time: %d proposals, age %v", w.proposals, item.Age)
	}
	runner.Draining, runner.TimeToTermination = true, 10*time.Second
	w.step()
	pass(noticeRewriteInterval / 2)
	w.step()
	if w.proposals != 5 {
		t.Errorf("%d proposals while a notice runs down", w.proposals)
	}
	runner.TimeToTermination -= time.Second
	w.step()
	if w.proposals != 6 || w.storedRunners(t)["i-1"].TimeToTermination != runner.TimeToTermination {
		t.Error("a shorter notice is not written")
	}
	pass(noticeRewriteInterval)
	w.step()
	if w.proposals != 7 || w.storedRunners(t)["i-1"].TimeToTermination != runner.TimeToTermination {
		t.Error("a notice is not written again after a while")
	}
}

func TestPollingRequiresLease(t *testing.T) {
	w := newFakeCluster()
	w.list = []discovery.Runner{newRunner(1)}
	w.leads = false
	if w.step(); w.calls != 0 {
		t.Error("called without a lease")
	}
	w.leads, w.lease = true, minLeaseRemaining
	if w.step(); w.calls != 0 {
		t.Error("called within the margin")
	}
	w.lease = time.Second
	if w.step(); w.calls != 1 || !w.inSync(t) {
		t.Error("not called under the lease")
	}
	w.list[0].Draining = true
	w.beforeApply = func(feed.Partition) { t.Error("proposed without a lease") }
	w.syncer.options.Lister = listerWithHook{w, func() { w.leads = false }}
	w.step()
}

// listerWithHook does something after the list came.
type listerWithHook struct {
	*fakeCluster
	afterList func()
}

func (l listerWithHook) List(ctx context.Context) ([]discovery.Runner, error) {
	list, err := l.fakeCluster.List(ctx)
	l.afterList()
	return list, err
}

func TestConcurrentWriteConflicts(t *testing.T) {
	w := newFakeCluster()
	w.list = []discovery.Runner{newRunner(1)}
	w.step()
	w.list[0].Capacity = 9
	w.beforeApply = func(partition feed.Partition) {
		other := newRunner(1)
		other.Draining = true
		writes := []state.Write{{Key: feed.KeyPrefixRunner + other.ID, Value: discovery.EncodeRunner(other)}}
		command := state.WriteRunners{Seen: w.states[partition-1].Changed(), Writes: writes}
		w.apply(partition, command.Encode())
	}
	w.step()
	if w.proposals != 3 || !w.inSync(t) {
		t.Errorf("%d proposals, settled: %t", w.proposals, w.inSync(t))
	}
}

func TestLostResponsesAndLeaderlessPartitions(t *testing.T) {
	w := newFakeCluster()
	for i := range 10 {
		w.list = append(w.list, newRunner(i))
	}
	w.loseResponse = true
	w.step()
	w.step()
	if !w.inSync(t) || w.proposals != partitions {
		t.Errorf("after a lost answer: %d proposals, settled: %t", w.proposals, w.inSync(t))
	}
	w.leaderless[1] = true
	for i := range w.list {
		w.list[i].Draining = true
	}
	w.step()
	draining := 0
	for _, runner := range w.storedRunners(t) {
		if runner.Draining {
			draining++
		}
	}
	if draining == 0 || draining == len(w.list) {
		t.Errorf("%d of %d are draining where one partition has no leader", draining, len(w.list))
	}
	w.leaderless[1] = false
	w.step()
	if !w.inSync(t) {
		t.Error("the partition is not brought up to date once it has a leader")
	}
}

// TestTakeoverWithoutConfigurationLeader has the machine lead a partition of runners, and partition 0 be
// without a leader.
func TestTakeoverWithoutConfigurationLeader(t *testing.T) {
	w := newFakeCluster()
	for i := range 10 {
		w.list = append(w.list, newRunner(i))
	}
	w.step()
	w.leads, w.ledPartitions, w.staleness = false, feed.NewPartitionSet(2), takeoverDelay-1
	for i := range w.list {
		w.list[i].Draining = true
	}
	calls := w.calls
	if w.step(); w.calls != calls {
		t.Error("called although partition 0 may have another leader")
	}
	w.staleness = takeoverDelay
	w.syncer.options.CallsPerSecond = 4
	if wait := w.step(); w.calls == calls || wait != time.Second {
		t.Errorf("%d calls, a pause of %v; one of two partitions has a half of the duty's half of 4 calls a second",
			w.calls-calls, wait)
	}
	for _, runner := range w.storedRunners(t) {
		if kept := feed.PartitionOf(runner.Service, partitions) == 2; runner.Draining != kept {
			t.Errorf("runner %s of partition %d drains: %t", runner.ID, feed.PartitionOf(runner.Service, partitions),
				runner.Draining)
		}
	}
	w.lease = minLeaseRemaining
	calls = w.calls
	if w.step(); w.calls != calls {
		t.Error("called within the margin")
	}
	w.leads, w.lease = true, time.Second
	if w.step(); !w.inSync(t) {
		t.Error("not all is kept once partition 0 has a leader")
	}
}

func TestFailedListChangesNothing(t *testing.T) {
	w := newFakeCluster()
	w.list = []discovery.Runner{newRunner(1), newRunner(2)}
	w.step()
	w.step()
	w.listError = &discovery.RateLimitedError{}
	w.list = nil
	previous := time.Duration(0)
	for range 5 {
		wait := w.step()
		if wait < minPollInterval || wait < previous || wait > maxBackoff {
			t.Errorf("a pause of %v after one of %v", wait, previous)
		}
		previous = wait
	}
	if len(w.storedRunners(t)) != 2 {
		t.Error("a list that failed was taken")
	}
	w.listError = nil
	w.list = []discovery.Runner{newRunner(1)}
	if wait := w.step(); wait != minPollInterval || len(w.storedRunners(t)) != 1 {
		t.Errorf("the next list: a pause of %v, %d runners held", wait, len(w.storedRunners(t)))
	}
}

// While the list stays as it is it is asked for less often, as far as drains can be heeded in time; a change, or a runner
// that is missing, brings the short time back.
func TestPollIntervalGrowsWhileListIsUnchanged(t *testing.T) {
	w := newFakeCluster()
	w.syncer.options.DrainWithin = 6 * time.Second
	w.list = []discovery.Runner{newRunner(1), newRunner(2)}
	if wait := w.step(); wait != minPollInterval {
		t.Errorf("after the first list: %v", wait)
	}
	previous := minPollInterval
	for range 10 {
		wait := w.step()
		if wait < previous || wait > time.Second {
			t.Errorf("a wait of %v after one of %v", wait, previous)
		}
		previous = wait
	}
	if previous != time.Second {
		t.Errorf("after ten lists that are alike: %v", previous)
	}
	w.list[0].Draining = true
	if wait := w.step(); wait != minPollInterval {
		t.Errorf("after a change: %v", wait)
	}
	w.step()
	w.pages = 2
	w.list = w.list[:1]
	if wait := w.step(); wait != minPollInterval {
		t.Errorf("with a runner that is missing: %v", wait)
	}
}

func TestRunnerMissingBetweenPages(t *testing.T) {
	w := newFakeCluster()
	w.pages = 3
	w.list = []discovery.Runner{newRunner(1), newRunner(2)}
	w.step()
	w.step()
	whole := w.list
	w.list = whole[:1]
	w.step()
	if len(w.storedRunners(t)) != 2 {
		t.Error("a runner that is missing once in a list of several pages was deleted")
	}
	w.list = whole
	w.step()
	w.list = whole[:1]
	w.step()
	if len(w.storedRunners(t)) != 2 {
		t.Error("lists that are not in a row count together")
	}
	w.step()
	if len(w.storedRunners(t)) != 1 {
		t.Error("a runner that is gone was kept")
	}
}

func TestListMissingMostRunners(t *testing.T) {
	w := newFakeCluster()
	whole := []discovery.Runner{newRunner(1), newRunner(2), newRunner(3)}
	w.list = whole
	w.step()
	w.list = whole[:1]
	w.step()
	if len(w.storedRunners(t)) != 3 {
		t.Error("a single list that lacks most runners was believed")
	}
	w.step()
	if len(w.storedRunners(t)) != 1 {
		t.Error("two lists in a row were not believed")
	}
}

func TestPollIntervalRespectsCallRate(t *testing.T) {
	w := newFakeCluster()
	w.pages = 20
	w.syncer.options.CallsPerSecond = 10
	if wait := w.step(); wait != 4*time.Second {
		t.Errorf("20 pages at 10 calls a second, half of which are the duty's: a pause of %v", wait)
	}
}

// TestPartitionsConvergeToList draws changes of the list, lost answers, other writers and changes of the duty's machine; after
// a quiet step what is held is the list.
func TestPartitionsConvergeToList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFakeCluster()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1:
				w.list = append(w.list, newRunner(int(w.index)+len(w.list)+100))
			case 2:
				if len(w.list) > 0 {
					i := rapid.IntRange(0, len(w.list)-1).Draw(t, "gone")
					w.list = append(append([]discovery.Runner(nil), w.list[:i]...), w.list[i+1:]...)
				}
			case 3:
				if len(w.list) > 0 {
					w.list[rapid.IntRange(0, len(w.list)-1).Draw(t, "draining")].Draining = true
				}
			case 4:
				w.loseResponse = true
			case 5:
				w.leads = !w.leads
			case 6:
				w.leaderless[1] = !w.leaderless[1]
			}
			w.now += minPollInterval
			w.step()
		}
		w.leads, w.loseResponse, w.leaderless[1] = true, false, false
		w.list = uniqueByID(w.list)
		w.step()
		w.step() // a list that lacks most runners takes two
		held := map[string]bool{}
		for _, s := range w.states {
			for _, item := range s.Since(0, 0).Items {
				held[item.Key] = true
			}
		}
		for i := range w.list {
			if !held[feed.KeyPrefixRunner+w.list[i].ID] {
				t.Fatalf("runner %s is not held", w.list[i].ID)
			}
		}
		if len(held) != len(w.list) {
			t.Fatalf("%d runners are held, %d listed", len(held), len(w.list))
		}
	})
}

func uniqueByID(list []discovery.Runner) []discovery.Runner {
	seen := map[string]bool{}
	var out []discovery.Runner
	for _, runner := range list {
		if !seen[runner.ID] {
			out = append(out, runner)
		}
		seen[runner.ID] = true
	}
	return out
}

// isolatedMachine is what a machine sees that has not heard of the leader of partition 0, while that goes on, and leads a partition of
// runners; the platform tells it the list of a while ago.
type isolatedMachine struct {
	*fakeCluster
	staleList []discovery.Runner
}

func (o *isolatedMachine) LeaderLease(partition feed.Partition) (time.Duration, bool) {
	return o.lease, partition == feed.Partition(partitions)
}

func (o *isolatedMachine) Staleness(feed.Partition) time.Duration { return takeoverDelay }

func (o *isolatedMachine) List(context.Context) ([]discovery.Runner, error) {
	return append([]discovery.Runner(nil), o.staleList...), nil
}

// TestConcurrentSyncersConverge draws changes of the list and steps of two machines that keep the same partition, one by an
// older list: once both see the same list, that is what is held.
func TestConcurrentSyncersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFakeCluster()
		o := &isolatedMachine{fakeCluster: w}
		options := w.syncer.options
		options.Lister, options.Replicas = o, o
		second := New(options)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				w.list = append(w.list, newRunner(int(w.index)+len(w.list)+100))
			case 1:
				if len(w.list) > 0 {
					i := rapid.IntRange(0, len(w.list)-1).Draw(t, "gone")
					w.list = append(append([]discovery.Runner(nil), w.list[:i]...), w.list[i+1:]...)
				}
			case 2:
				o.staleList = append([]discovery.Runner(nil), w.list...)
			case 3:
				second.Step(context.Background())
			case 4:
				w.step()
			}
			w.now += minPollInterval
		}
		w.list = uniqueByID(w.list)
		o.staleList = w.list
		for range 3 {
			w.step()
			second.Step(context.Background())
		}
		before := w.proposals
		w.step()
		second.Step(context.Background())
		if !w.inSync(t) || w.proposals != before {
			t.Fatalf("settled: %t, with %d further proposals", w.inSync(t), w.proposals-before)
		}
	})
}
