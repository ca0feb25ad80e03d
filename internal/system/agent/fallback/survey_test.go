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

func TestAsksWhileCutOff(t *testing.T) {
	m := New(half)
	pace := Pace{Agents: 10, RatePerS: 100}
	m.Update(0, 0, pace)
	if _, asking := m.Next(0); asking || m.State() != Idle {
		t.Fatal("it asks although the feed is up to date")
	}
	m.Update(time.Second, firstPartition, pace)
	wait, asking := m.Next(time.Second)
	if !asking || wait != 500*time.Millisecond {
		t.Fatalf("it asks: %v, after %v, want after 500ms", asking, wait)
	}
	m.HandleList(2*time.Second, 1, pace)
	if wait, _ := m.Next(2 * time.Second); wait != time.Second {
		t.Errorf("it asks again after %v, want 1s", wait)
	}
}

func TestListIsHeldAfterFeedRecovers(t *testing.T) {
	m := New(half)
	m.Update(0, firstPartition, Pace{})
	if !m.Update(time.Second, 0, Pace{}).IsEmpty() || m.State() != Holding {
		t.Fatal("the list is dropped at once")
	}
	if _, asking := m.Next(time.Second); asking {
		t.Error("it asks although the feed is up to date")
	}
	m.Update(2*time.Second, firstPartition, Pace{})
	if m.State() != Asking {
		t.Error("it does not ask in a second cut")
	}
	m.Update(3*time.Second, 0, Pace{})
	if !m.Update(3*time.Second+HoldTime-1, 0, Pace{}).IsEmpty() {
		t.Error("the list is dropped early")
	}
	if m.Update(3*time.Second+HoldTime, 0, Pace{}) != firstPartition || m.State() != Idle {
		t.Error("the list is not dropped")
	}
	if !m.Update(10*time.Second, 0, Pace{}).IsEmpty() {
		t.Error("the list is dropped twice")
	}
}

// TestPartitionsAreIndependent has one partition come back while another stays cut off.
func TestPartitionsAreIndependent(t *testing.T) {
	m := New(half)
	both, two := feed.NewPartitionSet(1, 2), feed.NewPartitionSet(2)
	m.Update(0, both, Pace{})
	if m.CutOff() != both || m.State() != Asking {
		t.Fatalf("%v, for the partitions %v", m.State(), m.CutOff())
	}
	m.Update(time.Second, two, Pace{})
	if m.CutOff() != two || m.State() != Asking {
		t.Fatalf("%v, for the partitions %v", m.State(), m.CutOff())
	}
	if drop := m.Update(time.Second+HoldTime-1, two, Pace{}); !drop.IsEmpty() {
		t.Errorf("the list is dropped early for %v", drop)
	}
	if drop := m.Update(time.Second+HoldTime, two, Pace{}); drop != firstPartition || m.State() != Asking {
		t.Errorf("the list is dropped for %v, %v", drop, m.State())
	}
	m.Update(5*time.Second, 0, Pace{})
	if drop := m.Update(5*time.Second+HoldTime, 0, Pace{}); drop != two || m.State() != Idle {
		t.Errorf("the list is dropped for %v, %v", drop, m.State())
	}
}

func TestFailuresBackOff(t *testing.T) {
	m := New(half)
	pace := Pace{Agents: 1, RatePerS: 100}
	m.Update(0, firstPartition, pace)
	now := time.Duration(0)
	for _, want := range []time.Duration{1, 2, 4, 8, 15, 15} {
		m.HandleFailure(now, 0, pace)
		wait, _ := m.Next(now)
		if wait != want*time.Second {
			t.Fatalf("it asks again after %v, want %v", wait, want*time.Second)
		}
	}
	m.HandleFailure(now, 20*time.Second, pace)
	if wait, _ := m.Next(now); wait != 20*time.Second {
		t.Errorf("it asks again after %v, want the 20s that the platform asked for", wait)
	}
	m.HandleList(now, 1, pace)
	if wait, _ := m.Next(now); wait != time.Second {
		t.Errorf("it asks again after %v, want 1s", wait)
	}
}

// TestAllAgentsStayWithinRate has many agents ask, of a list of several pages, and counts in sliding seconds.
func TestAllAgentsStayWithinRate(t *testing.T) {
	for _, c := range []struct {
		agents, known, pages int
		rate                 float64
	}{
		{8, 8, 1, 42}, {12, 12, 2, 20}, {30, 0, 1, 42}, {350, 350, 20, 200}, {40, 20, 1, 42}, {1, 0, 1, 2},
	} {
		rng := rand.New(rand.NewPCG(1, uint64(c.agents)))
		pace := Pace{Agents: c.known, RatePerS: c.rate}
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
			for _, m := range pollers {
				if wait, asking := m.Next(now); asking && wait == 0 {
					calls[i] += c.pages
					m.HandleList(now, c.pages, pace)
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
