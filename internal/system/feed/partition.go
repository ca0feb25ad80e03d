package feed

import "github.com/cespare/xxhash/v2"

// Partition numbers a part of the control state that has a consensus group of its own.
type Partition uint16

// ConfigurationPartition holds the operator's configuration and the evacuations. The other partitions hold runners, by
// the hash of the name of their service: see PartitionOf.
const ConfigurationPartition Partition = 0

// RunnerPartitionCount is the number of partitions that hold runners. Stored state depends on it: another count assigns
// the runners of each service to another partition.
const RunnerPartitionCount = 2

// PartitionOf returns the partition that holds the runners of a service. The partitions of runners are numbered from 1
// to partitions; all machines of a system must use the same count.
func PartitionOf(service string, partitions int) Partition {
	if partitions <= 1 {
		return 1
	}
	return Partition(1 + xxhash.Sum64String(service)%uint64(partitions))
}
