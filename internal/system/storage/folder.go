package storage

import (
	"errors"
	"os"
	"path/filepath"
)

const (
	databaseName     = "consensus.db"
	walSuffix        = "-wal"
	quarantineSuffix = ".corrupt" // of a file that was moved aside; an earlier one is replaced
)

// sideFiles are the suffixes of the files that SQLite keeps beside its own.
var sideFiles = []string{walSuffix, "-journal", "-shm"}

// syncPath has a file's content, or a folder's names, outlast a loss of power.
func syncPath(name string) error {
	opened, err := os.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(opened.Sync(), opened.Close())
}

// pathExists tells whether there is a file or folder. What can't be told is an error: the file of a disk in trouble is not
// gone.
func pathExists(name string) (bool, error) {
	_, err := os.Lstat(name)
	if err == nil || errors.Is(err, os.ErrNotExist) {
		return err == nil, nil
	}
	return false, &DiskError{Operation: "look for " + name, Cause: err}
}

// makeStateFolder makes the state folder if need be.
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

// prepare makes what an earlier process left fit to be read. The log of a file that is there is synced: a process that
// was killed in the middle of a write leaves frames that are complete and yet not on the disk, and what is read once
// must not be lost by a loss of power. What stands beside a file that is not there belongs to a life that is over.
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

// removeSideFiles removes what stands beside a file that is gone.
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

// quarantine renames the file and then those beside it. The file's new name is on the disk before they go: with the
// file alone, without the log's last writes, an old state would come back under the replica's identity.
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
