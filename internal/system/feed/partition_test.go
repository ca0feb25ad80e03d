package feed

import (
	"testing"

	"pgregory.net/rapid"
)

func TestPartitionOfIsStableAndInRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := rapid.String().Draw(t, "service")
		partitions := rapid.IntRange(0, 9).Draw(t, "partitions")
		got := PartitionOf(service, partitions)
		if got < 1 || int(got) > max(partitions, 1) || got != PartitionOf(service, partitions) {
			t.Fatalf("%q of %d went to %d", service, partitions, got)
		}
	})
	if got := PartitionOf("engine", 2); got != 1 {
		t.Fatalf("engine moved to partition %d: stored state would be cut differently", got)
	}
}
