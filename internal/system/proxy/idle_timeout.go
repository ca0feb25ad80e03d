package proxy

import (
	"slices"
	"time"
)

const (
	defaultIdleTrust     = time.Second // a connection's trusted idle time while nothing was observed
	minIdleTrust         = 200 * time.Millisecond
	advertisedIdleMargin = 200 * time.Millisecond // before the timeout that a runner advertises
	idleTrustFraction    = 0.8                    // of the idle times after which runners were seen to close
	maxIdleSamples       = 8
	minIdleSamples       = 3           // observations required to exceed defaultIdleTrust
	maxIdleTime          = time.Minute // after which the proxy closes an idle connection
)

// idleTimeoutEstimator estimates how long the runners of a service keep an idle connection open, from the idle times
// after which they closed the latest ones. Closes caused by a crash are outliers: the estimate uses a low quartile, not
// the minimum.
type idleTimeoutEstimator struct {
	samples []time.Duration // the latest maxIdleSamples idle times, as a ring
	next    int             // index of the sample to be replaced
}

// observe records that a runner closed a connection that had been idle for the given time.
func (e *idleTimeoutEstimator) observe(idle time.Duration) {
	if len(e.samples) < maxIdleSamples {
		e.samples = append(e.samples, idle)
		return
	}
	e.samples[e.next] = idle
	e.next = (e.next + 1) % maxIdleSamples
}

// estimate returns how long a connection may be idle and still be used for a request.
func (e *idleTimeoutEstimator) estimate() time.Duration {
	if len(e.samples) == 0 {
		return defaultIdleTrust
	}
	sorted := slices.Clone(e.samples)
	slices.Sort(sorted)
	low := time.Duration(float64(sorted[len(sorted)/4]) * idleTrustFraction)
	if len(sorted) < minIdleSamples {
		low = min(low, defaultIdleTrust)
	}
	return max(low, minIdleTrust)
}

// makeIdle makes the connection available for the next request.
func (c *runnerConn) makeIdle() {
	p := c.runner.pool.proxy
	if !c.runner.listed || c.runner.draining || p.shutdown.active && p.openExchanges == 0 {
		c.close()
		return
	}
	c.socket.SetStalled(false)
	c.transition(connIdle)
	c.requestEnd = 0
	c.idleSince = p.now()
	c.runner.idle = append(c.runner.idle, c)
	maxIdle := maxIdleTime
	if c.advertisedIdle > 0 {
		maxIdle = c.advertisedIdle
	}
	c.timer = p.runAt(c.idleSince+maxIdle, c.close)
}

// idleTrustLimit returns how long the connection may have been idle and still be used for a request.
func (c *runnerConn) idleTrustLimit() time.Duration {
	if c.advertisedIdle > 0 {
		return c.advertisedIdle
	}
	return c.runner.pool.idleTimeoutOf(c.runner.service).estimate()
}

// learnIdleTimeout records the close of an idle connection by its runner. Closes in quick succession mean that the
// runner itself stops, and are not recorded.
func (c *runnerConn) learnIdleTimeout() {
	now := c.runner.pool.proxy.now()
	if now-c.runner.lastIdleCloseAt > sharedCloseWindow && c.advertisedIdle == 0 {
		c.runner.pool.idleTimeoutOf(c.runner.service).observe(now - c.idleSince)
	}
	c.runner.lastIdleCloseAt = now
}
