package feed

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"cinderroad/internal/shared/codec"
	"cinderroad/internal/system/deflate"
)

// Bounds of packed batches.
const (
	// PackThresholdBytes is the size of keys and values from which a batch is worth packing.
	PackThresholdBytes = 2 << 10
	// MaxUnpackedBytes is the greatest unpacked size that Unpack accepts.
	MaxUnpackedBytes = 32 << 20
	// packedDeleted and packedValue are the kinds of packed items. They are the other way round than kindDeleted and
	// kindValue of an encoded table; both are fixed by what is sent and stored.
	packedDeleted = 0
	packedValue   = 1
	// minPackedItemBytes is the size of the shortest item of a packed batch.
	minPackedItemBytes = 4
)

// UnpackError says that a packed batch cannot be read.
type UnpackError struct{ Cause error }

// Error says what is wrong and what an operator can do.
func (e *UnpackError) Error() string {
	return fmt.Sprintf("feed: a packed batch can't be read: %v; check that all machines run one version", e.Cause)
}

// Unwrap returns the cause.
func (e *UnpackError) Unwrap() error { return e.Cause }

// Causes of an UnpackError.
var (
	errImpossibleSize = errors.New("its size is impossible")
	errMalformedItems = errors.New("its items are malformed")
)

// Size returns the approximate number of bytes that the batch takes in a message.
func (b *Batch) Size() int {
	size := len(b.Packed)
	for i := range b.Items {
		size += itemOverheadBytes + len(b.Items[i].Key) + len(b.Items[i].Value)
	}
	return size
}

// Pack returns the batch with its items in compressed form, or unchanged if it is below PackThresholdBytes. A packed
// batch may be sent to many followers, each time with PackedAge set to the time since it was packed.
//
// The packed form is that of package deflate. The data in it are the number of items, and for each item the length of
// its key, the key, its index, its age in nanoseconds, and 0 for a deleted item, or 1, the length of its value and the
// value. All numbers are unsigned varints.
func (b Batch) Pack() Batch {
	if b.Size() < PackThresholdBytes {
		return b
	}
	b.Packed = bytes.Clone(deflate.Pack(b.unpackedBytes(), b.writePackedItems)) // without the spare capacity
	b.Items = nil
	return b
}

func (b *Batch) writePackedItems(to io.Writer) {
	head := binary.AppendUvarint(nil, uint64(len(b.Items)))
	_, _ = to.Write(head)
	for i := range b.Items {
		item := &b.Items[i]
		head = item.appendPackedHeader(head[:0])
		_, _ = to.Write(head)
		_, _ = to.Write(item.Value)
	}
}

// appendPackedHeader appends the packed form of the item up to, but without, its value.
func (i *Item) appendPackedHeader(data []byte) []byte {
	data = codec.AppendBytes(data, i.Key)
	data = binary.AppendUvarint(data, i.Index)
	data = binary.AppendUvarint(data, uint64(max(i.Age, 0)))
	if i.Deleted {
		return append(data, packedDeleted)
	}
	data = append(data, packedValue)
	return binary.AppendUvarint(data, uint64(len(i.Value)))
}

func (b *Batch) unpackedBytes() int {
	head := binary.AppendUvarint(nil, uint64(len(b.Items)))
	size := len(head)
	for i := range b.Items {
		head = b.Items[i].appendPackedHeader(head[:0])
		size += len(head) + len(b.Items[i].Value)
	}
	return size
}

// Unpack restores the items of a packed batch; a batch that is not packed stays as it is. An error is an *UnpackError.
func (b *Batch) Unpack() error {
	if len(b.Packed) == 0 {
		return nil
	}
	size, inflated, ok := deflate.Open(b.Packed, MaxUnpackedBytes)
	if !ok {
		return &UnpackError{errImpossibleSize}
	}
	reader := packedReader{source: bufio.NewReaderSize(inflated, PackThresholdBytes), remaining: int64(size)}
	items := reader.readItems(b.PackedAge)
	if reader.err != nil {
		return &UnpackError{reader.err}
	}
	b.Items = items
	b.Packed = nil
	b.PackedAge = 0
	return nil
}

// packedReader reads the fields of a packed batch. After the first malformed field it returns only empty ones; err is
// the cause of the first failure. It is no codec.Reader since it reads the batch while that is inflated, without a copy
// of the whole.
type packedReader struct {
	source    *bufio.Reader
	remaining int64 // bytes of the announced size that are not read yet
	err       error
}

func (r *packedReader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
	r.remaining = 0
}

// ReadByte reads one byte of a varint; it makes the reader an io.ByteReader that ends with the announced size.
func (r *packedReader) ReadByte() (byte, error) {
	if r.remaining <= 0 {
		return 0, errMalformedItems
	}
	r.remaining--
	return r.source.ReadByte()
}

func (r *packedReader) readUvarint() uint64 {
	value, err := binary.ReadUvarint(r)
	if err != nil {
		r.fail(err)
		return 0
	}
	return value
}

// readBytes reads a length and that many bytes.
func (r *packedReader) readBytes() []byte {
	length := r.readUvarint()
	if r.err != nil || length > uint64(r.remaining) {
		r.fail(errMalformedItems)
		return nil
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(r.source, data); err != nil {
		r.fail(err)
		return nil
	}
	r.remaining -= int64(length)
	return data
}

// readItems reads the number of items and the items, which must end with the data. packedAge is added to their ages.
func (r *packedReader) readItems(packedAge time.Duration) []Item {
	count := r.readUvarint()
	if count > uint64(r.remaining)/minPackedItemBytes {
		r.fail(errMalformedItems)
		return nil
	}
	items := make([]Item, 0, count)
	for range count {
		items = append(items, r.readItem(packedAge))
		if r.err != nil {
			return nil
		}
	}
	if r.remaining != 0 {
		r.fail(errMalformedItems)
	}
	if _, err := r.source.ReadByte(); err != io.EOF {
		r.fail(errMalformedItems)
	}
	return items
}

// readItem reads one item.
func (r *packedReader) readItem(packedAge time.Duration) Item {
	item := Item{Key: string(r.readBytes()), Index: r.readUvarint()}
	packedItemAge := r.readUvarint()
	if packedItemAge > math.MaxInt64/2 { // so that the sum with packedAge does not overflow
		r.fail(errMalformedItems)
	}
	item.Age = time.Duration(packedItemAge) + max(packedAge, 0)
	switch r.readUvarint() {
	case packedDeleted:
		item.Deleted = true
	case packedValue:
		item.Value = r.readBytes()
	default:
		r.fail(errMalformedItems)
	}
	return item
}
