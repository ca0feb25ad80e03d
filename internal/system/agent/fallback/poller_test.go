package fallback

import (
	"math/rand/v2"
	"testing"
	"time"

	"cinderroad/internal/system/feed"
)

// firstPartition is a cut from the first partition of runners.
var firstPartition = feed.NewPartitionSet(1)

func half() float64 { return 0.5 }

func TestPollsWhileCutOff(t *testing.T) {
	poller := New(half)
	pace := Pace{Agents: 10, CallsPerSecond: 100}
	poller.Update(0, 0, pace)
	if _, due := poller.Next(0); due || poller.State() != Idle {
		t.Fatal("it asks although the feed is up to date")
	}
	poller.Update(time.Second, firstPartition, pace)
	wait, due := poller.Next(time.Second)
	if !due || wait != 500*time.Millisecond {
		t.Fatalf("a poll is due: %v, after %v, want after 500ms", due, wait)
	}
	poller.HandleList(2*time.Second, 1, pace)
	if wait, _ := poller.Next(2 * time.Second); wait != time.Second {
		t.Errorf("it asks again after %v, want 1s", wait)
	}
}

func TestListIsRetainedAfterFeedRecovers(t *testing.T) {
	poller := New(half)
	poller.Update(0, firstPartition, Pace{})
	if !poller.Update(time.Second, 0, Pace{}).IsEmpty() || poller.State() != Retaining {
		t.Fatal("the list is dropped at once")
	}
	if _, due := poller.Next(time.Second); due {
		t.Error("it asks although the feed is up to date")
	}
	poller.Update(2*time.Second, firstPartition, Pace{})
	if poller.State() != Polling {
		t.Error("it does not ask in a second cut")
	}
	poller.Update(3*time.Second, 0, Pace{})
	if !poller.Update(3*time.Second+HoldTime-1, 0, Pace{}).IsEmpty() {
		t.Error("the list is dropped early")
	}
	if poller.Update(3*time.Second+HoldTime, 0, Pace{}) != firstPartition || poller.State() != Idle {
		t.Error("the list is not dropped")
	}
	if !poller.Update(10*time.Second, 0, Pace{}).IsEmpty() {
		t.Error("the list is dropped twice")
	}
}

// TestPartitionsAreIndependent has one partition recover while another stays cut off.
func TestPartitionsAreIndependent(t *testing.T) {
	poller := New(half)
	both, two := feed.NewPartitionSet(1, 2), feed.NewPartitionSet(2)
	poller.Update(0, both, Pace{})
	if poller.CutOff() != both || poller.State() != Polling {
		t.Fatalf("%v, for the partitions %v", poller.State(), poller.CutOff())
	}
	poller.Update(time.Second, two, Pace{})
	if poller.CutOff() != two || poller.State() != Polling {
		t.Fatalf("%v, for the partitions %v", poller.State(), poller.CutOff())
	}
	if drop := poller.Update(time.Second+HoldTime-1, two, Pace{}); !drop.IsEmpty() {
		t.Errorf("the list is dropped early for %v", drop)
	}
	if drop := poller.Update(time.Second+HoldTime, two, Pace{}); drop != firstPartition || poller.State() != Polling {
		t.Errorf("the list is dropped for %v, %v", drop, poller.State())
	}
	poller.Update(5*time.Second, 0, Pace{})
	if drop := poller.Update(5*time.Second+HoldTime, 0, Pace{}); drop != two || poller.State() != Idle {
		t.Errorf("the list is dropped for %v, %v", drop, poller.State())
	}
}

func TestFailuresBackOff(t *testing.T) {
	poller := New(half)
	pace := Pace{Agents: 1, CallsPerSecond: 100}
	poller.Update(0, firstPartition, pace)
	now := time.Duration(0)
	for _, want := range []time.Duration{1, 2, 4, 8, 15, 15} {
		poller.HandleFailure(now, 0, pace)
		wait, _ := poller.Next(now)
		if wait != want*time.Second {
			t.Fatalf("it asks again after %v, want %v", wait, want*time.Second)
		}
	}
	poller.HandleFailure(now, 20*time.Second, pace)
	if wait, _ := poller.Next(now); wait != 20*time.Second {
		t.Errorf("it asks again after %v, want the 20s that the platform asked for", wait)
	}
	poller.HandleList(now, 1, pace)
	if wait, _ := poller.Next(now); wait != time.Second {
		t.Errorf("it asks again after %v, want 1s", wait)
	}
}

// TestAllAgentsStayWithinRate has many agents poll, some of them lists of several pages, and counts calls in sliding
// seconds.
func TestAllAgentsStayWithinRate(t *testing.T) {
	for _, c := range []struct {
		agents, known, pages int
		rate                 float64
	}{
		{8, 8, 1, 42}, {12, 12, 2, 20}, {30, 0, 1, 42}, {350, 350, 20, 200}, {40, 20, 1, 42}, {1, 0, 1, 2},
	} {
		rng := rand.New(rand.NewPCG(1, uint64(c.agents)))
		pace := Pace{Agents: c.known, CallsPerSecond: c.rate}
		pollers := make([]*Poller, c.agents)
		for i := range pollers {
			pollers[i] = New(rng.Float64)
			pollers[i].pages = c.pages
			pollers[i].Update(0, firstPartition, pace)
		}
		const step = 10 * time.Millisecond
		calls := make([]int, 12000)
		for i := range calls {
			now := time.Duration(i) * step
			for _, poller := range pollers {
				if wait, due := poller.Next(now); due && wait == 0 {
					calls[i] += c.pages
					poller.HandleList(now, c.pages, pace)
				}
			}
		}
		total, inSecond, most := 0, 0, 0
		for i, n := range calls {
			total += n
			inSecond += n
			if i >= 100 {
				inSecond -= calls[i-100]
			}
			most = max(most, inSecond)
		}
		if rate := float64(total) / 120; rate > c.rate {
			t.Errorf("%+v: %.1f calls a second in the long run", c, rate)
		}
		if float64(most) > c.rate {
			t.Errorf("%+v: %d calls within a second", c, most)
		}
	}
}
