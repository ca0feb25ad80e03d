package membership

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

var (
	encMode = must(cbor.EncOptions{Sort: cbor.SortNone}.EncMode())
	decMode = StrictDecMode(6, 32)
)

// Encode returns the datagram of a message: checksum, format version, CBOR. It returns ErrOversized if it does not fit
// MaxDatagramSize.
func Encode(msg *Message) ([]byte, error) {
	body, err := encMode.Marshal(msg)
	if err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	b := seal(append(make([]byte, headerSize, headerSize+len(body)), body...))
	if len(b) > MaxDatagramSize {
		return nil, ErrOversized
	}
	return b, nil
}

// seal fills in the header of a datagram.
func seal(b []byte) []byte {
	b[8] = FormatVersion
	binary.LittleEndian.PutUint64(b, xxhash.Sum64(b[8:]))
	return b
}

// Decode returns the message of a datagram of the given cluster. All its errors but a wrapped ErrCorrupt are the
// sentinels above.
func Decode(cluster string, b []byte) (*Message, error) {
	switch {
	case len(b) > MaxDatagramSize:
		return nil, ErrOversized
	case len(b) < headerSize || binary.LittleEndian.Uint64(b) != xxhash.Sum64(b[8:]):
		return nil, ErrCorrupt
	case b[8] != FormatVersion:
		return nil, ErrUnknownFormat
	}
	msg := &Message{}
	if err := decMode.Unmarshal(b[headerSize:], msg); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if msg.Cluster != cluster {
		return nil, ErrOtherCluster
	}
	if err := msg.validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return msg, nil
}
