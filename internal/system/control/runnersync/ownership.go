package runnersync

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/replica"
)

const (
	// leaseCheckInterval is the time between two checks of the lease while this machine owns nothing.
	leaseCheckInterval = 200 * time.Millisecond
	// minLeaseRemaining must be left of a lease when a call begins.
	minLeaseRemaining = 100 * time.Millisecond
	// takeoverDelay is the staleness of partition 0, see replica.Replicas, from which a machine owns the runner partitions
	// that it leads itself.
	takeoverDelay = 2 * time.Second
)

// ErrLostLease means that the lease ends too soon for another call.
var ErrLostLease = errors.New("runnersync: the lease ended; another machine polls now")

// OwnedPartitions returns the runner partitions, of so many, that this machine keeps equal to the list: all of them while
// it holds the lease of partition 0; if it has had no contact with a leader there for takeoverDelay, those whose lease it holds.
func OwnedPartitions(replicas replica.Replicas, runnerPartitions int) feed.PartitionSet {
	all := feed.FirstPartitions(1 + runnerPartitions).Without(feed.NewPartitionSet(feed.ConfigurationPartition))
	if holdsLease(replicas, feed.ConfigurationPartition) {
		return all
	}
	var owned feed.PartitionSet
	if replicas.Staleness(feed.ConfigurationPartition) < takeoverDelay {
		return owned
	}
	for partition := range all.All() {
		if holdsLease(replicas, partition) {
			owned = owned.With(partition)
		}
	}
	return owned
}

func holdsLease(replicas replica.Replicas, partition feed.Partition) bool {
	remaining, leads := replicas.LeaderLease(partition)
	return leads && remaining > minLeaseRemaining
}

// CheckLease returns nil if a call to the platform may begin now, and else ErrLostLease.
func CheckLease(replicas replica.Replicas, runnerPartitions int) error {
	if OwnedPartitions(replicas, runnerPartitions).IsEmpty() {
		return ErrLostLease
	}
	return nil
}

func (s *Syncer) ownedPartitions() feed.PartitionSet {
	return OwnedPartitions(s.options.Replicas, len(s.options.Partitions))
}

// acquire resets the observations of earlier lists if the owned partitions have changed, since another machine may have
// written the partitions meanwhile.
func (s *Syncer) acquire(owned feed.PartitionSet) {
	if owned == s.owned {
		return
	}
	if s.owned.IsEmpty() {
		s.progress.acquire()
	}
	s.owned = owned
	s.pollInterval = minPollInterval
	clear(s.missingCounts)
	for i := range s.stale {
		s.stale[i] = true
	}
	s.options.Log.Info("discovery role acquired", zap.Stringer("partitions", owned))
}

// release ends the ownership of all partitions.
func (s *Syncer) release() {
	if s.owned.IsEmpty() {
		return
	}
	s.owned = 0
	s.progress.release()
	s.options.Log.Info("discovery role released")
}
