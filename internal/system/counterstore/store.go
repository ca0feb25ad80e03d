package counterstore

import (
	"errors"
	"path/filepath"

	"cinderroad/internal/system/counter"
	"cinderroad/internal/system/sqlitedb"
)

// Store is an open file of counters. Its methods must not be called concurrently, except Close.
type Store struct {
	files  sqlitedb.Files
	writer *sqlitedb.Writer
	// origin is that of the file, and nextOrigin, unless 0, the one that the write in progress sets: if that write fails, either
	// may be found on the disk.
	origin, nextOrigin counter.Origin
	isNew              bool
}

// Open opens the file in a state folder. It creates both if need be, the file with an origin of newOrigin. A corrupt file
// is quarantined and reported as a *sqlitedb.CorruptError together with a usable, new store. Other errors are a
// *sqlitedb.DiskError, a *sqlitedb.InUseError or a *sqlitedb.SchemaError.
func Open(folder string, newOrigin func() counter.Origin) (*Store, error) {
	return openWithSync(folder, newOrigin, sqlitedb.SyncPath)
}

// openWithSync is Open with another function to sync a file or folder.
func openWithSync(folder string, newOrigin func() counter.Origin, syncPath func(string) error) (*Store, error) {
	if err := sqlitedb.MakeStateFolder(folder); err != nil {
		return nil, err
	}
	store := &Store{files: sqlitedb.Files{Path: filepath.Join(folder, databaseName), Sync: syncPath}}
	corrupt, err := store.files.OpenOrQuarantine(func() error { return store.open(newOrigin) })
	if err != nil {
		return nil, err
	}
	if corrupt != nil {
		return store, corrupt
	}
	return store, nil
}

// open opens the database, reads or draws its origin, and starts the writer.
func (s *Store) open(newOrigin func() counter.Origin) error {
	if _, err := s.files.Prepare(); err != nil {
		return err
	}
	db, err := sqlitedb.Open(s.files.Path, schema)
	if err != nil {
		return sqlitedb.WrapError(s.files.Path, "open "+s.files.Path, err)
	}
	s.origin, err = readOrigin(db)
	if err != nil {
		db.Close()
		return sqlitedb.WrapError(s.files.Path, "read "+s.files.Path, err)
	}
	s.writer = sqlitedb.StartWriter(s.files.Path, db, s.reopen)
	if err := s.initialize(newOrigin); err != nil {
		s.writer.Close()
		return err
	}
	return nil
}

// initialize gives a new file its origin. It syncs the name of the file in any case, since an earlier process may have failed
// before it did: an acknowledged entry must not be lost with the file.
func (s *Store) initialize(newOrigin func() counter.Origin) error {
	if s.origin == 0 {
		s.isNew = true
		if err := s.Write(newOrigin(), nil); err != nil {
			return err
		}
	}
	return s.files.SyncFolder()
}

// Origin returns the origin of the machine's own log.
func (s *Store) Origin() counter.Origin { return s.origin }

// IsNew reports whether Open has created the file: the machine had none, or has lost it.
func (s *Store) IsNew() bool { return s.isNew }

// Load returns the entries of all logs, by origin and sequence number.
func (s *Store) Load() (entries []counter.Entry, err error) {
	err = s.writer.Submit("load counters", func(db *sqlitedb.Database) (err error) {
		entries, err = readEntries(db)
		return err
	})
	return entries, err
}

// Write appends entries to their logs and, unless newOrigin is 0, makes it the origin of the machine's own log. When it
// returns nil all of it is synced. After an error, any but a *sqlitedb.CorruptError, the same write may be repeated, and must be
// before any other: the disk may have kept it.
func (s *Store) Write(newOrigin counter.Origin, entries []counter.Entry) error {
	if newOrigin != 0 {
		s.nextOrigin = newOrigin
	}
	err := s.writer.Submit("write counters", func(db *sqlitedb.Database) error {
		if newOrigin != 0 {
			if err := db.Exec(replaceMeta, int64(schemaVersion), int64(newOrigin)); err != nil {
				return err
			}
		}
		return appendEntries(db, entries)
	})
	if err == nil && newOrigin != 0 {
		s.origin = newOrigin
		s.nextOrigin = 0
	}
	return err
}

// reopen opens the file again after failures, on the writer's goroutine. It must still be that of this store: otherwise
// the disk was replaced under the running process.
func (s *Store) reopen() (*sqlitedb.Database, error) {
	if _, err := s.files.Prepare(); err != nil {
		return nil, err
	}
	db, err := sqlitedb.Open(s.files.Path, schema)
	if err != nil {
		return nil, err
	}
	origin, err := readOrigin(db)
	if err == nil && origin != s.origin && (origin != s.nextOrigin || origin == 0) {
		cause := errors.New("it has another origin than when it was opened")
		err = &sqlitedb.CorruptError{Path: s.files.Path, Cause: cause}
	}
	if err != nil {
		db.Close()
		return nil, err
	}
	return db, nil
}

// Close writes what is queued and closes the file. Later calls return sqlitedb.ErrClosed.
func (s *Store) Close() error {
	s.writer.Close()
	return nil
}

// Discard closes the store and quarantines its file, because its content is invalid.
func (s *Store) Discard() error {
	s.writer.Close()
	return s.files.Quarantine()
}
