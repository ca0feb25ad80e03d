package proxy

import (
	"testing"
	"time"

	"cinderroad/internal/shared/httpwire"
)

func TestTimeLeft(t *testing.T) {
	const atMost = 3 * time.Second
	for value, want := range map[string]time.Duration{
		"":      atMost,
		"soon":  atMost,
		"NaN":   atMost,
		"+Inf":  atMost,
		"5000":  atMost,
		"1e300": atMost,
		"1500":  1500 * time.Millisecond,
		"0.5":   500 * time.Microsecond,
		"0":     0,
		"-3":    0,
		"-Inf":  0,
	} {
		var header httpwire.Header
		if value != "" {
			header = append(header, httpwire.Field{Name: headerTimeLeft, Value: value})
		}
		if got := parseTimeLeft(header, atMost); got != want {
			t.Errorf("%q: %v, want %v", value, got, want)
		}
	}
}

func TestAdvertisedIdleTimeout(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"":                 0,
		"timeout=5":        4800 * time.Millisecond,
		"max=3, Timeout=1": 800 * time.Millisecond,
		"timeout=0":        0,
		"timeout=x":        0,
		"timeout=-1":       0,
		"max=5":            0,
	} {
		if got := advertisedIdleTimeout(httpwire.Header{{Name: "Keep-Alive", Value: value}}); got != want {
			t.Errorf("%q: %v, want %v", value, got, want)
		}
	}
}
