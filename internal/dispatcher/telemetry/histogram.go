package telemetry

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latencies are recorded in microseconds within these bounds, to two significant digits (1%).
const (
	minLatency        = 1
	maxLatency        = 3600e6 // an hour; longer ones count as an hour
	significantDigits = 2
)

// quantiles are the quantiles in series; the last one is the maximum.
var quantiles = [...]struct {
	name    string
	percent float64
}{
	{"p50", 50},
	{"p90", 90},
	{"p99", 99},
	{"p99_9", 99.9},
	{"max", 100},
}

// histogram is the latency distribution of the open period.
type histogram struct {
	values      *hdrhistogram.Histogram
	firstSeries int // index of the first quantile's series
}

func newHistogram(first int) *histogram {
	return &histogram{values: hdrhistogram.New(minLatency, maxLatency, significantDigits), firstSeries: first}
}

// record records a latency in seconds; it doesn't allocate.
func (h *histogram) record(seconds float64) {
	_ = h.values.RecordValue(int64(min(max(seconds*1e6, minLatency), maxLatency)))
}

// writeQuantiles writes the quantiles in milliseconds and resets the histogram.
func (h *histogram) writeQuantiles(values []float64) {
	hasValues := h.values.TotalCount() > 0
	for i, q := range quantiles {
		values[h.firstSeries+i] = noValue
		switch {
		case hasValues && q.percent == 100:
			values[h.firstSeries+i] = float64(h.values.Max()) / 1e3
		case hasValues:
			values[h.firstSeries+i] = float64(h.values.ValueAtQuantile(q.percent)) / 1e3
		}
	}
	if hasValues {
		h.values.Reset()
	}
}

// takeCounts returns the recorded values with their counts and resets the histogram. Counts of two processes can be
// merged exactly, quantiles can't.
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

// addCounts adds the counts of another process.
func (h *histogram) addCounts(bars [][2]int64) {
	for _, bar := range bars {
		if bar[0] >= 0 && bar[0] <= maxLatency && bar[1] > 0 {
			_ = h.values.RecordValues(bar[0], bar[1])
		}
	}
}
