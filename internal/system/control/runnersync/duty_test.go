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

// world is a system of one replica of each partition in virtual time, with the platform's list.
type world struct {
	mutex      sync.Mutex
	now        time.Duration
	list       []discovery.Runner
	pages      int
	listError  error
	calls      uint64
	lease      time.Duration
	leads      bool              // partition 0
	leadsToo   feed.PartitionSet // other partitions that it leads
	unheard    time.Duration     // since a leader of partition 0 was heard
	states     []*state.Runners
	index      uint64
	proposals  int
	loseAnswer bool                           // of the next proposal
	stuck      map[feed.Partition]bool        // partitions without a leader
	before     func(partition feed.Partition) // a proposal is applied
	duty       *Duty
}

func newWorld() *world {
	w := &world{now: time.Hour, pages: 1, leads: true, lease: time.Second, stuck: map[feed.Partition]bool{}}
	var local []Partition
	for i := range partitions {
		s := state.NewRunners(feed.Partition(i+1), w.clock, func() {})
		w.states = append(w.states, s)
		local = append(local, s)
	}
	w.duty = New(Options{Lister: w, Replicas: w, Partitions: local, RatePerS: 40, Now: w.clock, Log: zap.NewNop()})
	return w
}

func (w *world) clock() time.Duration { return w.now }

func (w *world) List(context.Context) ([]discovery.Runner, error) {
	w.calls += uint64(w.pages)
	return append([]discovery.Runner(nil), w.list...), w.listError
}

func (w *world) CallCount() uint64 { return w.calls }

func (w *world) Propose(_ context.Context, partition feed.Partition, command []byte) ([]byte, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stuck[partition] {
		return nil, &replica.UnavailableError{Partition: partition}
	}
	if before := w.before; before != nil {
		w.before = nil
		before(partition)
	}
	w.proposals++
	answer := w.apply(partition, command)
	if w.loseAnswer {
		w.loseAnswer = false
		return nil, errors.New("the answer was lost")
	}
	return answer, nil
}

func (w *world) apply(partition feed.Partition, command []byte) []byte {
	w.index++
	return w.states[partition-1].Apply(w.index, command)
}

func (w *world) Barrier(_ context.Context, partition feed.Partition) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stuck[partition] {
		return &replica.UnavailableError{Partition: partition}
	}
	return nil
}

func (w *world) LeaderLease(partition feed.Partition) (time.Duration, bool) {
	if partition == feed.ConfigurationPartition {
		return w.lease, w.leads
	}
	return w.lease, w.leadsToo.Contains(partition)
}

func (w *world) Staleness(feed.Partition) time.Duration { return w.unheard }
func (w *world) InContact(feed.Partition) bool          { return true }
func (w *world) Status() []replica.PartitionStatus      { return nil }

func (w *world) step() time.Duration { return w.duty.Step(context.Background()) }

// failer is a test that is written by hand or drawn.
type failer interface {
	Helper()
	Fatal(arguments ...any)
	Fatalf(format string, arguments ...any)
}

// held is what the partitions hold, by id.
func (w *world) held(t failer) map[string]discovery.Runner {
	t.Helper()
	out := map[string]discovery.Runner{}
	for i, s := range w.states {
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

func runnerOf(n int) discovery.Runner {
	return discovery.Runner{
		ID: fmt.Sprint("i-", n), Service: fmt.Sprint("service-", n%5), Zone: "a", Capacity: 4, Phase: "both",
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80),
		Models:  []discovery.Model{{Name: "m", Version: 1}},
	}
}

// settled says whether what is held is the list.
func (w *world) settled(t failer) bool {
	held := w.held(t)
	if len(held) != len(w.list) {
		return false
	}
	for i := range w.list {
		h, known := held[w.list[i].ID]
		if !known || !sameButTimes(&h, &w.list[i]) {
			return false
		}
	}
	return true
}

func TestOnlyWhatChangedIsWritten(t *testing.T) {
	w := newWorld()
	for i := range 20 {
		w.list = append(w.list, runnerOf(i))
	}
	w.step()
	if !w.settled(t) || w.proposals != partitions {
		t.Fatalf("%d proposals, settled: %t", w.proposals, w.settled(t))
	}
	before := w.index
	w.step()
	if w.index != before {
		t.Error("an unchanged list is written again")
	}
	w.list[3].Draining = true
	w.list = append(w.list[:7], w.list[8:]...)
	w.list = append(w.list, runnerOf(30))
	w.step()
	if !w.settled(t) {
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

func TestTimesThatRunDown(t *testing.T) {
	w := newWorld()
	w.list = []discovery.Runner{runnerOf(1)}
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
	if w.proposals != 2 || w.held(t)["i-1"].SlowStartRemaining != 0 {
		t.Errorf("%d proposals, %v left cold: the end is not settled", w.proposals, w.held(t)["i-1"].SlowStartRemaining)
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
	pass(noticeAnew / 2)
	w.step()
	if w.proposals != 5 {
		t.Errorf("%d proposals while a notice runs down", w.proposals)
	}
	runner.TimeToTermination -= time.Second
	w.step()
	if w.proposals != 6 || w.held(t)["i-1"].TimeToTermination != runner.TimeToTermination {
		t.Error("a shorter notice is not written")
	}
	pass(noticeAnew)
	w.step()
	if w.proposals != 7 || w.held(t)["i-1"].TimeToTermination != runner.TimeToTermination {
		t.Error("a notice is not written again after a while")
	}
}

func TestOnlyUnderTheLease(t *testing.T) {
	w := newWorld()
	w.list = []discovery.Runner{runnerOf(1)}
	w.leads = false
	if w.step(); w.calls != 0 {
		t.Error("called without a lease")
	}
	w.leads, w.lease = true, leaseMargin
	if w.step(); w.calls != 0 {
		t.Error("called within the margin")
	}
	w.lease = time.Second
	if w.step(); w.calls != 1 || !w.settled(t) {
		t.Error("not called under the lease")
	}
	w.list[0].Draining = true
	w.before = func(feed.Partition) { t.Error("proposed without a lease") }
	w.duty.options.Lister = listerThen{w, func() { w.leads = false }}
	w.step()
}

// listerThen does something after the list came.
type listerThen struct {
	*world
	then func()
}

func (l listerThen) List(ctx context.Context) ([]discovery.Runner, error) {
	list, err := l.world.List(ctx)
	l.then()
	return list, err
}

func TestAnotherMachineWroteMeanwhile(t *testing.T) {
	w := newWorld()
	w.list = []discovery.Runner{runnerOf(1)}
	w.step()
	w.list[0].Capacity = 9
	w.before = func(partition feed.Partition) {
		other := runnerOf(1)
		other.Draining = true
		writes := []state.Write{{Key: feed.KeyPrefixRunner + other.ID, Value: discovery.EncodeRunner(other)}}
		command := state.WriteRunners{Seen: w.states[partition-1].Changed(), Writes: writes}
		w.apply(partition, command.Encode())
	}
	w.step()
	if w.proposals != 3 || !w.settled(t) {
		t.Errorf("%d proposals, settled: %t", w.proposals, w.settled(t))
	}
}

func TestLostAnswersAndMissingLeaders(t *testing.T) {
	w := newWorld()
	for i := range 10 {
		w.list = append(w.list, runnerOf(i))
	}
	w.loseAnswer = true
	w.step()
	w.step()
	if !w.settled(t) || w.proposals != partitions {
		t.Errorf("after a lost answer: %d proposals, settled: %t", w.proposals, w.settled(t))
	}
	w.stuck[1] = true
	for i := range w.list {
		w.list[i].Draining = true
	}
	w.step()
	draining := 0
	for _, runner := range w.held(t) {
		if runner.Draining {
			draining++
		}
	}
	if draining == 0 || draining == len(w.list) {
		t.Errorf("%d of %d are draining where one partition has no leader", draining, len(w.list))
	}
	w.stuck[1] = false
	w.step()
	if !w.settled(t) {
		t.Error("the partition is not brought up to date once it has a leader")
	}
}

// TestLeaderOfRunnersKeepsThemWhileTheConfigurationHasNone has the machine lead a partition of runners, and partition 0 be
// without a leader.
func TestLeaderOfRunnersKeepsThemWhileTheConfigurationHasNone(t *testing.T) {
	w := newWorld()
	for i := range 10 {
		w.list = append(w.list, runnerOf(i))
	}
	w.step()
	w.leads, w.leadsToo, w.unheard = false, feed.NewPartitionSet(2), takeOverAfter-1
	for i := range w.list {
		w.list[i].Draining = true
	}
	calls := w.calls
	if w.step(); w.calls != calls {
		t.Error("called although partition 0 may have another leader")
	}
	w.unheard = takeOverAfter
	w.duty.options.RatePerS = 4
	if wait := w.step(); w.calls == calls || wait != time.Second {
		t.Errorf("%d calls, a pause of %v; one of two partitions has a half of the duty's half of 4 calls a second",
			w.calls-calls, wait)
	}
	for _, runner := range w.held(t) {
		if kept := feed.PartitionOf(runner.Service, partitions) == 2; runner.Draining != kept {
			t.Errorf("runner %s of partition %d drains: %t", runner.ID, feed.PartitionOf(runner.Service, partitions),
				runner.Draining)
		}
	}
	w.lease = leaseMargin
	calls = w.calls
	if w.step(); w.calls != calls {
		t.Error("called within the margin")
	}
	w.leads, w.lease = true, time.Second
	if w.step(); !w.settled(t) {
		t.Error("not all is kept once partition 0 has a leader")
	}
}

func TestListThatFailsChangesNothing(t *testing.T) {
	w := newWorld()
	w.list = []discovery.Runner{runnerOf(1), runnerOf(2)}
	w.step()
	w.step()
	w.listError = &discovery.RateLimitedError{}
	w.list = nil
	previous := time.Duration(0)
	for range 5 {
		wait := w.step()
		if wait < pollEvery || wait < previous || wait > longestPause {
			t.Errorf("a pause of %v after one of %v", wait, previous)
		}
		previous = wait
	}
	if len(w.held(t)) != 2 {
		t.Error("a list that failed was taken")
	}
	w.listError = nil
	w.list = []discovery.Runner{runnerOf(1)}
	if wait := w.step(); wait != pollEvery || len(w.held(t)) != 1 {
		t.Errorf("the next list: a pause of %v, %d runners held", wait, len(w.held(t)))
	}
}

// While the list stays as it is it is asked for less often, as far as drains can be heeded in time; a change, or a runner
// that is missing, brings the short time back.
func TestPollsComeFurtherApartWhileNothingChanges(t *testing.T) {
	w := newWorld()
	w.duty.options.DrainWithin = 6 * time.Second
	w.list = []discovery.Runner{runnerOf(1), runnerOf(2)}
	if wait := w.step(); wait != pollEvery {
		t.Errorf("after the first list: %v", wait)
	}
	previous := pollEvery
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
	if wait := w.step(); wait != pollEvery {
		t.Errorf("after a change: %v", wait)
	}
	w.step()
	w.pages = 2
	w.list = w.list[:1]
	if wait := w.step(); wait != pollEvery {
		t.Errorf("with a runner that is missing: %v", wait)
	}
}

func TestRunnerBetweenPages(t *testing.T) {
	w := newWorld()
	w.pages = 3
	w.list = []discovery.Runner{runnerOf(1), runnerOf(2)}
	w.step()
	w.step()
	whole := w.list
	w.list = whole[:1]
	w.step()
	if len(w.held(t)) != 2 {
		t.Error("a runner that is missing once in a list of several pages was deleted")
	}
	w.list = whole
	w.step()
	w.list = whole[:1]
	w.step()
	if len(w.held(t)) != 2 {
		t.Error("lists that are not in a row count together")
	}
	w.step()
	if len(w.held(t)) != 1 {
		t.Error("a runner that is gone was kept")
	}
}

func TestListThatLacksMostRunners(t *testing.T) {
	w := newWorld()
	whole := []discovery.Runner{runnerOf(1), runnerOf(2), runnerOf(3)}
	w.list = whole
	w.step()
	w.list = whole[:1]
	w.step()
	if len(w.held(t)) != 3 {
		t.Error("a single list that lacks most runners was believed")
	}
	w.step()
	if len(w.held(t)) != 1 {
		t.Error("two lists in a row were not believed")
	}
}

func TestPlatformThatTakesFewCalls(t *testing.T) {
	w := newWorld()
	w.pages = 20
	w.duty.options.RatePerS = 10
	if wait := w.step(); wait != 4*time.Second {
		t.Errorf("20 pages at 10 calls a second, half of which are the duty's: a pause of %v", wait)
	}
}

// TestHeldFollowsTheList draws changes of the list, lost answers, other writers and changes of the duty's machine; after
// a quiet step what is held is the list.
func TestHeldFollowsTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1:
				w.list = append(w.list, runnerOf(int(w.index)+len(w.list)+100))
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
				w.loseAnswer = true
			case 5:
				w.leads = !w.leads
			case 6:
				w.stuck[1] = !w.stuck[1]
			}
			w.now += pollEvery
			w.step()
		}
		w.leads, w.loseAnswer, w.stuck[1] = true, false, false
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

// other is what a machine sees that has not heard of the leader of partition 0, while that goes on, and leads a partition of
// runners; the platform tells it the list of a while ago.
type other struct {
	*world
	behind []discovery.Runner
}

func (o *other) LeaderLease(partition feed.Partition) (time.Duration, bool) {
	return o.lease, partition == feed.Partition(partitions)
}

func (o *other) Staleness(feed.Partition) time.Duration { return takeOverAfter }

func (o *other) List(context.Context) ([]discovery.Runner, error) {
	return append([]discovery.Runner(nil), o.behind...), nil
}

// TestTwoMachinesKeepAPartition draws changes of the list and steps of two machines that keep the same partition, one by an
// older list: once both see the same list, that is what is held.
func TestTwoMachinesKeepAPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		o := &other{world: w}
		options := w.duty.options
		options.Lister, options.Replicas = o, o
		second := New(options)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				w.list = append(w.list, runnerOf(int(w.index)+len(w.list)+100))
			case 1:
				if len(w.list) > 0 {
					i := rapid.IntRange(0, len(w.list)-1).Draw(t, "gone")
					w.list = append(append([]discovery.Runner(nil), w.list[:i]...), w.list[i+1:]...)
				}
			case 2:
				o.behind = append([]discovery.Runner(nil), w.list...)
			case 3:
				second.Step(context.Background())
			case 4:
				w.step()
			}
			w.now += pollEvery
		}
		w.list = uniqueByID(w.list)
		o.behind = w.list
		for range 3 {
			w.step()
			second.Step(context.Background())
		}
		before := w.proposals
		w.step()
		second.Step(context.Background())
		if !w.settled(t) || w.proposals != before {
			t.Fatalf("settled: %t, with %d further proposals", w.settled(t), w.proposals-before)
		}
	})
}
