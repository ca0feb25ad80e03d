package state

import (
	"strings"

	"cinderroad/internal/system/feed"
)

// Evacuation is the state of a zone on this replica. An order is an operator's request to evacuate the zone or to end its
// evacuation.
type Evacuation struct {
	Evacuated bool
	// Revision is what a SetEvacuation that is based on this must expect: the log index of the last order about any zone.
	Revision uint64
	// LastOrder rises with each order about this zone that this replica applies, also one that changes nothing. It may
	// rise without an order, but never stays the same where there was one.
	LastOrder uint64
}

// applyEvacuation accepts an order about a zone whose proposer has seen the last one about any zone. An order that finds
// the zone as it wants it raises the revision all the same, so that an earlier order that is still in flight cannot undo
// it once it is acknowledged.
func (c *Configuration) applyEvacuation(index uint64, command *SetEvacuation) Result {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if command.ExpectedRevision != c.evacuationRevision {
		return Result{Outcome: OutcomeConflict, Revision: c.evacuationRevision}
	}
	c.evacuationRevision = index
	c.lastOrders[command.Zone] = index
	key := feed.KeyPrefixEvacuation + command.Zone
	if c.has(key) == command.Evacuated {
		return Result{Outcome: OutcomeAlreadyAccepted, Revision: index}
	}
	c.apply(index, []Write{{Key: key, Value: []byte{}, Deleted: !command.Evacuated}})
	return Result{Outcome: OutcomeAccepted, Revision: index}
}

// Evacuation returns the state of a zone on this replica.
func (c *Configuration) Evacuation(zone string) Evacuation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return Evacuation{
		Evacuated: c.has(feed.KeyPrefixEvacuation + zone),
		Revision:  c.evacuationRevision,
		LastOrder: max(c.lastOrders[zone], c.restoredRevision),
	}
}

// EvacuatedZones returns the names of the evacuated zones, sorted.
func (c *Configuration) EvacuatedZones() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var zones []string
	for _, item := range c.values(feed.KeyPrefixEvacuation) {
		zones = append(zones, strings.TrimPrefix(item.Key, feed.KeyPrefixEvacuation))
	}
	return zones
}
