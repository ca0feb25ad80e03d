package placement

import (
	"errors"
	"math"
	"testing"
	"time"
)

// taught is a Placer that has learnt something.
func taught(t testing.TB) *Placer {
	p := testPlacer(t, append(testRunners("llm", 4), testRunners("api", 3)...))
	p.services["llm"].speed = 38700
	p.runners["llm-1"].ceilings.Load, p.runners["llm-1"].ceilings.Utilization = 40, 0.9
	p.runners["api-2"].ceilings.Load = 3.5
	return p
}

func TestLearntOutlivesARestart(t *testing.T) {
	old := taught(t)
	for _, listFirst := range []bool{true, false} {
		p := worldPlacer(t, "m", 2)
		told := append(testRunners("llm", 4), testRunners("api", 3)...)
		steps := []func(){
			func() {
				p.SetServices(testStart, testServices())
				p.SetRunners(testStart, told)
			},
			func() {
				if err := p.Restore(testStart, old.Snapshot()); err != nil {
					t.Fatal(err)
				}
			},
		}
		if !listFirst {
			steps[0], steps[1] = steps[1], steps[0]
		}
		for _, step := range steps {
			step()
		}
		for id, w := range old.runners {
			if got := p.runners[id].ceilings; math.Abs(got.Load-w.ceilings.Load) > 1e-4 || math.Abs(got.Utilization-w.ceilings.Utilization) > 1e-6 {
				t.Errorf("list first %v: %s: %+v, was %+v", listFirst, id, got, w.ceilings)
			}
		}
		if p.services["llm"].speed != 38700 {
			t.Errorf("list first %v: speed %v", listFirst, p.services["llm"].speed)
		}
	}
}

// A runner of another size, or another incarnation, starts from what its size says.
func TestLearntOfAnotherIncarnationDoesNotCount(t *testing.T) {
	p := worldPlacer(t, "m", 2)
	if err := p.Restore(testStart, taught(t).Snapshot()); err != nil {
		t.Fatal(err)
	}
	told := testRunners("llm", 2)
	told[1].Capacity = 32
	p.SetServices(testStart, testServices())
	p.SetRunners(testStart, told)
	if got := p.runners["llm-1"].ceilings.Load; math.Abs(got-32*1.1) > 1e-9 {
		t.Errorf("ceiling %v", got)
	}
}

func TestLearntThatIsCutIsRefused(t *testing.T) {
	whole := taught(t).Snapshot()
	for n := range whole {
		if err := worldPlacer(t, "m", 2).Restore(testStart, whole[:n]); !errors.Is(err, errLearnt) {
			t.Fatalf("%d of %d bytes: %v", n, len(whole), err)
		}
	}
	if err := worldPlacer(t, "m", 2).Restore(testStart, append(whole, 0)); !errors.Is(err, errLearnt) {
		t.Error("bytes after the end are taken")
	}
	if len(whole) > 250 {
		t.Errorf("%d bytes for seven runners", len(whole))
	}
}

// Whatever Recall is handed, it refuses it, or what it took is told again by Learnt just so, and placing goes on.
func FuzzRecall(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{learntVersion, 0, 0})
	f.Add(taught(f).Snapshot())
	f.Fuzz(func(t *testing.T, b []byte) {
		p := worldPlacer(t, "m", 2)
		if p.Restore(testStart, b) != nil {
			if len(p.recalled) > 0 || len(p.speeds) > 0 {
				t.Fatal("refused, and yet taken")
			}
			return
		}
		p.SetServices(testStart, testServices())
		p.SetRunners(testStart, append(testRunners("llm", 4), testRunners("api", 3)...))
		p.SetProxyCount(testStart, 2)
		for at := testStart; at < testStart+time.Second; at += planPeriod {
			p.Tick(at)
		}
		if _, refusal := p.Place(testStart+time.Second, testRequest(testStart+time.Second, "api", testRoute())); refusal != nil {
			t.Fatal(refusal)
		}
		if err := worldPlacer(t, "m", 3).Restore(testStart, p.Snapshot()); err != nil {
			t.Fatal(err)
		}
	})
}
