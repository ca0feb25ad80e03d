package runnersync

import (
	"testing"
	"time"

	"cinderroad/internal/system/discovery"
)

func TestFailedListChangesNothing(t *testing.T) {
	c := newFakeCluster()
	c.list = []discovery.Runner{newRunner(1), newRunner(2)}
	c.step()
	c.step()
	c.listError = &discovery.RateLimitedError{}
	c.list = nil
	previous := time.Duration(0)
	for range 5 {
		wait := c.step()
		if wait < minPollInterval || wait < previous || wait > maxBackoff {
			t.Errorf("a pause of %v after one of %v", wait, previous)
		}
		previous = wait
	}
	if len(c.storedRunners(t)) != 2 {
		t.Error("a failed list was applied")
	}
	c.listError = nil
	c.list = []discovery.Runner{newRunner(1)}
	if wait := c.step(); wait != minPollInterval || len(c.storedRunners(t)) != 1 {
		t.Errorf("the next list: a pause of %v, %d runners stored", wait, len(c.storedRunners(t)))
	}
}

// TestPollIntervalGrowsWhileListIsUnchanged checks that the interval grows up to the bound by DrainWithin, and that a change
// or a missing runner resets it.
func TestPollIntervalGrowsWhileListIsUnchanged(t *testing.T) {
	c := newFakeCluster()
	c.syncer.options.DrainWithin = 6 * time.Second
	c.list = []discovery.Runner{newRunner(1), newRunner(2)}
	if wait := c.step(); wait != minPollInterval {
		t.Errorf("after the first list: %v", wait)
	}
	previous := minPollInterval
	for range 10 {
		wait := c.step()
		if wait < previous || wait > time.Second {
			t.Errorf("a wait of %v after one of %v", wait, previous)
		}
		previous = wait
	}
	if previous != time.Second {
		t.Errorf("after ten equal lists: %v", previous)
	}
	c.list[0].Draining = true
	if wait := c.step(); wait != minPollInterval {
		t.Errorf("after a change: %v", wait)
	}
	c.step()
	c.pages = 2
	c.list = c.list[:1]
	if wait := c.step(); wait != minPollInterval {
		t.Errorf("with a runner that is missing: %v", wait)
	}
}

func TestPollIntervalRespectsCallRate(t *testing.T) {
	c := newFakeCluster()
	c.pages = 20
	c.syncer.options.CallsPerSecond = 10
	if wait := c.step(); wait != 4*time.Second {
		t.Errorf("20 pages at 10 calls a second, half of which are the syncer's: a pause of %v", wait)
	}
}
