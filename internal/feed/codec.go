package feed

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"
)

// tableCodecVersion is the first byte of an encoded table.
const tableCodecVersion = 1

// MalformedTableError says that bytes are not an encoded table.
type MalformedTableError struct{ Field string }

// Error says what happened and what to do.
func (e *MalformedTableError) Error() string {
	return fmt.Sprintf("feed: an encoded table is malformed at its %s; "+
		"it was damaged or written by another version, take the partition from another replica", e.Field)
}

// Encode is the whole table, deletions among it, as stored state and snapshots hold it. Ages go along; but for them,
// tables that hold the same have the same encoding.
func (t *Table) Encode(now time.Duration) []byte {
	data := make([]byte, 0, t.encodedSize())
	data = append(data, tableCodecVersion)
	data = binary.AppendUvarint(data, uint64(t.partition))
	data = binary.AppendUvarint(data, t.index)
	data = binary.AppendUvarint(data, t.horizon)
	data = binary.AppendUvarint(data, uint64(len(t.records)))
	for _, key := range slices.Sorted(maps.Keys(t.records)) {
		data = t.records[key].append(data, now)
	}
	return data
}

// encodedSize is an upper bound of the encoding's size in bytes.
func (t *Table) encodedSize() int {
	const head, perRecord = 5 * binary.MaxVarintLen64, 4*binary.MaxVarintLen64 + 1
	size := head
	for key, held := range t.records {
		size += perRecord + len(key) + len(held.value)
	}
	return size
}

func (r *record) append(data []byte, now time.Duration) []byte {
	data = binary.AppendUvarint(data, uint64(len(r.key)))
	data = append(data, r.key...)
	data = binary.AppendUvarint(data, r.index)
	data = binary.AppendUvarint(data, uint64(max(now-r.changed, 0)))
	if r.deleted {
		return append(data, 1)
	}
	data = append(data, 0)
	data = binary.AppendUvarint(data, uint64(len(r.value)))
	return append(data, r.value...)
}

// Decode reads what Encode wrote; its ages count from now. The table shares no bytes with data. The error is a
// *MalformedTableError.
func Decode(now time.Duration, data []byte) (*Table, error) {
	reader := tableReader{rest: data}
	if reader.octet("version") != tableCodecVersion {
		return nil, &MalformedTableError{Field: "version"}
	}
	partition := reader.number("partition")
	table := NewTable(Partition(partition))
	table.index = reader.number("index")
	table.horizon = reader.number("horizon")
	if partition > uint64(^Partition(0)) || table.horizon > table.index {
		reader.fail("head")
	}
	previous := ""
	for i := range reader.count("number of items") {
		read := reader.record(now)
		if read.index > table.index || i > 0 && read.key <= previous {
			reader.fail("items")
		}
		if reader.err != nil {
			return nil, reader.err
		}
		previous = read.key
		table.set(read)
	}
	if len(reader.rest) > 0 {
		reader.fail("end")
	}
	if reader.err != nil {
		return nil, reader.err
	}
	table.sortChanges()
	return table, nil
}

// tableReader reads fields one after the other; after a first malformed one all are empty.
type tableReader struct {
	rest []byte
	err  error
}

func (r *tableReader) fail(field string) {
	if r.err == nil {
		r.err = &MalformedTableError{Field: field}
	}
	r.rest = nil
}

func (r *tableReader) number(field string) uint64 {
	value, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.fail(field)
		return 0
	}
	r.rest = r.rest[size:]
	return value
}

// count reads the length of something whose parts take a byte each at least.
func (r *tableReader) count(field string) int {
	value := r.number(field)
	if value > uint64(len(r.rest)) {
		r.fail(field)
		return 0
	}
	return int(value)
}

func (r *tableReader) bytes(field string, count int) []byte {
	if r.err != nil || count > len(r.rest) {
		r.fail(field)
		return nil
	}
	taken := r.rest[:count]
	r.rest = r.rest[count:]
	return taken
}

func (r *tableReader) octet(field string) byte {
	taken := r.bytes(field, 1)
	if len(taken) == 0 {
		return 0
	}
	return taken[0]
}

func (r *tableReader) record(now time.Duration) record {
	read := record{key: string(r.bytes("key", r.count("key"))), index: r.number("item's index")}
	age := r.number("age")
	if age > 1<<62 {
		r.fail("age")
	}
	read.changed = now - time.Duration(age)
	switch r.octet("kind of item") {
	case 0:
		read.value = bytes.Clone(r.bytes("value", r.count("value")))
	case 1:
		read.deleted = true
	default:
		r.fail("kind of item")
	}
	return read
}
