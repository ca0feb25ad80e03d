package proxy

import (
	"testing"
	"time"
)

func TestIdleTimeoutEstimator(t *testing.T) {
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	for _, tc := range []struct {
		name string
		ends []float64
		want float64
	}{
		{"no observations", nil, 1},
		{"one long idle time is not trusted yet", []float64{10}, 1},
		{"one short idle time is", []float64{0.5}, 0.4},
		{"several", []float64{10, 10.1, 10}, 8},
		{"one close by a crash", []float64{10, 10, 0.1, 10, 10}, 8},
		{"never below the minimum", []float64{0.01, 0.01, 0.01, 0.01}, 0.2},
		{"only the latest count", []float64{10, 10, 10, 2, 2, 2, 2, 2, 2, 2, 2}, 1.6},
	} {
		var b idleTimeoutEstimator
		for _, end := range tc.ends {
			b.observe(seconds(end))
		}
		if got := b.estimate(); got != seconds(tc.want) {
			t.Errorf("%s: %v, want %vs", tc.name, got, tc.want)
		}
	}
}
