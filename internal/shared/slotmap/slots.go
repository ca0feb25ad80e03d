// Package slots keeps things in numbered slots. A handle holds the slot's number and its generation, so an
// event meant for something that has left its slot misses whatever sits there now.
package slotmap

// Handle names one stay of a thing in a slot; 0 names nothing.
type Handle uint64

// Map is a set of numbered slots.
type Map[T any] struct {
	slots []slot[T]
	free  []uint32
	n     int
}

type slot[T any] struct {
	gen   uint32 // odd while the slot is taken
	value T
}

// Insert takes a free slot.
func (t *Map[T]) Insert(v T) Handle {
	var at uint32
	if n := len(t.free); n > 0 {
		at, t.free = t.free[n-1], t.free[:n-1]
	} else {
		at = uint32(len(t.slots))
		t.slots = append(t.slots, slot[T]{})
	}
	s := &t.slots[at]
	s.gen, s.value = s.gen+1, v
	t.n++
	return Handle(uint64(s.gen)<<32 | uint64(at))
}

func (t *Map[T]) slot(h Handle) *slot[T] {
	at, gen := uint32(h), uint32(h>>32)
	if int(at) >= len(t.slots) || t.slots[at].gen != gen || gen&1 == 0 {
		return nil
	}
	return &t.slots[at]
}

// Get returns what the handle names, unless it has left.
func (t *Map[T]) Get(h Handle) (v T, ok bool) {
	if s := t.slot(h); s != nil {
		return s.value, true
	}
	return v, false
}

// Remove frees the slot; a handle that has left already is ignored.
func (t *Map[T]) Remove(h Handle) bool {
	s := t.slot(h)
	if s == nil {
		return false
	}
	var zero T
	s.gen, s.value = s.gen+1, zero
	t.free = append(t.free, uint32(h))
	t.n--
	return true
}

// Len is the number of slots taken.
func (t *Map[T]) Len() int { return t.n }

// Each calls f for every slot taken; f may drop the one it is given.
func (t *Map[T]) Each(f func(Handle, T)) {
	for i := range t.slots {
		if s := &t.slots[i]; s.gen&1 == 1 {
			f(Handle(uint64(s.gen)<<32|uint64(i)), s.value)
		}
	}
}
