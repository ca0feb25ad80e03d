package feed

import (
	"slices"
	"testing"
)

func TestPartitionSet(t *testing.T) {
	set := SetOf(0, 2, 63)
	if got := slices.Collect(set.All()); !slices.Equal(got, []Partition{0, 2, 63}) {
		t.Errorf("it holds %v", got)
	}
	if set.Len() != 3 || set.Empty() || set.String() != "0,2,63" {
		t.Errorf("%d partitions, empty: %t, %q", set.Len(), set.Empty(), set)
	}
	if !set.Has(2) || set.Has(1) || set.Has(64) || set.Has(200) {
		t.Error("it has other partitions than were put in")
	}
	if got := set.Without(SetOf(1, 2)); got != SetOf(0, 63) {
		t.Errorf("without 1 and 2 it is %v", got)
	}
	if !set.Includes(SetOf(0, 2)) || set.Includes(SetOf(0, 1)) || !set.Includes(0) {
		t.Error("it includes other sets than it should")
	}
	if got := FirstPartitions(3); got != SetOf(0, 1, 2) {
		t.Errorf("the first three are %v", got)
	}
	for range SetOf(1, 2).All() {
		break // an early end is borne
	}
	if got := PartitionSet(0); !got.Empty() || got.Len() != 0 || got.String() != "" {
		t.Errorf("an empty set: %q", got)
	}
}
