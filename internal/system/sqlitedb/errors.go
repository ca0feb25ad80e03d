package sqlitedb

import (
	"errors"
	"fmt"
	"syscall"

	"github.com/mattn/go-sqlite3"
)

// DiskError reports that the disk refused or failed an operation, none of whose updates were applied. The operation may be
// repeated; it succeeds once the disk works again.
type DiskError struct {
	Operation string
	Full      bool // no space is left on the disk
	Cause     error
}

// Error implements error.
func (e *DiskError) Error() string {
	if e.Full {
		return fmt.Sprintf("sqlitedb: cannot %s: the disk is full; make room for the state folder", e.Operation)
	}
	return fmt.Sprintf("sqlitedb: cannot %s: %v; check the disk of the state folder", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *DiskError) Unwrap() error { return e.Cause }

// CorruptError reports that the database can't have been written by its store, which has to start anew, as one without a
// disk.
type CorruptError struct {
	Path    string
	MovedTo string // path of the file now; empty: it was not moved
	Cause   error
}

// Error implements error.
func (e *CorruptError) Error() string {
	if e.MovedTo == "" {
		return fmt.Sprintf("sqlitedb: %s is corrupt: %v", e.Path, e.Cause)
	}
	return fmt.Sprintf("sqlitedb: %s is corrupt: %v; it was moved to %s and the replica starts without it", e.Path,
		e.Cause, e.MovedTo)
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

// InUseError reports that another process has the state folder open.
type InUseError struct{ Path string }

// Error implements error.
func (e *InUseError) Error() string {
	return fmt.Sprintf("sqlitedb: %s is held by another process; one process only may run on a state folder", e.Path)
}

// SchemaError reports that the file was written by a program of another version.
type SchemaError struct{ Found, Known int64 }

// Error implements error.
func (e *SchemaError) Error() string {
	return fmt.Sprintf("sqlitedb: the tables have schema %d and this program knows %d; run the program that wrote them",
		e.Found, e.Known)
}

// ErrClosed is returned for operations on a closed store.
var ErrClosed = errors.New("sqlitedb: the store is closed")

// WrapError turns an error of SQLite into an error of this package, and completes a *CorruptError, which what reads the tables
// returns without the path.
func WrapError(path, operation string, err error) error {
	var corrupt *CorruptError
	if errors.As(err, &corrupt) && corrupt.Path == "" {
		corrupt.Path = path
	}
	var failure sqlite3.Error
	if err == nil || !errors.As(err, &failure) {
		return err
	}
	switch failure.Code {
	case sqlite3.ErrCorrupt, sqlite3.ErrNotADB, sqlite3.ErrFormat:
		return &CorruptError{Path: path, Cause: err}
	case sqlite3.ErrBusy, sqlite3.ErrLocked:
		return &InUseError{path}
	}
	full := failure.Code == sqlite3.ErrFull || failure.SystemErrno == syscall.ENOSPC
	return &DiskError{Operation: operation, Full: full, Cause: err}
}
