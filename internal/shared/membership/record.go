package membership

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/shared/lease"
)

// State is the state of a member.
type State uint8

// The states of a member. Within one generation and incarnation, a later state overrides an earlier one. The code relies on
// their order: up to Suspect a member takes part, from Dead on it does not.
const (
	Alive   State = iota
	Suspect       // failed a probe; it has time to refute
	Dead          // did not refute a suspicion in time
	Left          // announced that it leaves
	states
)

// String returns the name of the state, as /api/fleet shows it.
func (s State) String() string {
	if s >= states {
		return fmt.Sprintf("state %d", uint8(s))
	}
	return [...]string{"alive", "suspect", "dead", "left"}[s]
}

// Metadata is what a member publishes of itself. Only the member changes it; the higher Seq is newer.
type Metadata struct {
	Seq     uint64 `cbor:"1,keyasint,omitempty"`
	Zone    string `cbor:"2,keyasint,omitempty"`
	Version string `cbor:"3,keyasint,omitempty"` // version of the program
	Serving string `cbor:"4,keyasint,omitempty"` // starting, serving, evacuated or stopping
	Console string `cbor:"5,keyasint,omitempty"` // address of its console
	// Hashes of what is in force, of 8 hexadecimal digits.
	SettingsHash string `cbor:"6,keyasint,omitempty"`
	OperatorHash string `cbor:"7,keyasint,omitempty"`

	ExcludedHash string `cbor:"9,keyasint,omitempty"` // of the members that are excluded by order; empty: none
	// Unix seconds at which the operator's configuration and the exclusions came into force. Program and settings are
	// as old as the generation.
	OperatorAt uint32 `cbor:"10,keyasint,omitempty"`
	ExcludedAt uint32 `cbor:"11,keyasint,omitempty"`

	Lease lease.State `cbor:"8,keyasint,omitempty"` // state of the member's lease

	Role  string `cbor:"12,keyasint,omitempty"` // role in the system; empty: a dispatcher, which has none
	Front string `cbor:"13,keyasint,omitempty"` // address at which clients reach it; empty: none
}

// Record is what members send to each other of a member.
type Record struct {
	Name        string         `cbor:"1,keyasint"`
	Addr        netip.AddrPort `cbor:"2,keyasint"`           // at which it is reached, as it states itself
	Generation  uint64         `cbor:"3,keyasint"`           // number of the process's run: a later start has a higher one
	Incarnation uint64         `cbor:"4,keyasint,omitempty"` // raised by the member to refute a suspicion
	State       State          `cbor:"5,keyasint,omitempty"`
	SuspectedBy string         `cbor:"6,keyasint,omitempty"` // while Suspect: name of the member whose probe failed
	DeadFor     float32        `cbor:"7,keyasint,omitempty"` // while Dead: seconds since the sender declared it so
	Metadata    *Metadata      `cbor:"8,keyasint,omitempty"` // nil: not sent
}

// The bounds of a record, in bytes; records beyond them are rejected.
const (
	MaxNameLength    = 64
	maxZoneLength    = 48
	maxVersionLength = 64
	maxServingLength = 16
	maxConsoleLength = 64
	maxHashLength    = 16
	maxRoleLength    = 16
	maxFrontLength   = 64
	maxIncarnation   = 1 << 48 // a refutation takes the next one, and nobody may exhaust them
)

// validate reports why a record is malformed.
func (r *Record) validate() error {
	switch {
	case r.Name == "" || len(r.Name) > MaxNameLength || len(r.SuspectedBy) > MaxNameLength:
		return &InvalidError{"empty or too long name"}
	case !r.Addr.IsValid() || r.Addr.Port() == 0:
		return &InvalidError{"no valid address"}
	case r.State >= states:
		return &InvalidError{"unknown state"}
	case r.Generation == 0 || r.Incarnation >= maxIncarnation:
		return &InvalidError{"generation or incarnation out of range"}
	case !(r.DeadFor >= 0 && r.DeadFor < 1e9):
		return &InvalidError{"time out of range"}
	}
	if r.Metadata != nil && !r.Metadata.isWithinBounds() {
		return &InvalidError{"metadata too long or unknown"}
	}
	return nil
}

// isWithinBounds reports whether the lease state is known and no string is too long.
func (m *Metadata) isWithinBounds() bool {
	return m.Lease <= lease.Out &&
		len(m.Zone) <= maxZoneLength &&
		len(m.Version) <= maxVersionLength &&
		len(m.Serving) <= maxServingLength &&
		len(m.Console) <= maxConsoleLength &&
		len(m.SettingsHash) <= maxHashLength &&
		len(m.OperatorHash) <= maxHashLength &&
		len(m.ExcludedHash) <= maxHashLength &&
		len(m.Role) <= maxRoleLength &&
		len(m.Front) <= maxFrontLength
}

// compare orders the records of one member: by generation, incarnation and state.
func (r *Record) compare(other *Record) int {
	if c := cmp.Compare(r.Generation, other.Generation); c != 0 {
		return c
	}
	if c := cmp.Compare(r.Incarnation, other.Incarnation); c != 0 {
		return c
	}
	return cmp.Compare(r.State, other.State)
}

// OutOfService reports whether the member takes no new work, because its lease is out.
func (r *Record) OutOfService() bool { return r.Metadata != nil && r.Metadata.Lease == lease.Out }

// Key returns a hash of a name, by which members agree on an order without communication.
func Key(name string) uint64 { return xxhash.Sum64String(name) }

// digest returns a record's share of the view's digest: a hash of all on which members must agree.
func (r *Record) digest(key uint64) uint64 {
	var b [25]byte
	binary.LittleEndian.PutUint64(b[:], key)
	binary.LittleEndian.PutUint64(b[8:], r.Generation)
	binary.LittleEndian.PutUint64(b[16:], r.Incarnation)
	b[24] = byte(r.State)
	return xxhash.Sum64(b[:])
}

// digestWithMetadata returns the same with the version of the metadata.
func (r *Record) digestWithMetadata(key uint64) uint64 {
	sum := r.digest(key)
	if r.Metadata != nil {
		sum = mixBits(sum + r.Metadata.Seq)
	}
	return sum
}

// mixBits scatters the bits of a number (the finalizer of splitmix64).
func mixBits(bits uint64) uint64 {
	bits = (bits ^ bits>>30) * 0xbf58476d1ce4e5b9
	bits = (bits ^ bits>>27) * 0x94d049bb133111eb
	return bits ^ bits>>31
}

// Bytes of an encoded record and of its metadata without their strings, at most.
const (
	maxRecordOverhead   = 52
	maxMetadataOverhead = 54
)

// maxEncodedSize returns the size of a record in a message in bytes, at most.
func (r *Record) maxEncodedSize() int {
	size := maxRecordOverhead + len(r.Name) + len(r.SuspectedBy)
	if r.Metadata != nil {
		size += maxMetadataOverhead + r.Metadata.stringBytes()
	}
	return size
}

// stringBytes returns the length of all strings together.
func (m *Metadata) stringBytes() int {
	hashes := len(m.SettingsHash) + len(m.OperatorHash) + len(m.ExcludedHash)
	addresses := len(m.Console) + len(m.Front)
	return len(m.Zone) + len(m.Version) + len(m.Serving) + len(m.Role) + hashes + addresses
}
