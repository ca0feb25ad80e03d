package telemetry

// Ring holds closed periods until every receiver has them, within a bound of bytes.
type Ring struct {
	Dropped uint64 // periods that had to go while a receiver still wanted them

	most    int
	bytes   int
	first   uint64 // number of the oldest
	periods []*Period
	places  []*Place
}

// Place is how far a receiver has come.
type Place struct {
	Name string
	next uint64 // number of the first period that it has not got
}

// NewRing makes a ring that holds at most so many bytes of values, and always the newest period.
func NewRing(most int) *Ring { return &Ring{most: most, first: 1} }

// Open gives a receiver its place, from the oldest period held on.
func (r *Ring) Open(name string) *Place {
	p := &Place{Name: name, next: r.first}
	r.places = append(r.places, p)
	return p
}

// Close ends a receiver's claim.
func (r *Ring) Close(p *Place) {
	for i, o := range r.places {
		if o == p {
			r.places = append(r.places[:i], r.places[i+1:]...)
			break
		}
	}
	r.trim()
}

// Push adds a closed period. With no room the oldest ones go.
func (r *Ring) Push(p *Period) {
	r.periods = append(r.periods, p)
	r.bytes += len(p.Body)
	for r.bytes > r.most && len(r.periods) > 1 {
		for _, place := range r.places {
			if place.next <= r.first {
				r.Dropped++
				break
			}
		}
		r.drop()
	}
	r.trim()
}

func (r *Ring) drop() {
	r.bytes -= len(r.periods[0].Body)
	r.periods[0] = nil
	r.periods = r.periods[1:]
	r.first++
}

// trim lets go of what all receivers have got.
func (r *Ring) trim() {
	least := r.first + uint64(len(r.periods))
	for _, p := range r.places {
		least = min(least, max(p.next, r.first))
	}
	for r.first < least {
		r.drop()
	}
}

// After is how far a receiver has come: the number of the first period that it has not got.
func (p *Place) After() uint64 { return p.next }

// From is the first period held of those numbered n or more, and its number; nil if there is none.
func (r *Ring) From(n uint64) (*Period, uint64) {
	n = max(n, r.first)
	if n-r.first >= uint64(len(r.periods)) {
		return nil, n
	}
	return r.periods[n-r.first], n
}

// Newest is the number of the period that was pushed last.
func (r *Ring) Newest() uint64 { return r.first + uint64(len(r.periods)) - 1 }

// Got says that a receiver has all up to the period of a number.
func (r *Ring) Got(p *Place, n uint64) {
	if n >= p.next {
		p.next = n + 1
		r.trim()
	}
}

// Skip says that a receiver has all up to a stamp already: an earlier life has seen to that.
func (r *Ring) Skip(p *Place, stamp int64) {
	for q, n := r.From(p.next); q != nil && q.Stamp <= stamp; q, n = r.From(p.next) {
		r.Got(p, n)
	}
}

// Held is how many periods are held, and the bytes of their values.
func (r *Ring) Held() (periods, bytes int) { return len(r.periods), r.bytes }

// All returns the periods held, the oldest first.
func (r *Ring) All() []*Period { return r.periods }

// Waiting is how many periods a receiver has still to get.
func (r *Ring) Waiting(p *Place) int {
	return int(r.first + uint64(len(r.periods)) - max(p.next, r.first))
}
