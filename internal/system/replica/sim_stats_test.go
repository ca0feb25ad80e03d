package replica

import (
	"fmt"
	"sync"
	"testing"
)

// simCounters count what happened.
type simCounters struct {
	steps, versions, accepted, conflicts, unknown, reads, losses, snapshots, membershipChanges, terms, evacuations int
}

type simStats struct {
	mutex    sync.Mutex
	counters simCounters
}

func (c *simStats) record(request *simRequest, response simResponse) {
	switch {
	case response.kind == responseAccepted:
		c.counters.accepted++
	case response.kind == responseConflict:
		c.counters.conflicts++
	case response.kind == responseRead:
		c.counters.reads++
	case !request.read:
		c.counters.unknown++
	}
}

func (c *simStats) add(other *simCounters) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counters.add(other)
}

func (n *simCounters) counters() []*int {
	return []*int{&n.steps, &n.versions, &n.accepted, &n.conflicts, &n.unknown, &n.reads, &n.losses, &n.snapshots,
		&n.membershipChanges, &n.terms, &n.evacuations}
}

func (n *simCounters) add(other *simCounters) {
	others := other.counters()
	for i, number := range n.counters() {
		*number += *others[i]
	}
}

// String tells the counts.
func (c *simStats) String() string {
	n := &c.counters
	return fmt.Sprintf("%d steps, %d versions, %d accepted, %d conflicts, %d unknown, %d reads, %d disks lost, %d snapshots "+
		"sent, %d changes of membership, %d terms, %d evacuations acknowledged", n.steps, n.versions, n.accepted, n.conflicts, n.unknown, n.reads, n.losses,
		n.snapshots, n.membershipChanges, n.terms, n.evacuations)
}

// checkCoverage sees that what the simulation is for does happen in it.
func (c *simStats) checkCoverage(t *testing.T) {
	for i, number := range c.counters.counters() {
		if *number == 0 {
			t.Errorf("number %d of %v is 0", i, c)
		}
	}
}
