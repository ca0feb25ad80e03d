package capacity

import "math"

// The constants are ratios; every time and amount derives from the settings or from what is seen.
const (
	InitialMargin       = 1.1  // a ceiling starts this far above the highest value seen to be met
	GrowthMargin        = 1.25 // and clean finishes raise it at most this far above the load they met
	NearLimitShare      = 0.75 // a load above this share of the ceiling tells about the ceiling
	decreaseFactor      = 0.85 // what repeated failures leave of both ceilings: bounded, one bad second is not fatal
	increaseFactor      = 1.01 // what a clean finish close to the ceiling adds: failures must weigh more
	minLoadShare        = 0.5  // the load ceiling stays above this share of the size, or it could not be won back
	minUtilization      = 0.85 // the utilization ceiling stays above this: a worker does little below it
	overloadsToDecrease = 2    // failures near the ceiling, with no clean finish between them, that cut both ceilings
)

// Limits are what a worker is held to bear: load in slots, and the utilization at which jobs still end
// in time.
type Limits struct {
	Load        float64 // 0: not known yet
	Utilization float64
	Overloads   int // failures near the ceiling since the last cut or clean finish
}

// InitialLimits is the ceilings of a worker of so many slots of which nothing has been learnt; 0 slots: not known.
func InitialLimits(slots float64) Limits {
	return Limits{Load: InitialMargin * slots, Utilization: InitialMargin}
}

// RecordOverload counts a failure at a load; repeated ones near the ceiling cut both by a bounded step, above a
// floor.
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

// RecordSuccess counts a finish in time at a load; one near the ceiling raises both.
func (l *Limits) RecordSuccess(load, slots float64) {
	l.Overloads = 0
	if load >= NearLimitShare*l.Load {
		l.Load = math.Max(l.Load, math.Min(l.Load*increaseFactor, GrowthMargin*math.Min(load, slots)))
		l.Utilization = math.Min(l.Utilization*increaseFactor, InitialMargin)
	}
}

// Recover raises both ceilings by a share of what they are below where they start.
func (l *Limits) Recover(slots, share float64) {
	l.Load += math.Max(0, InitialMargin*slots-l.Load) * share
	l.Utilization += math.Max(0, InitialMargin-l.Utilization) * share
}
