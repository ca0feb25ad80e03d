package capacity

import (
	"testing"

	"pgregory.net/rapid"
)

func TestRepeatedFailuresNearTheLoadCutBothCeilings(t *testing.T) {
	const size = 10
	for _, c := range []struct {
		name       string
		loads      []float64 // of strikes; below 0: a clean finish at that load
		load, util float64
	}{
		{"one failure", []float64{11}, 11, 1.1},
		{"two near the ceiling", []float64{11, 9}, 11 * 0.85, 1.1 * 0.85},
		{"two far below it", []float64{5, 5}, 11, 1.1},
		{"a clean finish between", []float64{11, -3, 11}, 11, 1.1},
		{"many", []float64{11, 11, 11, 11, 11, 11, 11, 11, 11, 11, 11, 11, 11, 11, 11, 11}, size * 0.5, 0.85},
	} {
		got := InitialLimits(size)
		for _, load := range c.loads {
			if load < 0 {
				got.RecordSuccess(-load, size)
			} else {
				got.RecordOverload(load, size)
			}
		}
		if got.Load < c.load-1e-9 || got.Load > c.load+1e-9 || got.Utilization < c.util-1e-9 || got.Utilization > c.util+1e-9 {
			t.Errorf("%s: %+v, not %v and %v", c.name, got, c.load, c.util)
		}
	}
}

// Whatever happens, a ceiling stays above its floor and below what clean finishes can show; cuts are bounded; time and
// clean finishes only raise.
func TestCeilingsStayWithinTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.Float64Range(1, 100).Draw(t, "size")
		c := InitialLimits(size)
		t.Repeat(map[string]func(*rapid.T){
			"strike": func(t *rapid.T) {
				was := c
				c.RecordOverload(rapid.Float64Range(0, 2*size).Draw(t, "load"), size)
				if c.Load > was.Load || c.Utilization > was.Utilization || c.Load < was.Load*cutStep-1e-9 && c.Load > floorShare*size+1e-9 {
					t.Fatalf("%+v, was %+v", c, was)
				}
			},
			"clean": func(t *rapid.T) {
				was := c
				c.RecordSuccess(rapid.Float64Range(0, 2*size).Draw(t, "load"), size)
				if c.Load < was.Load || c.Utilization < was.Utilization {
					t.Fatalf("%+v, was %+v", c, was)
				}
			},
			"time": func(t *rapid.T) {
				was := c
				c.Recover(size, rapid.Float64Range(0, 1).Draw(t, "share"))
				if c.Load < was.Load || c.Utilization < was.Utilization {
					t.Fatalf("%+v, was %+v", c, was)
				}
			},
			"": func(t *rapid.T) {
				if c.Load < floorShare*size-1e-9 || c.Load > GrowthMargin*size+1e-9 || c.Utilization < utilFloor-1e-9 || c.Utilization > InitialMargin+1e-9 {
					t.Fatalf("%+v for a size of %v", c, size)
				}
			},
		})
	})
}

func TestCleanFinishesWeighLessThanFailures(t *testing.T) {
	c := InitialLimits(10)
	for range 20 {
		c.RecordOverload(c.Load, 10)
		c.RecordSuccess(c.Load, 10)
		c.RecordOverload(c.Load, 10)
		c.RecordOverload(c.Load, 10)
	}
	if c.Load > 0.6*10 {
		t.Errorf("ceiling %v where one finish in four is clean", c.Load)
	}
}

func TestChoiceOrders(t *testing.T) {
	for _, c := range []struct {
		name   string
		offers []Candidate
		want   int
	}{
		{"rank before all", []Candidate{{1, 0, 9}, {0, 5, -9}}, 1},
		{"then distance", []Candidate{{1, 2, 9}, {1, 1, 0}}, 1},
		{"then room", []Candidate{{0, 0, 1}, {0, 0, 2}, {0, 0, 1.5}}, 1},
		{"least over its ceiling", []Candidate{{2, 0, -7}, {2, 0, -3}}, 1},
	} {
		var choice Selection[int]
		random := Random(1)
		for i, o := range c.offers {
			choice.Add(i, o, &random)
		}
		if choice.Best != c.want || choice.Candidate != c.offers[c.want] || random != 1 {
			t.Errorf("%s: %+v", c.name, choice)
		}
	}
	if empty := (Selection[int]{}); empty.Found {
		t.Error("nothing was offered, and something found")
	}
}

func TestTiesShareEvenly(t *testing.T) {
	random := Random(3)
	var seen [4]int
	for range 8000 {
		var choice Selection[int]
		for i := range seen {
			choice.Add(i, Candidate{SpareCapacity: 1}, &random)
		}
		seen[choice.Best]++
	}
	for i, n := range seen {
		if n < 1800 || n > 2200 {
			t.Errorf("%d was chosen %d times of 8000", i, n)
		}
	}
}

func TestWhatHitsAllBlamesNobody(t *testing.T) {
	var alone, together Ejection
	convicted := 0
	for range 10 {
		if alone.RecordOutcome(1, 0.05) {
			convicted++
		}
		if together.RecordOutcome(1, together.ErrorRate) {
			t.Fatal("set aside though its peers fail as often")
		}
	}
	if convicted == 0 || convicted > 9 {
		t.Errorf("set aside after %d of 10 failures", convicted)
	}
}

func TestSetAsideLongerEachTime(t *testing.T) {
	var s Ejection
	spans := []float64{}
	now := 0.0
	for range 6 {
		if !s.Eject(now, 1, 10) {
			t.Fatal("not set aside")
		}
		if s.Eject(now, 1, 10) {
			t.Fatal("set aside twice")
		}
		spans = append(spans, s.LastDuration)
		now = s.EjectedUntil
	}
	for i, want := range []float64{1, 2, 4, 8, 10, 10} {
		if spans[i] != want {
			t.Fatalf("spans %v", spans)
		}
	}
	for range 30 {
		s.RecordOutcome(0, 0)
	}
	if s.LastDuration != 0 {
		t.Error("clean finishes have not forgiven")
	}
}

func TestWarmthClimbs(t *testing.T) {
	for _, c := range []struct{ since, want float64 }{{-1, 0.2}, {0, 0.2}, {5, 0.6}, {10, 1}} {
		if got := Warmth(0.2, c.since, 10); got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("%v after %v, not %v", got, c.since, c.want)
		}
	}
}
