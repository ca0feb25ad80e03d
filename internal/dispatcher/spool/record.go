package spool

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/dispatcher/telemetry"
)

const (
	magic          = "CRSPOOL1"
	lengthSize     = 4              // bytes of a record's length, before its kind
	headSize       = lengthSize + 1 // bytes before a record's body
	recordOverhead = headSize + 8   // the checksum included
	maxBodyBytes   = 64 << 20
	periodHeader   = 8 + 8 // bytes before a period's values: timestamp, and interval in milliseconds
)

// The kinds of records.
const (
	kindNames        = 'N' // names of series: the index of the first, and the names in order
	kindPeriod       = 'P' // timestamp and interval in milliseconds (8 bytes each, big-endian), and Period.EncodedValues
	kindSlots        = 'S' // slot assignments
	kindAcknowledged = 'A' // timestamp of the last period that each receiver has
)

type nameRecord struct {
	From   int                `json:"from"`
	Series []telemetry.Series `json:"series"`
}

type record struct {
	newFile bool   // starts a new file; it has no body
	done    func() // called once the record is written or given up; may be nil
	kind    byte
	body    []byte
}

func appendRecord(b []byte, kind byte, body []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	at := len(b)
	b = append(append(b, kind), body...)
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b[at:]))
}

// parseRecord returns the kind and body of the first record of b, and its size n, which is 0 if it is truncated or
// damaged.
func parseRecord(b []byte) (kind byte, body []byte, n int) {
	if len(b) < recordOverhead {
		return 0, nil, 0
	}
	size := int(binary.BigEndian.Uint32(b))
	if size > maxBodyBytes || len(b) < recordOverhead+size {
		return 0, nil, 0
	}
	end := headSize + size
	if xxhash.Sum64(b[lengthSize:end]) != binary.BigEndian.Uint64(b[end:]) {
		return 0, nil, 0
	}
	return b[lengthSize], b[headSize:end], recordOverhead + size
}
