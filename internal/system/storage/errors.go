package storage

import (
	"errors"
	"fmt"
	"syscall"

	"github.com/mattn/go-sqlite3"
)

// DiskError says that the disk refused or failed an operation. Nothing of the operation's writes is kept; it may be
// tried again, and succeeds once the disk works.
type DiskError struct {
	Operation string
	Full      bool // there is no room on the disk
	Cause     error
}

// Error says what happened and what to do.
func (e *DiskError) Error() string {
	if e.Full {
		return fmt.Sprintf("storage: cannot %s: the disk is full; make room for the state folder", e.Operation)
	}
	return fmt.Sprintf("storage: cannot %s: %v; check the disk of the state folder", e.Operation, e.Cause)
}

// Unwrap is the cause.
func (e *DiskError) Unwrap() error { return e.Cause }

// CorruptError says that what stands on the disk cannot be this package's. The file is kept under MovedTo, where that is
// not empty, and the replica has to start anew as one without a disk.
type CorruptError struct {
	Path, MovedTo string
	Cause         error
}

// Error says what happened and what to do.
func (e *CorruptError) Error() string {
	if e.MovedTo == "" {
		return fmt.Sprintf("storage: %s is corrupt: %v", e.Path, e.Cause)
	}
	return fmt.Sprintf("storage: %s is corrupt: %v; it was moved to %s and the replica starts without it", e.Path,
		e.Cause, e.MovedTo)
}

// Unwrap is the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

// InUseError says that another process holds the folder.
type InUseError struct{ Path string }

// Error says what happened and what to do.
func (e *InUseError) Error() string {
	return fmt.Sprintf("storage: %s is held by another process; one process only may run on a state folder", e.Path)
}

// SchemaError says that the file was written by a program of another version.
type SchemaError struct{ Found, Known int64 }

// Error says what happened and what to do.
func (e *SchemaError) Error() string {
	return fmt.Sprintf("storage: the tables have schema %d and this program knows %d; run the program that wrote them",
		e.Found, e.Known)
}

// ClosedError says that the store was closed.
type ClosedError struct{}

// Error says what happened.
func (e *ClosedError) Error() string { return "storage: the store is closed" }

// wrapError turns an error of SQLite into one of this package's.
func (s *Store) wrapError(operation string, err error) error {
	var failure sqlite3.Error
	if err == nil || !errors.As(err, &failure) {
		return err
	}
	switch failure.Code {
	case sqlite3.ErrCorrupt, sqlite3.ErrNotADB, sqlite3.ErrFormat:
		return &CorruptError{Path: s.path, Cause: err}
	case sqlite3.ErrBusy, sqlite3.ErrLocked:
		return &InUseError{s.path}
	}
	full := failure.Code == sqlite3.ErrFull || failure.SystemErrno == syscall.ENOSPC
	return &DiskError{Operation: operation, Full: full, Cause: err}
}
