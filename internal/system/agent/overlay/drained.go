package overlay

import (
	"time"

	"cinderroad/internal/system/discovery"
)

const (
	// drainedTTL is how long a runner that was draining is remembered after it was last named.
	drainedTTL   = 2 * time.Minute
	minPruneSize = 256 // entries, below which nothing is dropped
)

// drainedRunners are the runners that were seen draining: none of them ever takes new work again. Names are not used twice.
type drainedRunners struct {
	lastSeen       map[string]time.Duration // by id; when it was last named
	sizeAfterPrune int                      // entries that the last pruning left
}

func newDrainedRunners() drainedRunners { return drainedRunners{lastSeen: map[string]time.Duration{}} }

// apply notes a runner that drains, and has one that was seen draining drain on. It says whether it altered the runner.
func (d *drainedRunners) apply(now time.Duration, runner *discovery.Runner) bool {
	_, known := d.lastSeen[runner.ID]
	if !known && !runner.Draining {
		return false
	}
	d.lastSeen[runner.ID] = now
	d.prune(now)
	altered := !runner.Draining
	runner.Draining = true
	return altered
}

// prune drops what has not been named for long, whenever the entries have doubled.
func (d *drainedRunners) prune(now time.Duration) {
	if len(d.lastSeen) < max(minPruneSize, 2*d.sizeAfterPrune) {
		return
	}
	for id, at := range d.lastSeen {
		if now-at > drainedTTL {
			delete(d.lastSeen, id)
		}
	}
	d.sizeAfterPrune = len(d.lastSeen)
}
