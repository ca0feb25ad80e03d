package counter

import (
	"errors"
	"fmt"
)

var (
	// ErrConflict reports that the ID of an operation is known with another counter or amount. Nothing was done.
	ErrConflict = errors.New("counter: the id was used for another operation")
	// ErrFull reports that no more operations can be kept. Nothing was done.
	ErrFull = errors.New("counter: the operation log is full")
	// ErrNotReady reports that the replica can't serve now: it has just started and has not heard from enough peers, it catches up
	// after the loss of its disk, or its disk is stalled. Nothing was done; the call may be tried elsewhere, or again later.
	ErrNotReady = errors.New("counter: the replica is not ready")
)

// InvalidOperationError reports an operation that no replica accepts. Nothing was done.
type InvalidOperationError struct{ Reason string }

// Error implements error.
func (e *InvalidOperationError) Error() string { return "counter: invalid operation: " + e.Reason }

// InvalidLogError reports persisted entries that no replica can have written: the disk's file is corrupt.
type InvalidLogError struct {
	Origin   Origin
	Sequence uint64
	Reason   string
}

// Error implements error.
func (e *InvalidLogError) Error() string {
	return fmt.Sprintf("counter: persisted entry %d of origin %s: %s", e.Sequence, e.Origin.Hex(), e.Reason)
}

// DecodeError reports bytes that are not an encoding of this package: they come from another version or are corrupt.
type DecodeError struct {
	Field  string // the first malformed one
	Offset int    // of Field in bytes
}

// Error implements error.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("counter: malformed %s at byte %d; check that all replicas run compatible versions", e.Field, e.Offset)
}
