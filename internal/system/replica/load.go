package replica

import (
	"errors"

	"go.uber.org/zap"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/storage"
)

// load returns which replica this machine has and what it stored; a new one is established first.
func (h *Host) load() (consensus.ReplicaID, []consensus.PersistentState, error) {
	if h.disk.folder == "" {
		id, stored := h.newReplica()
		return id, stored, nil
	}
	if err := h.open(); err != nil {
		return 0, nil, err
	}
	id, existed := h.disk.store.Identity()
	if !existed {
		return h.establish()
	}
	stored, err := h.loadPartitions()
	return id, stored, err
}

// open opens the store unless an earlier try has.
func (h *Host) open() error {
	if h.disk.store != nil {
		return nil
	}
	store, err := h.openStore(h.disk.folder)
	var corrupt *storage.CorruptError
	if err != nil && !errors.As(err, &corrupt) {
		return err
	}
	if corrupt != nil {
		h.corrupted = true
		h.log.Error("state folder was corrupt", zap.Error(corrupt))
	}
	h.disk.store = store
	h.corrupted = h.corrupted || store.HasPredecessor()
	return nil
}

// newReplica is a founder where this machine founds the system, and else one without a past under a random number.
func (h *Host) newReplica() (consensus.ReplicaID, []consensus.PersistentState) {
	stored := make([]consensus.PersistentState, len(h.groups))
	founders, founds := founding(h.options.Settings)
	if !founds || h.corrupted {
		return consensus.ReplicaID(max(randomNumber(), 1)), stored
	}
	for i := range stored {
		stored[i].Snapshot.Membership = founders
	}
	return founderID(h.options.Settings.IP), stored
}

// establish makes the empty store a new replica's.
func (h *Host) establish() (consensus.ReplicaID, []consensus.PersistentState, error) {
	id, stored := h.newReplica()
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

// loadPartitions reads what the replica stored. A partition that makes no sense makes the store as good as lost: it is
// moved aside, and the next try finds an empty one.
func (h *Host) loadPartitions() ([]consensus.PersistentState, error) {
	stored := make([]consensus.PersistentState, len(h.groups))
	for i := range stored {
		var err error
		stored[i], _, err = h.disk.store.Load(feed.Partition(i))
		if err == nil {
			err = stored[i].Validate()
		}
		if err != nil {
			return nil, h.discardCorrupt(err)
		}
	}
	return stored, nil
}

// discardCorrupt moves the store aside if the error says that it is corrupt.
func (h *Host) discardCorrupt(err error) error {
	var disk *storage.DiskError
	if errors.As(err, &disk) {
		return err
	}
	h.corrupted = true
	discarded := h.disk.store.Discard()
	h.disk.store = nil
	return errors.Join(err, discarded)
}
