// Package overlay holds an agent's tables: each partition as the control replicas have it (base), and as the agent
// serves it to its proxy (served). The two differ while the agent is cut off from a partition of runners: then the
// platform's own list is laid over it.
//
// The package is pure: it performs no I/O and takes the time from its caller.
//
// A served table has indexes of its own: the base index shifted left by LocalIndexBits, plus a count of the changes
// that the agent made itself. Hence served indexes rise across restarts of the agent, on which the proxy relies. The
// low bits are 0 only while nothing of the platform's list is served; a restarted agent then has the same table at the
// same index.
package overlay

import (
	"strings"
	"time"

	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
)

// LocalIndexBits is the number of low bits of a served index that count the agent's own changes.
const LocalIndexBits = 24

// servedIndex returns the served index of a base index.
func servedIndex(index uint64) uint64 { return index << LocalIndexBits }

// Tables are an agent's partitions. They are not safe for concurrent use. Times are of the caller's monotonic clock.
type Tables struct {
	base           []*feed.Table // by partition, as the control replicas have them
	served         []*feed.Table // by partition, as the proxy is to have them
	drainedRunners drainedRunners
	overlays       []overlay // by partition
}

// New returns empty tables: one of the configuration and the given number of runner partitions.
func New(runnerPartitions int) *Tables {
	t := &Tables{drainedRunners: newDrainedRunners()}
	for partition := range feed.Partition(1 + runnerPartitions) {
		t.base = append(t.base, feed.NewTable(partition))
		t.served = append(t.served, feed.NewTable(partition))
		t.overlays = append(t.overlays, newOverlay())
	}
	return t
}

// Partitions returns the number of partitions, with that of the configuration.
func (t *Tables) Partitions() int { return len(t.base) }

// Positions returns the base index of each partition.
func (t *Tables) Positions() []feed.Position {
	positions := make([]feed.Position, len(t.base))
	for i, table := range t.base {
		positions[i] = table.Position()
	}
	return positions
}

// Empty reports whether the base has no configuration yet.
func (t *Tables) Empty() bool { return t.base[feed.ConfigurationPartition].Index() == 0 }

// Base returns a partition as the control replicas have it. The caller must not change it.
func (t *Tables) Base(partition feed.Partition) *feed.Table { return t.base[partition] }

// Served returns a partition as the proxy is to have it. The caller must not change it, nor keep it: Reconcile replaces
// it.
func (t *Tables) Served(partition feed.Partition) *feed.Table { return t.served[partition] }

// Apply applies a batch of a control replica or of another agent. It reports whether anything changed, and whether the
// batch lags behind the base, in which case it is ignored.
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

// serveChanges applies changed base items to the served table. They override the platform's list.
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
		to++ // low bits of 0 would claim that nothing of the platform's list is served
	}
	table.Apply(now, feed.Batch{Partition: partition, From: table.Index(), To: to, Items: items})
}

// serveSnapshot replaces the served table by the base, without the changes of the platform's list.
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

// servedItem returns a base item as it is served: with a served index, and as draining if the runner was ever seen
// draining.
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

// Reconcile lets a follower continue that is ahead of a served table because it was served by this agent before a
// restart: the table is moved beyond the follower's index, so that the follower gets a snapshot. A follower that has
// later base changes than this agent is not reconciled until the agent has caught up. Reconcile reports whether it
// moved the table.
func (t *Tables) Reconcile(now time.Duration, position feed.Position) bool {
	if int(position.Partition) >= len(t.base) {
		return false
	}
	table := t.served[position.Partition]
	if position.Index <= table.Index() || position.Index>>LocalIndexBits != table.Index()>>LocalIndexBits {
		return false
	}
	renewed := feed.NewTable(position.Partition)
	renewed.Apply(now, feed.Batch{
		Partition: position.Partition,
		Snapshot:  true,
		To:        position.Index + 1,
		Items:     table.Snapshot(now).Items,
	})
	t.served[position.Partition] = renewed
	return true
}

// decodeRunner returns the runner of an item, and whether the item is one.
func decodeRunner(item feed.Item) (discovery.Runner, bool) {
	if !strings.HasPrefix(item.Key, feed.KeyPrefixRunner) {
		return discovery.Runner{}, false
	}
	runner, err := discovery.DecodeRunner(item.Value)
	return runner, err == nil
}
