// Package slotmap stores values in numbered slots that are reused. A handle consists of the slot's number and a
// generation, so that a handle of a removed value never finds the one that took its slot.
package slotmap

// Handle identifies a value until it is removed; 0 identifies none.
type Handle uint64

// Map holds values in slots. The zero value is empty and ready to use. It is not safe for concurrent use.
type Map[T any] struct {
	slots []slot[T]
	free  []uint32
	count int
}

type slot[T any] struct {
	generation uint32 // odd while the slot is in use
	value      T
}

// Insert stores a value in a free slot.
func (m *Map[T]) Insert(value T) Handle {
	var index uint32
	if n := len(m.free); n > 0 {
		index = m.free[n-1]
		m.free = m.free[:n-1]
	} else {
		index = uint32(len(m.slots))
		m.slots = append(m.slots, slot[T]{})
	}
	s := &m.slots[index]
	s.generation++
	s.value = value
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

// Get returns the value of a handle; ok is false if it was removed.
func (m *Map[T]) Get(handle Handle) (value T, ok bool) {
	if s := m.lookup(handle); s != nil {
		return s.value, true
	}
	return value, false
}

// Remove frees the slot of a value; false if it was removed already.
func (m *Map[T]) Remove(handle Handle) bool {
	s := m.lookup(handle)
	if s == nil {
		return false
	}
	var zero T
	s.generation++
	s.value = zero
	m.free = append(m.free, uint32(handle))
	m.count--
	return true
}

// Len returns the number of values.
func (m *Map[T]) Len() int { return m.count }

// Each calls visit for every value; visit may remove the value it is given.
func (m *Map[T]) Each(visit func(Handle, T)) {
	for i := range m.slots {
		if s := &m.slots[i]; s.generation&1 == 1 {
			visit(Handle(uint64(s.generation)<<32|uint64(i)), s.value)
		}
	}
}
