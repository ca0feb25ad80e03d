package feed

import (
	"maps"
	"testing"

	"pgregory.net/rapid"
)

func TestRepairRangeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		right := NewTable(1)
		oracle := expectedContents{}
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			applyRandomChanges(t, 0, right, oracle)
		}
		wrong := NewTable(1)
		catchUp(wrong, right)
		for range rapid.IntRange(0, 3).Draw(t, "damages") {
			corruptItem(t, wrong)
		}
		different, comparable := wrong.DifferingRanges(right.Digest(rapid.IntRange(0, 5).Draw(t, "ranges")))
		if !comparable {
			t.Fatal("tables at the same index are not compared")
		}
		for _, keys := range different {
			if len(wrong.RepairRange(0, keys, right.Index(), right.ItemsInRange(0, keys))) == 0 {
				t.Fatalf("nothing was repaired in %v", keys)
			}
		}
		if !maps.Equal(contentsOf(wrong), oracle) {
			t.Fatalf("holds %v, want %v", contentsOf(wrong), oracle)
		}
		if different, _ := wrong.DifferingRanges(right.Digest(4)); len(different) > 0 {
			t.Fatalf("still differs in %v", different)
		}
	})
}

func corruptItem(t *rapid.T, table *Table) {
	key := testKey(rapid.IntRange(0, 12).Draw(t, "damaged"))
	if existing := table.records[key]; existing != nil && !existing.deleted {
		existing.value = []byte(rapid.SampledFrom([]string{"a", "damaged"}).Draw(t, "to"))
		return
	}
	table.storeRecord(record{key: key, index: table.index, value: []byte("extra")})
}

func BenchmarkDigest(b *testing.B) {
	table := benchmarkTable()
	b.ReportAllocs()
	for b.Loop() {
		_ = table.Digest(16)
	}
}
