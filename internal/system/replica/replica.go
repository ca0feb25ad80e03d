package replica

import (
	"context"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
)

// StateMachine is the replicated state of a partition. The host calls its methods one at a time for a partition.
type StateMachine interface {
	// Apply applies the committed command at an index and returns the result for its proposer. It must be deterministic.
	// Indexes rise, but not by one each.
	Apply(index uint64, command []byte) []byte
	// Snapshot encodes the whole state.
	Snapshot() []byte
	// Restore replaces the state by one that Snapshot encoded when the log was applied up to index.
	Restore(index uint64, snapshot []byte) error
}

// Replicas is the interface of the replicas on this machine to the rest of the control process. Host implements it. All
// methods may be called concurrently.
type Replicas interface {
	// Propose has a command committed and applied through the leader of the partition and returns the result of Apply
	// there. A *UnavailableError or *UnknownPartitionError says that nothing was proposed; after any other error, such as
	// *UnknownOutcomeError, the command may have been committed or may still be.
	Propose(ctx context.Context, partition feed.Partition, command []byte) ([]byte, error)
	// Barrier returns once the local state machine has applied everything that was acknowledged before the call, so that
	// reads of it are linearizable. The error is a *UnavailableError or *UnknownPartitionError.
	Barrier(ctx context.Context, partition feed.Partition) error
	// LeaderLease returns for how long this machine is certain to be the only leader of the partition, confirmed by a
	// majority; false if it is not.
	LeaderLease(partition feed.Partition) (time.Duration, bool)
	// Staleness returns how long ago this replica last had applied everything that a leader with a majority had committed;
	// feed.AgeNever, the largest duration, if it never had, or if there is no such partition.
	Staleness(partition feed.Partition) time.Duration
	// InContact reports whether this machine has recently received messages from a leader of the partition or from a
	// majority of its voters. If not, it is partitioned or too many machines are down: no proposal or barrier will
	// succeed soon.
	InContact(partition feed.Partition) bool
	// Status describes the replica of each partition, for operators. It is empty until the store is open.
	Status() []PartitionStatus
}

// PartitionStatus describes this machine's replica of a partition.
type PartitionStatus struct {
	Partition feed.Partition
	Status    consensus.Status
}
