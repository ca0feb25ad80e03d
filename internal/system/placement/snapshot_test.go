package placement

import (
	"errors"
	"math"
	"testing"
	"time"
)

// placerWithState returns a Placer with learnt limits and a learnt speed.
func placerWithState(t testing.TB) *Placer {
	t.Helper()
	p := startedTestPlacer(t, append(testRunners("llm", 4), testRunners("api", 3)...))
	p.services["llm"].prefillSpeed = 38700
	p.runners["llm-1"].limits.Load = 40
	p.runners["llm-1"].limits.Utilization = 0.9
	p.runners["api-2"].limits.Load = 3.5
	return p
}

func TestSnapshotOutlivesRestart(t *testing.T) {
	old := placerWithState(t)
	for _, listFirst := range []bool{true, false} {
		placer := newTestPlacer(t, "m", 2)
		runners := append(testRunners("llm", 4), testRunners("api", 3)...)
		steps := []func(){
			func() {
				placer.SetServices(testStart, testServices())
				placer.SetRunners(testStart, runners)
			},
			func() {
				if err := placer.Restore(testStart, old.Snapshot()); err != nil {
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
		for id, runner := range old.runners {
			got, want := placer.runners[id].limits, runner.limits
			if math.Abs(got.Load-want.Load) > 1e-4 || math.Abs(got.Utilization-want.Utilization) > 1e-6 {
				t.Errorf("list first %v: %s: %+v, was %+v", listFirst, id, got, want)
			}
		}
		if placer.services["llm"].prefillSpeed != 38700 {
			t.Errorf("list first %v: speed %v", listFirst, placer.services["llm"].prefillSpeed)
		}
	}
}

// A runner with another number of slots starts from the initial limits.
func TestSnapshotOfAnotherIncarnationIsIgnored(t *testing.T) {
	p := newTestPlacer(t, "m", 2)
	if err := p.Restore(testStart, placerWithState(t).Snapshot()); err != nil {
		t.Fatal(err)
	}
	runners := testRunners("llm", 2)
	runners[1].Capacity = 32
	p.SetServices(testStart, testServices())
	p.SetRunners(testStart, runners)
	if got := p.runners["llm-1"].limits.Load; math.Abs(got-32*1.1) > 1e-9 {
		t.Errorf("limit %v", got)
	}
}

func TestTruncatedSnapshotIsRejected(t *testing.T) {
	snapshot := placerWithState(t).Snapshot()
	for n := range snapshot {
		if err := newTestPlacer(t, "m", 2).Restore(testStart, snapshot[:n]); !errors.Is(err, errSnapshot) {
			t.Fatalf("%d of %d bytes: %v", n, len(snapshot), err)
		}
	}
	if err := newTestPlacer(t, "m", 2).Restore(testStart, append(snapshot, 0)); !errors.Is(err, errSnapshot) {
		t.Error("bytes after the end are accepted")
	}
	if len(snapshot) > 250 {
		t.Errorf("%d bytes for seven runners", len(snapshot))
	}
}

// Restore rejects an encoding without a trace, or takes it over so that Place works and Snapshot can be restored again.
func FuzzRestore(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{snapshotVersion, 0, 0})
	f.Add(placerWithState(f).Snapshot())
	f.Fuzz(func(t *testing.T, b []byte) {
		placer := newTestPlacer(t, "m", 2)
		if placer.Restore(testStart, b) != nil {
			if len(placer.restored) > 0 || len(placer.restoredSpeeds) > 0 {
				t.Fatal("rejected, and yet applied")
			}
			return
		}
		placer.SetServices(testStart, testServices())
		placer.SetRunners(testStart, append(testRunners("llm", 4), testRunners("api", 3)...))
		placer.SetProxyCount(testStart, 2)
		for at := testStart; at < testStart+time.Second; at += planPeriod {
			placer.Tick(at)
		}
		if _, rejection := placer.Place(testStart+time.Second, testRequest(testStart+time.Second, "api", testRoute())); rejection != nil {
			t.Fatal(rejection)
		}
		if err := newTestPlacer(t, "m", 3).Restore(testStart, placer.Snapshot()); err != nil {
			t.Fatal(err)
		}
	})
}
