package versions

import (
	"errors"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"

	"cinderroad/internal/shared/membership"
)

// This file is what goes along with the membership's messages, and how it is read.

// ride is what goes along with a member's messages.
type ride struct {
	List  List    `cbor:"1,keyasint"`
	Ask   bool    `cbor:"2,keyasint,omitempty"` // what do you know that is newer than my list?
	Facts []Fact  `cbor:"3,keyasint,omitempty"`
	Knows int64   `cbor:"4,keyasint,omitempty"` // the newest version of which I know all facts, if that is more than my list
	Age   float32 `cbor:"6,keyasint,omitempty"` // seconds since the list's line of descent began
	Count int     `cbor:"5,keyasint,omitempty"` // of an answer: so many facts are newer than your list, and one more

	Word   uint64  `cbor:"7,keyasint,omitempty"` // when discovery spoke last, in tenths of a second of Unix time
	Direct bool    `cbor:"8,keyasint,omitempty"` // the sender's own discovery has said it
	Orders []Order `cbor:"10,keyasint,omitempty"`
	Clock  float64 `cbor:"9,keyasint,omitempty"`  // the sender's, Unix time; now and then
	Holds  uint64  `cbor:"11,keyasint,omitempty"` // digest of the orders known
}

// ride is one without facts.
func (b *Board) ride(now float64) *ride {
	return &ride{List: b.own, Knows: b.knows(), Age: b.age(now), Word: b.word, Direct: b.direct && now <= b.heardAt+liveGap, Holds: b.orders.digest}
}

// fit is how many of some facts have room in a ride.
func fit(all []Fact, room int) (n int) {
	for n < min(len(all), mostInRide) {
		if room -= 24 + len(all[n].Worker); room < 0 {
			break
		}
		n++
	}
	return n
}

// pageRoom is how many bytes of an answer facts and orders may take.
func (b *Board) pageRoom() int {
	return pageBytes - headRoom - len(b.own.Source)
}

func (b *Board) encode(r *ride) []byte {
	out, err := cbor.Marshal(r)
	if err != nil {
		return nil // of numbers and strings: it cannot fail
	}
	b.Counts.Told += uint64(len(r.Facts))
	return out
}

var decoding = membership.StrictDecMode(5, 16)

func decode(text []byte) (*ride, error) {
	r := &ride{}
	if err := decoding.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("versions: %w", err)
	}
	if l := &r.List; len(l.Source) > mostSource || l.Rev < 0 || l.Rev > mostRev || l.Descent > mostRev ||
		r.Knows < 0 || r.Knows > mostRev || r.Count < 0 || !(r.Age >= 0 && r.Age < 1e9) || !(r.Clock >= 0 && r.Clock < 1e11) {
		return nil, errors.New("versions: a version that makes no sense")
	}
	for _, f := range r.Facts {
		if f.Worker == "" || len(f.Worker) > mostWorker || f.State >= states || f.Rev < 0 || f.Rev > mostRev || f.Start < 0 || f.Start > math.MaxInt64/2 {
			return nil, errors.New("versions: a fact that makes no sense")
		}
	}
	for i := range r.Orders {
		if err := r.Orders[i].check(); err != nil {
			return nil, err
		}
	}
	return r, nil
}
