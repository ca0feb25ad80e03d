package placement

import (
	"math"
	"testing"
)

// The speed is known a second after a start, whatever the first prompts met, and follows a change within the window.
func TestSpeedOfReading(t *testing.T) {
	s := &service{}
	s.learnSpeed(300) // waited for others
	if s.speed != 300 {
		t.Errorf("of the first prompt %.0f was learnt", s.speed)
	}
	for _, sample := range []float64{30000, 12000, 29000, 9000, 31000, 28000, 150, 30000} {
		s.learnSpeed(sample)
	}
	if s.speed < 28000 || s.speed > 31000 {
		t.Errorf("after nine prompts the speed is %.0f", s.speed)
	}
	s.learnSpeed(1e6) // parts were kept that were not known to be
	if s.speed > 31000 {
		t.Errorf("a single prompt made the speed %.0f", s.speed)
	}
	for i := range speedSamples {
		s.learnSpeed(10000 * (1 + float64(i%10)/100))
	}
	if math.Abs(s.speed-10700) > 1 { // the 52nd of 64
		t.Errorf("after all engines have become slower the speed is %.0f", s.speed)
	}
}

// What an earlier life had learnt counts until a few prompts have been read.
func TestRecalledSpeedOutlivesTheFirstPrompts(t *testing.T) {
	s := &service{speed: 30000}
	for i := range speedLeast {
		if s.learnSpeed(500); i < speedLeast-1 && s.speed != 30000 {
			t.Errorf("after %d prompts the speed is %.0f", i+1, s.speed)
		}
	}
	if s.speed != 500 {
		t.Errorf("after %d prompts the speed is %.0f", speedLeast, s.speed)
	}
}
