package jobreplica

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/shared/membership"
)

// FormatVersion is the version of the datagrams. Version 1 carried messages of another consensus implementation.
const FormatVersion = 2

// MaxDatagramBytes is the size of the largest datagram that is sent or accepted.
const MaxDatagramBytes = 1400

// A datagram is a checksum of the rest (8 bytes, little-endian), the version (1 byte) and an encoded fragment.
const (
	checksumBytes       = 8
	datagramHeaderBytes = checksumBytes + 1
	fragmentBytes       = 1200 // of message data in one datagram; the rest is for the header and the other fields
	maxFragments        = 1 << 15
	fragmentNesting     = 6
	maxFragmentFields   = 32
)

// Reasons for which Fragmenter.Reassemble rejects a datagram.
var (
	ErrOversized         = errors.New("job replica: datagram over the size limit")
	ErrMalformed         = errors.New("job replica: malformed datagram")
	ErrUnsupportedFormat = errors.New("job replica: datagram of another format version")
	ErrOtherCluster      = errors.New("job replica: datagram of another cluster or for another incarnation")
)

// fragmentDecoder rejects all that encodeFragment does not write.
var fragmentDecoder = membership.StrictDecMode(fragmentNesting, maxFragmentFields)

// fragment is the body of a datagram: a part of a message, or a request for parts.
type fragment struct {
	Cluster       string `cbor:"1,keyasint"`
	From          uint64 `cbor:"2,keyasint"` // Member.ID
	To            uint64 `cbor:"3,keyasint"` // Member.ID
	MessageNumber uint64 `cbor:"4,keyasint"` // assigned by the message's sender
	Index         uint32 `cbor:"5,keyasint,omitempty"`
	Count         uint32 `cbor:"6,keyasint"` // fragments of the message
	Data          []byte `cbor:"7,keyasint"`

	// Requested are the indexes of the fragments that the sender of message MessageNumber should send again. A request has
	// no data.
	Requested []uint32 `cbor:"8,keyasint,omitempty"`
}

// encodeFragment returns the datagram of a fragment.
func encodeFragment(part *fragment) []byte {
	body := membership.MarshalDeterministic(part)
	datagram := append(make([]byte, checksumBytes, datagramHeaderBytes+len(body)), FormatVersion)
	datagram = append(datagram, body...)
	binary.LittleEndian.PutUint64(datagram, xxhash.Sum64(datagram[checksumBytes:]))
	return datagram
}

// decodeFragment reads a datagram, of whichever cluster and for whichever receiver.
func decodeFragment(datagram []byte) (*fragment, error) {
	switch {
	case len(datagram) > MaxDatagramBytes:
		return nil, ErrOversized
	case len(datagram) < datagramHeaderBytes:
		return nil, ErrMalformed
	case binary.LittleEndian.Uint64(datagram) != xxhash.Sum64(datagram[checksumBytes:]):
		return nil, ErrMalformed
	case datagram[checksumBytes] != FormatVersion:
		return nil, ErrUnsupportedFormat
	}
	received := new(fragment)
	if err := fragmentDecoder.Unmarshal(datagram[datagramHeaderBytes:], received); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return received, nil
}

// validPart reports whether the fragment can be a part of a message: all but the last are full.
func (f *fragment) validPart() bool {
	return f.Count > 0 && f.Count <= maxFragments && f.Index < f.Count && (f.Index+1 == f.Count || len(f.Data) == fragmentBytes)
}
