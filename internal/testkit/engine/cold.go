package engine

import "time"

// coldWindow is the span in which the requests of a cold runner are counted.
const coldWindow = time.Second

// Cold watches how a runner that is cold is treated: it bears some requests a second, and falls over well above that.
type Cold struct {
	Rate   float64 // requests a second that it bears
	Excess float64 // multiple of Rate that callers may send at most
	Slack  float64 // requests beyond that
	Falls  float64 // multiple of Rate at which it falls over; 0: it does not

	until    time.Duration
	arrivals []time.Duration // within the window, the oldest first
	worst    int
	broken   int
}

// Begin makes it cold until a time.
func (c *Cold) Begin(until time.Duration) {
	c.until = until
	c.arrivals = c.arrivals[:0]
}

// Left is how much longer it stays cold.
func (c *Cold) Left(now time.Duration) time.Duration { return max(0, c.until-now) }

// Arrive counts a request; it says whether the runner falls over.
func (c *Cold) Arrive(now time.Duration) (fell bool) {
	if c.Left(now) == 0 || c.Rate <= 0 {
		return false
	}
	first := 0
	for first < len(c.arrivals) && c.arrivals[first] <= now-coldWindow {
		first++
	}
	c.arrivals = append(c.arrivals[:copy(c.arrivals, c.arrivals[first:])], now)
	n := len(c.arrivals)
	c.worst = max(c.worst, n)
	if float64(n) > c.Rate*c.Excess+c.Slack {
		c.broken++
	}
	return c.Falls > 0 && float64(n) > c.Rate*c.Falls
}

// Worst is the largest number of requests that came within a second while it was cold.
func (c *Cold) Worst() int { return c.worst }

// Broken counts the requests above what callers may send.
func (c *Cold) Broken() int { return c.broken }
