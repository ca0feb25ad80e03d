package feed

import (
	"slices"
	"testing"
)

func TestPartitionSet(t *testing.T) {
	set := NewPartitionSet(0, 2, 63)
	if got := slices.Collect(set.All()); !slices.Equal(got, []Partition{0, 2, 63}) {
		t.Errorf("it holds %v", got)
	}
	if set.Len() != 3 || set.IsEmpty() || set.String() != "0,2,63" {
		t.Errorf("%d partitions, empty: %t, %q", set.Len(), set.IsEmpty(), set)
	}
	if !set.Contains(2) || set.Contains(1) || set.Contains(64) || set.Contains(200) {
		t.Error("it has other partitions than were put in")
	}
	if got := set.Without(NewPartitionSet(1, 2)); got != NewPartitionSet(0, 63) {
		t.Errorf("without 1 and 2 it is %v", got)
	}
	if !set.ContainsAll(NewPartitionSet(0, 2)) || set.ContainsAll(NewPartitionSet(0, 1)) || !set.ContainsAll(0) {
		t.Error("it includes other sets than it should")
	}
	if got := FirstPartitions(3); got != NewPartitionSet(0, 1, 2) {
		t.Errorf("the first three are %v", got)
	}
	for range NewPartitionSet(1, 2).All() {
		break // the iteration may end early
	}
	if got := PartitionSet(0); !got.IsEmpty() || got.Len() != 0 || got.String() != "" {
		t.Errorf("an empty set: %q", got)
	}
}
