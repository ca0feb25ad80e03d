package placement

import "slices"

// speedWindow holds how fast the last prompts of a service were read, in tokens a second. Prompts that waited for others say
// little of the engines' speed, so it is the one that speedAt of the samples stay below; a few samples are enough after a
// start, and no single one moves it far.
type speedWindow struct {
	samples [speedSamples]float64
	seen    int
}

// add takes a sample and returns the speed.
func (w *speedWindow) add(sample float64) (speed float64) {
	w.samples[w.seen%speedSamples] = sample
	w.seen++
	held := w.samples
	sorted := held[:min(w.seen, speedSamples)]
	slices.Sort(sorted)
	return sorted[min(int(speedAt*float64(len(sorted))), len(sorted)-1)]
}

// learnSpeed takes a sample. What an earlier life had learnt counts until there are enough of them.
func (s *service) learnSpeed(sample float64) {
	speed := s.speeds.add(sample)
	if s.speed == 0 || s.speeds.seen >= speedLeast {
		s.speed = speed
	}
}
