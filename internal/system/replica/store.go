package replica

import (
	"errors"

	"go.uber.org/zap"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/storage"
)

// store is what the disk writer uses of a storage.Store.
type store interface {
	Identity() (consensus.ReplicaID, bool)
	HasPredecessor() bool
	Initialize(replica consensus.ReplicaID, writes ...storage.Update) error
	Load(partition feed.Partition) (consensus.PersistentState, bool, error)
	Write(writes ...storage.Update) error
	Discard() error
	Close() error
}

// openStorage opens a state folder. An error of type *storage.CorruptError comes along with an empty store.
func openStorage(folder string) (store, error) {
	opened, err := storage.Open(folder)
	if opened == nil {
		return nil, err
	}
	return opened, err
}

// openWithRetry opens the store and starts the groups, with retries while the disk fails; false if the host stops
// first or the store belongs to another release.
func (h *Host) openWithRetry() bool {
	backoff := minDiskBackoff
	for {
		startedAt := h.writeStartTime()
		h.disk.recordAttempt(startedAt, nil)
		id, stored, err := h.loadStored()
		if err == nil {
			h.disk.recordAttempt(0, nil)
			return h.startGroups(id, stored)
		}
		h.disk.recordAttempt(startedAt, err)
		var schema *storage.SchemaError
		if errors.As(err, &schema) {
			h.failFromDiskWriter(err)
			return false
		}
		h.log.Error("cannot open state folder", zap.Error(err))
		if !h.waitDiskBackoff(&backoff) {
			return false
		}
	}
}

// loadStored returns this machine's replica ID and the persistent state of its groups. It initializes an empty store.
func (h *Host) loadStored() (consensus.ReplicaID, []consensus.PersistentState, error) {
	if h.disk.folder == "" {
		id, stored := h.newIdentity()
		return id, stored, nil
	}
	if err := h.openIfNeeded(); err != nil {
		return 0, nil, err
	}
	id, existed := h.disk.store.Identity()
	if !existed {
		return h.initializeStore()
	}
	stored, err := h.loadPartitions()
	return id, stored, err
}

// openIfNeeded opens the store unless an earlier attempt has.
func (h *Host) openIfNeeded() error {
	if h.disk.store != nil {
		return nil
	}
	opened, err := h.openStore(h.disk.folder)
	var corrupt *storage.CorruptError
	if err != nil && !errors.As(err, &corrupt) {
		return err
	}
	if corrupt != nil {
		h.storeCorrupted = true
		h.log.Error("corrupt state folder quarantined", zap.Error(corrupt))
	}
	h.disk.store = opened
	h.storeCorrupted = h.storeCorrupted || opened.HasPredecessor()
	return nil
}

// newIdentity returns the ID and initial state of a new replica: that of a founder, or a random ID without state.
func (h *Host) newIdentity() (consensus.ReplicaID, []consensus.PersistentState) {
	stored := make([]consensus.PersistentState, len(h.groups))
	founders, founds := bootstrapMembership(h.options.Settings)
	if !founds || h.storeCorrupted {
		return consensus.ReplicaID(max(randomUint64(), 1)), stored
	}
	for i := range stored {
		stored[i].Snapshot.Membership = founders
	}
	return founderID(h.options.Settings.IP), stored
}

// initializeStore writes the identity and initial state of a new replica into the empty store.
func (h *Host) initializeStore() (consensus.ReplicaID, []consensus.PersistentState, error) {
	id, stored := h.newIdentity()
	var writes []storage.Update
	for i := range stored {
		if len(stored[i].Snapshot.Membership.Members) > 0 {
			writes = append(writes, storage.Update{Partition: feed.Partition(i), InstalledSnapshot: &stored[i].Snapshot})
		}
	}
	if err := h.disk.store.Initialize(id, writes...); err != nil {
		return 0, nil, err
	}
	return id, stored, nil
}

// loadPartitions reads the persistent state of all partitions. If that of one is invalid, the whole store is
// discarded, and the next attempt finds an empty one.
func (h *Host) loadPartitions() ([]consensus.PersistentState, error) {
	stored := make([]consensus.PersistentState, len(h.groups))
	for i := range stored {
		var err error
		stored[i], _, err = h.disk.store.Load(feed.Partition(i))
		if err == nil {
			err = stored[i].Validate()
		}
		if err != nil {
			return nil, h.discardStore(err)
		}
	}
	return stored, nil
}

// discardStore moves the store aside unless the error is one of the disk, which may work again later.
func (h *Host) discardStore(err error) error {
	var disk *storage.DiskError
	if errors.As(err, &disk) {
		return err
	}
	h.storeCorrupted = true
	discarded := h.disk.store.Discard()
	h.disk.store = nil
	return errors.Join(err, discarded)
}
