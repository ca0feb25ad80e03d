package overlay

import (
	"slices"
	"strings"
	"time"

	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
)

const (
	// missesUntilRemoved is in how many consecutive lists a runner must be missing to be removed: one list may lack a
	// page.
	missesUntilRemoved = 2
	// timeTolerance is how far a remaining time may be off what its elapsing explains, and still be unchanged.
	timeTolerance = 400 * time.Millisecond
)

// overlay records which changes of the platform's list were applied to one partition.
type overlay struct {
	altered map[string]bool // keys that are served as listed
	misses  map[string]int  // by served key: number of consecutive lists without it
}

func newOverlay() overlay {
	return overlay{altered: map[string]bool{}, misses: map[string]int{}}
}

// remove drops the records of a key, because the control replicas changed it.
func (o *overlay) remove(key string) {
	delete(o.altered, key)
	delete(o.misses, key)
}

// recordMiss records that a served runner is not listed, and reports whether it is to be removed.
func (o *overlay) recordMiss(key string) bool {
	o.misses[key]++
	if o.misses[key] < missesUntilRemoved {
		return false
	}
	delete(o.misses, key)
	return true
}

// ApplyList applies the platform's list to the given partitions: new runners are served, draining ones are served as
// draining, and those missing missesUntilRemoved times in a row are removed. It reports whether anything changed. An
// empty list is ignored, and so is a partition of which the agent holds nothing.
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

// applyListToPartition serves a partition as listed. All changes get the same index.
func (t *Tables) applyListToPartition(now time.Duration, partition feed.Partition, listed map[string]*discovery.Runner) bool {
	if t.base[partition].Index() == 0 {
		return false // a proxy that was served before a restart of the agent would not learn of removals since
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
		t.drainedRunners.apply(now, runner) // may set runner.Draining, whatever the list says
		if item, known := table.Item(now, key); known && !differs(item, runner) {
			continue
		}
		updated = append(updated, feed.Item{Key: key, Value: discovery.EncodeRunner(*runner)})
	}
	slices.SortFunc(updated, func(a, b feed.Item) int { return strings.Compare(a.Key, b.Key) })
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

// differs reports whether a listed runner differs from the served one. Times that elapse by themselves are compared
// with what remains of them by now.
func differs(item feed.Item, listed *discovery.Runner) bool {
	served, isRunner := decodeRunner(item)
	if !isRunner {
		return true
	}
	if !served.EqualExceptTimes(listed) {
		return true
	}
	return deviates(served.SlowStartRemaining-item.Age, listed.SlowStartRemaining) ||
		deviates(served.TimeToTermination-item.Age, listed.TimeToTermination)
}

// deviates reports whether a listed remaining time is off the expected one.
func deviates(expected, listed time.Duration) bool {
	difference := max(0, expected) - listed
	return difference > timeTolerance || difference < -timeTolerance
}

// DropList serves the runners of the given partitions as the control replicas have them again; those seen draining stay
// draining. It reports whether anything changed.
func (t *Tables) DropList(now time.Duration, partitions feed.PartitionSet) bool {
	changed := false
	for partition := feed.Partition(1); int(partition) < len(t.served); partition++ {
		if partitions.Contains(partition) && t.dropListFromPartition(now, partition) {
			changed = true
		}
	}
	return changed
}

// dropListFromPartition restores the keys that the list changed. All changes get the same index.
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

// restore serves a key as the control replicas have it, and reports whether that is a change.
func (t *Tables) restore(now time.Duration, partition feed.Partition, index uint64, key string) bool {
	item, known := t.base[partition].Item(now, key)
	if !known {
		return t.served[partition].Delete(now, index, key)
	}
	item = t.servedItem(now, item)
	return t.served[partition].Put(now-item.Age, index, key, item.Value)
}
