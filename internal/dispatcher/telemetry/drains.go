package telemetry

import "cinderroad/loadbalancer"

func (s *Set) addDrains() {
	add := func(d SeriesDoc) int {
		s.describe(d)
		return s.add(d.Pattern, d.Kind)
	}
	s.drains.started = add(SeriesDoc{
		Pattern: "drains.told",
		Kind:    Counter,
		Unit:    "drains",
		Help:    "Drains: nodes that stopped being ready, by the list or by an operator.",
	})
	s.drains.honoured = add(SeriesDoc{
		Pattern: "drains.honoured",
		Kind:    Counter,
		Unit:    "drains",
		Help:    "Drains after which no job started later than 300 ms.",
	})
	s.drains.violated = add(SeriesDoc{
		Pattern: "drains.broken",
		Kind:    Counter,
		Unit:    "drains",
		Help:    "Drains after which a job started later than 300 ms: must stay 0.",
	})
	s.drains.margin = add(SeriesDoc{
		Pattern: "drains.margin_least_ms",
		Kind:    Gauge,
		Unit:    "ms",
		Help: "Least time left of the 300 ms when the last job started, over the drains that ended in the period. " +
			"None without a drain.",
	})
}

// ObserveDrain implements dispatch.Observer. margin is in seconds; below 0 the drain was violated.
func (s *Set) ObserveDrain(_ loadbalancer.WorkerID, margin float64) {
	s.values[s.drains.started]++
	if margin >= 0 {
		s.values[s.drains.honoured]++
	} else {
		s.values[s.drains.violated]++
	}
	if ms := margin * 1000; !(s.leastDrainMargin <= ms) { // negated, so that it holds if there is no value yet (NaN)
		s.leastDrainMargin = ms
	}
}
