package telemetry

import (
	"slices"
	"strconv"
	"strings"

	"cinderroad/loadbalancer"
)

// SlotAssignments returns the current assignments, for the next process of this dispatcher.
func (s *Set) SlotAssignments() (assignments []SlotAssignment) {
	n := &s.nodes
	for _, slot := range n.ordered {
		if p := n.allocator.assigned[slot.node]; slot.state != loadbalancer.Departed && n.slots[p] == slot {
			assignments = append(assignments, SlotAssignment{n.locationName(p.location), p.number, slot.node})
		}
	}
	return assignments
}

// RestoreSlots makes nodes get the slots that an earlier process gave them, once they are listed. Assignments
// that don't fit the settings are ignored.
func (s *Set) RestoreSlots(assignments []SlotAssignment) {
	n := &s.nodes
	if s.options.MaxNodes == 0 {
		return
	}
	for _, assignment := range assignments {
		parts := strings.Split(assignment.Location, ".")
		if len(parts) != 3 {
			continue
		}
		cell, err := strconv.Atoi(parts[2])
		at := location{
			zone: slices.Index(n.zones, parts[0]),
			kind: slices.Index(n.kinds, parts[1]),
			cell: cell,
		}
		isZoneKnown := at.zone >= 0 || parts[0] == unknownLocation
		isKindKnown := at.kind >= 0 || parts[1] == unknownLocation
		if err != nil || !isZoneKnown || !isKindKnown {
			continue
		}
		if assignment.Node != "" && assignment.Slot >= 0 && assignment.Slot < s.options.MaxNodes {
			n.allocator.restore(assignment.Node, at, assignment.Slot)
		}
	}
}

// SlotAssignment is the assignment of a slot to a node, as stored and handed over.
type SlotAssignment struct {
	Location string `json:"spot"` // zone.kind.cell, as in series
	Slot     int    `json:"slot"`
	Node     string `json:"node"`
}
