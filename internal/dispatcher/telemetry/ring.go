package telemetry

// Ring buffers closed periods until every receiver has them, within a limit of bytes. Periods are numbered from 1.
type Ring struct {
	Dropped uint64 // periods dropped before every receiver had them

	maxBytes int
	bytes    int
	oldest   uint64 // number of periods[0]
	periods  []*Period
	cursors  []*Cursor
}

// Cursor is the position of a receiver.
type Cursor struct {
	Name string
	next uint64 // number of the first period that the receiver doesn't have
}

// NewRing returns a ring for at most maxBytes of encoded values; the newest period is always kept.
func NewRing(maxBytes int) *Ring { return &Ring{maxBytes: maxBytes, oldest: 1} }

// OpenCursor adds a receiver that starts at the oldest buffered period.
func (r *Ring) OpenCursor(name string) *Cursor {
	p := &Cursor{Name: name, next: r.oldest}
	r.cursors = append(r.cursors, p)
	return p
}

// CloseCursor removes a receiver; periods that only it lacks are dropped.
func (r *Ring) CloseCursor(p *Cursor) {
	for i, other := range r.cursors {
		if other == p {
			r.cursors = append(r.cursors[:i], r.cursors[i+1:]...)
			break
		}
	}
	r.dropDelivered()
}

// Push adds a closed period. If the limit is exceeded, the oldest are dropped.
func (r *Ring) Push(p *Period) {
	r.periods = append(r.periods, p)
	r.bytes += len(p.EncodedValues)
	for r.bytes > r.maxBytes && len(r.periods) > 1 {
		for _, cursor := range r.cursors {
			if cursor.next <= r.oldest {
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

// dropDelivered drops the periods that all receivers have.
func (r *Ring) dropDelivered() {
	firstNeeded := r.oldest + uint64(len(r.periods))
	for _, cursor := range r.cursors {
		firstNeeded = min(firstNeeded, max(cursor.next, r.oldest))
	}
	for r.oldest < firstNeeded {
		r.dropOldest()
	}
}

// Next returns the number of the first period that the receiver doesn't have.
func (p *Cursor) Next() uint64 { return p.next }

// PeriodFrom returns the first buffered period with number n or more, and its number, which is above n if period n was
// dropped; nil if there is none.
func (r *Ring) PeriodFrom(n uint64) (*Period, uint64) {
	n = max(n, r.oldest)
	if n-r.oldest >= uint64(len(r.periods)) {
		return nil, n
	}
	return r.periods[n-r.oldest], n
}

// Newest returns the number of the newest period.
func (r *Ring) Newest() uint64 { return r.oldest + uint64(len(r.periods)) - 1 }

// Acknowledge records that a receiver has all periods up to number n.
func (r *Ring) Acknowledge(p *Cursor, n uint64) {
	if n >= p.next {
		p.next = n + 1
		r.dropDelivered()
	}
}

// SkipTo records that a receiver has all periods up to a timestamp, delivered by an earlier process.
func (r *Ring) SkipTo(p *Cursor, timestamp int64) {
	for {
		period, number := r.PeriodFrom(p.next)
		if period == nil || period.Timestamp > timestamp {
			return
		}
		r.Acknowledge(p, number)
	}
}

// Size returns the number of buffered periods, and the bytes of their values.
func (r *Ring) Size() (periods, bytes int) { return len(r.periods), r.bytes }

// Periods returns the buffered periods, oldest first.
func (r *Ring) Periods() []*Period { return r.periods }

// Pending returns how many periods a receiver lacks.
func (r *Ring) Pending(p *Cursor) int {
	return int(r.oldest + uint64(len(r.periods)) - max(p.next, r.oldest))
}
