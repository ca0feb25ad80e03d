package telemetry

import (
	"cmp"
	"maps"
	"slices"
)

// location is a failure domain, kind and cell, by number in the settings.
type location struct{ zone, kind, cell int }

// slotAllocator assigns nodes to the slots of their location. A node gets the lowest free slot, so that there are
// never more slots than there were nodes at one time. A returning node gets its previous slot if that is free.
type slotAllocator struct {
	nodesBySlot map[location][]string // node of each slot; "" if free
	assigned    map[string]slotID     // listed nodes
	previous    map[string]slotID     // departed nodes, while remembered
}

type slotID struct {
	location location
	number   int
}

// maxPrevious bounds the departed nodes that are remembered, in addition to the number of slots.
const maxPrevious = 1024

func newSlotAllocator() *slotAllocator {
	return &slotAllocator{nodesBySlot: map[location][]string{}, assigned: map[string]slotID{}, previous: map[string]slotID{}}
}

// release frees a node's slot and remembers it.
func (a *slotAllocator) release(node string) {
	p, ok := a.assigned[node]
	if !ok {
		return
	}
	delete(a.assigned, node)
	a.nodesBySlot[p.location][p.number] = ""
	a.previous[node] = p
	slots := 0
	for _, s := range a.nodesBySlot {
		slots += len(s)
	}
	if len(a.previous) > slots+maxPrevious { // a node that is dropped here may get another slot on its return
		for _, name := range slices.Sorted(maps.Keys(a.previous))[:len(a.previous)/2] {
			delete(a.previous, name)
		}
	}
}

// restore remembers the slot that a node had in an earlier process of this dispatcher.
func (a *slotAllocator) restore(node string, s location, slot int) {
	a.previous[node] = slotID{s, slot}
}

// assign assigns slots to the new nodes of one update, independently of the order in which a list names them.
func (a *slotAllocator) assign(nodes map[string]location) {
	names := slices.SortedFunc(maps.Keys(nodes), func(x, y string) int { return cmp.Compare(x, y) })
	for _, reuse := range []bool{true, false} {
		for _, node := range names {
			location := nodes[node]
			if _, in := a.assigned[node]; in {
				continue
			}
			id, hadSlot := a.previous[node]
			isTaken := id.number < len(a.nodesBySlot[location]) && a.nodesBySlot[location][id.number] != ""
			if reuse && (!hadSlot || id.location != location || isTaken) {
				continue
			}
			slot := id.number
			if !reuse {
				slot = slices.Index(a.nodesBySlot[location], "")
				if slot < 0 {
					slot = len(a.nodesBySlot[location])
				}
			}
			for len(a.nodesBySlot[location]) <= slot {
				a.nodesBySlot[location] = append(a.nodesBySlot[location], "")
			}
			a.nodesBySlot[location][slot] = node
			a.assigned[node] = slotID{location, slot}
			delete(a.previous, node)
		}
	}
}
