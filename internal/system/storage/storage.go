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

// queueLength is how many writes may wait for the writer without holding their callers' sends up.
const queueLength = 64

// Update is what one partition's replica wants kept. It is carried out in the order of the fields.
type Update struct {
	Partition          feed.Partition
	InstalledSnapshot  *consensus.Snapshot  // replaces the snapshot and the whole log
	HardState          *consensus.HardState // nil: as it was
	Entries            []consensus.Entry    // contiguous; they replace whatever stands at their indexes and beyond
	CommitIndex        uint64               // commit index to keep with the entries; Hard's is kept with Hard
	CompactionSnapshot *consensus.Snapshot  // replaces the snapshot and cuts the log up to its index
}

// Store is an open state folder.
type Store struct {
	path     string
	file     *file
	replica  consensus.ReplicaID
	existed  bool
	succeeds bool                    // another replica's file was in the folder before
	sync     func(name string) error // syncPath
	requests chan *request
	closing  chan struct{}
	once     sync.Once
	done     chan struct{}
}

// request is a step in a transaction; its answer comes once the transaction is on the disk, or failed.
type request struct {
	name string
	step func(*file) error
	done chan error
}

// Open opens the state folder, which it makes if need be. A corrupt file is moved aside and reported as a *CorruptError
// together with a usable, empty store.
func Open(folder string) (*Store, error) { return openWith(folder, syncPath) }

// openWith is Open with a way of its own to sync a file or folder.
func openWith(folder string, syncName func(string) error) (*Store, error) {
	if err := makeFolder(folder); err != nil {
		return nil, err
	}
	s := &Store{path: filepath.Join(folder, fileName), sync: syncName, requests: make(chan *request, queueLength),
		closing: make(chan struct{}), done: make(chan struct{})}
	err := s.open()
	var corrupt *CorruptError
	if errors.As(err, &corrupt) {
		if err := s.reopenEmpty(corrupt); err != nil {
			return nil, err
		}
	} else if err != nil {
		return nil, err
	}
	go s.run()
	if corrupt != nil {
		return s, corrupt
	}
	return s, nil
}

// open opens the file and reads whose it is.
func (s *Store) open() error {
	aside, err := exists(s.path + asideSuffix)
	if err != nil {
		return err
	}
	s.succeeds = s.succeeds || aside
	if err := s.prepare(); err != nil {
		return err
	}
	f, err := openFile(s.path)
	if err != nil {
		return s.typed("open "+s.path, err)
	}
	s.replica, s.existed, err = f.identity()
	if err != nil {
		f.close()
		return s.typed("read "+s.path, err)
	}
	s.file = f
	return nil
}

// reopenEmpty moves the corrupt file aside and starts a new one.
func (s *Store) reopenEmpty(corrupt *CorruptError) error {
	if err := s.moveAside(); err != nil {
		return err
	}
	corrupt.MovedTo = s.path + asideSuffix
	s.succeeds = true
	return s.open()
}

// Identity is the replica that the folder belongs to; false: to none yet (see Establish).
func (s *Store) Identity() (consensus.ReplicaID, bool) { return s.replica, s.existed }

// HasPredecessor tells whether the folder has held another replica's file, which was lost or moved aside.
func (s *Store) HasPredecessor() bool { return s.succeeds }

// Initialize makes the empty folder that of the replica, with first writes, all in one transaction. It is not to be
// called concurrently with Identity.
func (s *Store) Initialize(replica consensus.ReplicaID, writes ...Update) error {
	err := s.do("establish a replica", func(f *file) error {
		if err := f.insertIdentity(replica); err != nil {
			return err
		}
		return f.writeAll(writes)
	})
	if err == nil {
		s.replica, s.existed = replica, true
	}
	return err
}

// Load returns what a partition's replica left; false: nothing.
func (s *Store) Load(partition feed.Partition) (stored consensus.PersistentState, found bool, err error) {
	err = s.do("load a partition", func(f *file) (err error) {
		stored, found, err = f.load(partition)
		return err
	})
	return stored, found, err
}

// Write has all of the writes on the disk, or none, when it returns. Writes of concurrent calls share a sync.
func (s *Store) Write(writes ...Update) error {
	return s.do("write", func(f *file) error { return f.writeAll(writes) })
}

// Compact replaces a partition's snapshot and cuts its log up to the snapshot's index; entries beyond stay.
func (s *Store) Compact(partition feed.Partition, snapshot *consensus.Snapshot) error {
	return s.Write(Update{Partition: partition, CompactionSnapshot: snapshot})
}

// Close writes what is queued and closes the file.
func (s *Store) Close() error {
	s.once.Do(func() { close(s.closing) })
	<-s.done
	return nil
}

// Discard closes the store and moves its file aside, because what it holds makes no sense.
func (s *Store) Discard() error {
	s.Close()
	return s.moveAside()
}

// do has the writer take a step and returns once its transaction has ended.
func (s *Store) do(name string, step func(*file) error) error {
	r := &request{name: name, step: step, done: make(chan error, 1)}
	select {
	case s.requests <- r:
	case <-s.closing:
		return &ClosedError{}
	}
	select {
	case err := <-r.done:
		return err
	case <-s.done:
	}
	select {
	case err := <-r.done:
		return err
	default:
		return &ClosedError{}
	}
}
