// Package codec writes and reads the fields of compact encodings: varints, and bytes that follow their length.
//
// The functions that write append to a slice, as those of encoding/binary do. A Reader takes the fields off one after
// the other and remembers the first malformed one, so that a caller checks once, at the end.
package codec

import "encoding/binary"

// AppendBytes appends the length of a field as an unsigned varint, and the field.
func AppendBytes[T string | []byte](data []byte, field T) []byte {
	data = binary.AppendUvarint(data, uint64(len(field)))
	return append(data, field...)
}

// Reader reads the fields of an encoding in their order. After the first malformed one all are zero. Each method takes
// the name by which Malformed tells its field.
type Reader struct {
	rest      []byte
	malformed string
	failed    bool
}

// NewReader reads data, which must not change while the reader or what Bytes returned is in use.
func NewReader(data []byte) Reader { return Reader{rest: data} }

// Malformed is the name of the first field that was malformed, and whether there is one.
func (r *Reader) Malformed() (field string, failed bool) { return r.malformed, r.failed }

// Fail says that a field was read but makes no sense. It does nothing after an earlier malformed field.
func (r *Reader) Fail(field string) {
	if !r.failed {
		r.malformed, r.failed = field, true
	}
	r.rest = nil
}

// ExpectEnd says that all fields have been read: bytes that are left are malformed.
func (r *Reader) ExpectEnd(field string) {
	if len(r.rest) > 0 {
		r.Fail(field)
	}
}

// Byte reads one byte.
func (r *Reader) Byte(field string) byte {
	taken := r.take(field, 1)
	if len(taken) == 0 {
		return 0
	}
	return taken[0]
}

// Uvarint reads an unsigned varint.
func (r *Reader) Uvarint(field string) uint64 {
	value, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.Fail(field)
		return 0
	}
	r.rest = r.rest[size:]
	return value
}

// Varint reads a signed varint.
func (r *Reader) Varint(field string) int64 {
	value, size := binary.Varint(r.rest)
	if size <= 0 {
		r.Fail(field)
		return 0
	}
	r.rest = r.rest[size:]
	return value
}

// Count reads how many parts follow, of which each takes a byte at least; a larger number is malformed. What it returns
// is therefore at most the number of bytes that are left.
func (r *Reader) Count(field string) int {
	value := r.Uvarint(field)
	if value > uint64(len(r.rest)) {
		r.Fail(field)
		return 0
	}
	return int(value)
}

// Bytes reads a field that AppendBytes wrote. It shares memory with what the reader reads.
func (r *Reader) Bytes(field string) []byte { return r.take(field, r.Count(field)) }

// String reads a field that AppendBytes wrote.
func (r *Reader) String(field string) string { return string(r.Bytes(field)) }

func (r *Reader) take(field string, count int) []byte {
	if r.failed || count > len(r.rest) {
		r.Fail(field)
		return nil
	}
	taken := r.rest[:count:count]
	r.rest = r.rest[count:]
	return taken
}
