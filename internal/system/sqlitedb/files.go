package sqlitedb

import (
	"errors"
	"os"
	"path/filepath"
)

const (
	// WALSuffix is the suffix of SQLite's write-ahead log.
	WALSuffix = "-wal"
	// QuarantineSuffix is the suffix of a quarantined file; an earlier one is replaced.
	QuarantineSuffix = ".corrupt"
)

// SideFiles are the suffixes of the files that SQLite keeps beside a database.
var SideFiles = []string{WALSuffix, "-journal", "-shm"}

// SyncPath makes the content of a file, or the names in a folder, survive a power loss.
func SyncPath(name string) error {
	opened, err := os.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(opened.Sync(), opened.Close())
}

// PathExists reports whether a file or folder exists. Any failure other than its absence is an error: a file on a
// failing disk is not absent.
func PathExists(name string) (bool, error) {
	_, err := os.Lstat(name)
	if err == nil || errors.Is(err, os.ErrNotExist) {
		return err == nil, nil
	}
	return false, &DiskError{Operation: "look for " + name, Cause: err}
}

// MakeStateFolder creates a state folder if it is missing.
func MakeStateFolder(folder string) error {
	found, err := PathExists(folder)
	if found || err != nil {
		return err
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return &DiskError{Operation: "make the state folder", Cause: err}
	}
	if err := SyncPath(filepath.Dir(folder)); err != nil {
		return &DiskError{Operation: "sync the folder of the state folder", Cause: err}
	}
	return nil
}

// Files is a database file with its side files.
type Files struct {
	Path string // of the database
	// Sync makes the content of a file, or the names in a folder, durable: SyncPath, except in tests.
	Sync func(name string) error
}

// Prepare makes the files of an earlier process fit to be read. It syncs the write-ahead log of an existing database: a
// process that was killed during a write leaves complete frames that are not on the disk yet, and what is read once
// must not be lost by a later power loss. Side files without a database belong to an earlier incarnation and are
// removed, which is reported.
func (f Files) Prepare() (removed bool, err error) {
	found, err := PathExists(f.Path)
	if err != nil {
		return false, err
	}
	if !found {
		return f.removeSideFiles()
	}
	found, err = PathExists(f.Path + WALSuffix)
	if !found || err != nil {
		return false, err
	}
	if err := f.Sync(f.Path + WALSuffix); err != nil {
		return false, &DiskError{Operation: "sync the log of " + f.Path, Cause: err}
	}
	return false, nil
}

// removeSideFiles removes the side files of a database that is missing.
func (f Files) removeSideFiles() (removed bool, err error) {
	for _, suffix := range SideFiles {
		err := os.Remove(f.Path + suffix)
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return removed, &DiskError{Operation: "remove " + f.Path + suffix, Cause: err}
		}
		removed = removed || err == nil
	}
	if !removed {
		return false, nil
	}
	return true, f.SyncFolder()
}

// OpenOrQuarantine calls open. If that returns a *CorruptError, it quarantines the file and calls open once more, for an
// empty one; the error of the first call is then returned as corrupt.
func (f Files) OpenOrQuarantine(open func() error) (corrupt *CorruptError, err error) {
	err = open()
	if !errors.As(err, &corrupt) {
		return nil, err
	}
	if err := f.Quarantine(); err != nil {
		return nil, err
	}
	corrupt.MovedTo = f.Path + QuarantineSuffix
	return corrupt, open()
}

// Quarantine renames the database and then its side files. The new name of the database is synced before the others are
// renamed: the database alone, without the last writes in its log, would bring an old state back under the identity of its
// store.
func (f Files) Quarantine() error {
	err := os.Rename(f.Path, f.Path+QuarantineSuffix)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return &DiskError{Operation: "move " + f.Path + " aside", Cause: err}
	}
	if err := f.SyncFolder(); err != nil {
		return err
	}
	for _, suffix := range SideFiles {
		err := os.Rename(f.Path+suffix, f.Path+QuarantineSuffix+suffix)
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return &DiskError{Operation: "move " + f.Path + suffix + " aside", Cause: err}
		}
	}
	return f.SyncFolder()
}

// SyncFolder makes the names in the folder durable, as after a database was created.
func (f Files) SyncFolder() error {
	if err := f.Sync(filepath.Dir(f.Path)); err != nil {
		return &DiskError{Operation: "sync the state folder", Cause: err}
	}
	return nil
}
