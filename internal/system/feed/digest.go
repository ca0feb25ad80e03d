package feed

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/system/codec"
)

// KeyRange is the keys from First, included, up to End, not included; an empty End has no bound.
type KeyRange struct{ Start, End string }

// Contains says whether a key lies in the range.
func (r KeyRange) Contains(key string) bool { return key >= r.Start && (r.End == "" || key < r.End) }

// RangeDigest stands for the items of a range: their keys, indexes and values.
type RangeDigest struct {
	Range     KeyRange
	ItemCount int
	Hash      uint64
}

// TableDigest stand for all items of a partition at an index. The ranges adjoin and cover all keys.
type TableDigest struct {
	Partition Partition
	Index     uint64
	Ranges    []RangeDigest
}

// Digest are the table's digests over the given number of ranges, at least one, with about as many items each.
func (t *Table) Digest(ranges int) TableDigest {
	digests := TableDigest{Partition: t.partition, Index: t.index}
	keys := t.sortedKeysFrom("")
	ranges = max(min(ranges, len(keys)), 1)
	first := ""
	for i := range ranges {
		end := ""
		if i+1 < ranges {
			end = keys[(i+1)*len(keys)/ranges]
		}
		digests.Ranges = append(digests.Ranges, t.rangeDigest(KeyRange{Start: first, End: end}))
		first = end
	}
	return digests
}

// DifferingRanges are the ranges in which this table does not hold what the digests stand for. Tables at different indexes are
// not compared: there are none then, and comparable is false.
func (t *Table) DifferingRanges(digests TableDigest) (different []KeyRange, comparable bool) {
	if digests.Partition != t.partition || digests.Index != t.index {
		return nil, false
	}
	for _, theirs := range digests.Ranges {
		if t.rangeDigest(theirs.Range) != theirs {
			different = append(different, theirs.Range)
		}
	}
	return different, true
}

// ItemsInRange is the items of a range, in the order of their keys.
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

// RepairRange replaces a range by the items that a table at the same index holds of it, and returns what differed, as Apply
// does. It does nothing if the index is not the table's. Followers of this table get a snapshot if anything differed.
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

// holdsExactly says whether an item is held just so.
func (t *Table) holdsExactly(item Item) bool {
	held := t.records[item.Key]
	return held != nil && !held.deleted && held.index == item.Index && bytes.Equal(held.value, item.Value)
}

func (t *Table) rangeDigest(keyRange KeyRange) RangeDigest {
	digest := RangeDigest{Range: keyRange}
	sum := xxhash.New()
	var scratch []byte
	for _, key := range t.sortedKeysFrom(keyRange.Start) {
		if !keyRange.Contains(key) {
			break
		}
		held := t.records[key]
		scratch = codec.AppendBytes(scratch[:0], key)
		scratch = binary.AppendUvarint(scratch, held.index)
		scratch = binary.AppendUvarint(scratch, uint64(len(held.value)))
		_, _ = sum.Write(scratch)
		_, _ = sum.Write(held.value)
		digest.ItemCount++
	}
	digest.Hash = sum.Sum64()
	return digest
}
