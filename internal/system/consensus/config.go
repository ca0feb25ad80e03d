package consensus

import "time"

// Config are a replica's. Times are steady.
type Config struct {
	ID                ReplicaID
	HeartbeatInterval time.Duration // between two messages of an idle leader
	ElectionTimeout   time.Duration // without a leader after which a replica stands for election, at least; up to twice as long
	Seed              uint64
	// MaxAppendBytes bounds the data of entries in one message; MaxInflightAppends the unanswered appends to one replica.
	MaxAppendBytes, MaxInflightAppends int
	// SnapshotThreshold is how many applied entries are kept before the driver is asked to compact (see Ready.Compact).
	SnapshotThreshold uint64
}
