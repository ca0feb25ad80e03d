package telemetry

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latencies are recorded in microseconds between these bounds, to two significant digits (1%).
const (
	leastLatency = 1
	mostLatency  = 3600e6
	digits       = 2
)

// quantiles are the shares that are told of each period, with their names; the last one is the greatest value.
var quantiles = [...]struct {
	name string
	q    float64
}{{"p50", 50}, {"p90", 90}, {"p99", 99}, {"p99_9", 99.9}, {"max", 100}}

// latency is the distribution of a period.
type latency struct {
	h     *hdrhistogram.Histogram
	first int // number of the first of its series, one for each of quantiles
}

func newLatency(first int) *latency {
	return &latency{h: hdrhistogram.New(leastLatency, mostLatency, digits), first: first}
}

// record takes a span in seconds; it allocates nothing.
func (l *latency) record(seconds float64) {
	_ = l.h.RecordValue(int64(min(max(seconds*1e6, leastLatency), mostLatency)))
}

// close writes the period's quantiles in milliseconds and begins anew.
func (l *latency) close(values []float64) {
	some := l.h.TotalCount() > 0
	for i, q := range quantiles {
		values[l.first+i] = absent
		switch {
		case some && q.q == 100:
			values[l.first+i] = float64(l.h.Max()) / 1e3
		case some:
			values[l.first+i] = float64(l.h.ValueAtQuantile(q.q)) / 1e3
		}
	}
	if some {
		l.h.Reset()
	}
}

// bars tells what was recorded as pairs of a value and how often it came, and begins anew: merging counts keeps
// quantiles right, merging quantiles would not.
func (l *latency) bars() (out [][2]int64) {
	if l.h.TotalCount() == 0 {
		return nil
	}
	for _, bar := range l.h.Distribution() {
		if bar.Count > 0 {
			out = append(out, [2]int64{bar.To, bar.Count})
		}
	}
	l.h.Reset()
	return out
}

// merge takes what another process has recorded.
func (l *latency) merge(bars [][2]int64) {
	for _, bar := range bars {
		if bar[0] >= 0 && bar[0] <= mostLatency && bar[1] > 0 {
			_ = l.h.RecordValues(bar[0], bar[1])
		}
	}
}
