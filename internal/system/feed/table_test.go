package feed

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// expectedContents is the reference model of a table: the values that it should hold, by key.
type expectedContents map[string]string

func contentsOf(table *Table) expectedContents {
	contents := expectedContents{}
	for key, value := range table.Values("") {
		contents[key] = string(value)
	}
	return contents
}

func testKey(n int) string { return fmt.Sprintf("key/%03d", n) }

// applyRandomChanges makes up to three random changes of one index to a table and its model.
func applyRandomChanges(t *rapid.T, now time.Duration, table *Table, oracle expectedContents) {
	index := table.Index() + uint64(rapid.IntRange(1, 2).Draw(t, "step"))
	for range rapid.IntRange(0, 3).Draw(t, "changes") {
		key := testKey(rapid.IntRange(0, 12).Draw(t, "key"))
		if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
			table.Delete(now, index, key)
			delete(oracle, key)
			continue
		}
		value := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "value")
		table.Put(now, index, key, []byte(value))
		oracle[key] = value
	}
	table.Advance(index)
}

func TestTableMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(1)
		oracle := expectedContents{}
		for range rapid.IntRange(0, 60).Draw(t, "changes") {
			applyRandomChanges(t, 0, table, oracle)
			if !maps.Equal(contentsOf(table), oracle) || table.Len() != len(oracle) {
				t.Fatalf("holds %v (%d), want %v", contentsOf(table), table.Len(), oracle)
			}
		}
		prefix := testKey(rapid.IntRange(0, 12).Draw(t, "prefix"))[:6]
		last := ""
		for item := range table.Items(0, prefix) {
			if item.Key[:6] != prefix || item.Key <= last {
				t.Fatalf("%q is no key for prefix %q after %q", item.Key, prefix, last)
			}
			last = item.Key
		}
	})
}

func TestPutUnchangedValue(t *testing.T) {
	table := NewTable(1)
	table.Put(0, 1, "a", []byte("x"))
	if table.Put(0, 2, "a", []byte("x")) || table.LastChangeIndex() != 1 || table.Index() != 2 {
		t.Fatalf("last change %d, index %d", table.LastChangeIndex(), table.Index())
	}
	if table.Put(0, 1, "a", []byte("y")) || table.Delete(0, 1, "a") {
		t.Fatal("an older change was applied")
	}
}

// benchmarkTable returns a table as large as that of a large configuration, with a few deletions.
func benchmarkTable() *Table {
	table := NewTable(1)
	for i, item := range routeBatch(1000).Items {
		table.Put(0, uint64(i+1), item.Key, item.Value)
	}
	for i := range 10 {
		table.Delete(0, uint64(1001+i), table.sortedKeysFrom("")[i*7])
	}
	return table
}
