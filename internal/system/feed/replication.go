package feed

import (
	"bytes"
	"cmp"
	"slices"
	"sort"
	"time"
)

// itemOverheadBytes is the approximate size of an item in a message beside its key and value.
const itemOverheadBytes = 16

// BatchSince returns the batch that brings a follower from index to the table's index: the items that changed since,
// deleted ones included, or a snapshot if the follower holds nothing or the deletions since that index are no longer
// known.
//
// A delta of more than maxBytes (0: no bound) ends earlier, as its To says, but never between two changes of one index.
// A follower that is ahead receives an empty batch, which it ignores: this table lags behind, and the follower keeps
// what it has.
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
		last := len(batch.Items) - 1 // not negative once size exceeds maxBytes
		if maxBytes > 0 && size > maxBytes && c.index > batch.Items[last].Index {
			batch.To = batch.Items[last].Index
			break
		}
		size += itemOverheadBytes + len(c.record.key) + len(c.record.value)
		batch.Items = append(batch.Items, c.record.toItem(now))
	}
	return batch
}

// Snapshot returns a batch with all items of the table, without the deleted ones.
func (t *Table) Snapshot(now time.Duration) Batch {
	batch := Batch{Partition: t.partition, Snapshot: true, To: t.index, Items: make([]Item, 0, t.Len())}
	batch.Items = slices.AppendSeq(batch.Items, t.Items(now, ""))
	return batch
}

// Apply applies a batch received at now and returns the items that it changed: those that are new or different, and
// those that are deleted.
//
// A table never goes back: a batch that ends before the table's index is ignored, and so is an item older than the one
// held. A delta that starts beyond the table's index is ignored as well, since changes would be missing. A snapshot at
// the table's own index repairs the table.
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

func byIndex(a, b Item) int { return cmp.Compare(a.Index, b.Index) }

// isNewer reports whether an item is newer than what the table holds under its key.
func (t *Table) isNewer(item Item) bool {
	existing := t.records[item.Key]
	return existing == nil && item.Index > t.tombstoneHorizon || existing != nil && item.Index > existing.index
}

// storeItem stores an item and reports whether this changed the state of its key.
func (t *Table) storeItem(now time.Duration, item Item) bool {
	existing := t.records[item.Key]
	same := existing != nil && existing.deleted == item.Deleted && bytes.Equal(existing.value, item.Value)
	if existing == nil && item.Deleted {
		same = true
	}
	t.storeRecord(recordFromItem(now, item))
	return !same
}

// sortChanges restores the order of the change list after items were stored that may be older than others.
func (t *Table) sortChanges() {
	byChangeIndex := func(a, b change) int { return cmp.Compare(a.index, b.index) }
	if !slices.IsSortedFunc(t.changes, byChangeIndex) {
		slices.SortStableFunc(t.changes, byChangeIndex)
	}
}

// applySnapshot makes the table hold just the items of a snapshot. Items that it lacks are deleted at its index.
//
// If the table was empty, or differed from the snapshot in items that it should have held already, its deletions up to
// the snapshot's index count as unknown, so that the followers of this table receive a snapshot, too.
func (t *Table) applySnapshot(now time.Duration, batch Batch) []Item {
	diverged := t.index == 0
	present := make(map[string]bool, len(batch.Items))
	var changed []Item
	for _, item := range batch.Items {
		if item.Deleted || item.Index > batch.To {
			continue
		}
		present[item.Key] = true
		if t.holdsExactly(item) {
			continue
		}
		diverged = diverged || item.Index <= t.index
		if t.storeItem(now, item) {
			changed = append(changed, item)
		}
	}
	missing := t.tombstonesForMissing(present, batch.To)
	diverged = diverged || len(missing) > 0 && batch.To == t.index
	for _, item := range missing {
		t.storeRecord(recordFromItem(now, item))
	}
	t.index = batch.To
	t.sortChanges()
	t.evictTombstones()
	if diverged {
		t.tombstoneHorizon = batch.To
	}
	return append(changed, missing...)
}

// tombstonesForMissing returns the table's items whose keys are not in present, as deleted at the given index.
func (t *Table) tombstonesForMissing(present map[string]bool, index uint64) []Item {
	var missing []Item
	for _, key := range t.sortedKeysFrom("") {
		if !present[key] {
			missing = append(missing, Item{Key: key, Index: index, Deleted: true})
		}
	}
	return missing
}
