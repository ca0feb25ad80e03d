package replica

import (
	"fmt"
	"time"

	"cinderroad/internal/system/feed"
)

// UnavailableError says that no leader took the command or confirmed the read before the context ended. The command
// was not proposed, so it is safe to retry.
type UnavailableError struct{ Partition feed.Partition }

// Error says what failed and what an operator can check.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("replica: partition %d has no leader that a majority follows; check which control machines are up",
		e.Partition)
}

// UnknownOutcomeError says that a command may have been committed, or may still be committed later. The caller has to
// read the state, or propose the command again if it is idempotent.
type UnknownOutcomeError struct {
	Partition feed.Partition
	Cause     error
}

// Error says what failed and what to do.
func (e *UnknownOutcomeError) Error() string {
	reason := ""
	if e.Cause != nil {
		reason = fmt.Sprintf(" (%v)", e.Cause)
	}
	return fmt.Sprintf("replica: it is not known whether partition %d took the command%s; read the state, "+
		"or propose it again if that does no harm", e.Partition, reason)
}

// Unwrap returns the reason why the outcome is unknown; it may be nil.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// UnknownPartitionError says that the host has no such partition.
type UnknownPartitionError struct{ Partition feed.Partition }

// Error names the partition.
func (e *UnknownPartitionError) Error() string {
	return fmt.Sprintf("replica: there is no partition %d", e.Partition)
}

// MalformedMessagesError says that a batch of consensus messages cannot be decoded. Usually the sender runs another
// release.
type MalformedMessagesError struct{ Cause error }

// Error says what failed and what an operator can check.
func (e *MalformedMessagesError) Error() string {
	return "replica: messages cannot be read: " + e.Cause.Error() + "; check that all control machines run one version"
}

// Unwrap returns the cause.
func (e *MalformedMessagesError) Unwrap() error { return e.Cause }

// DiskStalledError says that a write to the store has been running for Elapsed without an error. Leadership is
// released until it completes.
type DiskStalledError struct{ Elapsed time.Duration }

// Error says what failed and what an operator can check.
func (e *DiskStalledError) Error() string {
	return "replica: the disk has not finished a write for " + e.Elapsed.Round(time.Millisecond).String() +
		"; leadership is given up until it does; check the disk of the state folder"
}
