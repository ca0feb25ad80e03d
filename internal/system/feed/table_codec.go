package feed

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"cinderroad/internal/shared/codec"
)

// tableFormatVersion is the first byte of an encoded table.
const tableFormatVersion = 1

// Kinds of items of an encoded table.
const (
	kindValue   = 0 // see packedValue for the other way round
	kindDeleted = 1
)

// maxEncodedAge is the greatest age of an item, in nanoseconds, that DecodeTable accepts.
const maxEncodedAge = 1 << 62

// MalformedTableError says that bytes are not an encoded table. Field names the first field that could not be read.
type MalformedTableError struct{ Field string }

// Error names the malformed field and what an operator can do.
func (e *MalformedTableError) Error() string {
	return fmt.Sprintf("feed: an encoded table is malformed at its %s; "+
		"it was damaged or written by another version, take the partition from another replica", e.Field)
}

// Encode returns the encoding of the table, deleted items included, in the form of stored state and of snapshots between
// control replicas. Ages at now are part of it; apart from them, tables with the same contents have the same encoding.
func (t *Table) Encode(now time.Duration) []byte {
	data := make([]byte, 0, t.encodedSize())
	data = append(data, tableFormatVersion)
	data = binary.AppendUvarint(data, uint64(t.partition))
	data = binary.AppendUvarint(data, t.index)
	data = binary.AppendUvarint(data, t.tombstoneHorizon)
	data = binary.AppendUvarint(data, uint64(len(t.records)))
	for _, key := range slices.Sorted(maps.Keys(t.records)) {
		data = t.records[key].appendTo(data, now)
	}
	return data
}

// encodedSize returns an upper bound of the encoding's size in bytes.
func (t *Table) encodedSize() int {
	const head, perRecord = 5 * binary.MaxVarintLen64, 4*binary.MaxVarintLen64 + 1
	size := head
	for key, stored := range t.records {
		size += perRecord + len(key) + len(stored.value)
	}
	return size
}

func (r *record) appendTo(data []byte, now time.Duration) []byte {
	data = codec.AppendBytes(data, r.key)
	data = binary.AppendUvarint(data, r.index)
	data = binary.AppendUvarint(data, uint64(max(now-r.changedAt, 0)))
	if r.deleted {
		return append(data, kindDeleted)
	}
	return codec.AppendBytes(append(data, kindValue), r.value)
}

// DecodeTable reads the encoding made by Encode; ages count from now. The table shares no bytes with data. An error is
// a *MalformedTableError.
func DecodeTable(now time.Duration, data []byte) (*Table, error) {
	reader := codec.NewReader(data)
	if reader.Byte("version") != tableFormatVersion {
		return nil, &MalformedTableError{Field: "version"}
	}
	partition := reader.Uvarint("partition")
	table := NewTable(Partition(partition))
	table.index = reader.Uvarint("index")
	table.tombstoneHorizon = reader.Uvarint("horizon")
	if partition > uint64(^Partition(0)) || table.tombstoneHorizon > table.index {
		reader.Fail("head")
	}
	table.readRecords(&reader, now)
	reader.ExpectEnd("end")
	if field, failed := reader.Malformed(); failed {
		return nil, &MalformedTableError{Field: field}
	}
	table.sortChanges()
	return table, nil
}

// readRecords reads the number of items and the items, whose keys must ascend, up to the first malformed one.
func (t *Table) readRecords(reader *codec.Reader, now time.Duration) {
	previous := ""
	for i := range reader.Count("number of items") {
		decoded := readRecord(reader, now)
		if decoded.index > t.index || i > 0 && decoded.key <= previous {
			reader.Fail("items")
		}
		if _, failed := reader.Malformed(); failed {
			return
		}
		previous = decoded.key
		t.storeRecord(decoded)
	}
}

// readRecord reads what appendTo wrote.
func readRecord(reader *codec.Reader, now time.Duration) record {
	decoded := record{key: reader.String("key"), index: reader.Uvarint("item's index")}
	age := reader.Uvarint("age")
	if age > maxEncodedAge {
		reader.Fail("age")
	}
	decoded.changedAt = now - time.Duration(age)
	switch reader.Byte("kind of item") {
	case kindValue:
		decoded.value = bytes.Clone(reader.Bytes("value"))
	case kindDeleted:
		decoded.deleted = true
	default:
		reader.Fail("kind of item")
	}
	return decoded
}
