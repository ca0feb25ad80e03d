package counter

import (
	"encoding/binary"
	"encoding/hex"
	"hash/crc32"

	"cinderroad/internal/shared/codec"
)

// encodingVersion is the first byte of encoded vectors and ranges.
const encodingVersion = 1

// Bounds of encodings in bytes; larger ones are malformed.
const (
	maxVectorBytes = 1 << 18
	maxRangesBytes = 1 << 20
)

const (
	originSize   = 8
	checksumSize = 4
	// minVectorElementSize and minOperationSize bound counts before memory is allocated, in bytes.
	minVectorElementSize = originSize + 1
	minOperationSize     = 4
)

// checksumTable is of CRC-32C. A message that was changed on its way could shift the entries of a log for good.
var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// checksum is over an encoding and its sender, so that a vector counts for the replica alone that sent it.
func (s *Sender) checksum(data []byte) uint32 {
	header := binary.LittleEndian.AppendUint64(nil, uint64(s.Origin))
	header = codec.AppendBytes(header, s.Address)
	header = codec.AppendBytes(header, s.Zone)
	return crc32.Update(crc32.Checksum(header, checksumTable), checksumTable, data)
}

// appendChecksum ends an encoding.
func (s *Sender) appendChecksum(data []byte) []byte {
	return binary.LittleEndian.AppendUint32(data, s.checksum(data))
}

// verified returns an encoding without its checksum. The error is a *DecodeError.
func (s *Sender) verified(data []byte, limit int) ([]byte, error) {
	if len(data) < 1+checksumSize || len(data) > limit {
		return nil, &DecodeError{Field: "size", Offset: 0}
	}
	if data[0] != encodingVersion {
		return nil, &DecodeError{Field: "version", Offset: 0}
	}
	end := len(data) - checksumSize
	if binary.LittleEndian.Uint32(data[end:]) != s.checksum(data[:end]) {
		return nil, &DecodeError{Field: "checksum", Offset: end}
	}
	return data[:end], nil
}

// encodeVector returns the encoding of the durable vector of logs, which are sorted by origin.
func encodeVector(from *Sender, sorted []*operationLog) []byte {
	count := 0
	for _, log := range sorted {
		if log.durable > 0 {
			count++
		}
	}
	data := make([]byte, 0, 1+binary.MaxVarintLen32+count*(originSize+binary.MaxVarintLen32)+checksumSize)
	data = append(data, encodingVersion)
	data = binary.AppendUvarint(data, uint64(count))
	for _, log := range sorted {
		if log.durable > 0 {
			data = binary.LittleEndian.AppendUint64(data, uint64(log.origin))
			data = binary.AppendUvarint(data, log.durable)
		}
	}
	return from.appendChecksum(data)
}

// decodeVector decodes the vector of a sender. The error is a *DecodeError.
func decodeVector(from *Sender, data []byte) (VersionVector, error) {
	content, err := from.verified(data, maxVectorBytes)
	if err != nil {
		return nil, err
	}
	reader := codec.NewCanonicalReader(content)
	reader.Byte("version")
	count := reader.CountOf("number of origins", minVectorElementSize)
	vector := make(VersionVector, count)
	previous := Origin(0)
	for range count {
		origin := readOrigin(&reader)
		if origin <= previous {
			reader.Fail("order of origins")
		}
		sequence := reader.Uvarint("sequence number")
		if sequence == 0 {
			reader.Fail("sequence number")
		}
		vector[origin] = sequence
		previous = origin
	}
	if err := decodeError(&reader); err != nil {
		return nil, err
	}
	return vector, nil
}

// readOrigin reads an origin, which is not 0.
func readOrigin(reader *codec.Reader) Origin {
	encoded := reader.Fixed("origin", originSize)
	if len(encoded) < originSize {
		return 0
	}
	origin := Origin(binary.LittleEndian.Uint64(encoded))
	if origin == 0 {
		reader.Fail("origin")
	}
	return origin
}

// decodeError returns the *DecodeError of the first malformed field, or nil. It comes after the last field: bytes that
// follow are malformed.
func decodeError(reader *codec.Reader) error {
	reader.ExpectEnd("end")
	if field, failed := reader.Malformed(); failed {
		return &DecodeError{Field: field, Offset: reader.Offset()}
	}
	return nil
}

// entryRange is a part of one log.
type entryRange struct {
	origin     Origin
	first      uint64 // sequence number of the first operation
	operations []Operation
}

// last returns the sequence number of the last operation.
func (r *entryRange) last() uint64 { return r.first + uint64(len(r.operations)) - 1 }

// rangeEncoder encodes ranges, each of whose parts is counted before it is written. Names of counters are written once.
type rangeEncoder struct {
	data  []byte
	limit int // no operation is added from this size on
	names map[string]uint64
}

// newRangeEncoder returns an encoder that adds operations until they have the size of a limit.
func newRangeEncoder(limit int) *rangeEncoder {
	return &rangeEncoder{data: []byte{encodingVersion}, limit: 1 + limit, names: map[string]uint64{}}
}

// full reports whether nothing more is to be added.
func (e *rangeEncoder) full() bool { return len(e.data) >= e.limit }

// add adds the operations of a log from a sequence number to another one, or as many as the limit allows.
func (e *rangeEncoder) add(origin Origin, first, last uint64, operationAt func(sequence uint64) Operation) {
	if e.full() || first > last {
		return
	}
	var encoded []byte
	count := uint64(0)
	for sequence := first; sequence <= last && len(e.data)+len(encoded) < e.limit; sequence++ {
		encoded = e.appendOperation(encoded, operationAt(sequence))
		count++
	}
	e.data = binary.LittleEndian.AppendUint64(e.data, uint64(origin))
	e.data = binary.AppendUvarint(e.data, first)
	e.data = binary.AppendUvarint(e.data, count)
	e.data = append(e.data, encoded...)
}

// appendOperation appends the id (its size and whether it is packed in one number), the counter (0 and a name, or the number of
// an earlier name) and the amount.
func (e *rangeEncoder) appendOperation(data []byte, operation Operation) []byte {
	if packed, isHex := packHex(operation.ID); isHex {
		data = binary.AppendUvarint(data, uint64(len(packed))<<1|1)
		data = append(data, packed...)
	} else {
		data = binary.AppendUvarint(data, uint64(len(operation.ID))<<1)
		data = append(data, operation.ID...)
	}
	number, known := e.names[operation.Counter]
	data = binary.AppendUvarint(data, number)
	if !known {
		data = codec.AppendBytes(data, operation.Counter)
		e.names[operation.Counter] = uint64(len(e.names)) + 1
	}
	return binary.AppendVarint(data, operation.Amount)
}

// finish returns the encoding, nil if nothing was added.
func (e *rangeEncoder) finish(from *Sender) []byte {
	if len(e.data) == 1 {
		return nil
	}
	return from.appendChecksum(e.data)
}

// packHex returns the bytes that an id of lower-case hexadecimal digits stands for.
func packHex(id string) (packed []byte, isHex bool) {
	if len(id)%2 != 0 {
		return nil, false
	}
	for i := range len(id) {
		digit := id[i]
		if (digit < '0' || digit > '9') && (digit < 'a' || digit > 'f') {
			return nil, false
		}
	}
	packed, err := hex.DecodeString(id)
	return packed, err == nil && id != ""
}

// decodeRanges decodes the ranges of a sender; empty data has none. The error is a *DecodeError.
func decodeRanges(from *Sender, data []byte) (ranges []entryRange, err error) {
	if len(data) == 0 {
		return nil, nil
	}
	content, err := from.verified(data, maxRangesBytes)
	if err != nil {
		return nil, err
	}
	reader := codec.NewCanonicalReader(content)
	reader.Byte("version")
	var names []string
	for len(reader.Rest()) > 0 {
		ranges = append(ranges, readRange(&reader, &names))
	}
	if err := decodeError(&reader); err != nil {
		return nil, err
	}
	return ranges, nil
}

// readRange reads one range. names are those that were read before.
func readRange(reader *codec.Reader, names *[]string) entryRange {
	decoded := entryRange{origin: readOrigin(reader), first: reader.Uvarint("first sequence number")}
	if decoded.first == 0 || decoded.first > maxSequence {
		reader.Fail("first sequence number")
	}
	count := reader.CountOf("number of operations", minOperationSize)
	if count == 0 {
		reader.Fail("number of operations")
	}
	decoded.operations = make([]Operation, count)
	for i := range decoded.operations {
		decoded.operations[i] = readOperation(reader, names)
	}
	return decoded
}

// readOperation reads an operation. names are those that were read before.
func readOperation(reader *codec.Reader, names *[]string) (operation Operation) {
	operation.ID = readID(reader)
	number := reader.Uvarint("counter")
	switch {
	case number > uint64(len(*names)):
		reader.Fail("counter")
	case number > 0:
		operation.Counter = (*names)[number-1]
	default:
		operation.Counter = reader.String("name of a counter")
		*names = append(*names, operation.Counter)
	}
	operation.Amount = reader.Varint("amount")
	if operation.validate() != nil {
		reader.Fail("operation")
	}
	return operation
}

// readID reads an id in either form.
func readID(reader *codec.Reader) string {
	header := reader.Uvarint("size of an id")
	if header>>1 > MaxIDSize {
		reader.Fail("size of an id")
		return ""
	}
	encoded := reader.Fixed("id", int(header>>1))
	if header&1 == 1 {
		return hex.EncodeToString(encoded)
	}
	return string(encoded)
}
