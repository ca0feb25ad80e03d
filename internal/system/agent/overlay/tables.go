// Package overlay holds what an agent knows: the partitions as the control replicas have them, and as the agent serves
// them to its proxy, with the platform's own word laid over the runners of those partitions from which the agent is cut
// off. It is pure.
//
// The served partitions have numbers of their own: that of the control replicas' change, followed by Bits bits that count
// the changes that the agent made itself. So they rise over restarts of the agent as well, which the proxy relies on. The
// bits are 0 only where nothing of the platform's word is served: a restarted agent has the same then.
package overlay

import (
	"time"

	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
)

// LocalIndexBits is how many bits of a served number count the agent's own changes.
const LocalIndexBits = 24

// servedIndex is the served number of a control replicas' change.
func servedIndex(index uint64) uint64 { return index << LocalIndexBits }

// Tables are an agent's partitions. They are not safe for concurrent use. Times are of the caller's steady clock.
type Tables struct {
	base, served   []*feed.Table // by partition
	drainedRunners drainedRunners
	overlays       []overlay // by partition
}

// New returns empty tables: that of the configuration and so many of runners.
func New(runnerPartitions int) *Tables {
	t := &Tables{drainedRunners: newDrainedRunners()}
	for partition := range feed.Partition(1 + runnerPartitions) {
		t.base = append(t.base, feed.NewTable(partition))
		t.served = append(t.served, feed.NewTable(partition))
		t.overlays = append(t.overlays, newOverlay())
	}
	return t
}

// Partitions is the number of partitions.
func (t *Tables) Partitions() int { return len(t.base) }

// Positions say how far the control replicas' changes are held.
func (t *Tables) Positions() []feed.Position {
	positions := make([]feed.Position, len(t.base))
	for i, table := range t.base {
		positions[i] = table.Position()
	}
	return positions
}

// Empty says whether no configuration is held.
func (t *Tables) Empty() bool { return t.base[feed.ConfigurationPartition].Index() == 0 }

// Base is a partition as the control replicas have it. It is not to be changed.
func (t *Tables) Base(partition feed.Partition) *feed.Table { return t.base[partition] }

// Served is a partition as the proxy is to have it. It is not to be changed.
func (t *Tables) Served(partition feed.Partition) *feed.Table { return t.served[partition] }

// Apply takes a batch of the control replicas. It says whether anything changed, and whether the batch lags behind what
// is held, in which case it is ignored.
func (t *Tables) Apply(now time.Duration, batch feed.Batch) (changed, lags bool) {
	if int(batch.Partition) >= len(t.base) {
		return false, false
	}
	base := t.base[batch.Partition]
	if batch.To < base.Index() {
		return false, true
	}
	items := base.Apply(now, batch)
	if batch.Snapshot {
		t.serveSnapshot(now, batch.Partition)
	} else {
		t.serveChanges(now, batch.Partition, items)
	}
	return len(items) > 0, false
}

// serveChanges takes over the items that changed.
func (t *Tables) serveChanges(now time.Duration, partition feed.Partition, changed []feed.Item) {
	overlay := &t.overlays[partition]
	items := make([]feed.Item, 0, len(changed))
	for _, item := range changed {
		items = append(items, t.servedItem(now, item))
		overlay.remove(item.Key)
	}
	table := t.served[partition]
	to := servedIndex(t.base[partition].Index())
	if len(overlay.altered) > 0 {
		to++
	}
	table.Apply(now, feed.Batch{Partition: partition, From: table.Index(), To: to, Items: items})
}

// serveSnapshot takes over a whole partition: what the platform said of it is dropped.
func (t *Tables) serveSnapshot(now time.Duration, partition feed.Partition) {
	base, table := t.base[partition], t.served[partition]
	if base.Index() == 0 {
		return
	}
	items := make([]feed.Item, 0, base.Len())
	for item := range base.Items(now, "") {
		items = append(items, t.servedItem(now, item))
	}
	for item := range table.Items(now, "") {
		t.overlays[partition].remove(item.Key)
	}
	to := max(servedIndex(base.Index()), table.Index()+1)
	table.Apply(now, feed.Batch{Partition: partition, Snapshot: true, To: to, Items: items})
}

// servedItem is an item of the control replicas as it is served: numbered anew, and draining if the runner ever was.
func (t *Tables) servedItem(now time.Duration, item feed.Item) feed.Item {
	item.Index = servedIndex(item.Index)
	if item.Deleted {
		return item
	}
	runner, isRunner := decodeRunner(item)
	if !isRunner {
		return item
	}
	if t.drainedRunners.apply(now, &runner) {
		item.Value = discovery.EncodeRunner(runner)
	}
	return item
}

// Reconcile has a follower that is ahead of a served partition, because it was served by this agent's earlier life, be served
// again: from a number beyond its own, with a snapshot. One that knows of later changes of the control replicas than this
// agent is not, until the agent has caught up. It says whether anything is to be served now.
func (t *Tables) Reconcile(now time.Duration, position feed.Position) bool {
	if int(position.Partition) >= len(t.base) {
		return false
	}
	table := t.served[position.Partition]
	if position.Index <= table.Index() || position.Index>>LocalIndexBits != table.Index()>>LocalIndexBits {
		return false
	}
	renewed := feed.NewTable(position.Partition)
	renewed.Apply(now, feed.Batch{Partition: position.Partition, Snapshot: true, To: position.Index + 1,
		Items: table.Snapshot(now).Items})
	t.served[position.Partition] = renewed
	return true
}

// decodeRunner reads an item of a runner.
func decodeRunner(item feed.Item) (discovery.Runner, bool) {
	if len(item.Key) < len(feed.KeyPrefixRunner) || item.Key[:len(feed.KeyPrefixRunner)] != feed.KeyPrefixRunner {
		return discovery.Runner{}, false
	}
	runner, err := discovery.DecodeRunner(item.Value)
	return runner, err == nil
}
