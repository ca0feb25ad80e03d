package placement

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"cinderroad/internal/compatibility"
	"cinderroad/internal/shared/capacity"
)

// TestSnapshotFormatIsStable checks that the snapshot, which an agent stores for the next incarnation of its proxy, keeps its
// recorded form.
func TestSnapshotFormatIsStable(t *testing.T) {
	recorded := compatibility.PackageFolder.Check(t, "learnt", placerWithState(t).Snapshot())
	speeds, runners, err := decodeSnapshot(recorded)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(map[string]float64{"api": 0, "llm": 38700}, speeds); d != "" {
		t.Error(d)
	}
	want := runnerSnapshot{slots: 64, limits: capacity.Limits{Load: 40, Utilization: float64(float32(0.9))}}
	if d := cmp.Diff(want, runners["llm-1"], cmp.AllowUnexported(runnerSnapshot{})); d != "" {
		t.Error(d)
	}
	if len(runners) != 7 || runners["api-2"].limits.Load != 3.5 {
		t.Errorf("%+v", runners)
	}
}
