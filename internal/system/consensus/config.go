package consensus

import "time"

// Config configures a Node. All replicas of a group need the same ElectionTimeout: leases rest on it.
type Config struct {
	ID ReplicaID
	// HeartbeatInterval is the time between two heartbeats of a leader to an idle follower. It should be a small part of
	// ElectionTimeout; shorter intervals cost messages.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the time without a leader after which a replica starts an election, drawn between this and one
	// and a half times this. Leases and transfers of leadership last as long. Shorter timeouts shorten the unavailability
	// after a leader's failure and bring more needless elections on slow networks and disks.
	ElectionTimeout time.Duration
	Seed            uint64 // of the random numbers, mixed with ID; two runs with the same inputs behave the same
	// MaxAppendBytes bounds the data of the entries in one message; a single larger entry is sent all the same.
	MaxAppendBytes int
	// MaxInflightAppends bounds the unacknowledged appends to one replica.
	MaxInflightAppends int
	// SnapshotThreshold is the number of entries applied since the last snapshot at which Ready.CompactIndex asks for
	// another one; 0: never. Node.Compact retains one retainedTailDivisor-th (a quarter) of it, also for a driver that
	// ignores Ready.CompactIndex and decides itself when to compact.
	SnapshotThreshold uint64
}
