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
	Ping    Kind = iota + 1 // answer me; About is who is asked, empty whoever is there
	Ack                     // I am About, and answer; or: About has answered me
	PingReq                 // ask About, at Addr, in my place
	Nack                    // About has not answered me either
	News                    // what is told along with every message, alone
	Parts                   // digests of the view's parts: send what differs
	Page                    // records of parts that differ
	kinds
)

// Message is what members tell each other. Whoever gets one does not change it.
type Message struct {
	Kind   Kind     `cbor:"1,keyasint"`
	Fleet  string   `cbor:"2,keyasint"`
	From   Record   `cbor:"3,keyasint"`
	N      uint64   `cbor:"4,keyasint"` // counts the sender's messages in this life
	View   uint64   `cbor:"5,keyasint,omitempty"`
	Names  uint64   `cbor:"6,keyasint,omitempty"` // digest of the names that may be sending
	Facts  uint64   `cbor:"7,keyasint,omitempty"`
	Seq    uint64   `cbor:"8,keyasint,omitempty"` // of a question and its answer
	About  *Record  `cbor:"9,keyasint,omitempty"`
	Parts  []uint64 `cbor:"10,keyasint,omitempty"`
	Return bool     `cbor:"11,keyasint,omitempty"` // Parts: I have records for you, too
	Tell   []Record `cbor:"12,keyasint,omitempty"`
	Ride   []byte   `cbor:"13,keyasint,omitempty"` // what others than the view have to tell along with it
}

const (
	// Format is the number of the datagrams' form; another one's are dropped.
	Format = 1
	// MostBytes is the size of a datagram at most: one that goes through any network in one piece.
	MostBytes = 1400

	headBytes  = 9   // checksum and format
	partCount  = 64  // parts of a view: 512 bytes of digests, and a part of 1,000 members fits a page
	mostTold   = 32  // records in a message
	roomToTell = 800 // bytes of records in a message, with those of About; rides have the rest
	roomToRide = 300
	mostRide   = 1100 // of one that goes alone
	mostFleet  = 64
)

// Why a datagram is dropped.
var (
	ErrOversized = errors.New("membership: oversized")
	ErrBroken    = errors.New("membership: broken")
	ErrFormat    = errors.New("membership: of another format")
	ErrForeign   = errors.New("membership: of another fleet")
)

var (
	encoding = must(cbor.EncOptions{Sort: cbor.SortNone}.EncMode())
	decoding = Strict(6, 32)
)

// Strict reads CBOR that holds nothing but what is asked for, so deep at most and with so many fields.
func Strict(nested, fields int) cbor.DecMode { return StrictLong(nested, fields, 128) }

// StrictLong is Strict for arrays of so many elements, where the reader bounds the bytes by itself.
func StrictLong(nested, fields, elements int) cbor.DecMode {
	return must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, MaxNestedLevels: nested,
		MaxArrayElements: elements, MaxMapPairs: fields, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, TagsMd: cbor.TagsForbidden}.DecMode())
}

var deterministic = must(cbor.CoreDetEncOptions().EncMode())

// Deterministic writes a value of plain fields, the same bytes for the same value.
func Deterministic(v any) []byte {
	return must(deterministic.Marshal(v))
}

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err) // of constants
	}
	return mode
}

// Encode makes a datagram: checksum, format, CBOR.
func Encode(m *Message) ([]byte, error) {
	body, err := encoding.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	b := seal(append(make([]byte, headBytes, headBytes+len(body)), body...))
	if len(b) > MostBytes {
		return nil, ErrOversized
	}
	return b, nil
}

// seal fills the head of a datagram.
func seal(b []byte) []byte {
	b[8] = Format
	binary.LittleEndian.PutUint64(b, xxhash.Sum64(b[8:]))
	return b
}

// Decode reads a datagram of a fleet.
func Decode(fleet string, b []byte) (*Message, error) {
	switch {
	case len(b) > MostBytes:
		return nil, ErrOversized
	case len(b) < headBytes || binary.LittleEndian.Uint64(b) != xxhash.Sum64(b[8:]):
		return nil, ErrBroken
	case b[8] != Format:
		return nil, ErrFormat
	}
	m := &Message{}
	if err := decoding.Unmarshal(b[headBytes:], m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if m.Fleet != fleet {
		return nil, ErrForeign
	}
	if err := m.check(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return m, nil
}

func (m *Message) check() error {
	if m.Kind == 0 || m.Kind >= kinds || len(m.Fleet) > mostFleet {
		return errors.New("membership: a kind that nobody knows")
	}
	if len(m.Tell) > mostTold || len(m.Parts) != 0 && len(m.Parts) != partCount {
		return errors.New("membership: too many records or parts")
	}
	if (m.Kind == Ack || m.Kind == PingReq || m.Kind == Nack) && m.About == nil {
		return errors.New("membership: it names nobody")
	}
	if len(m.Ride) > mostRide {
		return errors.New("membership: a ride that is too long")
	}
	if m.About != nil {
		if err := m.About.check(); err != nil {
			return err
		}
	}
	if err := m.From.check(); err != nil {
		return err
	}
	for i := range m.Tell {
		if err := m.Tell[i].check(); err != nil {
			return err
		}
	}
	return nil
}

// room is how many bytes a record takes in a message, at most.
func (r *Record) room() int {
	n := 52 + len(r.Name) + len(r.By)
	if f := r.FactsOf; f != nil {
		n += 54 + len(f.Role) + len(f.Front) + len(f.Settings) + len(f.Operator) + len(f.Excluded) + len(f.Zone) + len(f.Version) + len(f.Serving) + len(f.Console)
	}
	return n
}
