package capacity

import "math"

// The constants are ratios; every time and amount derives from the settings or from what is observed.
const (
	// InitialMargin is how far above a worker's slots, and above full utilization, its limits start.
	InitialMargin = 1.1
	// GrowthMargin bounds how far above the load that it met a success raises the load limit.
	GrowthMargin = 1.25
	// NearLimitShare is the share of the load limit from which on a load says anything about the limits.
	NearLimitShare = 0.75

	decreaseFactor      = 0.85 // of both limits at repeated overload: bounded, one bad second is not fatal
	increaseFactor      = 1.01 // of both limits at a success near them: overload must weigh more
	minLoadShare        = 0.5  // the load limit stays above this share of the slots, or it could not recover
	minUtilization      = 0.85 // the utilization limit stays above this: a worker does little below it
	overloadsToDecrease = 2    // overloads near the limit, with no success between, that lower both limits
)

// Limits are the concurrency limits of a worker.
type Limits struct {
	Load        float64 // in slots; 0: not known yet
	Utilization float64 // up to which jobs end in time
	Overloads   int     // near the limit, since the last decrease or success
}

// InitialLimits returns the limits of a worker of which nothing has been learnt; 0 slots: not known.
func InitialLimits(slots float64) Limits {
	return Limits{Load: InitialMargin * slots, Utilization: InitialMargin}
}

// RecordOverload counts a job that failed or was late at a load. Repeated ones near the limit lower both
// limits by a bounded step, down to a lower bound.
func (l *Limits) RecordOverload(load, slots float64) {
	if load < NearLimitShare*l.Load {
		return
	}
	if l.Overloads++; l.Overloads >= overloadsToDecrease {
		l.Overloads = 0
		l.Load = math.Max(l.Load*decreaseFactor, minLoadShare*slots)
		l.Utilization = math.Max(l.Utilization*decreaseFactor, minUtilization)
	}
}

// RecordSuccess counts a job that ended in time at a load; one near the limit raises both limits.
func (l *Limits) RecordSuccess(load, slots float64) {
	l.Overloads = 0
	if load >= NearLimitShare*l.Load {
		l.Load = math.Max(l.Load, math.Min(l.Load*increaseFactor, GrowthMargin*math.Min(load, slots)))
		l.Utilization = math.Min(l.Utilization*increaseFactor, InitialMargin)
	}
}

// Recover raises both limits by a share, from 0 to 1, of what they are below their initial values.
func (l *Limits) Recover(slots, share float64) {
	l.Load += math.Max(0, InitialMargin*slots-l.Load) * share
	l.Utilization += math.Max(0, InitialMargin-l.Utilization) * share
}
