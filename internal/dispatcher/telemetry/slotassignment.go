package telemetry

import (
	"slices"
	"strconv"
	"strings"

	"cinderroad/loadbalancer"
)

// SlotAssignments tells who holds which slot, for the life that comes after.
func (s *Set) SlotAssignments() (held []SlotAssignment) {
	n := &s.nodes
	for _, sl := range n.ordered {
		if p := n.allocator.assigned[sl.node]; sl.state != loadbalancer.Departed && n.slots[p] == sl {
			held = append(held, SlotAssignment{n.locationName(p.location), p.number, sl.node})
		}
	}
	return held
}

// RestoreSlots gives nodes the slots back that an earlier life gave them, once they are listed.
func (s *Set) RestoreSlots(held []SlotAssignment) {
	n := &s.nodes
	if s.options.MaxNodes == 0 {
		return
	}
	for _, h := range held {
		parts := strings.Split(h.Location, ".")
		if len(parts) != 3 {
			continue
		}
		at := location{zone: slices.Index(n.zones, parts[0]), kind: slices.Index(n.kinds, parts[1])}
		cell, err := strconv.Atoi(parts[2])
		if at.cell = cell; err != nil || at.zone < 0 && parts[0] != unknownLocation || at.kind < 0 && parts[1] != unknownLocation {
			continue
		}
		if h.Node != "" && h.Slot >= 0 && h.Slot < s.options.MaxNodes {
			n.allocator.restore(h.Node, at, h.Slot)
		}
	}
}

// SlotAssignment says who holds a slot, for the life or the process that comes after.
type SlotAssignment struct {
	Location string `json:"spot"` // zone.kind.cell, as in the series' names
	Slot     int    `json:"slot"`
	Node     string `json:"node"`
}
