package proxy

import (
	"slices"
	"time"

	"cinderroad/internal/system/placement"
)

// A machine that has lost power or its network is silent: its connections stay open, and what is written to them stays
// unacknowledged. Silence alone proves nothing because the runner may be busy, but a machine that acknowledges neither
// bytes nor a new connection is unreachable. Then idempotent requests move to another runner, and no idle connection to the
// machine is trusted any more.
//
// The suspicion here is of a machine, and keeps the pool from using it (pool.canAccept). The placer has a suspicion of its
// own, by outcomes of attempts (package placement, health.go), and the membership knows suspect members (package gossip);
// none of the three sets another one.
const (
	ackTimeout         = 400 * time.Millisecond // for the acknowledgement of a request: longer than one retransmission
	minSilenceTimeout  = 500 * time.Millisecond // of a busy runner, before its machine is probed
	suspectDuration    = time.Second            // no requests are sent to a suspect runner for so long, unless it accepts a connection
	probeTimeoutFactor = 2                      // of the usual connect timeout, for a probe
)

// startWatchdog schedules a check of the attempt. The checks repeat until the attempt ends if the request is idempotent;
// other requests are checked once.
func (c *runnerConn) startWatchdog(after time.Duration) {
	p := c.runner.pool.proxy
	c.watchdog.Stop()
	c.dataSinceCheck = false
	c.checkInterval = after
	c.watchdog = p.runAt(p.now()+after, c.checkProgress)
}

// checkProgress finds out whether the runner's machine is reachable if nothing has arrived from it since the last
// check.
func (c *runnerConn) checkProgress() {
	a := c.attempt
	if a == nil || c.state != connAwaitingHead && c.state != connReadingBody {
		return
	}
	mayMove := a.exchange.request.Route.IsIdempotent()
	next := a.silenceTimeout()
	switch {
	case c.dataSinceCheck || a.exchange.stalled:
	case c.socket.Unacknowledged() > 0:
		c.runner.markSuspect()
		if mayMove {
			a.moveToAnotherRunner()
		}
	case mayMove && c.runner.pool.proxy.now()-c.runner.lastDataAt >= c.checkInterval:
		c.runner.probe()
		next = max(next, 2*c.checkInterval) // a runner that is busy for long is probed ever more rarely
	}
	if mayMove && c.attempt == a {
		c.startWatchdog(next)
	}
}

// silenceTimeout returns how long the runner may be silent before its machine is probed.
func (a *attempt) silenceTimeout() time.Duration {
	r := a.exchange.request.Route
	if a.progress.Events > 0 {
		return max(2*r.EventGapTarget, minSilenceTimeout)
	}
	return max(r.LatencyTarget, minSilenceTimeout)
}

// moveToAnotherRunner retries an idempotent request elsewhere if that is allowed and a runner has capacity; otherwise
// the attempt continues.
func (a *attempt) moveToAnotherRunner() {
	x := a.exchange
	before := x.request
	x.recordAttempt(a, possiblyRun)
	x.attempt = nil
	if sent, _ := x.retry(); sent {
		a.cancel()
		a.end(placement.TimedOut)
		return
	}
	x.attempt = a
	x.request = before
}

// markSuspect stops sending requests to the runner for suspectDuration and closes its idle connections.
func (r *runner) markSuspect() {
	r.suspectUntil = r.pool.proxy.now() + suspectDuration
	r.closeIdle()
}

// probe opens a connection, which succeeds if the runner's machine is reachable. One at a time is enough.
func (r *runner) probe() {
	p := r.pool.proxy
	if r.probing || len(r.conns) >= r.pool.maxConns(r) {
		return
	}
	r.probing = true
	conn := r.open()
	conn.isProbe = true
	conn.timer = p.runAt(p.now()+probeTimeoutFactor*r.connectTimeout(), func() { conn.fail(errConnectTimeout) })
}

// finishProbe handles the result of a probe.
func (r *runner) finishProbe(reachable bool) {
	r.probing = false
	if reachable {
		return
	}
	r.markSuspect()
	for _, conn := range slices.Clone(r.conns) {
		if a := conn.attempt; a != nil && conn.state != connDialing && a.exchange.request.Route.IsIdempotent() {
			a.moveToAnotherRunner()
		}
	}
}
