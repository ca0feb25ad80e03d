package runnersync

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/replica"
)

// The duty's pace.
const (
	minPollInterval    = 450 * time.Millisecond // while the list changes
	pollIntervalGrowth = 1.5                    // of the time between two polls, with each list that is as the one before
	pollsPerDrain      = 6                      // polls come one part in so many of the time in which a drain must be heeded apart, at most
	leaseCheckInterval = 200 * time.Millisecond // for the lease, while another machine has the duty
	minLeaseRemaining  = 100 * time.Millisecond // that must be left of the lease when a call begins
	listTimeout        = 2 * time.Second
	writeTimeout       = 1 * time.Second
	maxBackoff         = 2 * time.Second // between two calls of a platform that refuses them
	callRateShare      = 0.5             // of the platform's rate that the duty takes; agents that are cut off share the rest
	// takeoverDelay is for how long this machine must not have heard of a leader of partition 0 to keep the runners of the
	// partitions that it leads itself.
	takeoverDelay = 2 * time.Second
)

// Lister asks the platform for its list.
type Lister interface {
	List(ctx context.Context) ([]discovery.Runner, error) // all pages
	CallCount() uint64                                    // to the platform so far
}

// Partition is the local state of a runners' partition.
type Partition interface {
	Since(index uint64, maxBytes int) feed.Batch
	Changed() uint64 // what a command must have seen, see state.WriteRunners
}

// Options are a duty's.
type Options struct {
	Lister         Lister
	Replicas       replica.Replicas
	Partitions     []Partition   // the first one is partition 1
	DrainWithin    time.Duration // in which a runner that drains must get nothing any more; 0: not told
	CallsPerSecond float64       // that the platform takes from the whole system; 0: not told
	Now            func() time.Duration
	Log            *zap.Logger
}

// Syncer polls the list. Run is called once.
type Syncer struct {
	options          Options
	views            []partitionView
	stale            []bool         // partitions whose local replica must catch up before the next comparison
	missingCounts    map[string]int // lists in a row that lacked a runner that is held, by key
	confirmDeletions bool           // a single list does not prove that a runner is gone
	pageCount        int            // calls that the last list took, at least 1
	backoff          time.Duration
	pollInterval     time.Duration     // between two polls, as the list's changes ask for it
	listChanged      atomic.Bool       // the last list changed what is held, or could not be compared
	owned            feed.PartitionSet // that this machine keeps
	failing          bool
	progress         liveStatus
}

// New returns a duty.
func New(options Options) *Syncer {
	return &Syncer{
		options:       options,
		views:         make([]partitionView, len(options.Partitions)),
		stale:         make([]bool, len(options.Partitions)),
		missingCounts: map[string]int{},
		pageCount:     1,
		pollInterval:  minPollInterval,
	}
}

// Run does the duty whenever this machine has it, until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(s.Step(ctx))
	}
}

// ErrLostLease says that the lease does not reach for another call.
var ErrLostLease = errors.New("duty: the lease ended; another machine has the duty now")

// OwnedPartitions are the partitions of runners, of so many, that this machine keeps equal to the list: all of them while it surely
// leads partition 0. Once it has not heard of a leader there for a while, it keeps those that it surely leads itself: no
// partition waits for another one's leader. Two machines may then keep one for a moment, which the conditions of
// state.WriteRunners bear.
func OwnedPartitions(replicas replica.Replicas, runnerPartitions int) feed.PartitionSet {
	all := feed.FirstPartitions(1 + runnerPartitions).Without(feed.NewPartitionSet(feed.ConfigurationPartition))
	if holdsLease(replicas, feed.ConfigurationPartition) {
		return all
	}
	var held feed.PartitionSet
	if replicas.Staleness(feed.ConfigurationPartition) < takeoverDelay {
		return held
	}
	for partition := range all.All() {
		if holdsLease(replicas, partition) {
			held = held.With(partition)
		}
	}
	return held
}

func holdsLease(replicas replica.Replicas, partition feed.Partition) bool {
	left, leads := replicas.LeaderLease(partition)
	return leads && left > minLeaseRemaining
}

// CheckLease says whether a call to the platform may begin now: nil or ErrLostLease.
func CheckLease(replicas replica.Replicas, runnerPartitions int) error {
	if OwnedPartitions(replicas, runnerPartitions).IsEmpty() {
		return ErrLostLease
	}
	return nil
}

// ownedPartitions are the partitions that this machine keeps now.
func (s *Syncer) ownedPartitions() feed.PartitionSet {
	return OwnedPartitions(s.options.Replicas, len(s.options.Partitions))
}

// Step polls once if this machine has the duty, and returns how long to wait until the next step.
func (s *Syncer) Step(ctx context.Context) time.Duration {
	held := s.ownedPartitions()
	if held.IsEmpty() {
		s.release()
		return leaseCheckInterval
	}
	s.acquire(held)
	started := s.options.Now()
	list, err := s.fetchList(ctx)
	if err != nil {
		return s.handleListFailure(ctx, err)
	}
	s.handleListSuccess()
	s.syncPartitions(ctx, list)
	return max(0, s.pollDelay()-(s.options.Now()-started))
}

func (s *Syncer) fetchList(ctx context.Context) ([]discovery.Runner, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	before := s.options.Lister.CallCount()
	list, err := s.options.Lister.List(ctx)
	s.progress.callCount.Store(s.options.Lister.CallCount())
	if err == nil {
		s.pageCount = max(1, int(s.options.Lister.CallCount()-before))
	}
	return list, err
}

// acquire starts the duty anew where it keeps other partitions: what was seen while another machine did does not count.
func (s *Syncer) acquire(held feed.PartitionSet) {
	if held == s.owned {
		return
	}
	if s.owned.IsEmpty() {
		s.progress.acquire()
	}
	s.owned, s.pollInterval = held, minPollInterval
	clear(s.missingCounts)
	for i := range s.stale {
		s.stale[i] = true
	}
	s.options.Log.Info("discovery taken up", zap.Stringer("partitions", held))
}

func (s *Syncer) release() {
	if s.owned.IsEmpty() {
		return
	}
	s.owned = 0
	s.progress.release()
	s.options.Log.Info("discovery given up")
}

func (s *Syncer) handleListSuccess() {
	s.backoff = 0
	s.progress.recordList(s.options.Now())
	if s.failing {
		s.failing = false
		s.options.Log.Info("list of runners is answered again")
	}
}

// handleListFailure logs the first of a series of failures, and returns a pause that grows with them.
func (s *Syncer) handleListFailure(ctx context.Context, err error) time.Duration {
	if ctx.Err() != nil || errors.Is(err, ErrLostLease) {
		return leaseCheckInterval
	}
	if !s.failing {
		s.failing = true
		s.options.Log.Warn("list of runners is not answered, what is known is kept", zap.Error(err))
	}
	s.backoff = min(maxBackoff, max(minPollInterval, s.backoff*2))
	return s.backoff
}

// pollDelay is the time between two polls: longer where the platform takes few calls, or the list has many pages, or where
// other machines may keep other partitions.
func (s *Syncer) pollDelay() time.Duration {
	if s.options.CallsPerSecond <= 0 {
		return s.pollInterval
	}
	share := callRateShare * float64(s.owned.Len()) / float64(len(s.options.Partitions))
	least := time.Duration(float64(s.pageCount) / (s.options.CallsPerSecond * share) * float64(time.Second))
	return max(s.pollInterval, least)
}

// adjustPollInterval has the next poll come soon where the list changes, and later with each list that is as the one before: calls of
// the platform are priced, and changes come in groups.
func (s *Syncer) adjustPollInterval() {
	if s.listChanged.Load() || len(s.missingCounts) > 0 {
		s.pollInterval = minPollInterval
		return
	}
	most := max(minPollInterval, s.options.DrainWithin/pollsPerDrain)
	s.pollInterval = min(time.Duration(pollIntervalGrowth*float64(s.pollInterval)), most)
}

// syncPartitions brings the partitions that are kept to the list, each by itself: one without a leader does not hold up the others.
func (s *Syncer) syncPartitions(ctx context.Context, list []discovery.Runner) {
	listed := s.groupByPartition(list)
	for i := range s.views {
		s.refreshView(i)
	}
	s.countMissing(listed)
	s.listChanged.Store(false)
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var running sync.WaitGroup
	for partition := range s.owned.All() {
		i := int(partition) - 1
		running.Go(func() { s.syncPartition(ctx, i, listed[i]) })
	}
	running.Wait()
	s.adjustPollInterval()
}

// groupByPartition sorts the list's entries by partition and key.
func (s *Syncer) groupByPartition(list []discovery.Runner) []map[string]*discovery.Runner {
	out := make([]map[string]*discovery.Runner, len(s.options.Partitions))
	for i := range out {
		out[i] = map[string]*discovery.Runner{}
	}
	for i := range list {
		partition := int(feed.PartitionOf(list[i].Service, len(out))) - 1
		out[partition][feed.KeyPrefixRunner+list[i].ID] = &list[i]
	}
	return out
}

// countMissing counts for each runner that was held how many lists in a row lacked it.
func (s *Syncer) countMissing(listed []map[string]*discovery.Runner) {
	now := make(map[string]int)
	known := 0
	for partition := range s.owned.All() {
		i := int(partition) - 1
		known += len(s.views[i].runners)
		for key := range s.views[i].runners {
			if listed[i][key] == nil {
				now[key] = s.missingCounts[key] + 1
			}
		}
	}
	s.missingCounts = now
	s.confirmDeletions = s.pageCount > 1 || len(now) > known/2
}

// isGone says whether a runner that is held and not listed is gone. A list of several pages may lack one that moved from
// one page to another between two calls, and one that lacks most runners may be the platform's own trouble: there it
// takes two lists in a row.
func (s *Syncer) isGone(key string) bool { return !s.confirmDeletions || s.missingCounts[key] >= 2 }

// syncPartition proposes what differs; after a conflict it looks again, once.
func (s *Syncer) syncPartition(ctx context.Context, i int, listed map[string]*discovery.Runner) {
	for range 2 {
		if err := s.catchUp(ctx, i); err != nil {
			s.listChanged.Store(true)
			return
		}
		settled, err := s.proposeDiff(ctx, i, listed)
		if err != nil {
			s.stale[i] = true
			s.options.Log.Debug("change of runners was not agreed on", zap.Int("partition", i+1), zap.Error(err))
			return
		}
		if settled {
			return
		}
	}
}

// catchUp has the local replica hold what was agreed on before, where that is not sure.
func (s *Syncer) catchUp(ctx context.Context, i int) error {
	if !s.stale[i] {
		return nil
	}
	if err := s.options.Replicas.Barrier(ctx, feed.Partition(i+1)); err != nil {
		return fmt.Errorf("duty: catch up with partition %d: %w", i+1, err)
	}
	s.stale[i] = false
	return nil
}

// refreshView brings the view of a partition to what the local replica holds.
func (s *Syncer) refreshView(i int) {
	v := &s.views[i]
	v.update(s.options.Partitions[i].Since(v.index, 0), s.options.Now())
}

// proposeDiff compares and proposes. It says whether the partition is settled with the list.
func (s *Syncer) proposeDiff(ctx context.Context, i int, listed map[string]*discovery.Runner) (bool, error) {
	partition := s.options.Partitions[i]
	seen := partition.Changed()
	s.refreshView(i)
	writes := s.views[i].diff(listed, s.options.Now(), s.isGone)
	if len(writes) == 0 {
		return true, nil
	}
	s.listChanged.Store(true)
	if !s.ownedPartitions().Contains(feed.Partition(i + 1)) {
		return false, ErrLostLease
	}
	command := state.WriteRunners{Seen: seen, Writes: writes}
	answer, err := s.options.Replicas.Propose(ctx, feed.Partition(i+1), command.Encode())
	if err != nil {
		return false, fmt.Errorf("duty: propose to partition %d: %w", i+1, err)
	}
	result, err := state.DecodeResult(answer)
	if err != nil {
		return false, err
	}
	s.stale[i] = partition.Changed() < result.Number
	return result.Outcome == state.Accepted, nil
}
