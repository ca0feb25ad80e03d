package configuration

import (
	"math"
	"sort"
)

// ordinalGap is the distance of neighbouring ordinals in a new list, so that items can be inserted later without
// renumbering the others.
const ordinalGap = 1 << 32

// evenOrdinal returns the ordinal of the item at a position of a list that is numbered anew.
func evenOrdinal(position int) uint64 { return uint64(position+1) * ordinalGap }

// alignOrdinals returns ascending ordinals for a list of which the items have the given ordinals, 0 for none, so that
// as many items as possible keep theirs. If no ordinals are free between those for the others, the list is numbered anew.
func alignOrdinals(current []uint64) []uint64 {
	aligned := make([]uint64, len(current))
	kept := longestIncreasing(current)
	previous := uint64(0)
	next := 0
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

// ordinalAt returns the ordinal at a position; 0 beyond the end.
func ordinalAt(ordinals []uint64, position int) uint64 {
	if position == len(ordinals) {
		return 0
	}
	return ordinals[position]
}

// assignBetween assigns ordinals to items between two given ones; end 0: there is no upper bound. It returns false if
// too few ordinals are free.
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

// evenOrdinals returns the ordinals of a list that is numbered anew.
func evenOrdinals(count int) []uint64 {
	ordinals := make([]uint64, count)
	for position := range ordinals {
		ordinals[position] = evenOrdinal(position)
	}
	return ordinals
}

// longestIncreasing returns the positions of a longest strictly increasing subsequence of the ordinals above 0.
func longestIncreasing(ordinals []uint64) []int {
	predecessors := make([]int, len(ordinals)) // position before each one in the best sequence that ends there
	var ends []int                             // position at which the best sequence of each length ends
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
