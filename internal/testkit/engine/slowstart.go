package engine

import "time"

// slowStartWindow is the window in which arrivals are counted.
const slowStartWindow = time.Second

// SlowStart checks the load on a runner during slow start, when it bears only a limited rate of requests and crashes
// well above that.
type SlowStart struct {
	Rate          float64 // requests per second that it bears
	MaxMultiple   float64 // multiple of Rate that callers may send
	Allowance     float64 // requests allowed on top of that
	CrashMultiple float64 // multiple of Rate at which it crashes; 0: never

	until        time.Duration
	arrivals     []time.Duration // within the window, oldest first
	peakArrivals int
	violations   int
}

// Begin starts slow start, until a time.
func (c *SlowStart) Begin(until time.Duration) {
	c.until = until
	c.arrivals = c.arrivals[:0]
}

// Remaining returns how much longer slow start lasts; 0 if it is over.
func (c *SlowStart) Remaining(now time.Duration) time.Duration { return max(0, c.until-now) }

// RecordArrival counts a request and reports whether the runner crashes.
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

// PeakArrivals returns the largest number of requests within a second of slow start.
func (c *SlowStart) PeakArrivals() int { return c.peakArrivals }

// Violations counts the requests beyond what callers may send.
func (c *SlowStart) Violations() int { return c.violations }
