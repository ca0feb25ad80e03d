package policysim

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// short is a scenario that takes little time.
func short() *Scenario {
	s := Screening()
	s.Length = 6 * time.Second
	return s
}

func run(t *testing.T, s *Scenario, c Contestant, seed uint64) *Result {
	t.Helper()
	r, err := Run(s, c, seed)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestTheSameSeedGivesTheSameRun(t *testing.T) {
	for _, rival := range Rivals() {
		first, second := run(t, short(), rival, 7), run(t, short(), rival, 7)
		if diff := cmp.Diff(first, second); diff != "" {
			t.Errorf("%s: %s", rival.Name, diff)
		}
	}
}

func TestEveryCallHasAnOutcome(t *testing.T) {
	s := short()
	s.Crashes = []Crash{{Service: "llm", Runner: 1, At: 2 * time.Second, For: 2 * time.Second},
		{Service: "llm", Runner: 4, At: 3 * time.Second, For: time.Second, Dark: true}}
	s.Bursts = []Burst{{Class: "draft", Factor: 3, From: time.Second, For: 3 * time.Second}}
	for _, rival := range Rivals() {
		r := run(t, s, rival, 3)
		calls := 0
		for _, c := range r.Classes {
			calls += c.Calls
			if got := c.InTime + c.Late + c.Refused + c.Failed; got != c.Calls {
				t.Errorf("%s: %s: %d outcomes of %d calls", rival.Name, c.Name, got, c.Calls)
			}
			if c.InTime == 0 {
				t.Errorf("%s: %s: nothing was served in time", rival.Name, c.Name)
			}
		}
		if calls != len(Draw(s, 3)) {
			t.Errorf("%s: %d calls of %d", rival.Name, calls, len(Draw(s, 3)))
		}
	}
}

func TestALightLoadIsServedInTime(t *testing.T) {
	s := short()
	s.Load = 0.2
	r := run(t, s, Rivals()[0], 1)
	if r.Share < 0.9 {
		t.Errorf("%.3f of the worth was earned", r.Share)
	}
}

func TestHashesReadSharedPartsLessOften(t *testing.T) {
	least, hash := run(t, short(), Rivals()[0], 1), run(t, short(), Rivals()[2], 1)
	if hash.SharedAgain*2 > least.SharedAgain {
		t.Errorf("%d tokens read again by hash, %d by requests in flight", hash.SharedAgain, least.SharedAgain)
	}
}

func TestTrafficHasItsRate(t *testing.T) {
	s := Screening()
	s.Length = 260 * time.Second
	counts := make(map[string]int)
	for _, call := range Draw(s, 5) {
		counts[call.Class.Name]++
	}
	for _, class := range s.Classes {
		want := class.PerS * s.Length.Seconds()
		if got := float64(counts[class.Name]); got < 0.85*want || got > 1.15*want {
			t.Errorf("%s: %v calls, want about %.0f", class.Name, got, want)
		}
	}
}
