package httpfront

import "math"

// staleness is how often connections to a backend were found dead at the request after a rest, by how long they had
// rested. Something on the way may forget them long before the settings' time, without a word to this side, and a
// request that meets this may have run: none is tried again.
type staleness struct {
	deadShare [stalenessSteps]float64 // running share
	seenAt    [stalenessSteps]float64 // when it was last seen
}

const (
	stalenessSteps     = 12
	stalenessFirstStep = 0.05 // seconds of rest of the first step; each step is twice as long
	stalenessGain      = 0.3  // weight of the newest: two dead ones in turn are enough
	maxStaleness       = 0.4  // a share above this is not risked
	stalenessHalfLife  = 20.0 // seconds after which a share counts half, so that it is tried again
)

func stalenessStep(idleTime float64) int {
	step := 0
	for limit := stalenessFirstStep; idleTime > limit && step < stalenessSteps-1; limit *= 2 {
		step++
	}
	return step
}

func (s *staleness) share(now float64, step int) float64 {
	return s.deadShare[step] * math.Exp2((s.seenAt[step]-now)/stalenessHalfLife)
}

// record notes how a connection was found after a rest: 1 is dead, 0 alive.
func (s *staleness) record(now, idleTime, dead float64) {
	step := stalenessStep(idleTime)
	share := s.share(now, step)
	s.deadShare[step], s.seenAt[step] = share+stalenessGain*(dead-share), now
}

// exceeded says whether a connection has rested for so long that it is not to be trusted.
func (s *staleness) exceeded(now, idleTime float64) bool {
	for step := stalenessStep(idleTime); step >= 0; step-- {
		if s.share(now, step) > maxStaleness {
			return true
		}
	}
	return false
}
