package httpfront

import "math"

// wear is how often connections to a backend were found dead at the request after a rest, by how long they had
// rested. Something on the way may forget them long before the settings' time, without a word to this side, and a
// request that meets this may have run: none is tried again.
type wear struct {
	dead [wearSteps]float64 // running share
	at   [wearSteps]float64 // when it was last seen
}

const (
	wearSteps  = 12
	wearLeast  = 0.05 // seconds of rest of the first step; each step is twice as long
	wearRate   = 0.3  // weight of the newest: two dead ones in turn are enough
	wearLimit  = 0.4  // a share above this is not risked
	wearForget = 20.0 // seconds after which a share counts half, so that it is tried again
)

func wearStep(rest float64) int {
	step := 0
	for limit := wearLeast; rest > limit && step < wearSteps-1; limit *= 2 {
		step++
	}
	return step
}

func (w *wear) share(now float64, step int) float64 {
	return w.dead[step] * math.Exp2((w.at[step]-now)/wearForget)
}

// saw notes how a connection was found after a rest: 1 is dead, 0 alive.
func (w *wear) saw(now, rest, dead float64) {
	step := wearStep(rest)
	was := w.share(now, step)
	w.dead[step], w.at[step] = was+wearRate*(dead-was), now
}

// out says whether a connection has rested for so long that it is not to be trusted.
func (w *wear) out(now, rest float64) bool {
	for step := wearStep(rest); step >= 0; step-- {
		if w.share(now, step) > wearLimit {
			return true
		}
	}
	return false
}
