package feed

import (
	"bytes"
	"iter"
	"slices"
	"sort"
	"strings"
	"time"
)

// MaxTombstones is the number of deleted items that a table retains. A follower that is behind the newest deletion
// that was evicted receives a snapshot.
const MaxTombstones = 1024

// record is the state of one key within a table. It is not altered once it is stored.
type record struct {
	key       string
	index     uint64
	value     []byte
	deleted   bool
	changedAt time.Duration // time of the last change
}

// change is an entry of the table's change list. It is stale once its key has changed again.
type change struct {
	index  uint64
	record *record
}

// Table holds the items of one partition; see the package comment. All times that its methods take and return are of
// the caller's monotonic clock: they are no part of the replicated state and differ between machines.
type Table struct {
	partition        Partition
	index            uint64
	tombstoneHorizon uint64 // deletions up to this index may have been evicted
	records          map[string]*record
	changes          []change // ascending by index; the last change of a key is its current one
	tombstoneCount   int      // number of deleted records
	sortedKeys       []string // keys of the records that are not deleted; nil: to be built
}

// NewTable returns an empty table.
func NewTable(partition Partition) *Table {
	return &Table{partition: partition, records: map[string]*record{}}
}

// Partition returns the partition that the table holds.
func (t *Table) Partition() Partition { return t.partition }

// Index returns the index up to which the table holds its partition.
func (t *Table) Index() uint64 { return t.index }

// Position returns how far the table holds its partition.
func (t *Table) Position() Position { return Position{Partition: t.partition, Index: t.index} }

// LastChangeIndex returns the index of the last change of an item. A follower at or beyond it lacks nothing.
func (t *Table) LastChangeIndex() uint64 {
	if len(t.changes) == 0 {
		return t.tombstoneHorizon
	}
	return max(t.changes[len(t.changes)-1].index, t.tombstoneHorizon)
}

// Len returns the number of items, without the deleted ones.
func (t *Table) Len() int { return len(t.records) - t.tombstoneCount }

// Get returns the value of an item, and whether there is one.
func (t *Table) Get(key string) ([]byte, bool) {
	found := t.records[key]
	if found == nil || found.deleted {
		return nil, false
	}
	return found.value, true
}

// Item returns an item with its index and its age at now, and whether there is one.
func (t *Table) Item(now time.Duration, key string) (Item, bool) {
	found := t.records[key]
	if found == nil || found.deleted {
		return Item{}, false
	}
	return found.toItem(now), true
}

// Items returns the items whose keys begin with prefix, in the order of the keys. The table must not be changed during
// the iteration.
func (t *Table) Items(now time.Duration, prefix string) iter.Seq[Item] {
	return func(yield func(Item) bool) {
		for _, key := range t.sortedKeysFrom(prefix) {
			if !strings.HasPrefix(key, prefix) || !yield(t.records[key].toItem(now)) {
				return
			}
		}
	}
}

// Values returns the keys that begin with prefix and their values, in the order of the keys. The table must not be
// changed during the iteration.
func (t *Table) Values(prefix string) iter.Seq2[string, []byte] {
	return func(yield func(string, []byte) bool) {
		for _, key := range t.sortedKeysFrom(prefix) {
			if !strings.HasPrefix(key, prefix) || !yield(key, t.records[key].value) {
				return
			}
		}
	}
}

// sortedKeysFrom returns the keys of the items that are not below first, in order.
func (t *Table) sortedKeysFrom(first string) []string {
	if t.sortedKeys == nil {
		t.sortedKeys = make([]string, 0, t.Len())
		for key, stored := range t.records {
			if !stored.deleted {
				t.sortedKeys = append(t.sortedKeys, key)
			}
		}
		slices.Sort(t.sortedKeys)
	}
	return t.sortedKeys[sort.SearchStrings(t.sortedKeys, first):]
}

// Advance records that the table holds its partition up to index, with or without changes. It ignores an older index.
func (t *Table) Advance(index uint64) { t.index = max(t.index, index) }

// Put sets an item as the change of the given index, which must not be below that of an earlier change. The table keeps
// the value, which must not be altered. Put reports whether anything changed: an item that already has the value keeps
// its index.
func (t *Table) Put(now time.Duration, index uint64, key string, value []byte) bool {
	if index < t.index {
		return false
	}
	t.index = index
	existing := t.records[key]
	if existing != nil && !existing.deleted && bytes.Equal(existing.value, value) {
		return false
	}
	t.storeRecord(record{key: key, index: index, value: value, changedAt: now})
	return true
}

// Delete removes an item as the change of the given index, under the same rules as Put. It reports whether there was
// one.
func (t *Table) Delete(now time.Duration, index uint64, key string) bool {
	if index < t.index {
		return false
	}
	t.index = index
	existing := t.records[key]
	if existing == nil || existing.deleted {
		return false
	}
	t.storeRecord(record{key: key, index: index, deleted: true, changedAt: now})
	t.evictTombstones()
	return true
}

// storeRecord replaces the record of a key and appends the change to the change list.
func (t *Table) storeRecord(next record) {
	existing := t.records[next.key]
	wasLive := existing != nil && !existing.deleted
	wasDeleted := existing != nil && existing.deleted
	t.records[next.key] = &next
	t.changes = append(t.changes, change{index: next.index, record: &next})
	if wasDeleted {
		t.tombstoneCount--
	}
	if next.deleted {
		t.tombstoneCount++
	}
	if wasLive == next.deleted {
		t.sortedKeys = nil
	}
	t.compactChanges()
}

// isCurrent reports whether a change is the last one of its key.
func (t *Table) isCurrent(c change) bool { return t.records[c.record.key] == c.record }

// compactChanges drops stale changes once they outnumber the others.
func (t *Table) compactChanges() {
	const slack = 64 // so that a table of few keys is not compacted at each change
	if len(t.changes) > 2*len(t.records)+slack {
		t.changes = slices.DeleteFunc(t.changes, func(c change) bool { return !t.isCurrent(c) })
	}
}

// evictTombstones drops the oldest deleted records once there are more than MaxTombstones: down to three quarters of
// that, so that it does not run at each deletion. Records deleted at one index are dropped together.
func (t *Table) evictTombstones() {
	if t.tombstoneCount <= MaxTombstones {
		return
	}
	surplus := t.tombstoneCount - MaxTombstones*3/4
	for _, c := range t.changes {
		if surplus <= 0 && c.index > t.tombstoneHorizon {
			break
		}
		if c.record.deleted && t.isCurrent(c) {
			t.tombstoneHorizon = c.index
			delete(t.records, c.record.key)
			t.tombstoneCount--
			surplus--
		}
	}
	t.changes = slices.DeleteFunc(t.changes, func(c change) bool { return !t.isCurrent(c) })
}

func (r *record) toItem(now time.Duration) Item {
	return Item{Key: r.key, Index: r.index, Value: r.value, Deleted: r.deleted, Age: max(now-r.changedAt, 0)}
}

// recordFromItem returns the record of an item received at now.
func recordFromItem(now time.Duration, item Item) record {
	converted := record{key: item.Key, index: item.Index, deleted: item.Deleted, changedAt: now - max(item.Age, 0)}
	if !item.Deleted {
		converted.value = item.Value
	}
	return converted
}
