package proxy

import (
	"testing"
	"time"

	"cinderroad/internal/shared/httpwire"
)

func TestIdleTimeoutEstimator(t *testing.T) {
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	for _, tc := range []struct {
		name string
		ends []float64
		want float64
	}{
		{"nothing seen", nil, 1},
		{"one long rest is not trusted yet", []float64{10}, 1},
		{"one short rest is", []float64{0.5}, 0.4},
		{"several", []float64{10, 10.1, 10}, 8},
		{"a crash among them", []float64{10, 10, 0.1, 10, 10}, 8},
		{"never below the least", []float64{0.01, 0.01, 0.01, 0.01}, 0.2},
		{"the latest count", []float64{10, 10, 10, 2, 2, 2, 2, 2, 2, 2, 2}, 1.6},
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

func TestAdvertisedIdleTimeout(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": 0, "timeout=5": 4800 * time.Millisecond, "max=3, Timeout=1": 800 * time.Millisecond, "timeout=0": 0,
		"timeout=x": 0, "timeout=-1": 0, "max=5": 0,
	} {
		if got := advertisedIdleTimeout(httpwire.Header{{"Keep-Alive", value}}); got != want {
			t.Errorf("%q: %v, want %v", value, got, want)
		}
	}
}
