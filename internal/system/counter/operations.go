package counter

// operationIndex is the index of an operation in an operationSet; 0 is none.
type operationIndex uint32

// position is where an operation stands in a log.
type position struct {
	log      *operationLog
	sequence uint64
}

// operation is a distinct operation. Several of one ID, with other counters or amounts, form a list; each may stand
// in several logs.
type operation struct {
	id       string
	amount   int64
	counter  uint32
	next     operationIndex // another operation of this ID
	log      uint32         // index of the log with its first position
	sequence uint32         // there; logs are in memory, so that 32 bits hold it
	durable  bool           // one of its entries is durable here
}

// operationsPerChunk is the number of operations that are allocated together.
const operationsPerChunk = 1 << 10

// counterState is a counter's name and its value.
type counterState struct {
	name  string
	total Total
}

// operationSet is the grow-only set of operations, and the totals over those that are durable.
type operationSet struct {
	chunks   [][]operation
	count    operationIndex            // of operations; the one of index 0 is unused
	byID     map[string]operationIndex // first operation of each ID
	counters []counterState
	byName   map[string]uint32 // index in counters
	// moreLogs has the positions of operations that stand in several logs, but for the first.
	moreLogs map[operationIndex][]position
}

func newOperationSet() operationSet {
	return operationSet{
		byID:     map[string]operationIndex{},
		byName:   map[string]uint32{},
		moreLogs: map[operationIndex][]position{},
	}
}

// at returns the operation of an index that is not 0.
func (s *operationSet) at(index operationIndex) *operation {
	return &s.chunks[(index-1)/operationsPerChunk][(index-1)%operationsPerChunk]
}

// operationAt returns the operation of an index as others see it.
func (s *operationSet) operationAt(index operationIndex) Operation {
	stored := s.at(index)
	return Operation{ID: stored.id, Counter: s.counters[stored.counter].name, Amount: stored.amount}
}

// find returns the operation with the same ID, counter and amount, or 0; known is whether the ID is known at all.
func (s *operationSet) find(wanted *Operation) (index operationIndex, known bool) {
	first := s.byID[wanted.ID]
	for index = first; index != 0; index = s.at(index).next {
		stored := s.at(index)
		if stored.amount == wanted.Amount && s.counters[stored.counter].name == wanted.Counter {
			return index, true
		}
	}
	return 0, first != 0
}

// insert returns the index of an operation, which is new or known, and records that it stands at a position.
func (s *operationSet) insert(inserted *Operation, at position) operationIndex {
	index, known := s.find(inserted)
	if index != 0 {
		s.moreLogs[index] = append(s.moreLogs[index], at)
		return index
	}
	if int(s.count)%operationsPerChunk == 0 {
		s.chunks = append(s.chunks, make([]operation, 0, operationsPerChunk))
	}
	s.count++
	index = s.count
	stored := operation{
		id:       inserted.ID,
		amount:   inserted.Amount,
		counter:  s.counterIndex(inserted.Counter),
		log:      at.log.index,
		sequence: uint32(at.sequence),
	}
	last := &s.chunks[len(s.chunks)-1]
	*last = append(*last, stored)
	if !known {
		s.byID[inserted.ID] = index
		return index
	}
	first := s.at(s.byID[inserted.ID])
	s.at(index).next = first.next
	first.next = index
	return index
}

// move records that an operation does not count as standing at a position, but at another one.
func (s *operationSet) move(index operationIndex, from, to position) {
	stored := s.at(index)
	if stored.log == from.log.index && uint64(stored.sequence) == from.sequence {
		stored.log = to.log.index
		stored.sequence = uint32(to.sequence)
		return
	}
	others := s.moreLogs[index]
	for i := range others {
		if others[i] == from {
			others[i] = to
		}
	}
}

// counterIndex returns the index of a counter, which it adds if it is new.
func (s *operationSet) counterIndex(name string) uint32 {
	if index, known := s.byName[name]; known {
		return index
	}
	index := uint32(len(s.counters))
	s.counters = append(s.counters, counterState{name: name})
	s.byName[name] = index
	return index
}

// counted returns the operation of an ID that counts: the smallest durable one, by counter and amount; 0: none.
func (s *operationSet) counted(id string) (winner operationIndex) {
	for index := s.byID[id]; index != 0; index = s.at(index).next {
		if s.at(index).durable && (winner == 0 || s.less(index, winner)) {
			winner = index
		}
	}
	return winner
}

// less is the order that decides which operation of an ID counts.
func (s *operationSet) less(left, right operationIndex) bool {
	first, second := s.at(left), s.at(right)
	if first.counter != second.counter {
		return s.counters[first.counter].name < s.counters[second.counter].name
	}
	return first.amount < second.amount
}

// markDurable applies an operation to the totals, once.
func (s *operationSet) markDurable(index operationIndex) {
	stored := s.at(index)
	if stored.durable {
		return
	}
	before := s.counted(stored.id)
	stored.durable = true
	if s.counted(stored.id) != index {
		return
	}
	if before != 0 {
		replaced := s.at(before)
		total := &s.counters[replaced.counter].total
		*total = total.Subtract(replaced.amount)
	}
	total := &s.counters[stored.counter].total
	*total = total.Add(stored.amount)
}

// total returns the value of a counter, 0 for one that is unknown.
func (s *operationSet) total(name string) Total {
	index, known := s.byName[name]
	if !known {
		return Total{}
	}
	return s.counters[index].total
}
