package feed

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Followers of followers reach the state of the replica whichever batches they apply and however late, and never go
// back.
func TestFollowersConvergeMonotonically(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replica := NewTable(2)
		oracle := expectedContents{}
		agents := []*Table{NewTable(2), NewTable(2)}
		proxy := NewTable(2)
		view := expectedContents{}
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

// applyAndCheck applies a batch and replays the returned changes on view, which must stay equal to the table's
// contents.
func applyAndCheck(t *rapid.T, table *Table, view expectedContents, batch Batch) {
	t.Helper()
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
		t.Fatalf("holds %v, but the returned changes make %v", contentsOf(table), view)
	}
}

func TestBatchSinceCoalescesAndSplitsBetweenIndexes(t *testing.T) {
	table := NewTable(1)
	table.Put(0, 1, "a", []byte("1"))
	table.Put(0, 2, "b", []byte("1"))
	table.Put(0, 3, "a", []byte("2"))
	table.Put(0, 3, "c", []byte("2"))
	table.Delete(0, 4, "b")
	complete := table.BatchSince(0, 1, 0)
	if complete.Snapshot || complete.To != 4 || len(complete.Items) != 3 {
		t.Fatalf("got %+v", complete)
	}
	limited := table.BatchSince(0, 1, 1)
	if limited.To != 3 || len(limited.Items) != 2 || limited.Items[0].Key != "a" || limited.Items[1].Key != "c" {
		t.Fatalf("got %+v", limited)
	}
	rest := table.BatchSince(0, limited.To, 1)
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
	if deleted := follower.Apply(0, batch); len(deleted) != items || follower.Len() != 0 {
		t.Fatalf("%d deleted, %d left", len(deleted), follower.Len())
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
