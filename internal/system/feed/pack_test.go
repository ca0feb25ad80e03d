package feed

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cinderroad/internal/system/deflate"
)

// routeBatch returns a snapshot of n routes such as a configuration has, each a little different from the others.
func routeBatch(n int) Batch {
	batch := Batch{Snapshot: true, To: uint64(n)}
	for i := range n {
		value := fmt.Appendf(nil, `{"name":"route-%d","host":"shop%d.example","path_start":"/basket%d/list/","type":"read_only",`+
			`"timeout_ms":%d,"target_ms":800,"rank":1,"service":"basket-api","tries":2,"sticky":false,"allowed_regions":["a","b"]}`,
			i, i%7, i*i%977, 1000+i%10*500)
		batch.Items = append(batch.Items, Item{
			Key:   fmt.Sprint(KeyPrefixRoute, "route-", i),
			Index: uint64(i + 1),
			Value: value,
			Age:   time.Duration(i) * time.Second,
		})
	}
	return batch
}

func TestPackRoutesRoundTrip(t *testing.T) {
	batch := routeBatch(1000)
	packed := batch.Pack()
	if packed.Items != nil || packed.Size() > batch.Size()/6 {
		t.Fatalf("%d bytes became %d and %d items", batch.Size(), packed.Size(), len(packed.Items))
	}
	if err := packed.Unpack(); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(packed, batch) {
		t.Error("the batch differs from what was packed")
	}
}

func TestPackLeavesSmallBatch(t *testing.T) {
	batch := routeBatch(3)
	if packed := batch.Pack(); !reflect.DeepEqual(packed, batch) {
		t.Errorf("%+v", packed)
	}
	if err := batch.Unpack(); err != nil {
		t.Error(err)
	}
}

func TestUnpackAddsPackedAge(t *testing.T) {
	batch := routeBatch(100).Pack()
	batch.PackedAge = time.Minute
	if err := batch.Unpack(); err != nil {
		t.Fatal(err)
	}
	for i, item := range batch.Items {
		if want := time.Minute + time.Duration(i)*time.Second; item.Age != want {
			t.Fatalf("item %d is %v old, want %v", i, item.Age, want)
		}
	}
}

func TestPackUnpackRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		batch := Batch{Snapshot: rapid.Bool().Draw(t, "snapshot"), To: 9}
		batch.Items = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Item {
			item := Item{
				Key:     rapid.String().Draw(t, "key"),
				Index:   rapid.Uint64().Draw(t, "index"),
				Age:     time.Duration(rapid.Int64Range(0, 1<<60).Draw(t, "age")),
				Deleted: rapid.Bool().Draw(t, "deleted"),
			}
			if !item.Deleted {
				item.Value = bytes.Repeat([]byte{rapid.Byte().Draw(t, "octet")}, rapid.IntRange(0, 10000).Draw(t, "length"))
			}
			return item
		}), 0, 20).Draw(t, "items")
		packed := batch.Pack()
		if err := packed.Unpack(); err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(packed) != fmt.Sprint(batch) {
			t.Fatalf("got %v, want %v", packed, batch)
		}
	})
}

// deflated returns data in packed form with the given unpacked size, which need not be right.
func deflated(size uint64, data []byte) []byte {
	var packed bytes.Buffer
	packed.Write(binary.AppendUvarint(nil, size))
	writer, _ := flate.NewWriter(&packed, flate.BestCompression)
	_, _ = writer.Write(data)
	_ = writer.Close()
	return packed.Bytes()
}

func TestUnpackRejectsMalformedBatches(t *testing.T) {
	good := routeBatch(100).Pack().Packed
	cases := map[string][]byte{
		"no size":                   {0xff},
		"size beyond the bound":     deflated(MaxUnpackedBytes+1, make([]byte, MaxUnpackedBytes+1)),
		"size beyond what it holds": deflated(1<<20, []byte{0}),
		"not deflated":              append([]byte{20}, bytes.Repeat([]byte{7}, 100)...),
		"cut short":                 good[:len(good)/2],
		"more items than bytes":     deflated(3, []byte{200, 0, 0}),
		"long key":                  deflated(8, []byte{1, 200, 0, 0, 0, 0, 0, 0}),
		"long value":                deflated(8, []byte{1, 0, 0, 0, 1, 200, 1, 1}),
		"unknown kind":              deflated(5, []byte{1, 0, 0, 0, 2}),
		"more than announced":       deflated(5, []byte{1, 0, 0, 0, 0, 0}),
		"less than announced":       deflated(7, []byte{1, 0, 0, 0, 0}),
		"rest after the items":      deflated(6, []byte{1, 0, 0, 0, 0, 0}),
	}
	for name, data := range cases {
		batch := Batch{Packed: data}
		var malformed *UnpackError
		if err := batch.Unpack(); !errors.As(err, &malformed) {
			t.Errorf("%s: error %v, items %d", name, err, len(batch.Items))
		}
	}
}

// FuzzUnpack checks that any bytes are either rejected or become a batch that survives being packed again, and that the
// items take no more memory than the bytes may stand for.
func FuzzUnpack(f *testing.F) {
	f.Add(routeBatch(100).Pack().Packed)
	f.Add(deflated(5, []byte{1, 0, 0, 0, 0}))
	f.Add([]byte{0xff, 0xff, 0xff, 0x0f, 1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		batch := Batch{Packed: data}
		if err := batch.Unpack(); err != nil || len(data) == 0 {
			return
		}
		total := 0
		for i := range batch.Items {
			total += len(batch.Items[i].Key) + len(batch.Items[i].Value)
		}
		if total > MaxUnpackedBytes || total > deflate.MaxRatio*len(data) {
			t.Fatalf("%d bytes became %d", len(data), total)
		}
		again := batch.Pack()
		if err := again.Unpack(); err != nil || fmt.Sprint(again) != fmt.Sprint(batch) {
			t.Fatalf("packed again: %v", err)
		}
	})
}

func BenchmarkPack(b *testing.B) {
	batch := routeBatch(1000)
	b.ReportAllocs()
	for b.Loop() {
		packed := batch.Pack()
		b.ReportMetric(float64(packed.Size()), "bytes")
	}
}

func BenchmarkUnpack(b *testing.B) {
	batch := routeBatch(1000).Pack()
	b.ReportAllocs()
	for b.Loop() {
		copied := batch
		_ = copied.Unpack()
	}
}
