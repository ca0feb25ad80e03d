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

// Facts ride along with a member's record. The member alone owns them: of two, the higher Seq is newer.
type Facts struct {
	Seq     uint64 `cbor:"1,keyasint,omitempty"`
	Zone    string `cbor:"2,keyasint,omitempty"`
	Version string `cbor:"3,keyasint,omitempty"` // of the program
	Serving string `cbor:"4,keyasint,omitempty"` // starting, serving, evacuated or stopping
	Console string `cbor:"5,keyasint,omitempty"` // its second address
	// Hashes of what is in force, of 8 hexadecimal digits.
	Settings string `cbor:"6,keyasint,omitempty"`
	Operator string `cbor:"7,keyasint,omitempty"`

	Excluded string `cbor:"9,keyasint,omitempty"` // of who is out by hand here; empty: nobody
	// When the last two came into force, Unix seconds; program and settings are as old as the life.
	OperatorAt uint32 `cbor:"10,keyasint,omitempty"`
	ExcludedAt uint32 `cbor:"11,keyasint,omitempty"`

	Lease lease.State `cbor:"8,keyasint,omitempty"` // how it stands to its lease

	Role  string `cbor:"12,keyasint,omitempty"` // what the member does; empty: a dispatcher that has no roles
	Front string `cbor:"13,keyasint,omitempty"` // address that clients use; empty: none
}

// Record is what is told of a member.
type Record struct {
	Name    string         `cbor:"1,keyasint"`
	Addr    netip.AddrPort `cbor:"2,keyasint"` // where it is reached, as it says itself
	Life    uint64         `cbor:"3,keyasint"` // of its process: a later start has a higher one
	Inc     uint64         `cbor:"4,keyasint,omitempty"`
	State   State          `cbor:"5,keyasint,omitempty"`
	By      string         `cbor:"6,keyasint,omitempty"` // of a suspicion: who met with no answer
	Ago     float32        `cbor:"7,keyasint,omitempty"` // of one that is dead: seconds since the teller held it so
	FactsOf *Facts         `cbor:"8,keyasint,omitempty"`
}

// The bounds of a record; what is beyond them makes no sense.
const (
	MostName    = 64
	mostZone    = 48
	mostVersion = 64
	mostServing = 16
	mostConsole = 64
	mostHash    = 16
	mostRole    = 16
	mostFront   = 64
	mostInc     = 1 << 48 // refuting takes one more than what is told: nobody may drive it to its end
)

// check says why a record makes no sense.
func (r *Record) check() error {
	switch {
	case r.Name == "" || len(r.Name) > MostName || len(r.By) > MostName:
		return errors.New("membership: a name of no or too many bytes")
	case !r.Addr.IsValid() || r.Addr.Port() == 0:
		return errors.New("membership: no address")
	case r.State >= states:
		return errors.New("membership: a state that nobody knows")
	case r.Life == 0 || r.Inc >= mostInc:
		return errors.New("membership: a life or incarnation that makes no sense")
	case !(r.Ago >= 0 && r.Ago < 1e9):
		return errors.New("membership: a time that makes no sense")
	}
	if f := r.FactsOf; f != nil && (f.Lease > lease.Out || len(f.Zone) > mostZone || len(f.Version) > mostVersion || len(f.Serving) > mostServing || len(f.Console) > mostConsole ||
		len(f.Settings) > mostHash || len(f.Operator) > mostHash || len(f.Excluded) > mostHash ||
		len(f.Role) > mostRole || len(f.Front) > mostFront) {
		return errors.New("membership: a fact that is too long or unknown")
	}
	return nil
}

// compare orders what is told of one member: later lives, then later incarnations, then graver states.
func (r *Record) compare(o *Record) int {
	if c := cmp.Compare(r.Life, o.Life); c != 0 {
		return c
	}
	if c := cmp.Compare(r.Inc, o.Inc); c != 0 {
		return c
	}
	return cmp.Compare(r.State, o.State)
}

// Shut says whether a member takes no new work, as it says itself.
func (r *Record) Shut() bool { return r.FactsOf != nil && r.FactsOf.Lease == lease.Out }

// Key is a number drawn from a name alone: dispatchers that share nothing agree on it.
func Key(name string) uint64 { return xxhash.Sum64String(name) }

// digest is a record's part in the view's: it changes with whatever the members must agree on.
func (r *Record) digest(key uint64) uint64 {
	var b [25]byte
	binary.LittleEndian.PutUint64(b[:], key)
	binary.LittleEndian.PutUint64(b[8:], r.Life)
	binary.LittleEndian.PutUint64(b[16:], r.Inc)
	b[24] = byte(r.State)
	return xxhash.Sum64(b[:])
}

// factsDigest is the same with the member's facts.
func (r *Record) factsDigest(key uint64) uint64 {
	sum := r.digest(key)
	if r.FactsOf != nil {
		sum = mix(sum + r.FactsOf.Seq)
	}
	return sum
}

// mix scatters the bits of a number (the finalizer of splitmix64).
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
