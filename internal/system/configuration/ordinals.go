package configuration

import (
	"math"
	"sort"
)

// ordinalGap is left between the ordinals of neighbours, so that items can be put between them later on without
// renumbering the others.
const ordinalGap = 1 << 32

// evenOrdinal is the ordinal of the item at a place of a list that is numbered anew.
func evenOrdinal(position int) uint64 { return uint64(position+1) * ordinalGap }

// alignOrdinals numbers a list so that its order is kept and as many items as possible keep the ordinal that they
// have, 0 for those without one.
func alignOrdinals(current []uint64) []uint64 {
	aligned := make([]uint64, len(current))
	kept := longestIncreasing(current)
	previous, next := uint64(0), 0
	for _, position := range append(kept, len(current)) {
		if !assignBetween(aligned[next:position], previous, ordinalAt(current, position)) {
			return evenOrdinals(len(current))
		}
		if position < len(current) {
			aligned[position] = current[position]
			previous = current[position]
		}
		next = position + 1
	}
	return aligned
}

// ordinalAt is the ordinal at a place; 0 behind the end.
func ordinalAt(ordinals []uint64, position int) uint64 {
	if position == len(ordinals) {
		return 0
	}
	return ordinals[position]
}

// assignBetween numbers items between two ordinals; end 0: there is no bound. It returns false if there is no room.
func assignBetween(items []uint64, previous, end uint64) bool {
	if len(items) == 0 {
		return true
	}
	count := uint64(len(items))
	step := uint64(ordinalGap)
	if end > 0 {
		step = min((end-previous)/(count+1), ordinalGap)
	}
	if step == 0 || end == 0 && previous > math.MaxUint64-step*count {
		return false
	}
	for i := range items {
		previous += step
		items[i] = previous
	}
	return true
}

func evenOrdinals(count int) []uint64 {
	ordinals := make([]uint64, count)
	for position := range ordinals {
		ordinals[position] = evenOrdinal(position)
	}
	return ordinals
}

// longestIncreasing are the places of a longest strictly rising subsequence of the ordinals above 0.
func longestIncreasing(ordinals []uint64) []int {
	predecessors := make([]int, len(ordinals)) // place before each one in the best sequence that ends there
	var ends []int                             // place at which the best sequence of each length ends
	for position, ordinal := range ordinals {
		if ordinal == 0 {
			continue
		}
		length := sort.Search(len(ends), func(i int) bool { return ordinals[ends[i]] >= ordinal })
		predecessors[position] = -1
		if length > 0 {
			predecessors[position] = ends[length-1]
		}
		if length == len(ends) {
			ends = append(ends, position)
		} else {
			ends[length] = position
		}
	}
	result := make([]int, len(ends))
	if len(ends) == 0 {
		return result
	}
	position := ends[len(ends)-1]
	for i := len(result) - 1; i >= 0; i-- {
		result[i] = position
		position = predecessors[position]
	}
	return result
}
