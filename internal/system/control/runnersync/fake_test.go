package runnersync

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/replica"
)

const partitions = 2

// fakeCluster is a cluster with one replica of each partition in virtual time, and the platform with its list. Fields are
// set by tests.
type fakeCluster struct {
	mutex         sync.Mutex
	now           time.Duration
	list          []discovery.Runner
	pages         int // of the list
	listError     error
	calls         uint64
	lease         time.Duration
	leads         bool              // partition 0
	ledPartitions feed.PartitionSet // other partitions that it leads
	staleness     time.Duration     // of partition 0
	states        []*state.Runners
	index         uint64 // of the last log entry
	proposals     int    // that were applied
	loseResponse  bool   // of the next proposal
	leaderless    map[feed.Partition]bool
	beforeApply   func(partition feed.Partition) // called once, before the next proposal is applied
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

// List implements Lister.
func (c *fakeCluster) List(context.Context) ([]discovery.Runner, error) {
	c.calls += uint64(c.pages)
	return append([]discovery.Runner(nil), c.list...), c.listError
}

// CallCount implements Lister.
func (c *fakeCluster) CallCount() uint64 { return c.calls }

// Propose implements replica.Replicas.
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
	result := c.apply(partition, command)
	if c.loseResponse {
		c.loseResponse = false
		return nil, errors.New("the response was lost")
	}
	return result, nil
}

func (c *fakeCluster) apply(partition feed.Partition, command []byte) []byte {
	c.index++
	return c.states[partition-1].Apply(c.index, command)
}

// Barrier implements replica.Replicas.
func (c *fakeCluster) Barrier(_ context.Context, partition feed.Partition) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leaderless[partition] {
		return &replica.UnavailableError{Partition: partition}
	}
	return nil
}

// LeaderLease implements replica.Replicas.
func (c *fakeCluster) LeaderLease(partition feed.Partition) (time.Duration, bool) {
	if partition == feed.ConfigurationPartition {
		return c.lease, c.leads
	}
	return c.lease, c.ledPartitions.Contains(partition)
}

// Staleness implements replica.Replicas.
func (c *fakeCluster) Staleness(feed.Partition) time.Duration { return c.staleness }

// InContact implements replica.Replicas.
func (c *fakeCluster) InContact(feed.Partition) bool { return true }

// Status implements replica.Replicas.
func (c *fakeCluster) Status() []replica.PartitionStatus { return nil }

func (c *fakeCluster) step() time.Duration { return c.syncer.Step(context.Background()) }

// testReporter is a *testing.T or a *rapid.T.
type testReporter interface {
	Helper()
	Fatal(arguments ...any)
	Fatalf(format string, arguments ...any)
}

// storedRunners returns what the partitions hold, by ID.
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
		ID:       fmt.Sprint("i-", n),
		Service:  fmt.Sprint("service-", n%5),
		Zone:     "a",
		Capacity: 4,
		Phase:    "both",
		Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80),
		Models:   []discovery.Model{{Name: "m", Version: 1}},
	}
}

// inSync reports whether the partitions equal the list.
func (c *fakeCluster) inSync(t testReporter) bool {
	stored := c.storedRunners(t)
	if len(stored) != len(c.list) {
		return false
	}
	for i := range c.list {
		runner, exists := stored[c.list[i].ID]
		if !exists || !runner.EqualExceptTimes(&c.list[i]) {
			return false
		}
	}
	return true
}

// listerWithHook calls afterList once a list has arrived.
type listerWithHook struct {
	*fakeCluster
	afterList func()
}

// List implements Lister.
func (l listerWithHook) List(ctx context.Context) ([]discovery.Runner, error) {
	list, err := l.fakeCluster.List(ctx)
	l.afterList()
	return list, err
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

// isolatedMachine is the view of a machine that hears no leader of partition 0 and leads a runner partition itself; the
// platform returns an older list to it.
type isolatedMachine struct {
	*fakeCluster
	staleList []discovery.Runner
}

// LeaderLease implements replica.Replicas.
func (m *isolatedMachine) LeaderLease(partition feed.Partition) (time.Duration, bool) {
	return m.lease, partition == feed.Partition(partitions)
}

// Staleness implements replica.Replicas.
func (m *isolatedMachine) Staleness(feed.Partition) time.Duration { return takeoverDelay }

// List implements Lister.
func (m *isolatedMachine) List(context.Context) ([]discovery.Runner, error) {
	return append([]discovery.Runner(nil), m.staleList...), nil
}
