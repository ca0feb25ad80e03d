package counterservice

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/counter"
	"cinderroad/internal/system/counterstore"
	"cinderroad/internal/system/retry"
	"cinderroad/internal/system/sqlitedb"
)

// Pause after a failed operation of the disk, doubled after each further one.
const (
	minDiskBackoff = 50 * time.Millisecond
	maxDiskBackoff = 400 * time.Millisecond
)

const (
	// storageDivisor divides the disk: one part of so many is for the entries of counters.
	storageDivisor = 4
	// entryBytes is what an entry with an ID of common length takes on the disk, with its share of the log of the database.
	entryBytes = 128
	// defaultMaxOperations is the bound of the entries where the settings name no size of the disk.
	defaultMaxOperations = 1 << 18
)

// diskState is what waits for the disk. The service's mutex guards it.
type diskState struct {
	newOrigin counter.Origin // to be stored with the entries; 0: none
	entries   []counter.Entry
	fault     error // of the last attempt; nil: it has succeeded, or there was none
}

// enqueueWrite queues what a node wants to be durable. The mutex is held.
func (s *Service) enqueueWrite(ready *counter.Ready) {
	if ready.NewOrigin != 0 {
		s.disk.newOrigin = ready.NewOrigin
		s.logNewOrigin(ready.NewOrigin)
	}
	s.disk.entries = append(s.disk.entries, ready.Entries...)
	if s.disk.newOrigin == 0 && len(s.disk.entries) == 0 {
		return
	}
	select {
	case s.writeReady <- struct{}{}:
	default:
	}
}

// runDisk owns the store: it opens it, starts the node and writes what is queued, until the service stops.
func (s *Service) runDisk() {
	store := s.openWithRetry()
	if store == nil {
		return
	}
	defer store.Close()
	for {
		select {
		case <-s.writeReady:
			if !s.writeQueued(store) {
				return
			}
		case <-s.context.Done():
			s.writeQueued(store)
			return
		}
	}
}

// openWithRetry opens the store and starts the node, with retries while the disk fails. It returns nil if the service stops
// first or the file belongs to another release.
func (s *Service) openWithRetry() store {
	for backoff := minDiskBackoff; ; backoff = min(2*backoff, maxDiskBackoff) {
		opened, err := s.openStore()
		if err == nil {
			err = s.startNode(opened)
		}
		if err == nil {
			s.recordAttempt(nil)
			return opened
		}
		if s.context.Err() != nil {
			return nil
		}
		var schema *sqlitedb.SchemaError
		if errors.As(err, &schema) {
			s.options.OnFailure(err)
			return nil
		}
		s.recordAttempt(err)
		if !retry.Sleep(s.context, backoff) {
			return nil
		}
	}
}

// startNode starts the node from what the store holds, once the peers are known. After an error the store is closed; one
// whose logs are invalid is moved aside.
func (s *Service) startNode(opened store) error {
	entries, err := opened.Load()
	if err != nil {
		return errors.Join(err, opened.Close())
	}
	select {
	case <-s.peersKnown:
	case <-s.context.Done():
		return errors.Join(s.context.Err(), opened.Close())
	}
	settings := s.options.Settings
	node, err := counter.NewNode(counter.Options{
		Origin:  opened.Origin(),
		Address: s.address,
		Zone:    settings.Zone,
		Durability: counter.Durability{
			Machines: settings.SurvivableLosses.Machines + 1,
			Zones:    settings.SurvivableLosses.Zones + 1,
		},
		MaxOperations: maxOperations(settings.Limits.StorageMB),
		CatchUpFirst:  !settings.FirstBoot && !hasLog(entries, opened.Origin()),
		NewOrigin:     drawOrigin,
	}, entries, s.now())
	if err != nil {
		s.log.Error("corrupt operation logs of counters quarantined", zap.Error(err))
		return errors.Join(err, opened.Discard())
	}
	s.mutex.Lock()
	s.node = node
	s.nextPeerUpdate = 0
	s.wakeBefore(0)
	s.mutex.Unlock()
	s.log.Info("replica of counters started", originField(opened.Origin()), zap.Int("entries", len(entries)))
	return nil
}

// hasLog reports whether there are entries of an origin. A machine without any may have lost its disk.
func hasLog(entries []counter.Entry, origin counter.Origin) bool {
	for i := range entries {
		if entries[i].Origin == origin {
			return true
		}
	}
	return false
}

// maxOperations returns the bound of the entries on a disk of so many megabytes; 0: unknown.
func maxOperations(storageMB int) int {
	if storageMB == 0 {
		return defaultMaxOperations
	}
	return storageMB << 20 / storageDivisor / entryBytes
}

// writeQueued writes what is queued, and tells the node. It retries until the disk has it, in order, and returns false if
// the service stops first or the file is corrupt.
func (s *Service) writeQueued(opened store) bool {
	s.mutex.Lock()
	newOrigin, entries := s.disk.newOrigin, s.disk.entries
	s.disk.newOrigin, s.disk.entries = 0, nil
	s.mutex.Unlock()
	if newOrigin == 0 && len(entries) == 0 {
		return true
	}
	for backoff := minDiskBackoff; ; backoff = min(2*backoff, maxDiskBackoff) {
		err := opened.Write(newOrigin, entries)
		s.recordAttempt(err)
		if err == nil {
			break
		}
		var corrupt *sqlitedb.CorruptError
		if errors.As(err, &corrupt) {
			s.options.OnFailure(err)
			return false
		}
		if !retry.Sleep(s.context, backoff) {
			return false
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.node.HandlePersisted(len(entries), s.now())
	s.processReady()
	return true
}

// recordAttempt records the outcome of the last operation of the disk. While it is an error, additions are rejected.
func (s *Service) recordAttempt(err error) {
	s.mutex.Lock()
	wasFaulty := s.disk.fault != nil
	s.disk.fault = err
	s.mutex.Unlock()
	switch {
	case err != nil && !wasFaulty:
		s.log.Error("disk failure, rejecting additions to counters", zap.Error(err))
	case err == nil && wasFaulty:
		s.log.Info("disk recovered, accepting additions to counters")
	}
}

// store is what the service uses of a counterstore.Store.
type store interface {
	Origin() counter.Origin
	Load() ([]counter.Entry, error)
	Write(newOrigin counter.Origin, entries []counter.Entry) error
	Discard() error
	Close() error
}

// openStateFolder opens the store of the state folder, or one in memory if the machine has no disk.
func (s *Service) openStateFolder() (store, error) {
	folder := s.options.Settings.StateDir
	if folder == "" {
		return &memoryStore{origin: drawOrigin()}, nil
	}
	opened, err := counterstore.Open(folder, drawOrigin)
	var corrupt *sqlitedb.CorruptError
	if errors.As(err, &corrupt) && opened != nil {
		s.log.Error("corrupt file of counters quarantined", zap.Error(corrupt))
		return opened, nil
	}
	if err != nil {
		return nil, err
	}
	return opened, nil
}

// memoryStore is the store of a machine without a disk: entries last as long as the process.
type memoryStore struct{ origin counter.Origin }

func (m *memoryStore) Origin() counter.Origin { return m.origin }

func (m *memoryStore) Load() ([]counter.Entry, error) { return nil, nil }

func (m *memoryStore) Write(counter.Origin, []counter.Entry) error { return nil }

func (m *memoryStore) Discard() error { return nil }

func (m *memoryStore) Close() error { return nil }

// drawOrigin draws an origin, which is not 0.
func drawOrigin() counter.Origin {
	for {
		var b [8]byte
		rand.Read(b[:])
		if origin := counter.Origin(binary.LittleEndian.Uint64(b[:])); origin != 0 {
			return origin
		}
	}
}
