package telemetry

import (
	"fmt"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/loadbalancer"
)

// nodes holds the series of listed nodes.
type nodes struct {
	zones         []string // names in series, by number in the settings, as are kinds
	kinds         []string
	allocator     *slotAllocator
	slots         map[slotID]*nodeSlot
	ordered       []*nodeSlot                         // by index of their series
	byWorker      map[loadbalancer.WorkerID]*nodeSlot // also of departed nodes, until another node gets the slot
	fields        struct{ inFlight, utilization int } // index in a load report; -1: absent
	unplacedEnded int                                 // series of attempts that ended at nodes without a slot
	unplacedNodes int                                 // series of listed nodes without a slot
	gatheredSlots int                                 // slots whose gauges of the open period are written
}

// nodeSlot is a set of series that nodes use one after the other.
type nodeSlot struct {
	name        string // in series
	firstSeries int    // index
	node        string
	worker      loadbalancer.WorkerID
	state       loadbalancer.WorkerState

	reportAt    float64 // time of the last report; 0: none since the assignment
	inFlight    float64 // by that report
	utilization float64 // by that report
	probedAt    float64 // time of the last probe; 0: none since the assignment
	probed      float64 // jobs in flight by that probe
}

func (s *Set) addNodes() {
	n := &s.nodes
	n.zones = SanitizeNames(s.options.Zones)
	n.kinds = SanitizeNames(s.options.Kinds)
	n.allocator = newSlotAllocator()
	n.slots = map[slotID]*nodeSlot{}
	n.byWorker = map[loadbalancer.WorkerID]*nodeSlot{}
	n.fields.inFlight = -1
	n.fields.utilization = -1
	for i, f := range s.options.Settings.ReportFields {
		switch f {
		case loadbalancer.FieldInFlight:
			n.fields.inFlight = i
		case loadbalancer.FieldUtilization:
			n.fields.utilization = i
		}
	}
	for _, d := range nodeDocs {
		d.Pattern = "nodes.<zone>.<kind>.<cell>.<slot>." + d.Pattern
		s.describe(d)
	}
	for _, d := range []struct {
		index *int
		doc   SeriesDoc
	}{
		{
			index: &n.unplacedEnded,
			doc: SeriesDoc{
				Pattern: "nodes_unplaced.ended",
				Kind:    Counter,
				Unit:    "attempts",
				Help: "Attempts that ended at a node without a slot: " +
					"its slot was reassigned after it left, or there were too many nodes.",
			},
		},
		{
			index: &n.unplacedNodes,
			doc: SeriesDoc{
				Pattern: "nodes_unplaced.nodes",
				Kind:    Gauge,
				Unit:    "nodes",
				Help:    "Listed nodes without series of their own, because there are too many.",
			},
		},
	} {
		s.describe(d.doc)
		*d.index = s.add(d.doc.Pattern, d.doc.Kind)
	}
}

// unknownLocation names a zone or kind that isn't in the settings.
const unknownLocation = "none"

func nameOf(i int, names []string) string {
	if i >= 0 && i < len(names) {
		return names[i]
	}
	return unknownLocation
}

func (n *nodes) locationName(at location) string {
	return fmt.Sprintf("%s.%s.%d", nameOf(at.zone, n.zones), nameOf(at.kind, n.kinds), at.cell)
}

// ObserveMembers implements dispatch.Observer. Departed nodes free their slots before new ones are assigned.
func (s *Set) ObserveMembers(kind loadbalancer.ListKind, members []dispatch.Member) {
	n := &s.nodes
	if s.options.MaxNodes == 0 {
		return
	}
	if kind == loadbalancer.ListFull || kind == loadbalancer.ListCached {
		n.releaseUnlisted(members)
	}
	locations := n.releaseDeparted(members)
	freeSlots := s.options.MaxNodes - len(n.allocator.assigned)
	for i := range members { // in the list's order, so that all dispatchers skip the same nodes
		member := &members[i]
		if _, hasSlot := n.allocator.assigned[member.Name]; hasSlot || member.State == loadbalancer.Departed {
			continue
		}
		freeSlots--
		if freeSlots < 0 {
			delete(locations, member.Name)
		}
	}
	s.values[n.unplacedNodes] = float64(max(0, -freeSlots))
	n.allocator.assign(locations)
	for i := range members {
		member := &members[i]
		if id, hasSlot := n.allocator.assigned[member.Name]; hasSlot && member.State != loadbalancer.Departed {
			s.assignSlot(id, member)
		}
	}
}

// releaseUnlisted frees the slots of the nodes that a complete list does not name.
func (n *nodes) releaseUnlisted(members []dispatch.Member) {
	listed := map[string]bool{}
	for i := range members {
		listed[members[i].Name] = true
	}
	for node := range n.allocator.assigned {
		if !listed[node] {
			n.releaseSlot(node)
		}
	}
}

// releaseDeparted frees the slots of the nodes that have departed or moved. It returns the locations of the others.
func (n *nodes) releaseDeparted(members []dispatch.Member) map[string]location {
	locations := map[string]location{}
	for i := range members {
		member := &members[i]
		at := location{member.Zone, member.Kind, member.Cell}
		isDeparted := member.State == loadbalancer.Departed
		if id, hasSlot := n.allocator.assigned[member.Name]; hasSlot && (isDeparted || id.location != at) {
			n.releaseSlot(member.Name)
		}
		if !isDeparted {
			locations[member.Name] = at
		}
	}
	return locations
}

// releaseSlot frees a node's slot. Attempts still in flight there count for the slot until another node gets it.
func (n *nodes) releaseSlot(node string) {
	if slot := n.slots[n.allocator.assigned[node]]; slot != nil && slot.node == node {
		slot.state = loadbalancer.Departed
	}
	n.allocator.release(node)
}

// assignSlot assigns a slot to a node.
func (s *Set) assignSlot(id slotID, member *dispatch.Member) {
	n := &s.nodes
	slot := n.slots[id]
	if slot == nil {
		slot = &nodeSlot{name: fmt.Sprintf("%s.%d", n.locationName(id.location), id.number)}
		for i, d := range nodeDocs {
			at := s.add("nodes."+slot.name+"."+d.Pattern, d.Kind)
			if i == 0 {
				slot.firstSeries = at
			}
		}
		n.slots[id] = slot
		n.ordered = append(n.ordered, slot)
	}
	if slot.node != member.Name || slot.worker != member.ID {
		if n.byWorker[slot.worker] == slot {
			delete(n.byWorker, slot.worker)
		}
		if slot.node != "" {
			s.options.Log(fmt.Sprintf("slot %s reassigned from node %s to %s", slot.name, slot.node, member.Name))
		} else {
			s.options.Log(fmt.Sprintf("slot %s assigned to node %s", slot.name, member.Name))
		}
		*slot = nodeSlot{name: slot.name, firstSeries: slot.firstSeries, node: member.Name, worker: member.ID}
		n.byWorker[member.ID] = slot
	}
	slot.state = member.State
}

func (n *nodes) countAttempt(set *Set, attempt *dispatch.AttemptRecord) {
	if set.options.MaxNodes == 0 {
		return
	}
	slot := n.byWorker[attempt.Worker]
	if slot == nil || slot.node != attempt.MemberName {
		set.values[n.unplacedEnded]++
		return
	}
	set.values[slot.firstSeries+nodeEnded]++
	if attempt.Result == loadbalancer.OK {
		set.values[slot.firstSeries+nodeOK]++
	}
}

// NodeSlot returns the name of the slot of a worker's node in series; empty if it has none.
func (s *Set) NodeSlot(worker loadbalancer.WorkerID) string {
	if slot := s.nodes.byWorker[worker]; slot != nil {
		return slot.name
	}
	return ""
}
