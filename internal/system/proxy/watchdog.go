package proxy

import (
	"slices"
	"time"

	"cinderroad/internal/system/placement"
)

// A machine that has lost its power or its links says nothing: connections to it stay open, and what is written to them
// stays without an acknowledgement. Silence alone proves nothing, since a runner may be busy; a machine that does not
// even take bytes, or a new connection, is gone. Then a request that may run twice goes to another runner, and no idle
// connection to the machine is trusted any more.
const (
	ackTimeout         = 400 * time.Millisecond // a request must have been taken: beyond one retransmission
	minSilenceTimeout  = 500 * time.Millisecond // of a runner that is at work, before its machine is asked
	suspectDuration    = time.Second            // that nothing is sent to a runner in doubt
	probeTimeoutFactor = 2                      // of the usual time, that a connection may take which only asks for the machine
)

// startWatchdog looks after the attempt of the link until it has shown that its runner is there.
func (l *runnerConn) startWatchdog(after time.Duration) {
	p := l.runner.pool.proxy
	l.watchdog.Stop()
	l.dataSinceCheck, l.checkInterval = false, after
	l.watchdog = p.runAt(p.now()+after, l.checkProgress)
}

// checkProgress finds out whether the runner's machine is there if nothing has come from it since the last look.
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

// silenceTimeout is how long the runner may say nothing before its machine is asked.
func (a *attempt) silenceTimeout() time.Duration {
	r := a.exchange.request.Route
	if a.progress.Events > 0 {
		return max(2*r.EventGapTarget, minSilenceTimeout)
	}
	return max(r.LatencyTarget, minSilenceTimeout)
}

// moveToAnotherRunner sends a request that may run twice to another runner, if that may be and one can take it; else it stays.
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

// markSuspect has nothing sent to the runner for a while, and none of its idle connections used.
func (r *runner) markSuspect() {
	r.suspectUntil = r.pool.proxy.now() + suspectDuration
	r.closeIdle()
}

// probe opens a connection, which comes up if the runner's machine is there. One at a time is enough.
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

// finishProbe takes the end of the connection that asked.
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
