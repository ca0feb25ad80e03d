package storage

import (
	"errors"
	"os"
	"path/filepath"
)

const (
	databaseName     = "consensus.db"
	walSuffix        = "-wal"     // of SQLite's write-ahead log
	quarantineSuffix = ".corrupt" // of a quarantined file; an earlier one is replaced
)

// sideFiles are the suffixes of the files that SQLite keeps beside the database.
var sideFiles = []string{walSuffix, "-journal", "-shm"}

// syncPath makes the content of a file, or the names in a folder, survive a power loss.
func syncPath(name string) error {
	opened, err := os.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(opened.Sync(), opened.Close())
}

// pathExists reports whether a file or folder exists. Any failure other than its absence is an error: a file on a
// failing disk is not absent.
func pathExists(name string) (bool, error) {
	_, err := os.Lstat(name)
	if err == nil || errors.Is(err, os.ErrNotExist) {
		return err == nil, nil
	}
	return false, &DiskError{Operation: "look for " + name, Cause: err}
}

// makeStateFolder creates the state folder if it is missing.
func makeStateFolder(folder string) error {
	found, err := pathExists(folder)
	if found || err != nil {
		return err
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return &DiskError{Operation: "make the state folder", Cause: err}
	}
	if err := syncPath(filepath.Dir(folder)); err != nil {
		return &DiskError{Operation: "sync the folder of the state folder", Cause: err}
	}
	return nil
}

// prepare makes the files of an earlier process fit to be read. It syncs the write-ahead log of an existing database: a
// process that was killed during a write leaves complete frames that are not on the disk yet, and what is read once
// must not be lost by a later power loss. Side files without a database belong to an earlier incarnation and are
// removed.
func (s *Store) prepare() error {
	found, err := pathExists(s.path)
	if err != nil {
		return err
	}
	if !found {
		return s.removeSideFiles()
	}
	found, err = pathExists(s.path + walSuffix)
	if !found || err != nil {
		return err
	}
	if err := s.syncPath(s.path + walSuffix); err != nil {
		return &DiskError{Operation: "sync the log of " + s.path, Cause: err}
	}
	return nil
}

// removeSideFiles removes the side files of a database that is missing.
func (s *Store) removeSideFiles() error {
	removed := false
	for _, suffix := range sideFiles {
		err := os.Remove(s.path + suffix)
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return &DiskError{Operation: "remove " + s.path + suffix, Cause: err}
		}
		removed = removed || err == nil
	}
	if !removed {
		return nil
	}
	s.hasPredecessor = true
	return s.syncFolder()
}

// quarantine renames the database and then its side files. The new name of the database is synced before the others are
// renamed: the database alone, without the last writes in its log, would bring an old state back under the replica's
// identity.
func (s *Store) quarantine() error {
	err := os.Rename(s.path, s.path+quarantineSuffix)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return &DiskError{Operation: "move " + s.path + " aside", Cause: err}
	}
	if err := s.syncFolder(); err != nil {
		return err
	}
	for _, suffix := range sideFiles {
		err := os.Rename(s.path+suffix, s.path+quarantineSuffix+suffix)
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return &DiskError{Operation: "move " + s.path + suffix + " aside", Cause: err}
		}
	}
	return s.syncFolder()
}

func (s *Store) syncFolder() error {
	if err := s.syncPath(filepath.Dir(s.path)); err != nil {
		return &DiskError{Operation: "sync the state folder", Cause: err}
	}
	return nil
}
