// Package replica runs this machine's replicas of all partitions: it joins each consensus machine to its storage, to the
// other machines over RPC, and to the state machine that the agreed commands drive.
package replica

import (
	"context"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
)

// StateMachine is the state that agreed commands make. Its methods are called one at a time for a partition.
type StateMachine interface {
	// Apply takes an agreed command and returns what its proposer is to be told. It is deterministic.
	Apply(index uint64, command []byte) []byte
	Snapshot() []byte
	Restore(index uint64, snapshot []byte) error
}

// Replicas is what the control process asks of its replicas.
type Replicas interface {
	// Propose has a command agreed and applied, through whichever machine leads the partition, and returns what Apply
	// returned there. An error does not say that the command was not agreed on, except *UnavailableError.
	Propose(ctx context.Context, partition feed.Partition, command []byte) ([]byte, error)
	// Barrier returns once the local state machine holds all that was acknowledged before the call.
	Barrier(ctx context.Context, partition feed.Partition) error
	// LeaderLease says whether this machine surely leads the partition for the time returned, confirmed by a majority.
	LeaderLease(partition feed.Partition) (time.Duration, bool)
	// Staleness is how long ago this replica last held all that a leader which a majority follows had committed.
	Staleness(partition feed.Partition) time.Duration
	// InContact says whether this machine has lately heard a leader of the partition or a majority of its voters. Where it
	// has not, it is cut off, or too many machines are down, and nothing can be agreed on or confirmed soon.
	InContact(partition feed.Partition) bool
	// Status describes each partition's replica, for operators.
	Status() []PartitionStatus
}

// PartitionStatus is a partition's replica as operators see it.
type PartitionStatus struct {
	Partition feed.Partition
	Status    consensus.Status
}
