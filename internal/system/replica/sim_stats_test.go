package replica

import (
	"fmt"
	"sync"
	"testing"
)

// simCounters count the events of a simulation.
type simCounters struct {
	steps, versions, accepted, conflicts, unknown, reads, losses, snapshots, membershipChanges, terms, evacuations int
}

// simStats are counters that several simulations add to.
type simStats struct {
	mutex    sync.Mutex
	counters simCounters
}

// record counts a response.
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

// String formats the counters.
func (c *simStats) String() string {
	n := &c.counters
	return fmt.Sprintf("%d steps, %d versions, %d accepted, %d conflicts, %d unknown, %d reads, %d disks lost, %d snapshots "+
		"sent, %d changes of membership, %d terms, %d evacuations acknowledged",
		n.steps, n.versions, n.accepted, n.conflicts, n.unknown, n.reads, n.losses, n.snapshots,
		n.membershipChanges, n.terms, n.evacuations)
}

// checkCoverage checks that every kind of event occurred.
func (c *simStats) checkCoverage(t *testing.T) {
	for i, number := range c.counters.counters() {
		if *number == 0 {
			t.Errorf("number %d of %v is 0", i, c)
		}
	}
}
