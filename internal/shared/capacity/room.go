package capacity

import "math"

// SpareCapacity is the room of the plan: the load ceiling, as far as the worker is warm, less its load.
func SpareCapacity(ceiling, warmth, load float64) float64 { return ceiling*warmth - load }

// Warmth is the share of its capacity that a worker is sure to have so long after a start that it returned
// from cold: at first the least share, and all of it after span.
func Warmth(least, since, span float64) float64 { return least + (1-least)*math.Max(0, since)/span }
