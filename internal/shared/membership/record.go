// Package membership is the fleet's own view: which dispatchers there are, judged by SWIM with Lifeguard's additions, and
// settled by digests. It is pure: time, messages and local facts go in, messages and changes come out. It does no I/O, has
// no clock of its own, and draws its random numbers from a given seed, so that the same input gives the same output.
//
// SWIM: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", DSN
// 2002. Lifeguard: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018.
package membership

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/shared/lease"
)

// State is what a member is held to be.
type State uint8

// The states. Of one life and incarnation, a later one here wins over an earlier one.
const (
	Alive   State = iota
	Suspect       // did not answer; it is given time to say that it does
	Dead          // did not answer for as long as a suspicion lasts
	Left          // has said that it leaves
	states
)

// String is the state as /api/fleet shows it.
func (s State) String() string {
	if s >= states {
		return fmt.Sprintf("state %d", uint8(s))
	}
	return [...]string{"alive", "suspect", "dead", "left"}[s]
}

// Metadata ride along with a member's record. The member alone owns them: of two, the higher Seq is newer.
type Metadata struct {
	Seq     uint64 `cbor:"1,keyasint,omitempty"`
	Zone    string `cbor:"2,keyasint,omitempty"`
	Version string `cbor:"3,keyasint,omitempty"` // of the program
	Serving string `cbor:"4,keyasint,omitempty"` // starting, serving, evacuated or stopping
	Console string `cbor:"5,keyasint,omitempty"` // its second address
	// Hashes of what is in force, of 8 hexadecimal digits.
	SettingsHash string `cbor:"6,keyasint,omitempty"`
	OperatorHash string `cbor:"7,keyasint,omitempty"`

	ExcludedHash string `cbor:"9,keyasint,omitempty"` // of who is out by hand here; empty: nobody
	// When the last two came into force, Unix seconds; program and settings are as old as the life.
	OperatorAt uint32 `cbor:"10,keyasint,omitempty"`
	ExcludedAt uint32 `cbor:"11,keyasint,omitempty"`

	Lease lease.State `cbor:"8,keyasint,omitempty"` // how it stands to its lease

	Role  string `cbor:"12,keyasint,omitempty"` // what the member does; empty: a dispatcher that has no roles
	Front string `cbor:"13,keyasint,omitempty"` // address that clients use; empty: none
}

// Record is what is told of a member.
type Record struct {
	Name        string         `cbor:"1,keyasint"`
	Addr        netip.AddrPort `cbor:"2,keyasint"` // where it is reached, as it says itself
	Generation  uint64         `cbor:"3,keyasint"` // of its process: a later start has a higher one
	Incarnation uint64         `cbor:"4,keyasint,omitempty"`
	State       State          `cbor:"5,keyasint,omitempty"`
	SuspectedBy string         `cbor:"6,keyasint,omitempty"` // of a suspicion: who met with no answer
	DeadFor     float32        `cbor:"7,keyasint,omitempty"` // of one that is dead: seconds since the teller held it so
	Metadata    *Metadata      `cbor:"8,keyasint,omitempty"`
}

// The bounds of a record; what is beyond them makes no sense.
const (
	MaxNameLength    = 64
	maxZoneLength    = 48
	maxVersionLength = 64
	maxServingLength = 16
	maxConsoleLength = 64
	maxHashLength    = 16
	maxRoleLength    = 16
	maxFrontLength   = 64
	maxIncarnation   = 1 << 48 // refuting takes one more than what is told: nobody may drive it to its end
)

// validate says why a record makes no sense.
func (r *Record) validate() error {
	switch {
	case r.Name == "" || len(r.Name) > MaxNameLength || len(r.SuspectedBy) > MaxNameLength:
		return errors.New("membership: a name of no or too many bytes")
	case !r.Addr.IsValid() || r.Addr.Port() == 0:
		return errors.New("membership: no address")
	case r.State >= states:
		return errors.New("membership: a state that nobody knows")
	case r.Generation == 0 || r.Incarnation >= maxIncarnation:
		return errors.New("membership: a life or incarnation that makes no sense")
	case !(r.DeadFor >= 0 && r.DeadFor < 1e9):
		return errors.New("membership: a time that makes no sense")
	}
	if f := r.Metadata; f != nil && (f.Lease > lease.Out || len(f.Zone) > maxZoneLength || len(f.Version) > maxVersionLength || len(f.Serving) > maxServingLength || len(f.Console) > maxConsoleLength ||
		len(f.SettingsHash) > maxHashLength || len(f.OperatorHash) > maxHashLength || len(f.ExcludedHash) > maxHashLength ||
		len(f.Role) > maxRoleLength || len(f.Front) > maxFrontLength) {
		return errors.New("membership: a fact that is too long or unknown")
	}
	return nil
}

// compare orders what is told of one member: later lives, then later incarnations, then graver states.
func (r *Record) compare(o *Record) int {
	if c := cmp.Compare(r.Generation, o.Generation); c != 0 {
		return c
	}
	if c := cmp.Compare(r.Incarnation, o.Incarnation); c != 0 {
		return c
	}
	return cmp.Compare(r.State, o.State)
}

// OutOfService says whether a member takes no new work, as it says itself.
func (r *Record) OutOfService() bool { return r.Metadata != nil && r.Metadata.Lease == lease.Out }

// Key is a number drawn from a name alone: dispatchers that share nothing agree on it.
func Key(name string) uint64 { return xxhash.Sum64String(name) }

// digest is a record's part in the view's: it changes with whatever the members must agree on.
func (r *Record) digest(key uint64) uint64 {
	var b [25]byte
	binary.LittleEndian.PutUint64(b[:], key)
	binary.LittleEndian.PutUint64(b[8:], r.Generation)
	binary.LittleEndian.PutUint64(b[16:], r.Incarnation)
	b[24] = byte(r.State)
	return xxhash.Sum64(b[:])
}

// digestWithMetadata is the same with the member's facts.
func (r *Record) digestWithMetadata(key uint64) uint64 {
	sum := r.digest(key)
	if r.Metadata != nil {
		sum = mixBits(sum + r.Metadata.Seq)
	}
	return sum
}

// mixBits scatters the bits of a number (the finalizer of splitmix64).
func mixBits(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
