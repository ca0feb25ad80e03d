package telemetry

import (
	"cmp"
	"maps"
	"slices"
)

// location is where a node stands, by the settings' numbers.
type location struct{ zone, kind, cell int }

// slotAllocator gives nodes the slots of their spots. A slot is the lowest number that is free there, so that there are never
// more than there were nodes at one time; a node that comes back gets the one it had if nobody took it meanwhile.
type slotAllocator struct {
	nodesBySlot map[location][]string // who holds each slot, "" for nobody
	assigned    map[string]slotID     // who is listed, or was and still has its slot free for it
	previous    map[string]slotID     // who had a slot before
}

type slotID struct {
	location location
	number   int
}

// maxPrevious bounds how many nodes that have left are remembered, beside as many as there are slots.
const maxPrevious = 1024

func newSlotAllocator() *slotAllocator {
	return &slotAllocator{nodesBySlot: map[location][]string{}, assigned: map[string]slotID{}, previous: map[string]slotID{}}
}

// release frees a node's slot.
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
	if len(a.previous) > slots+maxPrevious { // forgetting only costs a node its old number
		for _, name := range slices.Sorted(maps.Keys(a.previous))[:len(a.previous)/2] {
			delete(a.previous, name)
		}
	}
}

// restore has a node get a slot back that it had in an earlier life.
func (a *slotAllocator) restore(node string, s location, slot int) {
	a.previous[node] = slotID{s, slot}
}

// assign gives slots to nodes that are new, all of one event at once: what they are given must not hang on the order in
// which a list names them.
func (a *slotAllocator) assign(nodes map[string]location) {
	names := slices.SortedFunc(maps.Keys(nodes), func(x, y string) int { return cmp.Compare(x, y) })
	for _, back := range []bool{true, false} {
		for _, node := range names {
			s := nodes[node]
			if _, in := a.assigned[node]; in {
				continue
			}
			p, had := a.previous[node]
			if back && (!had || p.location != s || p.number < len(a.nodesBySlot[s]) && a.nodesBySlot[s][p.number] != "") {
				continue
			}
			slot := p.number
			if !back {
				if slot = slices.Index(a.nodesBySlot[s], ""); slot < 0 {
					slot = len(a.nodesBySlot[s])
				}
			}
			for len(a.nodesBySlot[s]) <= slot {
				a.nodesBySlot[s] = append(a.nodesBySlot[s], "")
			}
			a.nodesBySlot[s][slot] = node
			a.assigned[node] = slotID{s, slot}
			delete(a.previous, node)
		}
	}
}
