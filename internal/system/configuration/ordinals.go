package configuration

import (
	"math"
	"sort"
)

// ordinalGap is left between the ordinals of neighbours, so that items can be put between them later on without
// renumbering the others.
const ordinalGap = 1 << 32

// spacedOrdinal is the ordinal of the item at a place of a list that is numbered anew.
func spacedOrdinal(place int) uint64 { return uint64(place+1) * ordinalGap }

// alignOrdinals numbers a list so that its order is kept and as many items as possible keep the ordinal that they
// have, 0 for those without one.
func alignOrdinals(have []uint64) []uint64 {
	aligned := make([]uint64, len(have))
	kept := longestRise(have)
	previous, next := uint64(0), 0
	for _, place := range append(kept, len(have)) {
		if !fill(aligned[next:place], previous, ordinalAt(have, place)) {
			return renumbered(len(have))
		}
		if place < len(have) {
			aligned[place] = have[place]
			previous = have[place]
		}
		next = place + 1
	}
	return aligned
}

// ordinalAt is the ordinal at a place; 0 behind the end.
func ordinalAt(have []uint64, place int) uint64 {
	if place == len(have) {
		return 0
	}
	return have[place]
}

// fill numbers items between two ordinals; end 0: there is no bound. It returns false if there is no room.
func fill(items []uint64, previous, end uint64) bool {
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

func renumbered(count int) []uint64 {
	ordinals := make([]uint64, count)
	for place := range ordinals {
		ordinals[place] = spacedOrdinal(place)
	}
	return ordinals
}

// longestRise are the places of a longest strictly rising subsequence of the ordinals above 0.
func longestRise(ordinals []uint64) []int {
	before := make([]int, len(ordinals)) // place before each one in the best sequence that ends there
	var ends []int                       // place at which the best sequence of each length ends
	for place, ordinal := range ordinals {
		if ordinal == 0 {
			continue
		}
		length := sort.Search(len(ends), func(i int) bool { return ordinals[ends[i]] >= ordinal })
		before[place] = -1
		if length > 0 {
			before[place] = ends[length-1]
		}
		if length == len(ends) {
			ends = append(ends, place)
		} else {
			ends[length] = place
		}
	}
	rise := make([]int, len(ends))
	if len(ends) == 0 {
		return rise
	}
	place := ends[len(ends)-1]
	for i := len(rise) - 1; i >= 0; i-- {
		rise[i] = place
		place = before[place]
	}
	return rise
}
