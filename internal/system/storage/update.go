package storage

import (
	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
)

// Update is a change of one partition's persisted state. Its parts are applied in the order of the fields.
type Update struct {
	Partition          feed.Partition
	InstalledSnapshot  *consensus.Snapshot  // nil: none; replaces the snapshot and the entire log
	HardState          *consensus.HardState // nil: unchanged
	Entries            []consensus.Entry    // contiguous; they replace the entries from their first index on
	CommitIndex        uint64               // stored with Entries; HardState has its own
	CompactionSnapshot *consensus.Snapshot  // nil: none; replaces the snapshot and the log up to its index
}

func (db *database) insertIdentity(replica consensus.ReplicaID) error {
	return db.exec(insertMeta, int64(schemaVersion), int64(replica))
}

// applyAll applies updates in their order.
func (db *database) applyAll(updates []Update) error {
	for i := range updates {
		if err := db.apply(&updates[i]); err != nil {
			return err
		}
	}
	return nil
}

// apply applies the parts of an update in the order of the fields.
func (db *database) apply(update *Update) error {
	if update.InstalledSnapshot != nil {
		if err := db.installSnapshot(update.Partition, update.InstalledSnapshot); err != nil {
			return err
		}
	}
	if update.HardState != nil {
		if err := db.putHardState(update.Partition, update.HardState); err != nil {
			return err
		}
	}
	if err := db.appendEntries(update.Partition, update.Entries, update.CommitIndex); err != nil {
		return err
	}
	if update.CompactionSnapshot == nil {
		return nil
	}
	return db.compact(update.Partition, update.CompactionSnapshot)
}

// installSnapshot replaces the snapshot and the entire log.
func (db *database) installSnapshot(partition feed.Partition, snapshot *consensus.Snapshot) error {
	if err := db.exec(deleteEntries, entryKey(partition, 0), entryKey(partition+1, 0)); err != nil {
		return err
	}
	return db.putSnapshot(partition, snapshot)
}

// compact replaces the snapshot and drops the log up to it.
func (db *database) compact(partition feed.Partition, snapshot *consensus.Snapshot) error {
	if err := db.exec(deleteEntries, entryKey(partition, 0), entryKey(partition, snapshot.Index+1)); err != nil {
		return err
	}
	return db.putSnapshot(partition, snapshot)
}

func (db *database) putSnapshot(partition feed.Partition, snapshot *consensus.Snapshot) error {
	return db.exec(replaceSnapshot, int64(partition), int64(snapshot.Index), int64(snapshot.Term),
		consensus.EncodeMembership(snapshot.Membership), snapshot.Data)
}

func (db *database) putHardState(partition feed.Partition, hardState *consensus.HardState) error {
	return db.exec(replaceHardState, int64(partition), int64(hardState.Term), int64(hardState.Vote), int64(hardState.Commit))
}

// appendEntries replaces all entries from the index of the first one on.
func (db *database) appendEntries(partition feed.Partition, entries []consensus.Entry, committed uint64) error {
	if len(entries) == 0 {
		return nil
	}
	if err := db.exec(deleteEntries, entryKey(partition, entries[0].Index), entryKey(partition+1, 0)); err != nil {
		return err
	}
	for i := range entries {
		entry := &entries[i]
		key := entryKey(partition, entry.Index)
		err := db.exec(insertEntry, key, int64(entry.Term), int64(entry.Kind), int64(committed), entry.Data)
		if err != nil {
			return err
		}
	}
	return nil
}

// keysPerPartition is the size of a partition's range of keys in the table of entries: indexes must be below it. With
// partitions of 16 bits, all keys fit into SQLite's signed integers of 64 bits. It is part of the stored form.
const keysPerPartition = 1 << 44

// entryKey returns the primary key of an entry.
func entryKey(partition feed.Partition, index uint64) int64 {
	return int64(partition)*keysPerPartition + int64(index)
}
