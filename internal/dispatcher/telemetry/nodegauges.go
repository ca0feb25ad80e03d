package telemetry

import (
	"math"

	"cinderroad/loadbalancer"
)

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
