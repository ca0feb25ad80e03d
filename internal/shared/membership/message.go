package membership

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Kind is what a message is for.
type Kind uint8

// The kinds.
const (
	Ping         Kind = iota + 1 // answer me; About is who is asked, empty whoever is there
	Ack                          // I am About, and answer; or: About has answered me
	IndirectPing                 // ask About, at Addr, in my place
	Nack                         // About has not answered me either
	Update                       // what is told along with every message, alone
	Digests                      // digests of the view's parts: send what differs
	Records                      // records of parts that differ
	kinds
)

// Message is what members tell each other. Whoever gets one does not change it.
type Message struct {
	Kind           Kind     `cbor:"1,keyasint"`
	Cluster        string   `cbor:"2,keyasint"`
	From           Record   `cbor:"3,keyasint"`
	Number         uint64   `cbor:"4,keyasint"` // counts the sender's messages in this life
	ViewDigest     uint64   `cbor:"5,keyasint,omitempty"`
	NamesDigest    uint64   `cbor:"6,keyasint,omitempty"` // digest of the names that may be sending
	MetadataDigest uint64   `cbor:"7,keyasint,omitempty"`
	Seq            uint64   `cbor:"8,keyasint,omitempty"` // of a question and its answer
	Subject        *Record  `cbor:"9,keyasint,omitempty"`
	ShardDigests   []uint64 `cbor:"10,keyasint,omitempty"`
	WantsDigests   bool     `cbor:"11,keyasint,omitempty"` // Parts: I have records for you, too
	Records        []Record `cbor:"12,keyasint,omitempty"`
	Payload        []byte   `cbor:"13,keyasint,omitempty"` // what others than the view have to tell along with it
}

const (
	// FormatVersion is the number of the datagrams' form; another one's are dropped.
	FormatVersion = 1
	// MaxDatagramSize is the size of a datagram at most: one that goes through any network in one piece.
	MaxDatagramSize = 1400

	headerSize           = 9   // checksum and format
	shardCount           = 64  // parts of a view: 512 bytes of digests, and a part of 1,000 members fits a page
	maxRecords           = 32  // records in a message
	recordsBudget        = 800 // bytes of records in a message, with those of About; rides have the rest
	payloadBudget        = 300
	maxPayloadSize       = 1100 // of one that goes alone
	maxClusterNameLength = 64
)

// Why a datagram is dropped.
var (
	ErrOversized     = errors.New("membership: oversized")
	ErrCorrupt       = errors.New("membership: broken")
	ErrUnknownFormat = errors.New("membership: of another format")
	ErrOtherCluster  = errors.New("membership: of another fleet")
)

var (
	encMode = must(cbor.EncOptions{Sort: cbor.SortNone}.EncMode())
	decMode = StrictDecMode(6, 32)
)

// StrictDecMode reads CBOR that holds nothing but what is asked for, so deep at most and with so many fields.
func StrictDecMode(nested, fields int) cbor.DecMode {
	return StrictDecModeForArrays(nested, fields, 128)
}

// StrictDecModeForArrays is Strict for arrays of so many elements, where the reader bounds the bytes by itself.
func StrictDecModeForArrays(nested, fields, elements int) cbor.DecMode {
	return must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, MaxNestedLevels: nested,
		MaxArrayElements: elements, MaxMapPairs: fields, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, TagsMd: cbor.TagsForbidden}.DecMode())
}

var deterministicEncMode = must(cbor.CoreDetEncOptions().EncMode())

// MarshalDeterministic writes a value of plain fields, the same bytes for the same value.
func MarshalDeterministic(v any) []byte {
	return must(deterministicEncMode.Marshal(v))
}

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err) // of constants
	}
	return mode
}

// Encode makes a datagram: checksum, format, CBOR.
func Encode(m *Message) ([]byte, error) {
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	b := seal(append(make([]byte, headerSize, headerSize+len(body)), body...))
	if len(b) > MaxDatagramSize {
		return nil, ErrOversized
	}
	return b, nil
}

// seal fills the head of a datagram.
func seal(b []byte) []byte {
	b[8] = FormatVersion
	binary.LittleEndian.PutUint64(b, xxhash.Sum64(b[8:]))
	return b
}

// Decode reads a datagram of a fleet.
func Decode(fleet string, b []byte) (*Message, error) {
	switch {
	case len(b) > MaxDatagramSize:
		return nil, ErrOversized
	case len(b) < headerSize || binary.LittleEndian.Uint64(b) != xxhash.Sum64(b[8:]):
		return nil, ErrCorrupt
	case b[8] != FormatVersion:
		return nil, ErrUnknownFormat
	}
	m := &Message{}
	if err := decMode.Unmarshal(b[headerSize:], m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if m.Cluster != fleet {
		return nil, ErrOtherCluster
	}
	if err := m.validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return m, nil
}

func (m *Message) validate() error {
	if m.Kind == 0 || m.Kind >= kinds || len(m.Cluster) > maxClusterNameLength {
		return errors.New("membership: a kind that nobody knows")
	}
	if len(m.Records) > maxRecords || len(m.ShardDigests) != 0 && len(m.ShardDigests) != shardCount {
		return errors.New("membership: too many records or parts")
	}
	if (m.Kind == Ack || m.Kind == IndirectPing || m.Kind == Nack) && m.Subject == nil {
		return errors.New("membership: it names nobody")
	}
	if len(m.Payload) > maxPayloadSize {
		return errors.New("membership: a ride that is too long")
	}
	if m.Subject != nil {
		if err := m.Subject.validate(); err != nil {
			return err
		}
	}
	if err := m.From.validate(); err != nil {
		return err
	}
	for i := range m.Records {
		if err := m.Records[i].validate(); err != nil {
			return err
		}
	}
	return nil
}

// maxEncodedSize is how many bytes a record takes in a message, at most.
func (r *Record) maxEncodedSize() int {
	n := 52 + len(r.Name) + len(r.SuspectedBy)
	if f := r.Metadata; f != nil {
		n += 54 + len(f.Role) + len(f.Front) + len(f.SettingsHash) + len(f.OperatorHash) + len(f.ExcludedHash) + len(f.Zone) + len(f.Version) + len(f.Serving) + len(f.Console)
	}
	return n
}
