package placement

import (
	"math"
	"testing"
)

// The speed is known after a few samples, whatever the first ones were, and follows a change within the window.
func TestPrefillSpeed(t *testing.T) {
	s := &serviceState{}
	s.learnPrefillSpeed(300) // waited for others
	if s.prefillSpeed != 300 {
		t.Errorf("of the first prompt %.0f was learnt", s.prefillSpeed)
	}
	for _, sample := range []float64{30000, 12000, 29000, 9000, 31000, 28000, 150, 30000} {
		s.learnPrefillSpeed(sample)
	}
	if s.prefillSpeed < 28000 || s.prefillSpeed > 31000 {
		t.Errorf("after nine prompts the speed is %.0f", s.prefillSpeed)
	}
	s.learnPrefillSpeed(1e6) // chunks were cached that were not known to be
	if s.prefillSpeed > 31000 {
		t.Errorf("a single prompt made the speed %.0f", s.prefillSpeed)
	}
	for i := range speedWindowSize {
		s.learnPrefillSpeed(10000 * (1 + float64(i%10)/100))
	}
	if math.Abs(s.prefillSpeed-10700) > 1 { // the 52nd of 64
		t.Errorf("after all engines have become slower the speed is %.0f", s.prefillSpeed)
	}
}

// A restored speed counts until minSpeedSamples prompts have been prefilled.
func TestRestoredSpeedOutlivesFirstPrompts(t *testing.T) {
	s := &serviceState{prefillSpeed: 30000}
	for i := range minSpeedSamples {
		if s.learnPrefillSpeed(500); i < minSpeedSamples-1 && s.prefillSpeed != 30000 {
			t.Errorf("after %d prompts the speed is %.0f", i+1, s.prefillSpeed)
		}
	}
	if s.prefillSpeed != 500 {
		t.Errorf("after %d prompts the speed is %.0f", minSpeedSamples, s.prefillSpeed)
	}
}
