package jobreplica

import (
	"time"

	"cinderroad/internal/system/consensus"
)

// StateMachine is the replicated state, to which each replica applies the same commands in the same order.
type StateMachine interface {
	// Check reports whether Apply could apply the command. What it rejects is not proposed, since it would stop all replicas.
	Check(command []byte) error
	// Apply applies a committed command. After an error the replica stops. It must depend on nothing but the state and its
	// arguments.
	Apply(index uint64, command []byte) (result any, err error)
	// Snapshot returns the encoded state, and Restore replaces the state by an encoded one.
	Snapshot() []byte
	Restore(snapshot []byte) error
}

// Options configure a Replica.
type Options struct {
	Self         Member
	Seed         uint64 // of the random election timeouts
	Replicas     int    // the number of voters to maintain: 3 or 5
	StateMachine StateMachine

	// ElectionTimeout is the time without a leader, in seconds, after which a replica stands for election: a random time
	// from this to twice as long, and not less than minHeartbeatsPerTimeout heartbeats. A short one
	// costs elections when the network is slow, a long one prolongs an outage.
	ElectionTimeout float64
	// HeartbeatInterval is the time between two heartbeats of a leader, in seconds.
	HeartbeatInterval float64
	// ReplaceAfter is the time after which a silent voter is replaced, in seconds, and the least time between two
	// replacements.
	ReplaceAfter float64
	// CompactionThreshold is the number of entries after which the log is compacted.
	CompactionThreshold int
	MaxCommandBytes     int
}

const (
	minHeartbeatsPerTimeout = 3        // an ElectionTimeout is at least so many heartbeats
	maxAppendBytes          = 64 << 10 // of entries in one message; a single entry may be longer
	maxInflightAppends      = 64       // unacknowledged messages with entries to one replica
)

// consensusConfig returns the configuration of the consensus node.
func (o *Options) consensusConfig() consensus.Config {
	return consensus.Config{
		ID:                 consensus.ReplicaID(o.Self.ID),
		HeartbeatInterval:  secondsToDuration(o.HeartbeatInterval),
		ElectionTimeout:    secondsToDuration(max(o.ElectionTimeout, minHeartbeatsPerTimeout*o.HeartbeatInterval)),
		Seed:               o.Seed,
		MaxAppendBytes:     maxAppendBytes,
		MaxInflightAppends: maxInflightAppends,
		SnapshotThreshold:  uint64(o.CompactionThreshold),
	}
}

// secondsToDuration converts a time of this package to one of package consensus.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
