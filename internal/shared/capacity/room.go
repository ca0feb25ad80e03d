package capacity

import "math"

// SpareCapacity is the room of the plan: the load ceiling, as far as the worker is warm, less its load.
func SpareCapacity(limit, warmth, load float64) float64 { return limit*warmth - load }

// Warmth is the share of its capacity that a worker is sure to have so long after a start that it returned
// from cold: at first the least share, and all of it after span.
func Warmth(initial, elapsed, duration float64) float64 {
	return initial + (1-initial)*math.Max(0, elapsed)/duration
}
