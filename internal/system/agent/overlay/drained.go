package overlay

import (
	"time"

	"cinderroad/internal/system/discovery"
)

const (
	// rememberDrained is how long a runner that was draining is remembered after it was last named.
	rememberDrained = 2 * time.Minute
	pruneFrom       = 256 // entries, below which nothing is dropped
)

// drained are the runners that were seen draining: none of them ever takes new work again. Names are not used twice.
type drained struct {
	named  map[string]time.Duration // by id; when it was last named
	pruned int                      // entries that the last pruning left
}

func newDrained() drained { return drained{named: map[string]time.Duration{}} }

// keep notes a runner that drains, and has one that was seen draining drain on. It says whether it altered the runner.
func (d *drained) keep(now time.Duration, runner *discovery.Runner) bool {
	_, known := d.named[runner.ID]
	if !known && !runner.Draining {
		return false
	}
	d.named[runner.ID] = now
	d.prune(now)
	altered := !runner.Draining
	runner.Draining = true
	return altered
}

// prune drops what has not been named for long, whenever the entries have doubled.
func (d *drained) prune(now time.Duration) {
	if len(d.named) < max(pruneFrom, 2*d.pruned) {
		return
	}
	for id, at := range d.named {
		if now-at > rememberDrained {
			delete(d.named, id)
		}
	}
	d.pruned = len(d.named)
}
