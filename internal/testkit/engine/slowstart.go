package engine

import "time"

// slowStartWindow is the span in which the requests of a cold runner are counted.
const slowStartWindow = time.Second

// SlowStart watches how a runner that is cold is treated: it bears some requests a second, and falls over well above that.
type SlowStart struct {
	Rate          float64 // requests a second that it bears
	MaxMultiple   float64 // multiple of Rate that callers may send at most
	Allowance     float64 // requests beyond that
	CrashMultiple float64 // multiple of Rate at which it falls over; 0: it does not

	until        time.Duration
	arrivals     []time.Duration // within the window, the oldest first
	peakArrivals int
	violations   int
}

// Begin makes it cold until a time.
func (c *SlowStart) Begin(until time.Duration) {
	c.until = until
	c.arrivals = c.arrivals[:0]
}

// Remaining is how much longer it stays cold.
func (c *SlowStart) Remaining(now time.Duration) time.Duration { return max(0, c.until-now) }

// RecordArrival counts a request; it says whether the runner falls over.
func (c *SlowStart) RecordArrival(now time.Duration) (crashes bool) {
	if c.Remaining(now) == 0 || c.Rate <= 0 {
		return false
	}
	first := 0
	for first < len(c.arrivals) && c.arrivals[first] <= now-slowStartWindow {
		first++
	}
	c.arrivals = append(c.arrivals[:copy(c.arrivals, c.arrivals[first:])], now)
	n := len(c.arrivals)
	c.peakArrivals = max(c.peakArrivals, n)
	if float64(n) > c.Rate*c.MaxMultiple+c.Allowance {
		c.violations++
	}
	return c.CrashMultiple > 0 && float64(n) > c.Rate*c.CrashMultiple
}

// PeakArrivals is the largest number of requests that came within a second while it was cold.
func (c *SlowStart) PeakArrivals() int { return c.peakArrivals }

// Violations counts the requests above what callers may send.
func (c *SlowStart) Violations() int { return c.violations }
