package configuration

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestAlignOrdinalsKeepsOrderAndMostOrdinals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		have := rapid.SliceOf(rapid.OneOf(rapid.Uint64Range(0, 12), rapid.Uint64())).Draw(t, "have")
		aligned := alignOrdinals(have)
		kept := 0
		for i, ordinal := range aligned {
			if i > 0 && ordinal <= aligned[i-1] || ordinal == 0 {
				t.Fatalf("%v became %v", have, aligned)
			}
			if ordinal == have[i] {
				kept++
			}
		}
		renumbered := slices.Equal(aligned, evenOrdinals(len(have)))
		if kept < len(longestIncreasing(have)) && !renumbered {
			t.Fatalf("%v became %v: %d kept", have, aligned, kept)
		}
	})
}

func TestAlignOrdinalsRepeatedInsertions(t *testing.T) {
	ordinals := []uint64{evenOrdinal(0), evenOrdinal(1)}
	for range 200 {
		ordinals = alignOrdinals(slices.Insert(ordinals, 1, 0))
		if !slices.IsSorted(ordinals) {
			t.Fatalf("out of order: %v", ordinals)
		}
	}
}
