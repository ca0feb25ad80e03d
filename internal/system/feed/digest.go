package feed

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/shared/codec"
)

// KeyRange is the range of keys from Start, included, to End, excluded; an empty End is no bound.
type KeyRange struct{ Start, End string }

// Contains reports whether the key is in the range.
func (r KeyRange) Contains(key string) bool { return key >= r.Start && (r.End == "" || key < r.End) }

// RangeDigest is the digest of the items of a key range: of their keys, indexes and values.
type RangeDigest struct {
	Range     KeyRange
	ItemCount int
	Hash      uint64
}

// TableDigest is the digest of all items of a partition at an index. Its ranges adjoin and cover all keys.
type TableDigest struct {
	Partition Partition
	Index     uint64
	Ranges    []RangeDigest
}

// Digest returns the table's digest over the given number of ranges, at least one, with about as many items each.
func (t *Table) Digest(ranges int) TableDigest {
	digest := TableDigest{Partition: t.partition, Index: t.index}
	keys := t.sortedKeysFrom("")
	ranges = max(min(ranges, len(keys)), 1)
	start := ""
	for i := range ranges {
		end := ""
		if i+1 < ranges {
			end = keys[(i+1)*len(keys)/ranges]
		}
		digest.Ranges = append(digest.Ranges, t.rangeDigest(KeyRange{Start: start, End: end}))
		start = end
	}
	return digest
}

// DifferingRanges returns the ranges in which this table differs from the one that the digest was made of. Tables of
// other partitions or at other indexes cannot be compared: comparable is false then.
func (t *Table) DifferingRanges(digest TableDigest) (different []KeyRange, comparable bool) {
	if digest.Partition != t.partition || digest.Index != t.index {
		return nil, false
	}
	for _, theirs := range digest.Ranges {
		if t.rangeDigest(theirs.Range) != theirs {
			different = append(different, theirs.Range)
		}
	}
	return different, true
}

// ItemsInRange returns the items of a key range, in the order of their keys.
func (t *Table) ItemsInRange(now time.Duration, keyRange KeyRange) []Item {
	var items []Item
	for _, key := range t.sortedKeysFrom(keyRange.Start) {
		if !keyRange.Contains(key) {
			break
		}
		items = append(items, t.records[key].toItem(now))
	}
	return items
}

// RepairRange replaces the items of a range by those of a table that is at the same index, and returns the items that
// changed, as Apply does. It does nothing if index is not the table's own. If anything changed, the followers of this
// table receive a snapshot, since they may hold the wrong items as well.
func (t *Table) RepairRange(now time.Duration, keyRange KeyRange, index uint64, items []Item) []Item {
	if index != t.index {
		return nil
	}
	present := make(map[string]bool, len(items))
	var changed []Item
	for _, item := range items {
		if item.Deleted || item.Index > index || !keyRange.Contains(item.Key) {
			continue
		}
		present[item.Key] = true
		if !t.holdsExactly(item) {
			t.storeRecord(recordFromItem(now, item))
			changed = append(changed, item)
		}
	}
	for _, item := range t.tombstonesForMissing(present, index) {
		if keyRange.Contains(item.Key) {
			t.storeRecord(recordFromItem(now, item))
			changed = append(changed, item)
		}
	}
	if len(changed) > 0 {
		t.sortChanges()
		t.evictTombstones()
		t.tombstoneHorizon = index
	}
	return changed
}

// holdsExactly reports whether the table holds the item with the same index and value.
func (t *Table) holdsExactly(item Item) bool {
	existing := t.records[item.Key]
	return existing != nil && !existing.deleted && existing.index == item.Index && bytes.Equal(existing.value, item.Value)
}

// rangeDigest returns the digest of the items of a key range.
func (t *Table) rangeDigest(keyRange KeyRange) RangeDigest {
	digest := RangeDigest{Range: keyRange}
	sum := xxhash.New()
	var scratch []byte
	for _, key := range t.sortedKeysFrom(keyRange.Start) {
		if !keyRange.Contains(key) {
			break
		}
		item := t.records[key]
		scratch = codec.AppendBytes(scratch[:0], key)
		scratch = binary.AppendUvarint(scratch, item.index)
		scratch = binary.AppendUvarint(scratch, uint64(len(item.value)))
		_, _ = sum.Write(scratch)
		_, _ = sum.Write(item.value)
		digest.ItemCount++
	}
	digest.Hash = sum.Sum64()
	return digest
}
