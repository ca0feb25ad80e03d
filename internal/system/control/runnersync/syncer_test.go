package runnersync

import (
	"testing"
	"time"

	"cinderroad/internal/system/discovery"
)

func TestFailedListChangesNothing(t *testing.T) {
	cluster := newFakeCluster()
	cluster.list = []discovery.Runner{newRunner(1), newRunner(2)}
	cluster.step()
	cluster.step()
	cluster.listError = &discovery.RateLimitedError{}
	cluster.list = nil
	previous := time.Duration(0)
	for range 5 {
		wait := cluster.step()
		if wait < minPollInterval || wait < previous || wait > maxBackoff {
			t.Errorf("a pause of %v after one of %v", wait, previous)
		}
		previous = wait
	}
	if len(cluster.storedRunners(t)) != 2 {
		t.Error("a failed list was applied")
	}
	cluster.listError = nil
	cluster.list = []discovery.Runner{newRunner(1)}
	if wait := cluster.step(); wait != minPollInterval || len(cluster.storedRunners(t)) != 1 {
		t.Errorf("the next list: a pause of %v, %d runners stored", wait, len(cluster.storedRunners(t)))
	}
}

// TestPollIntervalGrowsWhileListIsUnchanged checks that the interval grows up to the bound by DrainWithin, and that a change
// or a missing runner resets it.
func TestPollIntervalGrowsWhileListIsUnchanged(t *testing.T) {
	cluster := newFakeCluster()
	cluster.syncer.options.DrainWithin = 6 * time.Second
	cluster.list = []discovery.Runner{newRunner(1), newRunner(2)}
	if wait := cluster.step(); wait != minPollInterval {
		t.Errorf("after the first list: %v", wait)
	}
	previous := minPollInterval
	for range 10 {
		wait := cluster.step()
		if wait < previous || wait > time.Second {
			t.Errorf("a wait of %v after one of %v", wait, previous)
		}
		previous = wait
	}
	if previous != time.Second {
		t.Errorf("after ten equal lists: %v", previous)
	}
	cluster.list[0].Draining = true
	if wait := cluster.step(); wait != minPollInterval {
		t.Errorf("after a change: %v", wait)
	}
	cluster.step()
	cluster.pages = 2
	cluster.list = cluster.list[:1]
	if wait := cluster.step(); wait != minPollInterval {
		t.Errorf("with a runner that is missing: %v", wait)
	}
}

func TestPollIntervalRespectsCallRate(t *testing.T) {
	cluster := newFakeCluster()
	cluster.pages = 20
	cluster.syncer.options.CallsPerSecond = 10
	if wait := cluster.step(); wait != 4*time.Second {
		t.Errorf("20 pages at 10 calls a second, half of which are the syncer's: a pause of %v", wait)
	}
}
