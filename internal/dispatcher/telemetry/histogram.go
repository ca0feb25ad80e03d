package telemetry

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latencies are recorded in microseconds between these bounds, to two significant digits (1%).
const (
	minLatency        = 1
	maxLatency        = 3600e6
	significantDigits = 2
)

// quantiles are the shares that are told of each period, with their names; the last one is the greatest value.
var quantiles = [...]struct {
	name string
	q    float64
}{{"p50", 50}, {"p90", 90}, {"p99", 99}, {"p99_9", 99.9}, {"max", 100}}

// histogram is the distribution of a period.
type histogram struct {
	values      *hdrhistogram.Histogram
	firstSeries int // number of the first of its series, one for each of quantiles
}

func newLatency(first int) *histogram {
	return &histogram{values: hdrhistogram.New(minLatency, maxLatency, significantDigits), firstSeries: first}
}

// record takes a span in seconds; it allocates nothing.
func (h *histogram) record(seconds float64) {
	_ = h.values.RecordValue(int64(min(max(seconds*1e6, minLatency), maxLatency)))
}

// writeQuantiles writes the period's quantiles in milliseconds and begins anew.
func (h *histogram) writeQuantiles(values []float64) {
	some := h.values.TotalCount() > 0
	for i, q := range quantiles {
		values[h.firstSeries+i] = noValue
		switch {
		case some && q.q == 100:
			values[h.firstSeries+i] = float64(h.values.Max()) / 1e3
		case some:
			values[h.firstSeries+i] = float64(h.values.ValueAtQuantile(q.q)) / 1e3
		}
	}
	if some {
		h.values.Reset()
	}
}

// takeCounts tells what was recorded as pairs of a value and how often it came, and begins anew: merging counts keeps
// quantiles right, merging quantiles would not.
func (h *histogram) takeCounts() (out [][2]int64) {
	if h.values.TotalCount() == 0 {
		return nil
	}
	for _, bar := range h.values.Distribution() {
		if bar.Count > 0 {
			out = append(out, [2]int64{bar.To, bar.Count})
		}
	}
	h.values.Reset()
	return out
}

// addCounts takes what another process has recorded.
func (h *histogram) addCounts(bars [][2]int64) {
	for _, bar := range bars {
		if bar[0] >= 0 && bar[0] <= maxLatency && bar[1] > 0 {
			_ = h.values.RecordValues(bar[0], bar[1])
		}
	}
}
