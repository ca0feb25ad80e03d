package placement

import "slices"

// The prefill speed. The window was tried, in place of a running mean; its numbers were not.
const (
	speedWindowSize    = 64  // samples: the last prompts of a service
	minSpeedSamples    = 4   // samples that replace a restored speed
	speedQuantile      = 0.8 // quantile of the samples that is taken for the speed
	speedSampleDivisor = 16  // a prompt is a sample if it weighs more than a slot divided by this
)

// speedWindow holds the prefill speeds of a service's last prompts, in tokens a second. Prompts that waited for others say
// little about the engines' speed, so the speed is a high quantile of the samples; a few samples are enough after a start, and
// no single one moves it far.
type speedWindow struct {
	samples [speedWindowSize]float64
	count   int
}

// add adds a sample and returns the speed.
func (w *speedWindow) add(sample float64) (speed float64) {
	w.samples[w.count%speedWindowSize] = sample
	w.count++
	samples := w.samples
	sorted := samples[:min(w.count, speedWindowSize)]
	slices.Sort(sorted)
	return sorted[min(int(speedQuantile*float64(len(sorted))), len(sorted)-1)]
}

// learnPrefillSpeed adds a sample. A restored speed counts until there are enough samples.
func (s *serviceState) learnPrefillSpeed(sample float64) {
	speed := s.prefillSpeeds.add(sample)
	if s.prefillSpeed == 0 || s.prefillSpeeds.count >= minSpeedSamples {
		s.prefillSpeed = speed
	}
}
