// Package codec appends and reads the fields of compact binary encodings: varints, and byte fields prefixed by their length.
//
// The functions that write append to a slice, as those of encoding/binary do. A Reader reads the fields in the order in
// which they were written and records the first malformed one, so that a caller checks once, after the last field:
//
//	reader := codec.NewReader(data)
//	name := reader.String("name")
//	size := reader.Uvarint("size")
//	reader.ExpectEnd("end")
//	if field, failed := reader.Malformed(); failed { ... }
//
// The package knows neither versions nor types: each encoding begins with a version of its own, which its reader checks
// with Byte. Field names go into error messages only, never into the encoding.
package codec

import (
	"encoding/binary"
	"math"
)

// float32Size is the size of an encoded float32 in bytes.
const float32Size = 4

// AppendBytes appends the length of a field as an unsigned varint, and the field.
func AppendBytes[T string | []byte](data []byte, field T) []byte {
	data = binary.AppendUvarint(data, uint64(len(field)))
	return append(data, field...)
}

// AppendBool appends one byte: 1 for true, 0 for false.
func AppendBool(data []byte, value bool) []byte {
	if value {
		return append(data, 1)
	}
	return append(data, 0)
}

// AppendFloat32 appends the four bytes of an IEEE 754 number, the lowest first.
func AppendFloat32(data []byte, value float32) []byte {
	return binary.LittleEndian.AppendUint32(data, math.Float32bits(value))
}

// Reader reads the fields of an encoding in order. Each method takes the name under which Malformed reports its field.
// After the first malformed field every method returns the zero value. A copy of
// a Reader goes on from the same position independently. A Reader is not safe for concurrent use.
type Reader struct {
	data      []byte
	start     int    // offset of the field read last, or of the first malformed one
	next      int    // offset of the next field; the end after a malformed one
	canonical bool   // varints must have their shortest form
	malformed string // name of the first malformed field
	failed    bool
}

// NewReader returns a reader of data, which must not change while the reader or what Bytes returned is in use. It
// accepts varints that are longer than they need be.
func NewReader(data []byte) Reader { return Reader{data: data} }

// NewCanonicalReader is like NewReader, but a varint that is longer than it need be is malformed: an encoding whose
// other fields have one form each then decodes from one sequence of bytes only.
func NewCanonicalReader(data []byte) Reader { return Reader{data: data, canonical: true} }

// Malformed returns the name of the first malformed field, and whether there is one.
func (r *Reader) Malformed() (field string, failed bool) { return r.malformed, r.failed }

// Offset returns where the field read last begins, in bytes from the start of the encoding. After a malformed field it
// stays at that one.
func (r *Reader) Offset() int { return r.start }

// Fail marks the field read last as malformed, for a caller that finds its value invalid. It does nothing after an
// earlier malformed field.
func (r *Reader) Fail(field string) {
	if !r.failed {
		r.malformed = field
		r.failed = true
	}
	r.next = len(r.data) // so that all further reads find nothing
}

// ExpectEnd marks the encoding as malformed if bytes follow the field read last.
func (r *Reader) ExpectEnd(field string) {
	if r.remaining() > 0 {
		r.begin()
		r.Fail(field)
	}
}

// Rest returns the bytes that are not read yet; none after a malformed field. They share memory with the encoding.
func (r *Reader) Rest() []byte { return r.data[r.next:] }

// remaining returns the number of bytes that are not read yet.
func (r *Reader) remaining() int { return len(r.data) - r.next }

// begin records where the next field begins.
func (r *Reader) begin() {
	if !r.failed {
		r.start = r.next
	}
}

// Byte reads one byte.
func (r *Reader) Byte(field string) byte {
	r.begin()
	if r.next == len(r.data) {
		r.Fail(field)
		return 0
	}
	r.next++
	return r.data[r.next-1]
}

// Bool reads a byte that AppendBool wrote; any other is malformed.
func (r *Reader) Bool(field string) bool {
	value := r.Byte(field)
	if value > 1 {
		r.Fail(field)
	}
	return value == 1
}

// Uvarint reads an unsigned varint.
func (r *Reader) Uvarint(field string) uint64 {
	r.begin()
	if r.next < len(r.data) && r.data[r.next] < 1<<7 { // the usual case: a number of one byte
		r.next++
		return uint64(r.data[r.next-1])
	}
	value, size := binary.Uvarint(r.data[r.next:])
	if !r.takeVarint(field, size) {
		return 0
	}
	return value
}

// Varint reads a signed varint.
func (r *Reader) Varint(field string) int64 {
	r.begin()
	value, size := binary.Varint(r.data[r.next:])
	if !r.takeVarint(field, size) {
		return 0
	}
	return value
}

// takeVarint consumes a varint of a size, which is 0 or less if the varint is cut short or does not fit 64 bits.
func (r *Reader) takeVarint(field string, size int) bool {
	if size <= 0 || r.canonical && r.isOverlong(size) {
		r.Fail(field)
		return false
	}
	r.next += size
	return true
}

// isOverlong reports whether the next varint, of size bytes, is longer than it need be: its last byte holds the highest seven
// bits, which are then all zero.
func (r *Reader) isOverlong(size int) bool { return size > 1 && r.data[r.next+size-1] == 0 }

// Float32 reads a number that AppendFloat32 wrote. It may be infinite or not a number.
func (r *Reader) Float32(field string) float32 {
	r.begin()
	encoded := r.take(field, float32Size)
	if len(encoded) == 0 {
		return 0
	}
	return math.Float32frombits(binary.LittleEndian.Uint32(encoded))
}

// Count reads how many elements follow, each of at least one byte; a larger number is malformed. The result is at most
// the number of bytes that are left, so that memory for it may be allocated.
func (r *Reader) Count(field string) int {
	value := r.Uvarint(field)
	if value > uint64(r.remaining()) {
		r.Fail(field)
		return 0
	}
	return int(value)
}

// CountOf is like Count for elements of at least minSize bytes each, minSize above 0.
func (r *Reader) CountOf(field string, minSize int) int {
	count := r.Count(field)
	if count > r.remaining()/minSize {
		r.Fail(field)
		return 0
	}
	return count
}

// Bytes reads a field that AppendBytes wrote. The result shares memory with the encoding, but its capacity ends with it.
func (r *Reader) Bytes(field string) []byte { return r.take(field, r.Count(field)) }

// String reads a field that AppendBytes wrote into memory of its own.
func (r *Reader) String(field string) string { return string(r.Bytes(field)) }

// Fixed reads a field of a size that both sides know, which is encoded without a length. The result shares memory with the
// encoding like that of Bytes; it is nil if the field is cut short.
func (r *Reader) Fixed(field string, size int) []byte {
	r.begin()
	return r.take(field, size)
}

// take consumes a number of bytes.
func (r *Reader) take(field string, count int) []byte {
	if r.failed || count > r.remaining() {
		r.Fail(field)
		return nil
	}
	r.next += count
	return r.data[r.next-count : r.next : r.next]
}
