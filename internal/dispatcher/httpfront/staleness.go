package httpfront

import "math"

// staleness records how often idle connections to a backend turned out to be dead at the next request, by how long they
// had been idle. A middlebox may drop idle connections long before the configured timeout, without a reset, and a
// request that meets this may have run: it cannot be retried.
type staleness struct {
	deadShare [stalenessSteps]float64 // moving average, by step of the idle time
	seenAt    [stalenessSteps]float64 // time of the last observation
}

// Parameters of staleness.
const (
	stalenessSteps     = 12
	stalenessFirstStep = 0.05 // seconds of idle time of the first step; each step is twice as long
	stalenessGain      = 0.3  // weight of the newest observation: two dead connections in a row exceed maxStaleness
	maxStaleness       = 0.4
	stalenessHalfLife  = 20.0 // seconds after which an observation counts half, so that the step is tried again
)

// stalenessStep returns the step of an idle time in seconds.
func stalenessStep(idleTime float64) int {
	step := 0
	for limit := stalenessFirstStep; idleTime > limit && step < stalenessSteps-1; limit *= 2 {
		step++
	}
	return step
}

// share returns the decayed share of dead connections of a step.
func (s *staleness) share(now float64, step int) float64 {
	return s.deadShare[step] * math.Exp2((s.seenAt[step]-now)/stalenessHalfLife)
}

// Values of record's argument.
const (
	foundAlive = 0.0
	foundDead  = 1.0
)

// record adds an observation of a connection that had been idle for idleTime seconds; dead is foundAlive or foundDead.
func (s *staleness) record(now, idleTime, dead float64) {
	step := stalenessStep(idleTime)
	share := s.share(now, step)
	s.deadShare[step] = share + stalenessGain*(dead-share)
	s.seenAt[step] = now
}

// exceeded reports whether a connection has been idle for too long to be trusted.
func (s *staleness) exceeded(now, idleTime float64) bool {
	for step := stalenessStep(idleTime); step >= 0; step-- {
		if s.share(now, step) > maxStaleness {
			return true
		}
	}
	return false
}
