package capacity

import "math"

// The constants are ratios; every time and amount derives from the settings or from what is seen.
const (
	SeedMargin = 1.1  // a ceiling starts this far above the highest value seen to be met
	GrowMargin = 1.25 // and clean finishes raise it at most this far above the load they met
	NearShare  = 0.75 // a load above this share of the ceiling tells about the ceiling
	cutStep    = 0.85 // what repeated failures leave of both ceilings: bounded, one bad second is not fatal
	raiseStep  = 1.01 // what a clean finish close to the ceiling adds: failures must weigh more
	floorShare = 0.5  // the load ceiling stays above this share of the size, or it could not be won back
	utilFloor  = 0.85 // the utilization ceiling stays above this: a worker does little below it
	strikesCut = 2    // failures near the ceiling, with no clean finish between them, that cut both ceilings
)

// Ceilings are what a worker is held to bear: load in slots, and the utilization at which jobs still end
// in time.
type Ceilings struct {
	Load    float64 // 0: not known yet
	Util    float64
	Strikes int // failures near the ceiling since the last cut or clean finish
}

// Seed is the ceilings of a worker of so many slots of which nothing has been learnt; 0 slots: not known.
func Seed(size float64) Ceilings { return Ceilings{Load: SeedMargin * size, Util: SeedMargin} }

// Strike counts a failure at a load; repeated ones near the ceiling cut both by a bounded step, above a
// floor.
func (c *Ceilings) Strike(load, size float64) {
	if load < NearShare*c.Load {
		return
	}
	if c.Strikes++; c.Strikes >= strikesCut {
		c.Strikes = 0
		c.Load = math.Max(c.Load*cutStep, floorShare*size)
		c.Util = math.Max(c.Util*cutStep, utilFloor)
	}
}

// Clean counts a finish in time at a load; one near the ceiling raises both.
func (c *Ceilings) Clean(load, size float64) {
	c.Strikes = 0
	if load >= NearShare*c.Load {
		c.Load = math.Max(c.Load, math.Min(c.Load*raiseStep, GrowMargin*math.Min(load, size)))
		c.Util = math.Min(c.Util*raiseStep, SeedMargin)
	}
}

// Recover raises both ceilings by a share of what they are below where they start.
func (c *Ceilings) Recover(size, share float64) {
	c.Load += math.Max(0, SeedMargin*size-c.Load) * share
	c.Util += math.Max(0, SeedMargin-c.Util) * share
}
