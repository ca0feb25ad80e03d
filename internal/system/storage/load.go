package storage

import (
	"database/sql/driver"
	"fmt"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
)

// readIdentity returns the replica that the database belongs to, if it was initialized. The error is a *SchemaError if
// the tables have another version.
func (db *database) readIdentity() (replica consensus.ReplicaID, initialized bool, err error) {
	err = db.query(selectMeta, func(row []driver.Value) error {
		if row[0].(int64) != schemaVersion {
			return &SchemaError{Found: row[0].(int64), Known: schemaVersion}
		}
		replica = consensus.ReplicaID(row[1].(int64))
		initialized = true
		return nil
	})
	return replica, initialized, err
}

// load reads the persisted state of a partition.
func (db *database) load(partition feed.Partition) (state consensus.PersistentState, found bool, err error) {
	if err = db.loadHardState(partition, &state, &found); err != nil {
		return state, found, err
	}
	if err = db.loadSnapshot(partition, &state, &found); err != nil {
		return state, found, err
	}
	err = db.loadEntries(partition, &state, &found)
	return state, found, err
}

// loadHardState reads a partition's hard state, if there is one.
func (db *database) loadHardState(partition feed.Partition, state *consensus.PersistentState, found *bool) error {
	return db.query(selectHardState, func(row []driver.Value) error {
		*found = true
		state.HardState = consensus.HardState{
			Term:   uint64(row[0].(int64)),
			Vote:   consensus.ReplicaID(row[1].(int64)),
			Commit: uint64(row[2].(int64)),
		}
		return nil
	}, int64(partition))
}

// loadSnapshot reads a partition's snapshot, if there is one. The error is a *CorruptError if its membership is
// malformed.
func (db *database) loadSnapshot(partition feed.Partition, state *consensus.PersistentState, found *bool) error {
	return db.query(selectSnapshot, func(row []driver.Value) error {
		*found = true
		membership, err := consensus.DecodeMembership(copyBlob(row[2]))
		if err != nil {
			return &CorruptError{Cause: fmt.Errorf("membership of partition %d: %w", partition, err)}
		}
		state.Snapshot = consensus.Snapshot{
			Index:      uint64(row[0].(int64)),
			Term:       uint64(row[1].(int64)),
			Membership: membership,
			Data:       copyBlob(row[3]),
		}
		return nil
	}, int64(partition))
}

// loadEntries reads the log after the snapshot, and the commit index, which entries carry. The error is a *CorruptError
// if the log has a gap.
func (db *database) loadEntries(partition feed.Partition, state *consensus.PersistentState, found *bool) error {
	next := state.Snapshot.Index + 1
	err := db.query(selectEntries, func(row []driver.Value) error {
		*found = true
		index := uint64(row[0].(int64)) % keysPerPartition
		if index != next {
			cause := fmt.Errorf("log of partition %d: entry %d in place of entry %d", partition, index, next)
			return &CorruptError{Cause: cause}
		}
		next++
		state.Entries = append(state.Entries, consensus.Entry{
			Index: index,
			Term:  uint64(row[1].(int64)),
			Kind:  consensus.EntryKind(row[2].(int64)),
			Data:  copyBlob(row[4]),
		})
		state.HardState.Commit = max(state.HardState.Commit, uint64(row[3].(int64)))
		return nil
	}, entryKey(partition, 0), entryKey(partition+1, 0))
	state.HardState.Commit = min(max(state.HardState.Commit, state.Snapshot.Index), next-1)
	return err
}

// copyBlob copies a blob: the driver may reuse its memory. An empty blob is nil.
func copyBlob(value driver.Value) []byte {
	data, _ := value.([]byte)
	if len(data) == 0 {
		return nil
	}
	return append([]byte(nil), data...)
}
