package counter

import (
	"fmt"
	"maps"
)

// Bounds of the texts of an operation in bytes; both need at least one.
const (
	MaxIDSize      = 256
	MaxCounterSize = 256
)

// Origin identifies the operation log of one disk. It is random, and never used again after the loss of that disk; 0 is none.
type Origin uint64

// Hex returns the origin as operators see it.
func (o Origin) Hex() string { return fmt.Sprintf("%016x", uint64(o)) }

// Operation adds an amount to a counter. Operations of one ID count once.
type Operation struct {
	ID      string
	Counter string
	Amount  int64
}

// validate returns an *InvalidOperationError, or nil.
func (o *Operation) validate() error {
	if o.ID == "" || len(o.ID) > MaxIDSize {
		return &InvalidOperationError{fmt.Sprintf("the id has %d bytes; 1 to %d are allowed", len(o.ID), MaxIDSize)}
	}
	if o.Counter == "" || len(o.Counter) > MaxCounterSize {
		return &InvalidOperationError{fmt.Sprintf("the counter's name has %d bytes; 1 to %d are allowed", len(o.Counter), MaxCounterSize)}
	}
	return nil
}

// Entry is an operation in the log of an origin. Sequence numbers begin at 1 and have no gaps.
type Entry struct {
	Origin    Origin
	Sequence  uint64
	Operation Operation
}

// VersionVector tells how far the log of each origin is held: the highest sequence number below which none is missing.
type VersionVector map[Origin]uint64

// Covers reports whether a vector is at or beyond another one for all origins.
func (v VersionVector) Covers(other VersionVector) bool {
	for origin, sequence := range other {
		if v[origin] < sequence {
			return false
		}
	}
	return true
}

// Clone returns a copy.
func (v VersionVector) Clone() VersionVector { return maps.Clone(v) }

// merge raises the vector to the maximum of both for each origin.
func (v VersionVector) merge(other VersionVector) {
	for origin, sequence := range other {
		v[origin] = max(v[origin], sequence)
	}
}
