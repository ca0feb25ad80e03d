package feed

import "github.com/cespare/xxhash/v2"

// RunnerPartitionCount is how many partitions hold runners. It is a constant of the system: another count would be another
// place for the runners of each service.
const RunnerPartitionCount = 2

// PartitionOf is the partition that holds the runners of a service, out of the given number of runner partitions,
// which are numbered from 1. All machines of a system must count the same.
func PartitionOf(service string, partitions int) Partition {
	if partitions <= 1 {
		return 1
	}
	return Partition(1 + xxhash.Sum64String(service)%uint64(partitions))
}
