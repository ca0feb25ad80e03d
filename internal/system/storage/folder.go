package storage

import "cinderroad/internal/system/sqlitedb"

const (
	databaseName     = "consensus.db"
	walSuffix        = sqlitedb.WALSuffix
	quarantineSuffix = sqlitedb.QuarantineSuffix
)

// sideFiles are the suffixes of the files that SQLite keeps beside the database.
var sideFiles = sqlitedb.SideFiles

func syncPath(name string) error { return sqlitedb.SyncPath(name) }

func pathExists(name string) (bool, error) { return sqlitedb.PathExists(name) }

// files returns the database's file with its side files.
func (s *Store) files() sqlitedb.Files { return sqlitedb.Files{Path: s.path, Sync: s.syncPath} }

// prepare makes the files of an earlier process fit to be read. Files of an earlier replica that it removes count as a
// predecessor.
func (s *Store) prepare() error {
	removed, err := s.files().Prepare()
	s.hasPredecessor = s.hasPredecessor || removed
	return err
}

// quarantine moves the database and its side files aside.
func (s *Store) quarantine() error { return s.files().Quarantine() }
