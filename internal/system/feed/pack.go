package feed

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"sync"
	"time"

	"cinderroad/internal/system/codec"
)

// Bounds of packed batches.
const (
	// PackThresholdBytes is the size of a batch, in bytes of keys and values, from which it is worth being packed.
	PackThresholdBytes = 2 << 10
	// MaxUnpackedBytes is how many bytes a packed batch may hold, unpacked.
	MaxUnpackedBytes = 32 << 20
	// mostInflated is what a byte of a deflated stream may stand for, at most.
	mostInflated = 1032
	// packLevel is fast, since followers wait, and its writer is a third smaller than that of the fastest level.
	packLevel = 2
	// leastItem is the size of the shortest item of a packed batch in bytes.
	leastItem = 4
)

// UnpackError says that a packed batch can't be read.
type UnpackError struct{ Cause error }

// Error says what happened and what to do.
func (e *UnpackError) Error() string {
	return fmt.Sprintf("feed: a packed batch can't be read: %v; check that all machines run one version", e.Cause)
}

// Unwrap is the cause.
func (e *UnpackError) Unwrap() error { return e.Cause }

// Causes of a UnpackError.
var (
	errPackedSize  = errors.New("its size is impossible")
	errPackedItems = errors.New("its items are malformed")
)

// packers are writers that are used again soon, and dropped otherwise: each takes 0.8 MB.
var packers = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, packLevel)
	if err != nil {
		panic(err) // the level is a constant
	}
	return writer
}}

// Size is about how many bytes the batch takes on the way.
func (b *Batch) Size() int {
	size := len(b.Packed)
	for i := range b.Items {
		size += itemOverhead + len(b.Items[i].Key) + len(b.Items[i].Value)
	}
	return size
}

// Pack returns the batch with its items in compressed form, or as it is if that does not pay. It may be sent to many
// followers; PackedAge is to be set to the time since. The form is the length of the rest, unpacked, and the rest,
// deflated: the number of items, and for each the length of its key, the key, its index, its age in nanoseconds, 0 for a
// deleted item or 1 and the length of its value, and the value.
func (b Batch) Pack() Batch {
	if b.Size() < PackThresholdBytes {
		return b
	}
	var deflated bytes.Buffer
	var head [binary.MaxVarintLen64]byte
	deflated.Write(head[:binary.PutUvarint(head[:], uint64(b.unpackedSize()))])
	writer := packers.Get().(*flate.Writer)
	defer packers.Put(writer)
	writer.Reset(&deflated)
	defer writer.Reset(io.Discard)
	b.write(writer)
	_ = writer.Close() // a buffer takes all
	b.Packed = bytes.Clone(deflated.Bytes())
	b.Items = nil
	return b
}

func (b *Batch) write(to io.Writer) {
	head := binary.AppendUvarint(nil, uint64(len(b.Items)))
	_, _ = to.Write(head)
	for i := range b.Items {
		item := &b.Items[i]
		head = item.appendHead(head[:0])
		_, _ = to.Write(head)
		_, _ = to.Write(item.Value)
	}
}

// appendHead appends all but the value.
func (i *Item) appendHead(data []byte) []byte {
	data = codec.AppendBytes(data, i.Key)
	data = binary.AppendUvarint(data, i.Index)
	data = binary.AppendUvarint(data, uint64(max(i.Age, 0)))
	if i.Deleted {
		return append(data, 0)
	}
	data = append(data, 1)
	return binary.AppendUvarint(data, uint64(len(i.Value)))
}

func (b *Batch) unpackedSize() int {
	head := binary.AppendUvarint(nil, uint64(len(b.Items)))
	size := len(head)
	for i := range b.Items {
		head = b.Items[i].appendHead(head[:0])
		size += len(head) + len(b.Items[i].Value)
	}
	return size
}

// Unpack puts the items of a packed batch back; a batch that is not packed stays as it is. The error is a *UnpackError.
func (b *Batch) Unpack() error {
	if len(b.Packed) == 0 {
		return nil
	}
	size, read := binary.Uvarint(b.Packed)
	if read <= 0 || size > MaxUnpackedBytes || size > mostInflated*uint64(len(b.Packed)) {
		return &UnpackError{errPackedSize}
	}
	inflated := flate.NewReader(bytes.NewReader(b.Packed[read:]))
	reader := packedReader{source: bufio.NewReaderSize(inflated, PackThresholdBytes), left: int64(size)}
	items := reader.items(b.PackedAge)
	if reader.err != nil {
		return &UnpackError{reader.err}
	}
	b.Items, b.Packed, b.PackedAge = items, nil, 0
	return nil
}

// packedReader reads fields one after the other; after a first malformed one all are empty.
type packedReader struct {
	source *bufio.Reader
	left   int64 // bytes that are still to come
	err    error
}

func (r *packedReader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
	r.left = 0
}

// ReadByte reads a byte of a number.
func (r *packedReader) ReadByte() (byte, error) {
	if r.left <= 0 {
		return 0, errPackedItems
	}
	r.left--
	return r.source.ReadByte()
}

func (r *packedReader) number() uint64 {
	value, err := binary.ReadUvarint(r)
	if err != nil {
		r.fail(err)
		return 0
	}
	return value
}

// bytes reads a length and as many bytes.
func (r *packedReader) bytes() []byte {
	length := r.number()
	if r.err != nil || length > uint64(r.left) {
		r.fail(errPackedItems)
		return nil
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(r.source, data); err != nil {
		r.fail(err)
		return nil
	}
	r.left -= int64(length)
	return data
}

func (r *packedReader) items(age time.Duration) []Item {
	count := r.number()
	if count > uint64(r.left)/leastItem {
		r.fail(errPackedItems)
		return nil
	}
	items := make([]Item, 0, count)
	for range count {
		items = append(items, r.item(age))
		if r.err != nil {
			return nil
		}
	}
	if r.left != 0 {
		r.fail(errPackedItems)
	}
	if _, err := r.source.ReadByte(); err != io.EOF {
		r.fail(errPackedItems)
	}
	return items
}

func (r *packedReader) item(age time.Duration) Item {
	item := Item{Key: string(r.bytes()), Index: r.number()}
	aged := r.number()
	if aged > math.MaxInt64/2 {
		r.fail(errPackedItems)
	}
	item.Age = time.Duration(aged) + max(age, 0)
	switch r.number() {
	case 0:
		item.Deleted = true
	case 1:
		item.Value = r.bytes()
	default:
		r.fail(errPackedItems)
	}
	return item
}
