package feed

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// expectedContents is what a table should hold: the oracle.
type expectedContents map[string]string

func contentsOf(table *Table) expectedContents {
	held := expectedContents{}
	for key, value := range table.Values("") {
		held[key] = string(value)
	}
	return held
}

func testKey(n int) string { return fmt.Sprintf("key/%03d", n) }

// applyRandomChanges makes a few random changes of one index to a table and its oracle.
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
		table, oracle := NewTable(1), expectedContents{}
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

// Followers of followers reach the state of the replica whatever batches they take and how late, and never go back.
func TestFollowersConvergeMonotonically(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replica, oracle := NewTable(2), expectedContents{}
		agents := []*Table{NewTable(2), NewTable(2)}
		proxy, view := NewTable(2), expectedContents{}
		var stale []Batch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			agent := agents[rapid.IntRange(0, 1).Draw(t, "agent")]
			maxBytes := rapid.SampledFrom([]int{0, 1, 100}).Draw(t, "bytes")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				applyRandomChanges(t, 0, replica, oracle)
			case 2:
				batch := replica.BatchSince(0, agent.Index(), maxBytes)
				stale = append(stale, batch)
				agent.Apply(0, batch)
			case 3:
				applyAndCheck(t, proxy, view, agent.BatchSince(0, proxy.Index(), maxBytes))
			case 4:
				if len(stale) > 0 {
					applyAndCheck(t, proxy, view, rapid.SampledFrom(stale).Draw(t, "stale"))
				}
			}
		}
		for _, agent := range agents {
			catchUp(agent, replica)
		}
		for proxy.Index() < replica.Index() {
			applyAndCheck(t, proxy, view, agents[0].BatchSince(0, proxy.Index(), 1))
		}
		for _, table := range append(agents, proxy) {
			if !maps.Equal(contentsOf(table), oracle) {
				t.Fatalf("holds %v at %d, want %v", contentsOf(table), table.Index(), oracle)
			}
			if different, comparable := table.DifferingRanges(replica.Digest(3)); !comparable || len(different) > 0 {
				t.Fatalf("digests differ in %v (%v)", different, comparable)
			}
		}
	})
}

func catchUp(follower, source *Table) {
	for follower.Index() < source.Index() {
		follower.Apply(0, source.BatchSince(0, follower.Index(), 1))
	}
}

// applyAndCheck applies a batch and follows the changes that it returns in view, which must stay what the table holds.
func applyAndCheck(t *rapid.T, table *Table, view expectedContents, batch Batch) {
	before := table.Index()
	for _, item := range table.Apply(0, batch) {
		if item.Deleted {
			delete(view, item.Key)
		} else {
			view[item.Key] = string(item.Value)
		}
	}
	if table.Index() < before {
		t.Fatalf("went back from %d to %d", before, table.Index())
	}
	if !maps.Equal(contentsOf(table), view) {
		t.Fatalf("holds %v, but the changes told make %v", contentsOf(table), view)
	}
}

func TestBatchSinceCoalescesAndSplitsBetweenIndexes(t *testing.T) {
	table := NewTable(1)
	table.Put(0, 1, "a", []byte("1"))
	table.Put(0, 2, "b", []byte("1"))
	table.Put(0, 3, "a", []byte("2"))
	table.Put(0, 3, "c", []byte("2"))
	table.Delete(0, 4, "b")
	whole := table.BatchSince(0, 1, 0)
	if whole.Snapshot || whole.To != 4 || len(whole.Items) != 3 {
		t.Fatalf("got %+v", whole)
	}
	cut := table.BatchSince(0, 1, 1)
	if cut.To != 3 || len(cut.Items) != 2 || cut.Items[0].Key != "a" || cut.Items[1].Key != "c" {
		t.Fatalf("got %+v", cut)
	}
	rest := table.BatchSince(0, cut.To, 1)
	if rest.To != 4 || len(rest.Items) != 1 || !rest.Items[0].Deleted {
		t.Fatalf("got %+v", rest)
	}
}

func TestBatchSinceEmptyForFollowerAhead(t *testing.T) {
	table := NewTable(1)
	table.Put(0, 5, "a", []byte("1"))
	ahead := NewTable(1)
	ahead.Put(0, 9, "a", []byte("2"))
	batch := table.BatchSince(0, ahead.Index(), 0)
	if batch.Snapshot || len(batch.Items) > 0 || batch.To != 5 {
		t.Fatalf("got %+v", batch)
	}
	ahead.Apply(0, batch)
	ahead.Apply(0, table.Snapshot(0))
	if value, _ := ahead.Get("a"); ahead.Index() != 9 || string(value) != "2" {
		t.Fatalf("went back to %d, %q", ahead.Index(), value)
	}
}

func TestEvictedTombstonesForceSnapshot(t *testing.T) {
	table := NewTable(1)
	const items = MaxTombstones + 500
	for i := range items {
		table.Put(0, uint64(i+1), fmt.Sprint(i), []byte("x"))
	}
	follower := NewTable(1)
	follower.Apply(0, table.BatchSince(0, 0, 0))
	recent := NewTable(1)
	for i := range items {
		if i == items-10 {
			recent.Apply(0, table.BatchSince(0, 0, 0))
		}
		table.Delete(0, uint64(items+i+1), fmt.Sprint(i))
	}
	if batch := table.BatchSince(0, recent.Index(), 0); batch.Snapshot || len(batch.Items) != 10 {
		t.Fatalf("a follower that is little behind got %d items, snapshot %v", len(batch.Items), batch.Snapshot)
	}
	batch := table.BatchSince(0, follower.Index(), 0)
	if !batch.Snapshot {
		t.Fatal("no snapshot for a follower that is behind the horizon")
	}
	if gone := follower.Apply(0, batch); len(gone) != items || follower.Len() != 0 {
		t.Fatalf("%d gone, %d left", len(gone), follower.Len())
	}
	if len(table.records) > MaxTombstones {
		t.Fatalf("%d deletions are remembered", len(table.records))
	}
}

func TestItemAgeIsPropagated(t *testing.T) {
	replica := NewTable(1)
	replica.Put(10*time.Second, 1, "a", []byte("x"))
	agent := NewTable(1)
	agent.Apply(100*time.Second, replica.BatchSince(12*time.Second, 0, 0))
	proxy := NewTable(1)
	proxy.Apply(7*time.Second, agent.BatchSince(103*time.Second, 0, 0))
	item, found := proxy.Item(8*time.Second, "a")
	if !found || item.Age != 6*time.Second {
		t.Fatalf("got %+v, want an age of 6 s", item)
	}
}

func TestPutUnchangedValue(t *testing.T) {
	table := NewTable(1)
	table.Put(0, 1, "a", []byte("x"))
	if table.Put(0, 2, "a", []byte("x")) || table.LastChangeIndex() != 1 || table.Index() != 2 {
		t.Fatalf("last change %d, index %d", table.LastChangeIndex(), table.Index())
	}
	if table.Put(0, 1, "a", []byte("y")) || table.Delete(0, 1, "a") {
		t.Fatal("an older change was taken")
	}
}

func TestRepairRangeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		right, oracle := NewTable(1), expectedContents{}
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
	if held := table.records[key]; held != nil && !held.deleted {
		held.value = []byte(rapid.SampledFrom([]string{"a", "damaged"}).Draw(t, "to"))
		return
	}
	table.storeRecord(record{key: key, index: table.index, value: []byte("extra")})
}

func TestTableEncodeDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, oracle := NewTable(Partition(rapid.Uint16().Draw(t, "partition"))), expectedContents{}
		for range rapid.IntRange(0, 40).Draw(t, "changes") {
			applyRandomChanges(t, time.Second, table, oracle)
		}
		data := table.Encode(3 * time.Second)
		read, err := DecodeTable(50*time.Second, data)
		if err != nil {
			t.Fatal(err)
		}
		if again := read.Encode(50 * time.Second); !bytes.Equal(again, data) {
			t.Fatalf("%x came back as %x", data, again)
		}
		position := uint64(rapid.IntRange(0, int(table.Index())+1).Draw(t, "position"))
		got, want := read.BatchSince(50*time.Second, position, 0), table.BatchSince(3*time.Second, position, 0)
		slices.SortFunc(got.Items, byKey)
		slices.SortFunc(want.Items, byKey)
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("serves %v, want %v", got, want)
		}
		cut := rapid.IntRange(0, len(data)-1).Draw(t, "cut")
		if _, err := DecodeTable(0, data[:cut]); err == nil {
			t.Fatalf("%d bytes of %d were accepted", cut, len(data))
		}
	})
}

func byKey(a, b Item) int { return bytes.Compare([]byte(a.Key), []byte(b.Key)) }

func TestPartitionOfIsStableAndInRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := rapid.String().Draw(t, "service")
		partitions := rapid.IntRange(0, 9).Draw(t, "partitions")
		got := PartitionOf(service, partitions)
		if got < 1 || int(got) > max(partitions, 1) || got != PartitionOf(service, partitions) {
			t.Fatalf("%q of %d went to %d", service, partitions, got)
		}
	})
	if got := PartitionOf("engine", 2); got != 1 {
		t.Fatalf("engine moved to partition %d: stored state would be cut differently", got)
	}
}

func FuzzDecodeTable(f *testing.F) {
	table := NewTable(1)
	f.Add(table.Encode(0))
	table.Put(0, 3, "a", []byte("x"))
	table.Put(0, 4, "b", nil)
	table.Delete(0, 5, "b")
	f.Add(table.Encode(time.Second))
	f.Fuzz(func(t *testing.T, data []byte) {
		table, err := DecodeTable(0, data)
		if err != nil {
			return
		}
		again, err := DecodeTable(0, table.Encode(0))
		if err != nil || !maps.Equal(contentsOf(again), contentsOf(table)) || again.Index() != table.Index() {
			t.Fatalf("%v came back as %v, %v", contentsOf(table), contentsOf(again), err)
		}
		follower := NewTable(table.Partition())
		followOnce(follower, table)
		if table.Index() > 0 && !maps.Equal(contentsOf(follower), contentsOf(table)) {
			t.Fatalf("a follower holds %v, want %v", contentsOf(follower), contentsOf(table))
		}
	})
}

func followOnce(follower, source *Table) { follower.Apply(0, source.BatchSince(0, 0, 0)) }

// benchmarkTable holds as much as a large configuration does, a few deletions among it.
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

func BenchmarkEncodeTable(b *testing.B) {
	table := benchmarkTable()
	b.ReportAllocs()
	for b.Loop() {
		_ = table.Encode(time.Second)
	}
}

func BenchmarkDecodeTable(b *testing.B) {
	data := benchmarkTable().Encode(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeTable(0, data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDigest(b *testing.B) {
	table := benchmarkTable()
	b.ReportAllocs()
	for b.Loop() {
		_ = table.Digest(16)
	}
}
