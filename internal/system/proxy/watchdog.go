package proxy

import (
	"slices"
	"time"

	"cinderroad/internal/system/placement"
)

// A machine that has lost power or its network is silent: its connections stay open, and what is written to them stays
// unacknowledged. Silence alone proves nothing because the runner may be busy, but a machine that acknowledges neither
// bytes nor a new connection is gone. Then idempotent requests move to another runner, and no idle connection to the
// machine is trusted any more.
const (
	ackTimeout         = 400 * time.Millisecond // for the acknowledgement of a request: longer than one retransmission
	minSilenceTimeout  = 500 * time.Millisecond // of a busy runner, before its machine is probed
	suspectDuration    = time.Second            // no requests are sent to a suspect runner for so long
	probeTimeoutFactor = 2                      // of the usual connect timeout, for a probe
)

// startWatchdog schedules a check of the attempt. The checks repeat until the attempt ends if the request is idempotent;
// other requests are checked once.
func (l *runnerConn) startWatchdog(after time.Duration) {
	p := l.runner.pool.proxy
	l.watchdog.Stop()
	l.dataSinceCheck, l.checkInterval = false, after
	l.watchdog = p.runAt(p.now()+after, l.checkProgress)
}

// checkProgress finds out whether the runner's machine is reachable if nothing has arrived from it since the last
// check.
func (l *runnerConn) checkProgress() {
	a := l.attempt
	if a == nil || l.state != connAwaitingHead && l.state != connReadingBody {
		return
	}
	mayMove := a.exchange.request.Route.IsIdempotent()
	next := a.silenceTimeout()
	switch {
	case l.dataSinceCheck || a.exchange.stalled:
	case l.socket.Unacknowledged() > 0:
		l.runner.markSuspect()
		if mayMove {
			a.moveToAnotherRunner()
		}
	case mayMove && l.runner.pool.proxy.now()-l.runner.lastDataAt >= l.checkInterval:
		l.runner.probe()
		next = max(next, 2*l.checkInterval)
	}
	if mayMove && l.attempt == a {
		l.startWatchdog(next)
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
	x.noteTried(a, true)
	x.attempt = nil
	if sent, _ := x.retry(); sent {
		a.cancel()
		a.end(placement.TimedOut)
		return
	}
	x.attempt = a
	x.request.TriedRunners, x.request.MayHaveRun = before.TriedRunners, before.MayHaveRun
}

// markSuspect stops sending requests to the runner for a while and closes its idle connections.
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
	l := r.open()
	l.isProbe = true
	l.timer = p.runAt(p.now()+probeTimeoutFactor*r.connectTimeout(), func() { l.fail(errConnectTimeout) })
}

// finishProbe handles the result of a probe.
func (r *runner) finishProbe(there bool) {
	r.probing = false
	if there {
		return
	}
	r.markSuspect()
	for _, l := range slices.Clone(r.conns) {
		if a := l.attempt; a != nil && l.state != connDialing && a.exchange.request.Route.IsIdempotent() {
			a.moveToAnotherRunner()
		}
	}
}
