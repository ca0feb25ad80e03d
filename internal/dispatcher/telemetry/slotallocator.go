package telemetry

import (
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
	names := slices.Sorted(maps.Keys(nodes))
	for _, node := range names { // returning nodes first, so that no other gets their slots
		if previous, free := a.freePrevious(node, nodes[node]); free {
			a.occupy(node, previous)
		}
	}
	for _, node := range names {
		if !a.isAssigned(node) {
			a.occupy(node, a.lowestFree(nodes[node]))
		}
	}
}

func (a *slotAllocator) isAssigned(node string) bool {
	_, assigned := a.assigned[node]
	return assigned
}

// freePrevious returns the slot that a departed node had at a location; false if it had none there, if another node has
// the slot, or if the node has not departed.
func (a *slotAllocator) freePrevious(node string, at location) (previous slotID, free bool) {
	previous, hadSlot := a.previous[node]
	if a.isAssigned(node) || !hadSlot || previous.location != at {
		return slotID{}, false
	}
	slots := a.nodesBySlot[at]
	isTaken := previous.number < len(slots) && slots[previous.number] != ""
	return previous, !isTaken
}

// lowestFree returns the lowest free slot of a location, a new one if all are taken.
func (a *slotAllocator) lowestFree(at location) slotID {
	number := slices.Index(a.nodesBySlot[at], "")
	if number < 0 {
		number = len(a.nodesBySlot[at])
	}
	return slotID{at, number}
}

// occupy gives a free slot to a node. Slots below it that don't exist yet are created, and free.
func (a *slotAllocator) occupy(node string, id slotID) {
	slots := a.nodesBySlot[id.location]
	for len(slots) <= id.number {
		slots = append(slots, "")
	}
	slots[id.number] = node
	a.nodesBySlot[id.location] = slots
	a.assigned[node] = id
	delete(a.previous, node)
}
