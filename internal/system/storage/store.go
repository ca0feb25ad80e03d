package storage

import (
	"path/filepath"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/sqlitedb"
)

// Store is an open state folder. Its methods may be called concurrently, except as they say.
type Store struct {
	path   string // of the database file
	writer *sqlitedb.Writer
	// replica and initialized are set by open and Initialize; the writer goroutine reads them when it reopens the file.
	replica        consensus.ReplicaID
	initialized    bool                    // replica is set
	hasPredecessor bool                    // the folder has held another replica's file
	syncPath       func(name string) error // replaced by tests
}

// Open opens a state folder, which it creates if need be. A corrupt file is quarantined and reported as a *CorruptError
// together with a usable, empty store. Other errors are a *DiskError, an *InUseError or a *SchemaError.
func Open(folder string) (*Store, error) { return openWithSync(folder, syncPath) }

// openWithSync is Open with another function to sync a file or folder.
func openWithSync(folder string, syncFunc func(string) error) (*Store, error) {
	if err := sqlitedb.MakeStateFolder(folder); err != nil {
		return nil, err
	}
	store := &Store{path: filepath.Join(folder, databaseName), syncPath: syncFunc}
	corrupt, err := store.files().OpenOrQuarantine(store.open)
	if err != nil {
		return nil, err
	}
	if corrupt != nil {
		store.hasPredecessor = true
		return store, corrupt
	}
	return store, nil
}

// open opens the database, reads its identity and starts the writer.
func (s *Store) open() error {
	quarantined, err := pathExists(s.path + quarantineSuffix)
	if err != nil {
		return err
	}
	s.hasPredecessor = s.hasPredecessor || quarantined
	if err := s.prepare(); err != nil {
		return err
	}
	opened, err := sqlitedb.Open(s.path, schema)
	if err != nil {
		return sqlitedb.WrapError(s.path, "open "+s.path, err)
	}
	db := &database{opened}
	s.replica, s.initialized, err = db.readIdentity()
	if err != nil {
		db.Close()
		return sqlitedb.WrapError(s.path, "read "+s.path, err)
	}
	s.writer = sqlitedb.StartWriter(s.path, opened, s.reopen)
	return nil
}

// Identity returns the replica that the folder belongs to; false before Initialize.
func (s *Store) Identity() (consensus.ReplicaID, bool) { return s.replica, s.initialized }

// HasPredecessor reports whether the folder has held another replica's file, which was lost or quarantined. Such a
// machine must not found a group: it may have been a member of one.
func (s *Store) HasPredecessor() bool { return s.hasPredecessor }

// Initialize makes an empty folder that of a replica and applies its first updates, in one transaction. It must not be
// called concurrently with any other method.
func (s *Store) Initialize(replica consensus.ReplicaID, updates ...Update) error {
	err := s.submit("initialize the state folder", func(db *database) error {
		if err := db.insertIdentity(replica); err != nil {
			return err
		}
		return db.applyAll(updates)
	})
	if err == nil {
		s.replica = replica
		s.initialized = true
	}
	return err
}

// Load returns the persisted state of a partition's replica; false if there is none.
func (s *Store) Load(partition feed.Partition) (state consensus.PersistentState, found bool, err error) {
	err = s.submit("load a partition", func(db *database) (err error) {
		state, found, err = db.load(partition)
		return err
	})
	return state, found, err
}

// Write applies updates. When it returns nil all of them are synced; after an error none is applied. Updates of
// concurrent calls share a transaction and its sync.
func (s *Store) Write(updates ...Update) error {
	return s.submit("write", func(db *database) error { return db.applyAll(updates) })
}

// Close writes what is queued and closes the file. Later calls return ErrClosed.
func (s *Store) Close() error {
	s.writer.Close()
	return nil
}

// Discard closes the store and quarantines its file, because its content is invalid.
func (s *Store) Discard() error {
	s.Close()
	return s.quarantine()
}
