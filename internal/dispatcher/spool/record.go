package spool

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/dispatcher/telemetry"
)

const (
	magic          = "CRSPOOL1"
	recordOverhead = 4 + 1 + 8
	maxBodyBytes   = 64 << 20
)

// The kinds of record.
const (
	kindNames        = 'N' // names of series: the number of the first, and the names in order
	kindPeriod       = 'P' // a period
	kindSlots        = 'S' // who holds which slot
	kindAcknowledged = 'A' // up to which stamp each receiver has the periods
)

type nameRecord struct {
	From   int                `json:"from"`
	Series []telemetry.Series `json:"series"`
}

type record struct {
	newFile bool   // begins a file of its own
	done    func() // hears that it is written, or will not be
	kind    byte
	body    []byte
}

func appendRecord(b []byte, kind byte, body []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	at := len(b)
	b = append(append(b, kind), body...)
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b[at:]))
}

// parseRecord reads the first record of b; n is 0 where it is torn.
func parseRecord(b []byte) (kind byte, body []byte, n int) {
	if len(b) < recordOverhead {
		return 0, nil, 0
	}
	size := int(binary.BigEndian.Uint32(b))
	if size > maxBodyBytes || len(b) < recordOverhead+size {
		return 0, nil, 0
	}
	if xxhash.Sum64(b[4:5+size]) != binary.BigEndian.Uint64(b[5+size:]) {
		return 0, nil, 0
	}
	return b[4], b[5 : 5+size], recordOverhead + size
}
