package policysim

import (
	"testing"
	"time"
)

func TestTrafficRate(t *testing.T) {
	s := Screening()
	s.Duration = 260 * time.Second
	counts := make(map[string]int)
	for _, call := range GenerateTraffic(s, 5) {
		counts[call.Class.Name]++
	}
	for _, class := range s.Classes {
		want := class.RequestsPerSecond * s.Duration.Seconds()
		if got := float64(counts[class.Name]); got < 0.85*want || got > 1.15*want {
			t.Errorf("%s: %v calls, want about %.0f", class.Name, got, want)
		}
	}
}
