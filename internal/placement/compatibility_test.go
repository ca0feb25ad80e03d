package placement

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"cinderroad/internal/capacity"
	"cinderroad/internal/compatibility"
)

// TestReadsLearnt: what a proxy has its agent keep for its next life.
func TestReadsLearnt(t *testing.T) {
	recorded := compatibility.Elsewhere.Check(t, "learnt", taught(t).Learnt())
	speeds, runners, err := decodeLearnt(recorded)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(map[string]float64{"api": 0, "llm": 38700}, speeds); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff(learntRunner{size: 64, ceilings: capacity.Ceilings{Load: 40, Util: float64(float32(0.9))}}, runners["llm-1"],
		cmp.AllowUnexported(learntRunner{})); d != "" {
		t.Error(d)
	}
	if len(runners) != 7 || runners["api-2"].ceilings.Load != 3.5 {
		t.Errorf("%+v", runners)
	}
}
