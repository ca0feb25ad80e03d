package telemetry

import (
	"fmt"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/loadbalancer"
)

// nodes are the series of the nodes listed.
type nodes struct {
	zones, kinds  []string
	allocator     *slotAllocator
	slots         map[slotID]*nodeSlot
	ordered       []*nodeSlot // by the numbers of their series
	byWorker      map[loadbalancer.WorkerID]*nodeSlot
	fields        struct{ inFlight, util int } // places in a report; -1 is not there
	unplaced      int                          // number of the series of attempts at nodes without a slot
	excess        int
	gatheredSlots int // slots whose gauges of the period at hand are written
}

// nodeSlot is a place that nodes hold in turn.
type nodeSlot struct {
	name        string // as series have it
	firstSeries int    // number of its first series
	node        string
	worker      loadbalancer.WorkerID
	state       loadbalancer.WorkerState

	reportAt, probedAt            float64 // 0: none since it is held
	inFlight, utilization, probed float64
}

func (s *Set) addNodes() {
	n := &s.nodes
	n.zones, n.kinds = SanitizeNames(s.options.Zones), SanitizeNames(s.options.Kinds)
	n.allocator, n.slots, n.byWorker = newSlotAllocator(), map[slotID]*nodeSlot{}, map[loadbalancer.WorkerID]*nodeSlot{}
	n.fields.inFlight, n.fields.util = -1, -1
	for i, f := range s.options.Settings.ReportFields {
		switch f {
		case loadbalancer.FieldInFlight:
			n.fields.inFlight = i
		case loadbalancer.FieldUtilization:
			n.fields.util = i
		}
	}
	for _, d := range nodeDocs {
		d.Pattern = "nodes.<zone>.<kind>.<cell>.<slot>." + d.Pattern
		s.describe(d)
	}
	for _, d := range []struct {
		to *int
		d  SeriesDoc
	}{{&n.unplaced, SeriesDoc{"nodes_unplaced.ended", Counter, "attempts", "Attempts that ended at a node which holds no slot: it has left, and another has its slot, or there were too many."}},
		{&n.excess, SeriesDoc{"nodes_unplaced.nodes", Gauge, "nodes", "Listed nodes without series, since there are too many."}}} {
		s.describe(d.d)
		*d.to = s.add(d.d.Pattern, d.d.Kind)
	}
}

// unknownLocation is the name of a zone or kind that the settings do not have.
const unknownLocation = "none"

func nameOf(i int, names []string) string {
	if i >= 0 && i < len(names) {
		return names[i]
	}
	return unknownLocation
}

func (n *nodes) locationName(p location) string {
	return fmt.Sprintf("%s.%s.%d", nameOf(p.zone, n.zones), nameOf(p.kind, n.kinds), p.cell)
}

// ObserveMembers implements dispatch.Observer. Those who leave free their slots before those who come take some.
func (s *Set) ObserveMembers(kind loadbalancer.ListKind, members []dispatch.Member) {
	n := &s.nodes
	if s.options.MaxNodes == 0 {
		return
	}
	if kind == loadbalancer.ListFull || kind == loadbalancer.ListCached {
		named := map[string]bool{}
		for i := range members {
			named[members[i].Name] = true
		}
		for node := range n.allocator.assigned {
			if !named[node] {
				n.releaseSlot(node)
			}
		}
	}
	entering := map[string]location{}
	for i := range members {
		m := &members[i]
		at := location{m.Zone, m.Kind, m.Cell}
		if p, in := n.allocator.assigned[m.Name]; in && (m.State == loadbalancer.Departed || p.location != at) {
			n.releaseSlot(m.Name)
		}
		if m.State != loadbalancer.Departed {
			entering[m.Name] = at
		}
	}
	room := s.options.MaxNodes - len(n.allocator.assigned)
	for i := range members { // in the list's order, so that each dispatcher leaves out the same
		m := &members[i]
		if _, in := n.allocator.assigned[m.Name]; !in && m.State != loadbalancer.Departed {
			if room--; room < 0 {
				delete(entering, m.Name)
			}
		}
	}
	s.values[n.excess] = float64(max(0, -room))
	n.allocator.assign(entering)
	for i := range members {
		if m := &members[i]; m.State != loadbalancer.Departed {
			if p, in := n.allocator.assigned[m.Name]; in {
				s.assignSlot(p, m)
			}
		}
	}
}

// releaseSlot has a node let go of its slot. What is still out at it is counted there until somebody else has it.
func (n *nodes) releaseSlot(node string) {
	if sl := n.slots[n.allocator.assigned[node]]; sl != nil && sl.node == node {
		sl.state = loadbalancer.Departed
	}
	n.allocator.release(node)
}

// assignSlot puts a node into its slot.
func (s *Set) assignSlot(p slotID, m *dispatch.Member) {
	n := &s.nodes
	sl := n.slots[p]
	if sl == nil {
		sl = &nodeSlot{name: fmt.Sprintf("%s.%d", n.locationName(p.location), p.number)}
		for i, d := range nodeDocs {
			at := s.add("nodes."+sl.name+"."+d.Pattern, d.Kind)
			if i == 0 {
				sl.firstSeries = at
			}
		}
		n.slots[p] = sl
		n.ordered = append(n.ordered, sl)
	}
	if sl.node != m.Name || sl.worker != m.ID {
		if n.byWorker[sl.worker] == sl {
			delete(n.byWorker, sl.worker)
		}
		if sl.node != "" {
			s.options.Log(fmt.Sprintf("slot %s passes from node %s to %s", sl.name, sl.node, m.Name))
		} else {
			s.options.Log(fmt.Sprintf("slot %s is of node %s", sl.name, m.Name))
		}
		*sl = nodeSlot{name: sl.name, firstSeries: sl.firstSeries, node: m.Name, worker: m.ID}
		n.byWorker[m.ID] = sl
	}
	sl.state = m.State
}

func (n *nodes) countAttempt(s *Set, t *dispatch.AttemptRecord) {
	if s.options.MaxNodes == 0 {
		return
	}
	sl := n.byWorker[t.Worker]
	if sl == nil || sl.node != t.MemberName {
		s.values[n.unplaced]++
		return
	}
	s.values[sl.firstSeries+nodeEnded]++
	if t.Result == loadbalancer.OK {
		s.values[sl.firstSeries+nodeOK]++
	}
}

// NodeSlot is the slot that a worker's node holds, as series have it; empty for none.
func (s *Set) NodeSlot(worker loadbalancer.WorkerID) string {
	if sl := s.nodes.byWorker[worker]; sl != nil {
		return sl.name
	}
	return ""
}
