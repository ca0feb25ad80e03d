package proxy

import (
	"time"

	"cinderroad/internal/system/placement"
)

// A machine that has lost its power or its links says nothing: connections to it stay open, and what is written to them
// stays without an acknowledgement. Silence alone proves nothing, since a runner may be busy; a machine that does not
// even take bytes, or a new connection, is gone. Then a request that may run twice goes to another runner, and no idle
// connection to the machine is trusted any more.
const (
	takenWithin  = 400 * time.Millisecond // a request must have been taken: beyond one retransmission
	leastSilence = 500 * time.Millisecond // of a runner that is at work, before its machine is asked
	doubtTime    = time.Second            // that nothing is sent to a runner in doubt
	probeTimes   = 2                      // of the usual time, that a connection may take which only asks for the machine
)

// watch looks after the attempt of the link until it has shown that its runner is there.
func (l *link) watch(after time.Duration) {
	p := l.runner.pool.proxy
	l.watchdog.Stop()
	l.heard, l.patience = false, after
	l.watchdog = p.at(p.now()+after, l.look)
}

// look finds out whether the runner's machine is there if nothing has come from it since the last look.
func (l *link) look() {
	a := l.attempt
	if a == nil || l.state != waiting && l.state != reading {
		return
	}
	mayMove := a.exchange.request.Route.IsIdempotent()
	next := a.silence()
	switch {
	case l.heard || a.exchange.stalled:
	case l.conn.Unacknowledged() > 0:
		l.runner.doubt()
		if mayMove {
			a.moveOn()
		}
	case mayMove && l.runner.pool.proxy.now()-l.runner.heard >= l.patience:
		l.runner.ask()
		next = max(next, 2*l.patience)
	}
	if mayMove && l.attempt == a {
		l.watch(next)
	}
}

// silence is how long the runner may say nothing before its machine is asked.
func (a *attempt) silence() time.Duration {
	r := a.exchange.request.Route
	if a.progress.Events > 0 {
		return max(2*r.EventGapTarget, leastSilence)
	}
	return max(r.LatencyTarget, leastSilence)
}

// moveOn sends a request that may run twice to another runner, if that may be and one can take it; else it stays.
func (a *attempt) moveOn() {
	x := a.exchange
	before := x.request
	x.tried(a, true)
	x.attempt = nil
	if sent, _ := x.again(); sent {
		a.cancel()
		a.end(placement.TimedOut)
		return
	}
	x.attempt = a
	x.request.TriedRunners, x.request.MayHaveRun = before.TriedRunners, before.MayHaveRun
}

// doubt has nothing sent to the runner for a while, and none of its idle connections used.
func (r *runner) doubt() {
	r.doubtful = r.pool.proxy.now() + doubtTime
	r.closeIdle()
}

// ask opens a connection, which comes up if the runner's machine is there. One at a time is enough.
func (r *runner) ask() {
	p := r.pool.proxy
	if r.asking || len(r.links) >= r.pool.mostConns(r) {
		return
	}
	r.asking = true
	l := r.connect()
	l.asks = true
	l.timeout = p.at(p.now()+probeTimes*r.connectTimeout(), func() { l.fail(errConnectTimeout) })
}

// asked takes the end of the connection that asked.
func (r *runner) asked(there bool) {
	r.asking = false
	if there {
		return
	}
	r.doubt()
	for _, l := range append([]*link(nil), r.links...) {
		if a := l.attempt; a != nil && l.state != dialing && a.exchange.request.Route.IsIdempotent() {
			a.moveOn()
		}
	}
}
