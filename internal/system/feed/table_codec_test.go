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

func TestTableEncodeDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(Partition(rapid.Uint16().Draw(t, "partition")))
		oracle := expectedContents{}
		for range rapid.IntRange(0, 40).Draw(t, "changes") {
			applyRandomChanges(t, time.Second, table, oracle)
		}
		data := table.Encode(3 * time.Second)
		decoded, err := DecodeTable(50*time.Second, data)
		if err != nil {
			t.Fatal(err)
		}
		if again := decoded.Encode(50 * time.Second); !bytes.Equal(again, data) {
			t.Fatalf("%x came back as %x", data, again)
		}
		position := uint64(rapid.IntRange(0, int(table.Index())+1).Draw(t, "position"))
		got := decoded.BatchSince(50*time.Second, position, 0)
		want := table.BatchSince(3*time.Second, position, 0)
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
