// Package slots keeps things in numbered slots. A handle holds the slot's number and its generation, so an
// event meant for something that has left its slot misses whatever sits there now.
package slotmap

// Handle names one stay of a thing in a slot; 0 names nothing.
type Handle uint64

// Map is a set of numbered slots.
type Map[T any] struct {
	slots []slot[T]
	free  []uint32
	count int
}

type slot[T any] struct {
	generation uint32 // odd while the slot is taken
	value      T
}

// Insert takes a free slot.
func (m *Map[T]) Insert(value T) Handle {
	var index uint32
	if n := len(m.free); n > 0 {
		index, m.free = m.free[n-1], m.free[:n-1]
	} else {
		index = uint32(len(m.slots))
		m.slots = append(m.slots, slot[T]{})
	}
	s := &m.slots[index]
	s.generation, s.value = s.generation+1, value
	m.count++
	return Handle(uint64(s.generation)<<32 | uint64(index))
}

func (m *Map[T]) lookup(handle Handle) *slot[T] {
	index, generation := uint32(handle), uint32(handle>>32)
	if int(index) >= len(m.slots) || m.slots[index].generation != generation || generation&1 == 0 {
		return nil
	}
	return &m.slots[index]
}

// Get returns what the handle names, unless it has left.
func (m *Map[T]) Get(handle Handle) (value T, ok bool) {
	if s := m.lookup(handle); s != nil {
		return s.value, true
	}
	return value, false
}

// Remove frees the slot; a handle that has left already is ignored.
func (m *Map[T]) Remove(handle Handle) bool {
	s := m.lookup(handle)
	if s == nil {
		return false
	}
	var zero T
	s.generation, s.value = s.generation+1, zero
	m.free = append(m.free, uint32(handle))
	m.count--
	return true
}

// Len is the number of slots taken.
func (m *Map[T]) Len() int { return m.count }

// Each calls f for every slot taken; f may drop the one it is given.
func (m *Map[T]) Each(visit func(Handle, T)) {
	for i := range m.slots {
		if s := &m.slots[i]; s.generation&1 == 1 {
			visit(Handle(uint64(s.generation)<<32|uint64(i)), s.value)
		}
	}
}
