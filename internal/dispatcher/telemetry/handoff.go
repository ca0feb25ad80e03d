package telemetry

import (
	"maps"
	"math"
)

// AddTotals adds totals of an earlier process of this dispatcher, or of the other one during an upgrade. Totals of series
// that don't exist yet are kept until they do. Values that no counter can have are ignored.
func (s *Set) AddTotals(totals map[string]float64) {
	usable := func(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
	for name, v := range totals {
		if i, ok := s.counters[name]; usable(v) && ok {
			s.values[i] += v
		} else if usable(v) {
			s.pending[name] += v
		}
	}
	for i := range s.polled {
		r := &s.polled[i]
		if series := s.table.Series(r.index); series.Kind == Counter && usable(totals[series.Name]) {
			r.base += totals[series.Name]
		}
	}
}

// Totals returns the counters by name.
func (s *Set) Totals() map[string]float64 {
	s.poll()
	totals := maps.Clone(s.pending)
	for name, i := range s.counters {
		if !math.IsNaN(s.values[i]) {
			totals[name] = s.values[i]
		}
	}
	return totals
}

// Latencies holds latency distributions by series, as pairs of a value in microseconds and its count.
type Latencies map[string][][2]int64

// TakeDelta returns what was counted and measured since the last call, or since the start, for another process to
// add by AddTotals and MergeLatencies. The latencies are gone from the open period here, the counts are not.
func (s *Set) TakeDelta() (counts map[string]float64, latencies Latencies) {
	s.poll()
	counts = map[string]float64{}
	latencies = Latencies{}
	for name, i := range s.counters {
		if v := s.values[i] - s.lastDelta[i]; v > 0 {
			counts[name] = v
			s.lastDelta[i] = s.values[i]
		}
	}
	s.forEachHistogram(func(name string, l *histogram) {
		if bars := l.takeCounts(); bars != nil {
			latencies[name] = bars
		}
	})
	return counts, latencies
}

// MergeLatencies adds the latencies of another process to the open period.
func (s *Set) MergeLatencies(latencies Latencies) {
	s.forEachHistogram(func(name string, l *histogram) { l.addCounts(latencies[name]) })
}
