package capacity

import "math"

// SpareCapacity is a plan's spare capacity: the load limit, as far as the worker is warm, less its load; all
// in slots.
func SpareCapacity(limit, warmth, load float64) float64 { return limit*warmth - load }

// Warmth is the share of its capacity that a worker is sure to have in slow start: it grows evenly from the
// initial share at its start to 1 after duration. The caller stops asking at duration: beyond it, the result
// exceeds 1.
func Warmth(initial, elapsed, duration float64) float64 {
	return initial + (1-initial)*math.Max(0, elapsed)/duration
}
