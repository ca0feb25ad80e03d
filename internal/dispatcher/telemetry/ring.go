package telemetry

// Ring holds closed periods until every receiver has them, within a bound of bytes.
type Ring struct {
	Dropped uint64 // periods that had to go while a receiver still wanted them

	maxBytes int
	bytes    int
	oldest   uint64 // number of the oldest
	periods  []*Period
	cursors  []*Cursor
}

// Cursor is how far a receiver has come.
type Cursor struct {
	Name string
	next uint64 // number of the first period that it has not got
}

// NewRing makes a ring that holds at most so many bytes of values, and always the newest period.
func NewRing(maxBytes int) *Ring { return &Ring{maxBytes: maxBytes, oldest: 1} }

// OpenCursor gives a receiver its place, from the oldest period held on.
func (r *Ring) OpenCursor(name string) *Cursor {
	p := &Cursor{Name: name, next: r.oldest}
	r.cursors = append(r.cursors, p)
	return p
}

// CloseCursor ends a receiver's claim.
func (r *Ring) CloseCursor(p *Cursor) {
	for i, o := range r.cursors {
		if o == p {
			r.cursors = append(r.cursors[:i], r.cursors[i+1:]...)
			break
		}
	}
	r.dropDelivered()
}

// Push adds a closed period. With no room the oldest ones go.
func (r *Ring) Push(p *Period) {
	r.periods = append(r.periods, p)
	r.bytes += len(p.EncodedValues)
	for r.bytes > r.maxBytes && len(r.periods) > 1 {
		for _, place := range r.cursors {
			if place.next <= r.oldest {
				r.Dropped++
				break
			}
		}
		r.dropOldest()
	}
	r.dropDelivered()
}

func (r *Ring) dropOldest() {
	r.bytes -= len(r.periods[0].EncodedValues)
	r.periods[0] = nil
	r.periods = r.periods[1:]
	r.oldest++
}

// dropDelivered lets go of what all receivers have got.
func (r *Ring) dropDelivered() {
	least := r.oldest + uint64(len(r.periods))
	for _, p := range r.cursors {
		least = min(least, max(p.next, r.oldest))
	}
	for r.oldest < least {
		r.dropOldest()
	}
}

// Next is how far a receiver has come: the number of the first period that it has not got.
func (p *Cursor) Next() uint64 { return p.next }

// PeriodFrom is the first period held of those numbered n or more, and its number; nil if there is none.
func (r *Ring) PeriodFrom(n uint64) (*Period, uint64) {
	n = max(n, r.oldest)
	if n-r.oldest >= uint64(len(r.periods)) {
		return nil, n
	}
	return r.periods[n-r.oldest], n
}

// Newest is the number of the period that was pushed last.
func (r *Ring) Newest() uint64 { return r.oldest + uint64(len(r.periods)) - 1 }

// Acknowledge says that a receiver has all up to the period of a number.
func (r *Ring) Acknowledge(p *Cursor, n uint64) {
	if n >= p.next {
		p.next = n + 1
		r.dropDelivered()
	}
}

// SkipTo says that a receiver has all up to a stamp already: an earlier life has seen to that.
func (r *Ring) SkipTo(p *Cursor, stamp int64) {
	for q, n := r.PeriodFrom(p.next); q != nil && q.Timestamp <= stamp; q, n = r.PeriodFrom(p.next) {
		r.Acknowledge(p, n)
	}
}

// Size is how many periods are held, and the bytes of their values.
func (r *Ring) Size() (periods, bytes int) { return len(r.periods), r.bytes }

// Periods returns the periods held, the oldest first.
func (r *Ring) Periods() []*Period { return r.periods }

// Pending is how many periods a receiver has still to get.
func (r *Ring) Pending(p *Cursor) int {
	return int(r.oldest + uint64(len(r.periods)) - max(p.next, r.oldest))
}
