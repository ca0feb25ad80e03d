package storage

import (
	"errors"

	"cinderroad/internal/system/sqlitedb"
)

// Limits of the writer goroutine.
const (
	maxQueuedRequests    = sqlitedb.MaxQueuedRequests
	failuresBeforeReopen = sqlitedb.FailuresBeforeReopen
)

// submit has the writer run a step and returns once its transaction has ended.
func (s *Store) submit(operation string, step func(*database) error) error {
	return s.writer.Submit(operation, func(db *sqlitedb.Database) error { return step(&database{db}) })
}

// reopen opens the file again, on the writer goroutine. It must still have the identity of this store: otherwise the disk was
// replaced under the running process.
func (s *Store) reopen() (*sqlitedb.Database, error) {
	if err := s.prepare(); err != nil {
		return nil, err
	}
	opened, err := sqlitedb.Open(s.path, schema)
	if err != nil {
		return nil, err
	}
	db := &database{opened}
	replica, initialized, err := db.readIdentity()
	if err != nil {
		db.Close()
		return nil, err
	}
	if initialized != s.initialized || replica != s.replica {
		db.Close()
		return nil, &CorruptError{Path: s.path, Cause: errors.New("it belongs to another replica than when it was opened")}
	}
	return opened, nil
}
