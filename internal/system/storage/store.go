// Package storage keeps the agreed state of a machine's replicas, of all partitions, in one SQLite file of the state
// folder. One goroutine owns the file; writes that wait at the same time are committed together, with one sync. After a
// failure of the disk nothing is half written, and later writes succeed as soon as the disk works again.
package storage

import (
	"errors"
	"path/filepath"
	"sync"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
)

// Store is an open state folder.
type Store struct {
	path           string
	database       *database
	replica        consensus.ReplicaID
	initialized    bool
	hasPredecessor bool                    // another replica's file was in the folder before
	syncPath       func(name string) error // syncPath
	requests       chan *request
	closing        chan struct{}
	closeOnce      sync.Once
	writerDone     chan struct{}
}

// Open opens the state folder, which it makes if need be. A corrupt file is moved aside and reported as a *CorruptError
// together with a usable, empty store.
func Open(folder string) (*Store, error) { return openWithSync(folder, syncPath) }

// openWithSync is Open with a way of its own to sync a file or folder.
func openWithSync(folder string, syncFunc func(string) error) (*Store, error) {
	if err := makeStateFolder(folder); err != nil {
		return nil, err
	}
	store := &Store{path: filepath.Join(folder, databaseName), syncPath: syncFunc, requests: make(chan *request, maxQueuedRequests),
		closing: make(chan struct{}), writerDone: make(chan struct{})}
	err := store.open()
	var corrupt *CorruptError
	if errors.As(err, &corrupt) {
		if err := store.replaceCorrupt(corrupt); err != nil {
			return nil, err
		}
	} else if err != nil {
		return nil, err
	}
	go store.runWriter()
	if corrupt != nil {
		return store, corrupt
	}
	return store, nil
}

// open opens the file and reads whose it is.
func (s *Store) open() error {
	aside, err := pathExists(s.path + quarantineSuffix)
	if err != nil {
		return err
	}
	s.hasPredecessor = s.hasPredecessor || aside
	if err := s.prepare(); err != nil {
		return err
	}
	db, err := openDatabase(s.path)
	if err != nil {
		return s.wrapError("open "+s.path, err)
	}
	s.replica, s.initialized, err = db.readIdentity()
	if err != nil {
		db.close()
		return s.wrapError("read "+s.path, err)
	}
	s.database = db
	return nil
}

// replaceCorrupt moves the corrupt file aside and starts a new one.
func (s *Store) replaceCorrupt(corrupt *CorruptError) error {
	if err := s.quarantine(); err != nil {
		return err
	}
	corrupt.MovedTo = s.path + quarantineSuffix
	s.hasPredecessor = true
	return s.open()
}

// Identity is the replica that the folder belongs to; false: to none yet (see Establish).
func (s *Store) Identity() (consensus.ReplicaID, bool) { return s.replica, s.initialized }

// HasPredecessor tells whether the folder has held another replica's file, which was lost or moved aside.
func (s *Store) HasPredecessor() bool { return s.hasPredecessor }

// Initialize makes the empty folder that of the replica, with first writes, all in one transaction. It is not to be
// called concurrently with Identity.
func (s *Store) Initialize(replica consensus.ReplicaID, updates ...Update) error {
	err := s.submit("establish a replica", func(db *database) error {
		if err := db.insertIdentity(replica); err != nil {
			return err
		}
		return db.applyAll(updates)
	})
	if err == nil {
		s.replica, s.initialized = replica, true
	}
	return err
}

// Load returns what a partition's replica left; false: nothing.
func (s *Store) Load(partition feed.Partition) (state consensus.PersistentState, found bool, err error) {
	err = s.submit("load a partition", func(db *database) (err error) {
		state, found, err = db.load(partition)
		return err
	})
	return state, found, err
}

// Write has all of the writes on the disk, or none, when it returns. Writes of concurrent calls share a sync.
func (s *Store) Write(updates ...Update) error {
	return s.submit("write", func(db *database) error { return db.applyAll(updates) })
}

// Compact replaces a partition's snapshot and cuts its log up to the snapshot's index; entries beyond stay.
func (s *Store) Compact(partition feed.Partition, snapshot *consensus.Snapshot) error {
	return s.Write(Update{Partition: partition, CompactionSnapshot: snapshot})
}

// Close writes what is queued and closes the file.
func (s *Store) Close() error {
	s.closeOnce.Do(func() { close(s.closing) })
	<-s.writerDone
	return nil
}

// Discard closes the store and moves its file aside, because what it holds makes no sense.
func (s *Store) Discard() error {
	s.Close()
	return s.quarantine()
}
