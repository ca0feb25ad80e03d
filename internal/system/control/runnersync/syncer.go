package runnersync

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/replica"
)

// Timing of polls.
const (
	// minPollInterval is the time between two polls while the list changes.
	minPollInterval = 450 * time.Millisecond
	// pollIntervalGrowth multiplies the interval with each list that equals the one before.
	pollIntervalGrowth = 1.5
	// pollsPerDrain bounds that growth: so many polls fit into Options.DrainWithin.
	pollsPerDrain = 6
	// listTimeout bounds a poll, all pages together.
	listTimeout = 2 * time.Second
	// maxBackoff is the longest pause between two polls that fail.
	maxBackoff = 2 * time.Second
	// callRateShare is the share of Options.CallsPerSecond that the syncers use. The rest is for agents that have lost
	// the control machines and poll the platform themselves.
	callRateShare = 0.5
)

// Lister reads the platform's list.
type Lister interface {
	// List returns all pages of the list.
	List(ctx context.Context) ([]discovery.Runner, error)
	// CallCount returns the number of calls to the platform so far; a page takes one.
	CallCount() uint64
}

// Partition is the local state of a runner partition; state.Runners implements it.
type Partition interface {
	// Since returns the changes after an index, or a snapshot; maxBytes 0 means no limit.
	Since(index uint64, maxBytes int) feed.Batch
	// Revision returns the state.WriteRunners.ExpectedRevision of writes that are computed from the state.
	Revision() uint64
}

// Options configure a Syncer.
type Options struct {
	Lister   Lister
	Replicas replica.Replicas
	// Partitions are the runner partitions; the first one is partition 1.
	Partitions []Partition
	// DrainWithin is the time within which a draining runner must get no more requests; 0: unknown. It bounds the
	// interval between polls.
	DrainWithin time.Duration
	// CallsPerSecond is the rate that the platform accepts from all machines together; 0: unknown.
	CallsPerSecond float64
	// Now is a monotonic clock.
	Now func() time.Duration
	Log *zap.Logger
}

// Syncer polls the list and writes what differs. Run, or Step, is called by one goroutine; Status by any.
type Syncer struct {
	options Options

	// By viewIndex.
	views []partitionView
	stale []bool // the local replica must catch up before the next comparison

	missingCounts    map[string]int    // number of successive lists that lacked a stored runner, by key
	confirmDeletions bool              // a runner is deleted only after confirmingLists
	pageCount        int               // calls that the last list took, at least 1
	backoff          time.Duration     // after a failed poll; 0 after a successful one
	pollInterval     time.Duration     // grows while the list does not change
	listChanged      atomic.Bool       // the last list differed from the stored runners, or could not be compared
	owned            feed.PartitionSet // see OwnedPartitions; empty: this machine does not poll
	failing          bool              // the last poll failed, and that was logged
	progress         liveStatus
}

// New returns a Syncer.
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

// Run polls while this machine owns partitions, until the context ends.
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

// Step polls once if this machine owns partitions, and returns the time until the next step.
func (s *Syncer) Step(ctx context.Context) time.Duration {
	owned := s.ownedPartitions()
	if owned.IsEmpty() {
		s.release()
		return leaseCheckInterval
	}
	s.acquire(owned)
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
	callsBefore := s.options.Lister.CallCount()
	list, err := s.options.Lister.List(ctx)
	s.progress.callCount.Store(s.options.Lister.CallCount())
	if err == nil {
		s.pageCount = max(1, int(s.options.Lister.CallCount()-callsBefore))
	}
	return list, err
}

func (s *Syncer) handleListSuccess() {
	s.backoff = 0
	s.progress.recordList(s.options.Now())
	if s.failing {
		s.failing = false
		s.options.Log.Info("runner list available again")
	}
}

// handleListFailure logs the first of a series of failures, and returns a backoff that grows with them.
func (s *Syncer) handleListFailure(ctx context.Context, err error) time.Duration {
	if ctx.Err() != nil || errors.Is(err, ErrLostLease) {
		return leaseCheckInterval
	}
	if !s.failing {
		s.failing = true
		s.options.Log.Warn("runner list request failed, keeping last known runners", zap.Error(err))
	}
	s.backoff = min(maxBackoff, max(minPollInterval, s.backoff*2))
	return s.backoff
}

// pollDelay is the time between two polls: the interval, or longer where the platform accepts few calls, the list has many
// pages, or other machines may poll for other partitions.
func (s *Syncer) pollDelay() time.Duration {
	if s.options.CallsPerSecond <= 0 {
		return s.pollInterval
	}
	share := callRateShare * float64(s.owned.Len()) / float64(len(s.options.Partitions))
	rateLimited := time.Duration(float64(s.pageCount) / (s.options.CallsPerSecond * share) * float64(time.Second))
	return max(s.pollInterval, rateLimited)
}

// adjustPollInterval shortens the interval after a list that changed, and lets it grow after one that did not: calls of
// the platform are priced, and changes come in bursts.
func (s *Syncer) adjustPollInterval() {
	if s.listChanged.Load() || len(s.missingCounts) > 0 {
		s.pollInterval = minPollInterval
		return
	}
	maxInterval := max(minPollInterval, s.options.DrainWithin/pollsPerDrain)
	s.pollInterval = min(time.Duration(pollIntervalGrowth*float64(s.pollInterval)), maxInterval)
}
