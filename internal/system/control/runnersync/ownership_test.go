package runnersync

import (
	"testing"
	"time"

	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
)

func TestPollingRequiresLease(t *testing.T) {
	c := newFakeCluster()
	c.list = []discovery.Runner{newRunner(1)}
	c.leads = false
	if c.step(); c.calls != 0 {
		t.Error("called without a lease")
	}
	c.leads, c.lease = true, minLeaseRemaining
	if c.step(); c.calls != 0 {
		t.Error("called with too little lease left")
	}
	c.lease = time.Second
	if c.step(); c.calls != 1 || !c.inSync(t) {
		t.Error("not called under the lease")
	}
	c.list[0].Draining = true
	c.beforeApply = func(feed.Partition) { t.Error("proposed without a lease") }
	c.syncer.options.Lister = listerWithHook{c, func() { c.leads = false }}
	c.step()
}

// TestTakeoverWithoutConfigurationLeader checks that a machine keeps the runner partition that it leads while partition 0
// has no leader.
func TestTakeoverWithoutConfigurationLeader(t *testing.T) {
	c := newFakeCluster()
	for i := range 10 {
		c.list = append(c.list, newRunner(i))
	}
	c.step()
	c.leads, c.ledPartitions, c.staleness = false, feed.NewPartitionSet(2), takeoverDelay-1
	for i := range c.list {
		c.list[i].Draining = true
	}
	calls := c.calls
	if c.step(); c.calls != calls {
		t.Error("called although partition 0 may have another leader")
	}
	c.staleness = takeoverDelay
	c.syncer.options.CallsPerSecond = 4
	if wait := c.step(); c.calls == calls || wait != time.Second {
		t.Errorf("%d calls, a pause of %v; one of two partitions has half of the syncers' half of 4 calls a second",
			c.calls-calls, wait)
	}
	for _, runner := range c.storedRunners(t) {
		if kept := feed.PartitionOf(runner.Service, partitions) == 2; runner.Draining != kept {
			t.Errorf("runner %s of partition %d drains: %t", runner.ID, feed.PartitionOf(runner.Service, partitions),
				runner.Draining)
		}
	}
	c.lease = minLeaseRemaining
	calls = c.calls
	if c.step(); c.calls != calls {
		t.Error("called with too little lease left")
	}
	c.leads, c.lease = true, time.Second
	if c.step(); !c.inSync(t) {
		t.Error("not all partitions are synchronized once partition 0 has a leader")
	}
}
