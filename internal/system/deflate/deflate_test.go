package deflate

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// sampleText returns about size bytes of JSON, which compress well.
func sampleText(size int) []byte {
	var text []byte
	for i := 0; len(text) < size; i++ {
		text = fmt.Appendf(text, `{"path":"/models/%d","timeout_ms":%d}`, i, 500+i%7)
	}
	return text
}

func pack(data []byte) []byte {
	return Pack(len(data), func(to io.Writer) { _, _ = to.Write(data) })
}

func TestPackedForm(t *testing.T) {
	for _, size := range []int{0, 1, 200, 100_000} {
		data := sampleText(size)
		want := bytes.NewBuffer(binary.AppendUvarint(nil, uint64(len(data))))
		writer, err := flate.NewWriter(want, level)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = writer.Write(data)
		_ = writer.Close()
		if got := pack(data); !bytes.Equal(got, want.Bytes()) {
			t.Errorf("%d bytes are packed as %x, want %x", len(data), got, want.Bytes())
		}
	}
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "data")
		repeated := bytes.Repeat(data, rapid.IntRange(1, 100).Draw(t, "repetitions"))
		size, reader, ok := Open(pack(repeated), uint64(len(repeated)))
		if !ok || size != uint64(len(repeated)) {
			t.Fatalf("size %d of %d, ok %v", size, len(repeated), ok)
		}
		got, err := io.ReadAll(reader)
		if err != nil || !bytes.Equal(got, repeated) {
			t.Fatalf("%d of %d bytes, %v", len(got), len(repeated), err)
		}
	})
}

func TestOpenChecksSize(t *testing.T) {
	overlong := bytes.Repeat([]byte{0xff}, binary.MaxVarintLen64+1)
	filled := func(size uint64, length int) []byte {
		packed := binary.AppendUvarint(nil, size)
		return append(packed, make([]byte, length-len(packed))...)
	}
	for name, test := range map[string]struct {
		packed  []byte
		maxSize uint64
		ok      bool
	}{
		"nothing":                       {nil, 10, false},
		"size cut short":                {[]byte{0xff}, 10, false},
		"size beyond 64 bits":           {overlong, math.MaxUint64, false},
		"size in a longer varint":       {[]byte{0x85, 0}, 10, true},
		"greatest size":                 {filled(10, 1), 10, true},
		"size above the greatest":       {filled(11, 1), 10, false},
		"greatest expansion":            {filled(100*MaxRatio, 100), math.MaxUint64, true},
		"size above greatest expansion": {filled(100*MaxRatio+1, 100), math.MaxUint64, false},
	} {
		if _, _, ok := Open(test.packed, test.maxSize); ok != test.ok {
			t.Errorf("%s: got %v, want %v", name, ok, test.ok)
		}
	}
}

// TestMaxRatio checks that the data that compress best stay within the bound at every level, and come close to it at the
// best one.
func TestMaxRatio(t *testing.T) {
	const size = 16 << 20
	data := make([]byte, size)
	for level := flate.BestSpeed; level <= flate.BestCompression; level++ {
		packed := bytes.NewBuffer(binary.AppendUvarint(nil, size))
		writer, err := flate.NewWriter(packed, level)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = writer.Write(data)
		_ = writer.Close()
		if _, _, ok := Open(packed.Bytes(), size); !ok {
			t.Errorf("level %d: %d bytes for %d are rejected", level, packed.Len(), size)
		}
		if ratio := size / packed.Len(); level == flate.BestCompression && ratio < MaxRatio*9/10 {
			t.Errorf("level %d: the ratio is %d, far below the bound", level, ratio)
		}
	}
}

func TestReadEndsEarly(t *testing.T) {
	packed := pack(sampleText(10_000))
	_, reader, ok := Open(packed[:len(packed)/2], math.MaxUint64)
	if !ok {
		t.Fatal("the size is rejected")
	}
	if _, err := io.ReadAll(reader); err != io.ErrUnexpectedEOF {
		t.Errorf("got %v", err)
	}
}

func TestConcurrentPack(t *testing.T) {
	data := sampleText(50_000)
	want := pack(data)
	var goroutines sync.WaitGroup
	for range 8 {
		goroutines.Go(func() {
			for range 20 {
				if got := pack(data); !bytes.Equal(got, want) {
					t.Error("the packed bytes differ")
				}
			}
		})
	}
	goroutines.Wait()
}

// FuzzOpen checks that arbitrary bytes expand to no more than the bound.
func FuzzOpen(f *testing.F) {
	f.Add(pack(sampleText(100)))
	f.Add([]byte{0xff, 0xff, 0xff, 0x0f, 1, 2, 3})
	f.Fuzz(func(t *testing.T, packed []byte) {
		const maxSize = 1 << 20
		size, reader, ok := Open(packed, maxSize)
		if !ok {
			return
		}
		if size > maxSize || size > MaxRatio*uint64(len(packed)) {
			t.Fatalf("size %d of %d bytes", size, len(packed))
		}
		if got, _ := io.ReadAll(reader); len(got) > MaxRatio*len(packed) {
			t.Fatalf("%d bytes became %d", len(packed), len(got))
		}
	})
}
