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
		b.idle[0].close()
	}
}

// written says whether the last byte of the request has gone out.
func (a *attempt) written() bool {
	return a.sent || a.connection != nil && a.connection.wroteAny && a.connection.conn.Unsent() == 0
}

// backend is one runner.
type backend struct {
	pool        *Pool
	uid         string
	address     netip.AddrPort
	idle        []*connection // the one used last is at the end
	staleness   staleness
	incarnation uint64 // grows when the runner was restarted: links of an earlier one are not kept
}

// Start implements dispatch.Backend.
func (b *backend) Start(spec dispatch.Attempt) {
	p := b.pool
	call, ok := spec.Payload.(*Call)
	a := &attempt{id: spec.ID, call: call, deadline: spec.Deadline}
	if ok {
		a.key = callbackKey{call.ID, b.uid}
	}
	if !ok || p.byCallback[a.key] != nil {
		// A second fetch of a req on one backend could not be told from the first by its call-backs.
		p.dispatcher.HandleOutcome(spec.ID, dispatch.Outcome{Result: loadbalancer.Withdrawn})
		return
	}
	p.byCallback[a.key], p.byID[a.id] = a, a
	b.do(&exchange{attempt: a})
}

// Cancel implements dispatch.Backend: what is not written is not sent, what waits for its 202 loses its
// connection, what was taken is called off by a request of its own.
func (b *backend) Cancel(id dispatch.AttemptID) bool {
	a := b.pool.byID[id]
	if a == nil {
		return true
	}
	link, written := a.connection, a.written()
	b.pool.forget(a)
	switch {
	case link == nil:
		b.do(&exchange{cancelID: a.call.ID})
	default:
		link.close()
		return written
	}
	return true
}

// ResetConnections implements dispatch.Backend.
func (b *backend) ResetConnections() {
	b.incarnation++
	b.closeIdle()
}

// Probe implements dispatch.Backend.
func (b *backend) Probe(done func(loadbalancer.Result, []float32)) { b.do(&exchange{probeDone: done}) }

// exchange is one request to a backend and its answer.
type exchange struct {
	attempt   *attempt
	cancelID  string
	probeDone func(loadbalancer.Result, []float32)
}

// do sends an exchange over an idle connection or a new one.
func (b *backend) do(exchange *exchange) {
	for len(b.idle) > 0 {
		connection := b.idle[len(b.idle)-1]
		now := b.pool.loop.Now()
		if !connection.conn.Alive() || b.staleness.exceeded(now, now-connection.idleSince) { // a request written to it would be lost
			connection.close()
			continue
		}
		b.idle = b.idle[:len(b.idle)-1]
		connection.timeout.Stop()
		connection.idleTime = math.Max(now-connection.idleSince, math.SmallestNonzeroFloat64)
		connection.send(exchange)
		return
	}
	b.pool.Connects++
	connection := &connection{backend: b, incarnation: b.incarnation, exchange: exchange, busy: true}
	if exchange.attempt != nil {
		exchange.attempt.connection = connection
	}
	connection.conn = b.pool.loop.Connect(b.address, connection)
	connection.timeout = b.pool.loop.At(b.pool.loop.Now()+b.pool.options.ConnectTimeout, func() {
		connection.conn.Close()
		connection.handleLoss(errors.New("connect timed out"))
	})
}
