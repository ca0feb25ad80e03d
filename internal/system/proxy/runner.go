package proxy

import (
	"net/netip"
	"time"
)

// runner is one incarnation of a runner and the connections to it.
type runner struct {
	pool            *pool
	id              string
	service         string
	address         netip.AddrPort
	listed          bool // in the latest set of runners
	draining        bool
	conns           []*runnerConn // all connections, the idle ones included
	idle            []*runnerConn // most recently used last
	slowestConnect  time.Duration // longest measured connect time, decayed; 0: none measured
	lastIdleCloseAt time.Duration // when the runner last closed an idle connection
	suspectUntil    time.Duration // no requests are sent until then
	lastDataAt      time.Duration // when bytes last arrived on any connection
	probing         bool          // a probe connection is being established
}

// takeIdle removes and returns the most recently used idle connection, if it can be trusted with a request.
func (r *runner) takeIdle() *runnerConn {
	now := r.pool.proxy.now()
	for len(r.idle) > 0 {
		conn := r.idle[len(r.idle)-1]
		if !conn.socket.Alive() {
			conn.close()
			continue
		}
		if now-conn.idleSince > conn.idleTrustLimit() { // the others have been idle longer
			r.closeStaleIdle()
			return nil
		}
		r.idle = r.idle[:len(r.idle)-1]
		conn.timer.Stop()
		return conn
	}
	return nil
}

// closeStaleIdle closes an idle connection that cannot be trusted if the limit would otherwise prevent a new one.
func (r *runner) closeStaleIdle() {
	if len(r.conns) >= r.pool.maxConns(r) && len(r.idle) > 0 {
		r.idle[0].close()
	}
}

func (r *runner) closeIdle() {
	for len(r.idle) > 0 {
		r.idle[len(r.idle)-1].close()
	}
}

// dial opens a connection for an attempt.
func (r *runner) dial(attempt *attempt) {
	p := r.pool.proxy
	conn := r.open()
	conn.attempt = attempt
	attempt.conn = conn
	conn.timer = p.runAt(p.now()+r.connectTimeout(), func() { conn.fail(errConnectTimeout) })
}

// open opens a connection.
func (r *runner) open() *runnerConn {
	p := r.pool.proxy
	p.Counters.Dials++
	conn := &runnerConn{runner: r, dialedAt: p.now(), state: connDialing}
	r.conns = append(r.conns, conn)
	conn.socket = p.loop.Connect(r.address, conn)
	return conn
}

// connectTimeout returns how long establishing a connection may take.
func (r *runner) connectTimeout() time.Duration {
	switch {
	case r.slowestConnect > 0:
		return min(max(connectTimeoutFactor*r.slowestConnect, minConnectTimeout), maxConnectTimeout)
	case r.pool.slowestConnect > 0:
		return min(max(connectTimeoutFactor*r.pool.slowestConnect, minUnmeasuredConnectTimeout), maxConnectTimeout)
	}
	return initialConnectTimeout
}

// noteConnected records the time that a connect took and that the runner's machine is reachable.
func (r *runner) noteConnected(took time.Duration) {
	r.suspectUntil = 0
	r.lastDataAt = r.pool.proxy.now()
	r.slowestConnect = max(took, time.Duration(float64(r.slowestConnect)*connectTimeDecay), 1)
	r.pool.slowestConnect = max(took, time.Duration(float64(r.pool.slowestConnect)*connectTimeDecay), 1)
}
