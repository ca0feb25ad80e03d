package capacity

import (
	"testing"

	"pgregory.net/rapid"
)

func TestRepeatedOverloadNearLimitLowersBothLimits(t *testing.T) {
	const slots = 10
	for _, test := range []struct {
		name       string
		loads      []float64 // of overloads; below 0: a success at that load
		load, util float64
	}{
		{"one failure", []float64{11}, 11, 1.1},
		{"two near the ceiling", []float64{11, 9}, 11 * 0.85, 1.1 * 0.85},
		{"two far below it", []float64{5, 5}, 11, 1.1},
		{"a success between", []float64{11, -3, 11}, 11, 1.1},
		{"many", []float64{11, 11, 11, 11, 11, 11, 11, 11, 11, 11, 11, 11, 11, 11, 11, 11}, slots * 0.5, 0.85},
	} {
		got := InitialLimits(slots)
		for _, load := range test.loads {
			if load < 0 {
				got.RecordSuccess(-load, slots)
			} else {
				got.RecordOverload(load, slots)
			}
		}
		if got.Load < test.load-1e-9 || got.Load > test.load+1e-9 || got.Utilization < test.util-1e-9 || got.Utilization > test.util+1e-9 {
			t.Errorf("%s: %+v, not %v and %v", test.name, got, test.load, test.util)
		}
	}
}

// Limits stay above their lower bounds and below what successes can show; decreases are bounded; time and successes
// only raise them.
func TestLimitsStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.Float64Range(1, 100).Draw(t, "size")
		limits := InitialLimits(slots)
		t.Repeat(map[string]func(*rapid.T){
			"overload": func(t *rapid.T) {
				before := limits
				limits.RecordOverload(rapid.Float64Range(0, 2*slots).Draw(t, "load"), slots)
				raised := limits.Load > before.Load || limits.Utilization > before.Utilization
				tooLow := limits.Load < before.Load*decreaseFactor-1e-9 && limits.Load > minLoadShare*slots+1e-9
				if raised || tooLow {
					t.Fatalf("%+v, was %+v", limits, before)
				}
			},
			"success": func(t *rapid.T) {
				before := limits
				limits.RecordSuccess(rapid.Float64Range(0, 2*slots).Draw(t, "load"), slots)
				if limits.Load < before.Load || limits.Utilization < before.Utilization {
					t.Fatalf("%+v, was %+v", limits, before)
				}
			},
			"time": func(t *rapid.T) {
				before := limits
				limits.Recover(slots, rapid.Float64Range(0, 1).Draw(t, "share"))
				if limits.Load < before.Load || limits.Utilization < before.Utilization {
					t.Fatalf("%+v, was %+v", limits, before)
				}
			},
			"": func(t *rapid.T) {
				loadOutside := limits.Load < minLoadShare*slots-1e-9 || limits.Load > GrowthMargin*slots+1e-9
				utilizationOutside := limits.Utilization < minUtilization-1e-9 || limits.Utilization > InitialMargin+1e-9
				if loadOutside || utilizationOutside {
					t.Fatalf("%+v for a size of %v", limits, slots)
				}
			},
		})
	})
}

func TestSuccessesWeighLessThanOverloads(t *testing.T) {
	limits := InitialLimits(10)
	for range 20 {
		limits.RecordOverload(limits.Load, 10)
		limits.RecordSuccess(limits.Load, 10)
		limits.RecordOverload(limits.Load, 10)
		limits.RecordOverload(limits.Load, 10)
	}
	if limits.Load > 0.6*10 {
		t.Errorf("limit %v where one job in four succeeds", limits.Load)
	}
}

func TestSelectionOrder(t *testing.T) {
	for _, test := range []struct {
		name   string
		offers []Candidate
		want   int
	}{
		{"rank before all", []Candidate{{1, 0, 9}, {0, 5, -9}}, 1},
		{"then distance", []Candidate{{1, 2, 9}, {1, 1, 0}}, 1},
		{"then spare capacity", []Candidate{{0, 0, 1}, {0, 0, 2}, {0, 0, 1.5}}, 1},
		{"least over its ceiling", []Candidate{{2, 0, -7}, {2, 0, -3}}, 1},
	} {
		var selection Selection[int]
		random := Random(1)
		for i, o := range test.offers {
			selection.Add(i, o, &random)
		}
		if selection.Best != test.want || selection.Candidate != test.offers[test.want] || random != 1 {
			t.Errorf("%s: %+v", test.name, selection)
		}
	}
	if empty := (Selection[int]{}); empty.Found {
		t.Error("found a worker though none was added")
	}
}

func TestTiesAreBrokenEvenly(t *testing.T) {
	random := Random(3)
	var seen [4]int
	for range 8000 {
		var selection Selection[int]
		for i := range seen {
			selection.Add(i, Candidate{SpareCapacity: 1}, &random)
		}
		seen[selection.Best]++
	}
	for i, n := range seen {
		if n < 1800 || n > 2200 {
			t.Errorf("%d was chosen %d times of 8000", i, n)
		}
	}
}

func TestSharedFaultEjectsNobody(t *testing.T) {
	var alone, together Ejection
	ejections := 0
	for range 10 {
		if alone.RecordOutcome(1, 0.05) {
			ejections++
		}
		if together.RecordOutcome(1, together.ErrorRate) {
			t.Fatal("ejected though its peers fail as often")
		}
	}
	if ejections == 0 || ejections > 9 {
		t.Errorf("ejected after %d of 10 failures", ejections)
	}
}

func TestEjectionDurationGrows(t *testing.T) {
	var ejection Ejection
	durations := []float64{}
	now := 0.0
	for range 6 {
		if !ejection.Eject(now, 1, 10) {
			t.Fatal("not ejected")
		}
		if ejection.Eject(now, 1, 10) {
			t.Fatal("ejected twice")
		}
		durations = append(durations, ejection.LastDuration)
		now = ejection.EjectedUntil
	}
	for i, want := range []float64{1, 2, 4, 8, 10, 10} {
		if durations[i] != want {
			t.Fatalf("spans %v", durations)
		}
	}
	for range 30 {
		ejection.RecordOutcome(0, 0)
	}
	if ejection.LastDuration != 0 {
		t.Error("successes have not reset the duration")
	}
}

func TestWarmthGrows(t *testing.T) {
	for _, test := range []struct{ since, want float64 }{{-1, 0.2}, {0, 0.2}, {5, 0.6}, {10, 1}} {
		if got := Warmth(0.2, test.since, 10); got < test.want-1e-9 || got > test.want+1e-9 {
			t.Errorf("%v after %v, not %v", got, test.since, test.want)
		}
	}
}
