package runnersync

import (
	"testing"
	"time"

	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
)

func TestPollingRequiresLease(t *testing.T) {
	cluster := newFakeCluster()
	cluster.list = []discovery.Runner{newRunner(1)}
	cluster.leads = false
	if cluster.step(); cluster.calls != 0 {
		t.Error("called without a lease")
	}
	cluster.leads = true
	cluster.lease = minLeaseRemaining
	if cluster.step(); cluster.calls != 0 {
		t.Error("called with too little lease left")
	}
	cluster.lease = time.Second
	if cluster.step(); cluster.calls != 1 || !cluster.inSync(t) {
		t.Error("not called under the lease")
	}
	cluster.list[0].Draining = true
	cluster.beforeApply = func(feed.Partition) { t.Error("proposed without a lease") }
	cluster.syncer.options.Lister = listerWithHook{cluster, func() { cluster.leads = false }}
	cluster.step()
}

// TestTakeoverWithoutConfigurationLeader checks that a machine keeps the runner partition that it leads while partition 0
// has no leader.
func TestTakeoverWithoutConfigurationLeader(t *testing.T) {
	cluster := newFakeCluster()
	for i := range 10 {
		cluster.list = append(cluster.list, newRunner(i))
	}
	cluster.step()
	cluster.leads = false
	cluster.ledPartitions = feed.NewPartitionSet(2)
	cluster.staleness = takeoverDelay - 1
	for i := range cluster.list {
		cluster.list[i].Draining = true
	}
	calls := cluster.calls
	if cluster.step(); cluster.calls != calls {
		t.Error("called although partition 0 may have another leader")
	}
	cluster.staleness = takeoverDelay
	cluster.syncer.options.CallsPerSecond = 4
	if wait := cluster.step(); cluster.calls == calls || wait != time.Second {
		t.Errorf("%d calls, a pause of %v; one of two partitions has half of the syncers' half of 4 calls a second",
			cluster.calls-calls, wait)
	}
	for _, runner := range cluster.storedRunners(t) {
		if kept := feed.PartitionOf(runner.Service, partitions) == 2; runner.Draining != kept {
			t.Errorf("runner %s of partition %d drains: %t", runner.ID, feed.PartitionOf(runner.Service, partitions),
				runner.Draining)
		}
	}
	cluster.lease = minLeaseRemaining
	calls = cluster.calls
	if cluster.step(); cluster.calls != calls {
		t.Error("called with too little lease left")
	}
	cluster.leads = true
	cluster.lease = time.Second
	if cluster.step(); !cluster.inSync(t) {
		t.Error("not all partitions are synchronized once partition 0 has a leader")
	}
}
