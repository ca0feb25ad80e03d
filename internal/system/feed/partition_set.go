package feed

import (
	"fmt"
	"iter"
	"math/bits"
	"strings"
)

// maxPartitions is the number of partitions that a PartitionSet can hold.
const maxPartitions = 64

// This fails to compile if the partitions of a system do not fit into a PartitionSet.
const _ = uint(maxPartitions - 1 - RunnerPartitionCount)

// PartitionSet is a set of partitions with numbers below 64. The zero value is the empty set.
type PartitionSet uint64

// NewPartitionSet returns the set of the given partitions. It panics if one is above 63.
func NewPartitionSet(partitions ...Partition) PartitionSet {
	var set PartitionSet
	for _, partition := range partitions {
		set = set.With(partition)
	}
	return set
}

// FirstPartitions returns the set of the partitions 0 to n-1.
func FirstPartitions(n int) PartitionSet { return 1<<n - 1 }

// With returns the set with the partition added. It panics if the partition is above 63.
func (s PartitionSet) With(partition Partition) PartitionSet {
	if partition >= maxPartitions {
		panic(fmt.Sprintf("feed: partition %d does not fit into a set", partition))
	}
	return s | 1<<partition
}

// Without returns the set without the partitions of another set.
func (s PartitionSet) Without(other PartitionSet) PartitionSet { return s &^ other }

// Contains reports whether the partition is in the set.
func (s PartitionSet) Contains(partition Partition) bool {
	return partition < maxPartitions && s&(1<<partition) != 0
}

// ContainsAll reports whether every partition of the other set is in this set.
func (s PartitionSet) ContainsAll(other PartitionSet) bool { return s&other == other }

// IsEmpty reports whether the set holds no partition.
func (s PartitionSet) IsEmpty() bool { return s == 0 }

// Len returns the number of partitions in the set.
func (s PartitionSet) Len() int { return bits.OnesCount64(uint64(s)) }

// All returns the partitions in the set, in ascending order.
func (s PartitionSet) All() iter.Seq[Partition] {
	return func(yield func(Partition) bool) {
		for rest := s; rest != 0; rest &= rest - 1 {
			if !yield(Partition(bits.TrailingZeros64(uint64(rest)))) {
				return
			}
		}
	}
}

// String returns the partitions as a list such as "0,2".
func (s PartitionSet) String() string {
	var numbers []string
	for partition := range s.All() {
		numbers = append(numbers, fmt.Sprint(partition))
	}
	return strings.Join(numbers, ",")
}
