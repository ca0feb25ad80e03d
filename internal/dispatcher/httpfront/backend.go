package httpfront

import (
	"errors"
	"math"
	"net/netip"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/loadbalancer"
)

func (b *backend) closeIdle() {
	for len(b.idle) > 0 {
		b.idle[0].end()
	}
}

// written says whether the last byte of the request has gone out.
func (a *attempt) written() bool {
	return a.sent || a.link != nil && a.link.wrote && a.link.conn.Unsent() == 0
}

// backend is one runner.
type backend struct {
	pool *Pool
	uid  string
	addr netip.AddrPort
	idle []*link // the one used last is at the end
	wear wear
	life uint64 // grows when the runner was restarted: links of an earlier one are not kept
}

// Start implements dispatch.Backend.
func (b *backend) Start(f dispatch.Attempt) {
	p := b.pool
	call, ok := f.Payload.(*Call)
	a := &attempt{id: f.ID, call: call, ends: f.Deadline}
	if ok {
		a.key = newsKey{call.ID, b.uid}
	}
	if !ok || p.live[a.key] != nil {
		// A second fetch of a req on one backend could not be told from the first by its call-backs.
		p.core.HandleOutcome(f.ID, dispatch.Outcome{Result: loadbalancer.Withdrawn})
		return
	}
	p.live[a.key], p.byFetch[a.id] = a, a
	b.carry(&exchange{attempt: a})
}

// Cancel implements dispatch.Backend: what is not written is not sent, what waits for its 202 loses its
// connection, what was taken is called off by a request of its own.
func (b *backend) Cancel(id dispatch.AttemptID) bool {
	a := b.pool.byFetch[id]
	if a == nil {
		return true
	}
	link, written := a.link, a.written()
	b.pool.forget(a)
	switch {
	case link == nil:
		b.carry(&exchange{deletes: a.call.ID})
	default:
		link.end()
		return written
	}
	return true
}

// ResetConnections implements dispatch.Backend.
func (b *backend) ResetConnections() {
	b.life++
	b.closeIdle()
}

// Probe implements dispatch.Backend.
func (b *backend) Probe(done func(loadbalancer.Result, []float32)) { b.carry(&exchange{probe: done}) }

// exchange is one request to a backend and its answer.
type exchange struct {
	attempt *attempt
	deletes string
	probe   func(loadbalancer.Result, []float32)
}

// carry sends an exchange over an idle connection or a new one.
func (b *backend) carry(x *exchange) {
	for len(b.idle) > 0 {
		l := b.idle[len(b.idle)-1]
		now := b.pool.loop.Now()
		if !l.conn.Alive() || b.wear.out(now, now-l.since) { // a request written to it would be lost
			l.end()
			continue
		}
		b.idle = b.idle[:len(b.idle)-1]
		l.timeout.Stop()
		l.rested = math.Max(now-l.since, math.SmallestNonzeroFloat64)
		l.start(x)
		return
	}
	b.pool.Connects++
	l := &link{b: b, life: b.life, job: x, busy: true}
	if x.attempt != nil {
		x.attempt.link = l
	}
	l.conn = b.pool.loop.Connect(b.addr, l)
	l.timeout = b.pool.loop.At(b.pool.loop.Now()+b.pool.limits.ConnectTimeout, func() {
		l.conn.Close()
		l.lost(errors.New("connect timed out"))
	})
}
