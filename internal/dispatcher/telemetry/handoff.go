package telemetry

import (
	"maps"
	"math"
)

// AddTotals adds totals of an earlier incarnation, or of another process of this dispatcher. Totals of series that
// don't exist yet are kept until they do.
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
// add.
func (s *Set) TakeDelta() (counts map[string]float64, spans Latencies) {
	s.poll()
	counts = map[string]float64{}
	spans = Latencies{}
	for name, i := range s.counters {
		if v := s.values[i] - s.lastDelta[i]; v > 0 {
			counts[name] = v
			s.lastDelta[i] = s.values[i]
		}
	}
	s.forEachHistogram(func(name string, l *histogram) {
		if bars := l.takeCounts(); bars != nil {
			spans[name] = bars
		}
	})
	return counts, spans
}

// MergeLatencies adds the latencies of another process to the open period.
func (s *Set) MergeLatencies(spans Latencies) {
	s.forEachHistogram(func(name string, l *histogram) { l.addCounts(spans[name]) })
}
