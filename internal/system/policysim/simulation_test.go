package policysim

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// shortScenario returns a scenario that is simulated quickly.
func shortScenario() *Scenario {
	s := Screening()
	s.Duration = 6 * time.Second
	return s
}

func mustRun(t *testing.T, s *Scenario, c PolicyFactory, seed uint64) *Result {
	t.Helper()
	r, err := Run(s, c, seed)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestRunIsDeterministic(t *testing.T) {
	for _, rival := range BaselinePolicies() {
		first, second := mustRun(t, shortScenario(), rival, 7), mustRun(t, shortScenario(), rival, 7)
		if diff := cmp.Diff(first, second); diff != "" {
			t.Errorf("%s: %s", rival.Name, diff)
		}
	}
}

func TestEveryCallHasAnOutcome(t *testing.T) {
	s := shortScenario()
	s.Crashes = []Crash{{Service: "llm", RunnerIndex: 1, At: 2 * time.Second, Downtime: 2 * time.Second},
		{Service: "llm", RunnerIndex: 4, At: 3 * time.Second, Downtime: time.Second, Silent: true}}
	s.Bursts = []Burst{{Class: "draft", Factor: 3, Start: time.Second, Duration: 3 * time.Second}}
	for _, rival := range BaselinePolicies() {
		r := mustRun(t, s, rival, 3)
		calls := 0
		for _, c := range r.Classes {
			calls += c.Calls
			if got := c.InTime + c.Late + c.Rejected + c.Failed; got != c.Calls {
				t.Errorf("%s: %s: %d outcomes of %d calls", rival.Name, c.Name, got, c.Calls)
			}
			if c.InTime == 0 {
				t.Errorf("%s: %s: nothing was served in time", rival.Name, c.Name)
			}
		}
		if calls != len(GenerateTraffic(s, 3)) {
			t.Errorf("%s: %d calls of %d", rival.Name, calls, len(GenerateTraffic(s, 3)))
		}
	}
}

func TestLightLoadServedInTime(t *testing.T) {
	s := shortScenario()
	s.Load = 0.2
	r := mustRun(t, s, BaselinePolicies()[0], 1)
	if r.ValueShare < 0.9 {
		t.Errorf("%.3f of the value was earned", r.ValueShare)
	}
}

func TestPromptHashReusesPrefixCache(t *testing.T) {
	least, hash := mustRun(t, shortScenario(), BaselinePolicies()[0], 1), mustRun(t, shortScenario(),
		BaselinePolicies()[2], 1)
	if hash.SharedPrefilledAgain*2 > least.SharedPrefilledAgain {
		t.Errorf("%d tokens read again by hash, %d by requests in flight", hash.SharedPrefilledAgain,
			least.SharedPrefilledAgain)
	}
}
