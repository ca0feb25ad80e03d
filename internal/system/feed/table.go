package feed

import (
	"bytes"
	"iter"
	"slices"
	"sort"
	"strings"
	"time"
)

// MaxTombstones is how many deleted items a table remembers. A follower that is behind the oldest deletion that was
// forgotten gets a snapshot.
const MaxTombstones = 1024

// record is a key's state within a table.
type record struct {
	key       string
	index     uint64
	value     []byte
	deleted   bool
	changedAt time.Duration // when the change was made, by the caller's steady clock
}

// change is an entry of the table's list of changes; it is stale once its key has changed again.
type change struct {
	index  uint64
	record *record
}

// Table holds one partition's items. A replica changes it by Put and Delete as commands are agreed on; a follower by
// Apply. Both serve it on by Since. It never goes back to an older index. It is not safe for concurrent use. Times are
// of the caller's steady clock; they are not part of the agreed state and may differ from one machine to another.
type Table struct {
	partition        Partition
	index            uint64
	tombstoneHorizon uint64 // deletions up to it may be forgotten
	records          map[string]*record
	changes          []change // by index; the last of a key is its current one
	tombstoneCount   int      // deleted records
	sortedKeys       []string // of the live records, sorted; nil: to be built
}

// NewTable is an empty table.
func NewTable(partition Partition) *Table {
	return &Table{partition: partition, records: map[string]*record{}}
}

// Partition is the partition that the table holds.
func (t *Table) Partition() Partition { return t.partition }

// Index is the number up to which the table holds the partition.
func (t *Table) Index() uint64 { return t.index }

// Position is how far the table holds its partition.
func (t *Table) Position() Position { return Position{Partition: t.partition, Index: t.index} }

// LastChangeIndex is the number of the last change of an item. A follower at or beyond it has nothing to be sent.
func (t *Table) LastChangeIndex() uint64 {
	if len(t.changes) == 0 {
		return t.tombstoneHorizon
	}
	return max(t.changes[len(t.changes)-1].index, t.tombstoneHorizon)
}

// Len is the number of items.
func (t *Table) Len() int { return len(t.records) - t.tombstoneCount }

// Get is an item's value.
func (t *Table) Get(key string) ([]byte, bool) {
	found := t.records[key]
	if found == nil || found.deleted {
		return nil, false
	}
	return found.value, true
}

// Item is an item with its index and age.
func (t *Table) Item(now time.Duration, key string) (Item, bool) {
	found := t.records[key]
	if found == nil || found.deleted {
		return Item{}, false
	}
	return found.toItem(now), true
}

// Items are the items whose keys begin with prefix, in the order of their keys. The table must not be changed
// meanwhile.
func (t *Table) Items(now time.Duration, prefix string) iter.Seq[Item] {
	return func(yield func(Item) bool) {
		for _, key := range t.sortedKeysFrom(prefix) {
			if !strings.HasPrefix(key, prefix) || !yield(t.records[key].toItem(now)) {
				return
			}
		}
	}
}

// Values are the keys that begin with prefix and their values, in the order of the keys. The table must not be changed
// meanwhile.
func (t *Table) Values(prefix string) iter.Seq2[string, []byte] {
	return func(yield func(string, []byte) bool) {
		for _, key := range t.sortedKeysFrom(prefix) {
			if !strings.HasPrefix(key, prefix) || !yield(key, t.records[key].value) {
				return
			}
		}
	}
}

// sortedKeysFrom are the keys of the items from the given one on.
func (t *Table) sortedKeysFrom(first string) []string {
	if t.sortedKeys == nil {
		t.sortedKeys = make([]string, 0, t.Len())
		for key, held := range t.records {
			if !held.deleted {
				t.sortedKeys = append(t.sortedKeys, key)
			}
		}
		slices.Sort(t.sortedKeys)
	}
	return t.sortedKeys[sort.SearchStrings(t.sortedKeys, first):]
}

// Advance notes that the partition is held up to index, with or without changes. An older index is ignored.
func (t *Table) Advance(index uint64) { t.index = max(t.index, index) }

// Put sets an item by the change numbered index, which is not below that of an earlier change. The value is kept and
// must not be altered. It returns whether anything changed: a value that stands already keeps its index.
func (t *Table) Put(now time.Duration, index uint64, key string, value []byte) bool {
	if index < t.index {
		return false
	}
	t.index = index
	held := t.records[key]
	if held != nil && !held.deleted && bytes.Equal(held.value, value) {
		return false
	}
	t.storeRecord(record{key: key, index: index, value: value, changedAt: now})
	return true
}

// Delete removes an item by the change numbered index, as Put sets one. It returns whether anything changed.
func (t *Table) Delete(now time.Duration, index uint64, key string) bool {
	if index < t.index {
		return false
	}
	t.index = index
	held := t.records[key]
	if held == nil || held.deleted {
		return false
	}
	t.storeRecord(record{key: key, index: index, deleted: true, changedAt: now})
	t.evictTombstones()
	return true
}

// storeRecord replaces a record and appends to the list of changes.
func (t *Table) storeRecord(next record) {
	held := t.records[next.key]
	wasLive := held != nil && !held.deleted
	wasDead := held != nil && held.deleted
	t.records[next.key] = &next
	t.changes = append(t.changes, change{index: next.index, record: &next})
	if wasDead {
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

// isCurrent says whether a change is the last one of its key.
func (t *Table) isCurrent(c change) bool { return t.records[c.record.key] == c.record }

// compactChanges drops stale changes once they outnumber the others.
func (t *Table) compactChanges() {
	const slack = 64
	if len(t.changes) > 2*len(t.records)+slack {
		t.changes = slices.DeleteFunc(t.changes, func(c change) bool { return !t.isCurrent(c) })
	}
}

// evictTombstones drops the oldest deleted records beyond MaxTombstones. Those of one index go together.
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

// recordFromItem is what a received item makes.
func recordFromItem(now time.Duration, item Item) record {
	made := record{key: item.Key, index: item.Index, deleted: item.Deleted, changedAt: now - max(item.Age, 0)}
	if !item.Deleted {
		made.value = item.Value
	}
	return made
}
