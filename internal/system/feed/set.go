package feed

import (
	"fmt"
	"iter"
	"math/bits"
	"strings"
)

// maxPartitions is how many partitions a PartitionSet has room for.
const maxPartitions = 64

// The partitions of a system fit into a set.
const _ = uint(maxPartitions - 1 - RunnerPartitionCount)

// PartitionSet is a set of partitions below 64.
type PartitionSet uint64

// NewPartitionSet returns the set of the partitions given.
func NewPartitionSet(partitions ...Partition) PartitionSet {
	var set PartitionSet
	for _, partition := range partitions {
		set = set.With(partition)
	}
	return set
}

// FirstPartitions returns the set of the first n partitions.
func FirstPartitions(n int) PartitionSet { return 1<<n - 1 }

// With returns the set with a partition in it.
func (s PartitionSet) With(partition Partition) PartitionSet {
	if partition >= maxPartitions {
		panic(fmt.Sprintf("feed: partition %d does not fit into a set", partition))
	}
	return s | 1<<partition
}

// Without returns the set without the partitions of another.
func (s PartitionSet) Without(other PartitionSet) PartitionSet { return s &^ other }

// Contains says whether a partition is in the set.
func (s PartitionSet) Contains(partition Partition) bool {
	return partition < maxPartitions && s&(1<<partition) != 0
}

// ContainsAll says whether all partitions of another set are in this one.
func (s PartitionSet) ContainsAll(other PartitionSet) bool { return s&other == other }

// IsEmpty says whether the set has no partitions.
func (s PartitionSet) IsEmpty() bool { return s == 0 }

// Len is the number of partitions in the set.
func (s PartitionSet) Len() int { return bits.OnesCount64(uint64(s)) }

// All returns the partitions in the set, in rising order.
func (s PartitionSet) All() iter.Seq[Partition] {
	return func(yield func(Partition) bool) {
		for rest := s; rest != 0; rest &= rest - 1 {
			if !yield(Partition(bits.TrailingZeros64(uint64(rest)))) {
				return
			}
		}
	}
}

// String lists the partitions, such as "0,2".
func (s PartitionSet) String() string {
	var numbers []string
	for partition := range s.All() {
		numbers = append(numbers, fmt.Sprint(partition))
	}
	return strings.Join(numbers, ",")
}
