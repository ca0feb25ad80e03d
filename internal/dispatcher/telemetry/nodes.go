package telemetry

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/loadbalancer"
)

// The figures of a node, in the order of their numbers from its first one on.
const (
	nodeEnded = iota
	nodeOK
	nodeState
	nodeInFlight
	nodeUtilization
	nodeReportAge
	nodeProbedInFlight
	nodeProbeAge
	nodeOwnSlots
	nodeLoadLimit
	nodeUtilizationLimit
	nodeSpareCapacity
	nodePace
	nodeErrorRate
	nodeEjected
	nodeWarmth
	nodeSlowStartWork
	nodeSeriesCount
)

var nodeDocs = [nodeSeriesCount]SeriesDoc{
	nodeEnded:            {"ended", Counter, "attempts", "Attempts at the node that have ended."},
	nodeOK:               {"ok", Counter, "attempts", "Those of them that ended well."},
	nodeState:            {"state", Gauge, "", "1 ready, 2 draining. None while nobody holds the slot."},
	nodeInFlight:         {"reported_in_flight", Gauge, "jobs", "Jobs the node held by its last report."},
	nodeUtilization:      {"reported_utilization", Gauge, "share", "Share of its cores that was busy by its last report."},
	nodeReportAge:        {"report_age_s", Gauge, "s", "Age of the last report that came with an answer."},
	nodeProbedInFlight:   {"probed_in_flight", Gauge, "jobs", "Jobs the node held by its last probe."},
	nodeProbeAge:         {"probe_age_s", Gauge, "s", "Age of the last probe."},
	nodeOwnSlots:         {"own_slots", Gauge, "slots", "Slots that this dispatcher's own jobs take there."},
	nodeLoadLimit:        {"ceiling", Gauge, "slots", "Load that the decisions think it bears; 0 is not learnt yet."},
	nodeUtilizationLimit: {"utilization_ceiling", Gauge, "share", "Utilization above which it gets work only if all others are full."},
	nodeSpareCapacity:    {"room", Gauge, "slots", "Spare room as the decisions hold it; below 0 it is over its ceiling."},
	nodePace:             {"pace", Gauge, "", "Running time for an amount of work: a standard core has 1, a slow one more."},
	nodeErrorRate:        {"errors", Gauge, "share", "Running share of attempts that failed."},
	nodeEjected:          {"set_aside", Gauge, "", "1 while it is set aside, since its attempts fail or it takes nothing."},
	nodeWarmth:           {"warmth", Gauge, "share", "Share of its capacity that it is sure to have since its start."},
	nodeSlowStartWork:    {"cold_budget_used_s", Gauge, "s", "Work sent to it within the fall time: what a cold node's budget is spent on."},
}

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

// ObserveLoadReport implements dispatch.Observer.
func (s *Set) ObserveLoadReport(worker loadbalancer.WorkerID, at float64, report []float32, probed bool) {
	n := &s.nodes
	sl := n.byWorker[worker]
	if sl == nil {
		return
	}
	value := func(i int) float64 {
		if i < 0 || i >= len(report) || report[i] < 0 {
			return noValue
		}
		return float64(report[i])
	}
	if probed {
		sl.probedAt, sl.probed = at, value(n.fields.inFlight)
	} else {
		sl.reportAt, sl.inFlight, sl.utilization = at, value(n.fields.inFlight), value(n.fields.util)
	}
}

// GatherNodeGauges writes the gauges of so many slots, so that the end of a period need not look at all of them in one turn; false once
// all are written. Close writes what is left.
func (s *Set) GatherNodeGauges(most int) (more bool) {
	n := &s.nodes
	end := min(n.gatheredSlots+most, len(n.ordered))
	n.writeGauges(s, n.ordered[n.gatheredSlots:end])
	n.gatheredSlots = end
	return end < len(n.ordered)
}

func (n *nodes) writeGauges(s *Set, slots []*nodeSlot) {
	now := noValue
	if s.options.Now != nil {
		now = s.options.Now()
	}
	for _, sl := range slots {
		v := s.values[sl.firstSeries : sl.firstSeries+nodeSeriesCount]
		for i := nodeState; i < nodeSeriesCount; i++ {
			v[i] = noValue
		}
		if sl.state == loadbalancer.Departed {
			continue
		}
		v[nodeState] = float64(sl.state)
		if sl.reportAt > 0 {
			v[nodeInFlight], v[nodeUtilization], v[nodeReportAge] = sl.inFlight, sl.utilization, math.Max(0, now-sl.reportAt)
		}
		if sl.probedAt > 0 {
			v[nodeProbedInFlight], v[nodeProbeAge] = sl.probed, math.Max(0, now-sl.probedAt)
		}
		if s.options.WorkerStatus == nil {
			continue
		}
		st, ok := s.options.WorkerStatus(sl.worker)
		if !ok {
			continue
		}
		v[nodeOwnSlots], v[nodeLoadLimit], v[nodeUtilizationLimit], v[nodeSpareCapacity] = st.OwnSlots, st.LoadLimit, st.UtilizationLimit, st.SpareCapacity
		v[nodePace], v[nodeErrorRate], v[nodeWarmth], v[nodeSlowStartWork] = st.Pace, st.ErrorRate, st.Warmth, st.SlowStartWork
		if v[nodeEjected] = 0; st.Ejected {
			v[nodeEjected] = 1
		}
	}
}

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
