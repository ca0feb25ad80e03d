package overlay

import (
	"slices"
	"time"

	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
)

const (
	// missesUntilRemoved is in how many lists in a row a runner must be missing to be gone: one list may be a page short.
	missesUntilRemoved = 2
	// timeTolerance is by how much a time that runs down by itself may differ from what is expected.
	timeTolerance = 400 * time.Millisecond
)

// overlay is what the platform itself said of a partition's runners.
type overlay struct {
	altered map[string]bool // keys that are served as the platform said
	misses  map[string]int  // keys that are served and were missing in so many lists in a row
}

func newOverlay() overlay {
	return overlay{altered: map[string]bool{}, misses: map[string]int{}}
}

// remove takes it that the control replicas had a newer word on a key.
func (o *overlay) remove(key string) {
	delete(o.altered, key)
	delete(o.misses, key)
}

// recordMiss notes that a served runner is not listed, and says whether it is gone.
func (o *overlay) recordMiss(key string) bool {
	o.misses[key]++
	if o.misses[key] < missesUntilRemoved {
		return false
	}
	delete(o.misses, key)
	return true
}

// ApplyList takes the platform's list for the partitions named: new runners are served, those that drain are served as
// draining, and those that were missing twice in a row are gone. It says whether anything changed. An empty list says
// nothing, and a partition of which nothing is held stays so.
func (t *Tables) ApplyList(now time.Duration, runners []discovery.Runner, partitions feed.PartitionSet) bool {
	if len(runners) == 0 {
		return false
	}
	listed := make([]map[string]*discovery.Runner, len(t.served))
	for partition := range listed {
		listed[partition] = map[string]*discovery.Runner{}
	}
	for i := range runners {
		runner := &runners[i]
		partition := feed.PartitionOf(runner.Service, len(t.served)-1)
		listed[partition][feed.KeyPrefixRunner+runner.ID] = runner
	}
	changed := false
	for partition := feed.Partition(1); int(partition) < len(t.served); partition++ {
		if partitions.Contains(partition) && t.applyListToPartition(now, partition, listed[partition]) {
			changed = true
		}
	}
	return changed
}

// applyListToPartition serves a partition as listed. All its changes have one number.
func (t *Tables) applyListToPartition(now time.Duration, partition feed.Partition, listed map[string]*discovery.Runner) bool {
	if t.base[partition].Index() == 0 {
		return false // followers of an earlier life could not be told what is gone since
	}
	table, overlay := t.served[partition], &t.overlays[partition]
	index := table.Index() + 1
	var updated []feed.Item
	var removed []string
	for item := range table.Items(now, feed.KeyPrefixRunner) {
		if listed[item.Key] == nil && overlay.recordMiss(item.Key) {
			removed = append(removed, item.Key)
		}
	}
	for key, runner := range listed {
		delete(overlay.misses, key)
		t.drainedRunners.apply(now, runner)
		if item, known := table.Item(now, key); known && !differs(item, runner) {
			continue
		}
		updated = append(updated, feed.Item{Key: key, Value: discovery.EncodeRunner(*runner)})
	}
	slices.SortFunc(updated, func(a, b feed.Item) int { return compare(a.Key, b.Key) })
	for _, item := range updated {
		overlay.altered[item.Key] = true
		table.Put(now, index, item.Key, item.Value)
	}
	for _, key := range removed {
		overlay.altered[key] = true
		table.Delete(now, index, key)
	}
	return len(updated)+len(removed) > 0
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// differs says whether a listed runner is another than the one served: times that run down by themselves are compared
// with what is left of them by now.
func differs(item feed.Item, listed *discovery.Runner) bool {
	held, isRunner := decodeRunner(item)
	if !isRunner {
		return true
	}
	if !equalExceptTimes(&held, listed) {
		return true
	}
	return deviates(held.SlowStartRemaining-item.Age, listed.SlowStartRemaining) || deviates(held.TimeToTermination-item.Age, listed.TimeToTermination)
}

func equalExceptTimes(a, b *discovery.Runner) bool {
	return a.ID == b.ID && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone &&
		a.Capacity == b.Capacity && a.Draining == b.Draining && a.Phase == b.Phase && slices.Equal(a.Models, b.Models)
}

func deviates(expected, listed time.Duration) bool {
	difference := max(0, expected) - listed
	return difference > timeTolerance || difference < -timeTolerance
}

// DropList serves the runners of the partitions named as the control replicas have them again; those that were seen draining
// drain on. It says whether anything changed.
func (t *Tables) DropList(now time.Duration, partitions feed.PartitionSet) bool {
	changed := false
	for partition := feed.Partition(1); int(partition) < len(t.served); partition++ {
		if partitions.Contains(partition) && t.dropListFromPartition(now, partition) {
			changed = true
		}
	}
	return changed
}

// dropListFromPartition restores what the platform's list altered. All its changes have one number.
func (t *Tables) dropListFromPartition(now time.Duration, partition feed.Partition) bool {
	changed := false
	index := t.served[partition].Index() + 1
	for key := range t.overlays[partition].altered {
		if t.restore(now, partition, index, key) {
			changed = true
		}
	}
	t.overlays[partition] = newOverlay()
	return changed
}

// restore serves a key as the control replicas have it.
func (t *Tables) restore(now time.Duration, partition feed.Partition, index uint64, key string) bool {
	item, known := t.base[partition].Item(now, key)
	if !known {
		return t.served[partition].Delete(now, index, key)
	}
	item = t.servedItem(now, item)
	return t.served[partition].Put(now-item.Age, index, key, item.Value)
}
