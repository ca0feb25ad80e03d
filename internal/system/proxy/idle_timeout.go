package proxy

import (
	"slices"
	"time"
)

const (
	defaultIdleTrust     = time.Second // that a connection is trusted for while nothing is known
	minIdleTrust         = 200 * time.Millisecond
	advertisedIdleMargin = 200 * time.Millisecond // before the end that a runner has named
	idleTrustFraction    = 0.8                    // of the rest after which runners were seen to close
	maxIdleSamples       = 8
	minIdleSamples       = 3           // ends seen before they count for more than defaultIdleTrust
	maxIdleTime          = time.Minute // after which an idle connection is closed here
)

// idleTimeoutEstimator holds the rests after which runners of a service closed idle connections, the last few of them. Those that a
// crash cut short are outliers: what counts is a low quartile, not the least.
type idleTimeoutEstimator struct {
	samples []time.Duration
	next    int
}

// observe notes that a runner closed a connection that had rested so long.
func (b *idleTimeoutEstimator) observe(rest time.Duration) {
	if len(b.samples) < maxIdleSamples {
		b.samples = append(b.samples, rest)
		return
	}
	b.samples[b.next] = rest
	b.next = (b.next + 1) % maxIdleSamples
}

// estimate is how long a connection may rest and still be given a request.
func (b *idleTimeoutEstimator) estimate() time.Duration {
	if len(b.samples) == 0 {
		return defaultIdleTrust
	}
	sorted := slices.Clone(b.samples)
	slices.Sort(sorted)
	low := time.Duration(float64(sorted[len(sorted)/4]) * idleTrustFraction)
	if len(sorted) < minIdleSamples {
		low = min(low, defaultIdleTrust)
	}
	return max(low, minIdleTrust)
}

// makeIdle makes the connection idle for the next request.
func (l *runnerConn) makeIdle() {
	p := l.runner.pool.proxy
	if !l.runner.listed || l.runner.draining || p.shutdown.active && p.openExchanges == 0 {
		l.close()
		return
	}
	l.socket.SetStalled(false)
	l.transition(connIdle)
	l.requestEnd = 0
	l.idleSince = p.now()
	l.runner.idle = append(l.runner.idle, l)
	most := maxIdleTime
	if l.advertisedIdle > 0 {
		most = l.advertisedIdle
	}
	l.timer = p.runAt(l.idleSince+most, l.close)
}

// idleTrustLimit is how long the connection may have rested to be given a request.
func (l *runnerConn) idleTrustLimit() time.Duration {
	if l.advertisedIdle > 0 {
		return l.advertisedIdle
	}
	return l.runner.pool.idleTimeoutOf(l.runner.service).estimate()
}

// learnIdleTimeout learns from a runner's close of an idle connection, unless others end at the same time: then the runner
// ends.
func (l *runnerConn) learnIdleTimeout() {
	now := l.runner.pool.proxy.now()
	if now-l.runner.lastIdleCloseAt > sharedCloseWindow && l.advertisedIdle == 0 {
		l.runner.pool.idleTimeoutOf(l.runner.service).observe(now - l.idleSince)
	}
	l.runner.lastIdleCloseAt = now
}
