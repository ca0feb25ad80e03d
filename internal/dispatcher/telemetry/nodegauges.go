package telemetry

import (
	"math"

	"cinderroad/loadbalancer"
)

// ObserveLoadReport implements dispatch.Observer.
func (s *Set) ObserveLoadReport(worker loadbalancer.WorkerID, at float64, report []float32, probed bool) {
	n := &s.nodes
	slot := n.byWorker[worker]
	if slot == nil {
		return
	}
	value := func(i int) float64 {
		if i < 0 || i >= len(report) || report[i] < 0 {
			return noValue
		}
		return float64(report[i])
	}
	if probed {
		slot.probedAt = at
		slot.probed = value(n.fields.inFlight)
	} else {
		slot.reportAt = at
		slot.inFlight = value(n.fields.inFlight)
		slot.utilization = value(n.fields.utilization)
	}
}

// GatherNodeGauges writes the gauges of at most that many slots; false once all are written. It spreads the work at
// the end of a period over several iterations of the event loop; FreezePeriod writes the rest.
func (s *Set) GatherNodeGauges(limit int) (more bool) {
	n := &s.nodes
	end := min(n.gatheredSlots+limit, len(n.ordered))
	n.writeGauges(s, n.ordered[n.gatheredSlots:end])
	n.gatheredSlots = end
	return end < len(n.ordered)
}

func (n *nodes) writeGauges(set *Set, slots []*nodeSlot) {
	now := noValue
	if set.options.Now != nil {
		now = set.options.Now()
	}
	for _, slot := range slots {
		v := set.values[slot.firstSeries : slot.firstSeries+nodeSeriesCount]
		for i := nodeState; i < nodeSeriesCount; i++ {
			v[i] = noValue
		}
		if slot.state == loadbalancer.Departed {
			continue
		}
		v[nodeState] = float64(slot.state)
		if slot.reportAt > 0 {
			v[nodeInFlight] = slot.inFlight
			v[nodeUtilization] = slot.utilization
			v[nodeReportAge] = math.Max(0, now-slot.reportAt)
		}
		if slot.probedAt > 0 {
			v[nodeProbedInFlight] = slot.probed
			v[nodeProbeAge] = math.Max(0, now-slot.probedAt)
		}
		if set.options.WorkerStatus == nil {
			continue
		}
		status, ok := set.options.WorkerStatus(slot.worker)
		if !ok {
			continue
		}
		v[nodeOwnSlots] = status.OwnSlots
		v[nodeLoadLimit] = status.LoadLimit
		v[nodeUtilizationLimit] = status.UtilizationLimit
		v[nodeSpareCapacity] = status.SpareCapacity
		v[nodePace] = status.Pace
		v[nodeErrorRate] = status.ErrorRate
		v[nodeWarmth] = status.Warmth
		v[nodeSlowStartWork] = status.SlowStartWork
		v[nodeEjected] = 0
		if status.Ejected {
			v[nodeEjected] = 1
		}
	}
}
