package replica

import (
	"fmt"
	"time"

	"cinderroad/internal/system/feed"
)

// UnavailableError says that a partition had no leader to take a command: nothing was proposed.
type UnavailableError struct{ Partition feed.Partition }

// Error says what happened and what to do.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("replica: partition %d has no leader that a majority follows; check which control machines are up",
		e.Partition)
}

// UnknownOutcomeError says that a command may or may not have been agreed on, or may yet be.
type UnknownOutcomeError struct {
	Partition feed.Partition
	Cause     error
}

// Error says what happened and what to do.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("replica: it is not known whether partition %d took the command (%v); read the state, "+
		"or propose it again if that does no harm", e.Partition, e.Cause)
}

// Unwrap is the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// UnknownPartitionError says that there is no such partition.
type UnknownPartitionError struct{ Partition feed.Partition }

// Error says what happened.
func (e *UnknownPartitionError) Error() string {
	return fmt.Sprintf("replica: there is no partition %d", e.Partition)
}

// MalformedMessagesError says that a batch of messages cannot be read.
type MalformedMessagesError struct{ Cause error }

// Error says what happened and what to do.
func (e *MalformedMessagesError) Error() string {
	return "replica: messages cannot be read: " + e.Cause.Error() + "; check that all control machines run one version"
}

// Unwrap is the cause.
func (e *MalformedMessagesError) Unwrap() error { return e.Cause }

// DiskStalledError says that the disk has not finished a write for a while.
type DiskStalledError struct{ Elapsed time.Duration }

// Error says what happened and what to do.
func (e *DiskStalledError) Error() string {
	return "replica: the disk has not finished a write for " + e.Elapsed.Round(time.Millisecond).String() +
		"; leadership is given up until it does; check the disk of the state folder"
}
