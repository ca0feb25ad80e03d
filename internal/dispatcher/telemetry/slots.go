package telemetry

import (
	"cmp"
	"maps"
	"slices"
)

// spot is where a node stands, by the settings' numbers.
type spot struct{ zone, kind, cell int }

// SlotAssignment says who holds a slot, for the life or the process that comes after.
type SlotAssignment struct {
	Location string `json:"spot"` // zone.kind.cell, as in the series' names
	Slot     int    `json:"slot"`
	Node     string `json:"node"`
}

// handout gives nodes the slots of their spots. A slot is the lowest number that is free there, so that there are never
// more than there were nodes at one time; a node that comes back gets the one it had if nobody took it meanwhile.
type handout struct {
	spots map[spot][]string    // who holds each slot, "" for nobody
	at    map[string]placement // who is listed, or was and still has its slot free for it
	had   map[string]placement // who had a slot before
}

type placement struct {
	spot spot
	slot int
}

// mostHad bounds how many nodes that have left are remembered, beside as many as there are slots.
const mostHad = 1024

func newHandout() *handout {
	return &handout{spots: map[spot][]string{}, at: map[string]placement{}, had: map[string]placement{}}
}

// leave frees a node's slot.
func (h *handout) leave(node string) {
	p, ok := h.at[node]
	if !ok {
		return
	}
	delete(h.at, node)
	h.spots[p.spot][p.slot] = ""
	h.had[node] = p
	slots := 0
	for _, s := range h.spots {
		slots += len(s)
	}
	if len(h.had) > slots+mostHad { // forgetting only costs a node its old number
		for _, name := range slices.Sorted(maps.Keys(h.had))[:len(h.had)/2] {
			delete(h.had, name)
		}
	}
}

// remember has a node get a slot back that it had in an earlier life.
func (h *handout) remember(node string, s spot, slot int) { h.had[node] = placement{s, slot} }

// enter gives slots to nodes that are new, all of one event at once: what they are given must not hang on the order in
// which a list names them.
func (h *handout) enter(nodes map[string]spot) {
	names := slices.SortedFunc(maps.Keys(nodes), func(x, y string) int { return cmp.Compare(x, y) })
	for _, back := range []bool{true, false} {
		for _, node := range names {
			s := nodes[node]
			if _, in := h.at[node]; in {
				continue
			}
			p, had := h.had[node]
			if back && (!had || p.spot != s || p.slot < len(h.spots[s]) && h.spots[s][p.slot] != "") {
				continue
			}
			slot := p.slot
			if !back {
				if slot = slices.Index(h.spots[s], ""); slot < 0 {
					slot = len(h.spots[s])
				}
			}
			for len(h.spots[s]) <= slot {
				h.spots[s] = append(h.spots[s], "")
			}
			h.spots[s][slot] = node
			h.at[node] = placement{s, slot}
			delete(h.had, node)
		}
	}
}
