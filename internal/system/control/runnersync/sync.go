package runnersync

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
)

const (
	// writeTimeout bounds the writes of a list, all partitions together.
	writeTimeout = 1 * time.Second
	// maxWriteAttempts is how often a partition is compared and written for one list; conflicts repeat it.
	maxWriteAttempts = 2
	// confirmingLists is the number of successive lists that must lack a runner where one list proves too little.
	confirmingLists = 2
)

// viewIndex returns the index of a runner partition in the Syncer's slices: those begin with partition 1.
func viewIndex(partition feed.Partition) int { return int(partition) - 1 }

// partitionAt is the inverse of viewIndex.
func partitionAt(index int) feed.Partition { return feed.Partition(index + 1) }

// syncPartitions makes the owned partitions equal to the list. They are written concurrently: one without a leader does
// not hold up the others.
func (s *Syncer) syncPartitions(ctx context.Context, list []discovery.Runner) {
	listed := s.groupByPartition(list)
	for i := range s.views {
		s.refreshView(i)
	}
	s.countMissing(listed)
	s.listChanged.Store(false)
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var writers sync.WaitGroup
	for partition := range s.owned.All() {
		i := viewIndex(partition)
		writers.Go(func() { s.syncPartition(ctx, i, listed[i]) })
	}
	writers.Wait()
	s.adjustPollInterval()
}

// groupByPartition returns the list's entries by partition, from 0, and key.
func (s *Syncer) groupByPartition(list []discovery.Runner) []map[string]*discovery.Runner {
	byPartition := make([]map[string]*discovery.Runner, len(s.options.Partitions))
	for i := range byPartition {
		byPartition[i] = map[string]*discovery.Runner{}
	}
	for i := range list {
		partition := feed.PartitionOf(list[i].Service, len(byPartition))
		byPartition[viewIndex(partition)][feed.KeyPrefixRunner+list[i].ID] = &list[i]
	}
	return byPartition
}

// countMissing counts the successive lists that lacked each stored runner.
func (s *Syncer) countMissing(listed []map[string]*discovery.Runner) {
	counts := make(map[string]int)
	stored := 0
	for partition := range s.owned.All() {
		i := viewIndex(partition)
		stored += len(s.views[i].runners)
		for key := range s.views[i].runners {
			if listed[i][key] == nil {
				counts[key] = s.missingCounts[key] + 1
			}
		}
	}
	s.missingCounts = counts
	s.confirmDeletions = s.pageCount > 1 || len(counts) > stored/2
}

// shouldDelete reports whether a stored runner that is not listed is to be deleted. A list of several pages may lack a runner
// that moved between pages while they were read, and a list that lacks most runners may be a fault of the platform: in
// both cases the next list has to confirm it.
func (s *Syncer) shouldDelete(key string) bool {
	return !s.confirmDeletions || s.missingCounts[key] >= confirmingLists
}

// syncPartition writes what differs in a partition; after a conflict it compares again. It runs concurrently for several
// partitions and changes only their own elements of the Syncer's slices, and listChanged.
func (s *Syncer) syncPartition(ctx context.Context, index int, listed map[string]*discovery.Runner) {
	for range maxWriteAttempts {
		if err := s.catchUp(ctx, index); err != nil {
			s.listChanged.Store(true)
			return
		}
		equal, err := s.proposeDiff(ctx, index, listed)
		if err != nil {
			s.stale[index] = true
			s.options.Log.Debug("runner change not committed", zap.Int("partition", int(partitionAt(index))), zap.Error(err))
			return
		}
		if equal {
			return
		}
	}
}

// catchUp waits until the local replica has applied everything that was committed before the call, if the partition is
// marked as stale.
func (s *Syncer) catchUp(ctx context.Context, index int) error {
	if !s.stale[index] {
		return nil
	}
	if err := s.options.Replicas.Barrier(ctx, partitionAt(index)); err != nil {
		return fmt.Errorf("runnersync: catch up with partition %d: %w", partitionAt(index), err)
	}
	s.stale[index] = false
	return nil
}

// refreshView updates the view of a partition from the local replica.
func (s *Syncer) refreshView(index int) {
	v := &s.views[index]
	v.update(s.options.Partitions[index].Since(v.index, 0), s.options.Now())
}

// proposeDiff compares a partition with the list and proposes what differs. It reports whether the partition equals the
// list now.
func (s *Syncer) proposeDiff(ctx context.Context, index int, listed map[string]*discovery.Runner) (bool, error) {
	partition := s.options.Partitions[index]
	revision := partition.Revision()
	s.refreshView(index)
	writes := s.views[index].diff(listed, s.options.Now(), s.shouldDelete)
	if len(writes) == 0 {
		return true, nil
	}
	s.listChanged.Store(true)
	if !s.ownedPartitions().Contains(partitionAt(index)) {
		return false, ErrLostLease
	}
	command := state.WriteRunners{ExpectedRevision: revision, Writes: writes}
	encoded, err := s.options.Replicas.Propose(ctx, partitionAt(index), command.Encode())
	if err != nil {
		return false, fmt.Errorf("runnersync: propose to partition %d: %w", partitionAt(index), err)
	}
	result, err := state.DecodeResult(encoded)
	if err != nil {
		return false, err
	}
	s.stale[index] = partition.Revision() < result.Revision
	return result.Outcome == state.OutcomeAccepted, nil
}
