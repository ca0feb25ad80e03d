package overlay

import (
	"time"

	"cinderroad/internal/system/discovery"
)

// Bounds of drainedRunners.
const (
	// drainedTTL is how long a runner that was draining is retained after it was last seen.
	drainedTTL   = 2 * time.Minute
	minPruneSize = 256 // number of entries below which nothing is pruned
)

// drainedRunners are the runners that were seen draining. None of them ever takes new work again: runner IDs are not
// reused.
type drainedRunners struct {
	lastSeen       map[string]time.Duration // by runner ID: time when it was last seen
	sizeAfterPrune int                      // number of entries after the last pruning
}

func newDrainedRunners() drainedRunners { return drainedRunners{lastSeen: map[string]time.Duration{}} }

// apply records a draining runner, and sets Draining of a runner that was seen draining before: it alters the caller's
// runner, and reports whether it did.
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

// prune removes expired entries whenever the number of entries has doubled.
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
