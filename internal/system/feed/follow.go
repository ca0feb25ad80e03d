package feed

import (
	"bytes"
	"slices"
	"sort"
	"time"
)

// itemOverheadBytes is what an item costs on the way beside its key and value, in bytes, roughly.
const itemOverheadBytes = 16

// BatchSince is what brings a follower from index to the table's index: the items that changed since, deletions among them,
// or a snapshot if deletions since were forgotten or the follower holds nothing. A delta of more than maxBytes (0: no
// bound) ends earlier, but never between two changes of one index; its To then says how far it goes. A follower that
// is ahead gets an empty batch, which it ignores: this table lags, and the follower keeps what it has.
func (t *Table) BatchSince(now time.Duration, index uint64, maxBytes int) Batch {
	if index >= t.index {
		return Batch{Partition: t.partition, From: index, To: t.index}
	}
	if index == 0 || index < t.tombstoneHorizon {
		return t.Snapshot(now)
	}
	batch := Batch{Partition: t.partition, From: index, To: t.index}
	first := sort.Search(len(t.changes), func(i int) bool { return t.changes[i].index > index })
	size := 0
	for _, c := range t.changes[first:] {
		if !t.isCurrent(c) {
			continue
		}
		last := len(batch.Items) - 1
		if maxBytes > 0 && size > maxBytes && c.index > batch.Items[last].Index {
			batch.To = batch.Items[last].Index
			break
		}
		size += itemOverheadBytes + len(c.record.key) + len(c.record.value)
		batch.Items = append(batch.Items, c.record.toItem(now))
	}
	return batch
}

// Snapshot is all that the table holds, without deletions.
func (t *Table) Snapshot(now time.Duration) Batch {
	batch := Batch{Partition: t.partition, Snapshot: true, To: t.index, Items: make([]Item, 0, t.Len())}
	batch.Items = slices.AppendSeq(batch.Items, t.Items(now, ""))
	return batch
}

// Apply takes a batch that was received at now, and returns the items that it changed: those that are new or
// different, and those that are gone, as deleted. A batch that ends before the table's index is ignored, and so is an
// item that is older than the one held: the table never goes back. A delta that starts beyond the table's index is
// ignored, too. A snapshot of the table's own index repairs it.
func (t *Table) Apply(now time.Duration, batch Batch) []Item {
	if batch.Partition != t.partition || batch.To < t.index {
		return nil
	}
	if batch.Snapshot {
		return t.applySnapshot(now, batch)
	}
	if batch.From > t.index {
		return nil
	}
	items := slices.Clone(batch.Items)
	slices.SortStableFunc(items, byIndex)
	var changed []Item
	for _, item := range items {
		if item.Index > batch.To || !t.isNewer(item) {
			continue
		}
		if t.storeItem(now, item) {
			changed = append(changed, item)
		}
	}
	t.index = batch.To
	t.sortChanges()
	t.evictTombstones()
	return changed
}

func byIndex(a, b Item) int {
	switch {
	case a.Index < b.Index:
		return -1
	case a.Index > b.Index:
		return 1
	}
	return 0
}

// isNewer says whether an item is newer than what is held under its key.
func (t *Table) isNewer(item Item) bool {
	held := t.records[item.Key]
	return held == nil && item.Index > t.tombstoneHorizon || held != nil && item.Index > held.index
}

// storeItem stores an item and returns whether the key's state is another one now.
func (t *Table) storeItem(now time.Duration, item Item) bool {
	held := t.records[item.Key]
	same := held != nil && held.deleted == item.Deleted && bytes.Equal(held.value, item.Value)
	if held == nil && item.Deleted {
		same = true
	}
	t.storeRecord(recordFromItem(now, item))
	return !same
}

// sortChanges restores the order of the list of changes after items that are not newer than all others were taken.
func (t *Table) sortChanges() {
	inOrder := func(a, b change) int {
		switch {
		case a.index < b.index:
			return -1
		case a.index > b.index:
			return 1
		}
		return 0
	}
	if !slices.IsSortedFunc(t.changes, inOrder) {
		slices.SortStableFunc(t.changes, inOrder)
	}
}

// applySnapshot takes a snapshot. Items that it lacks are deleted by its index, unless the table was empty: then, and if
// items differ that should not, deletions up to its index count as forgotten, so that followers of this table get a
// snapshot.
func (t *Table) applySnapshot(now time.Duration, batch Batch) []Item {
	diverged := t.index == 0
	present := make(map[string]bool, len(batch.Items))
	var changed []Item
	for _, item := range batch.Items {
		if item.Deleted || item.Index > batch.To {
			continue
		}
		present[item.Key] = true
		held := t.records[item.Key]
		if held != nil && held.index == item.Index && !held.deleted && bytes.Equal(held.value, item.Value) {
			continue
		}
		diverged = diverged || item.Index <= t.index
		if t.storeItem(now, item) {
			changed = append(changed, item)
		}
	}
	gone := t.tombstonesForMissing(present, batch.To)
	diverged = diverged || len(gone) > 0 && batch.To == t.index
	for _, item := range gone {
		t.storeRecord(recordFromItem(now, item))
	}
	t.index = batch.To
	t.sortChanges()
	t.evictTombstones()
	if diverged {
		t.tombstoneHorizon = batch.To
	}
	return append(changed, gone...)
}

// tombstonesForMissing are the held items that are not named, as deleted by the given index.
func (t *Table) tombstonesForMissing(present map[string]bool, index uint64) []Item {
	var gone []Item
	for _, key := range t.sortedKeysFrom("") {
		if !present[key] {
			gone = append(gone, Item{Key: key, Index: index, Deleted: true})
		}
	}
	return gone
}
