// Package slotmap stores values in numbered slots that are reused. A handle consists of the slot's number and a
// generation, so that a handle of a removed value does not find the one that took its slot, until the slot has been reused
// 2^31 times.
package slotmap

// Handle identifies a value until it is removed; 0 identifies none. The upper 32 bits are the generation of the slot, which
// is odd while the slot is in use, and the lower ones its index.
type Handle uint64

func newHandle(generation, index uint32) Handle {
	return Handle(uint64(generation)<<32 | uint64(index))
}

func (h Handle) index() uint32 { return uint32(h) }

func (h Handle) generation() uint32 { return uint32(h >> 32) }

// Map holds values in slots. The zero value is empty and ready to use. It is not safe for concurrent use.
type Map[T any] struct {
	slots []slot[T]
	free  []uint32
	count int
}

type slot[T any] struct {
	generation uint32 // see Handle
	value      T
}

func (s *slot[T]) inUse() bool { return s.generation&1 == 1 }

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
	return newHandle(s.generation, index)
}

func (m *Map[T]) lookup(handle Handle) *slot[T] {
	if int(handle.index()) >= len(m.slots) {
		return nil
	}
	s := &m.slots[handle.index()]
	if s.generation != handle.generation() || !s.inUse() {
		return nil
	}
	return s
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
	m.free = append(m.free, handle.index())
	m.count--
	return true
}

// Len returns the number of values.
func (m *Map[T]) Len() int { return m.count }

// Each calls visit for every value, in the order of the slots; visit may remove the value it is given. Whether a value is
// visited that visit itself inserts is not defined.
func (m *Map[T]) Each(visit func(Handle, T)) {
	for i := range m.slots {
		if s := &m.slots[i]; s.inUse() {
			visit(newHandle(s.generation, uint32(i)), s.value)
		}
	}
}
