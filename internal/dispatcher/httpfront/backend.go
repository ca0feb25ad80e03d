package httpfront

import (
	"errors"
	"math"
	"net/netip"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/loadbalancer"
)

// backend is one runner. It implements dispatch.Backend.
type backend struct {
	pool        *Pool
	uid         string
	address     netip.AddrPort
	idle        []*connection // in the order in which they became idle
	staleness   staleness
	incarnation uint64 // grows when the runner is restarted: connections to an earlier one are not reused
}

func (b *backend) closeIdle() {
	for len(b.idle) > 0 {
		b.idle[0].close()
	}
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
		// The callbacks of two attempts at one call on one backend could not be told apart.
		p.dispatcher.HandleOutcome(spec.ID, dispatch.Outcome{Result: loadbalancer.Withdrawn})
		return
	}
	p.byCallback[a.key] = a
	p.byID[a.id] = a
	b.do(&exchange{attempt: a})
}

// Cancel implements dispatch.Backend. An attempt whose answer is due loses its connection; one that the backend has
// accepted is cancelled by a request of its own.
func (b *backend) Cancel(id dispatch.AttemptID) bool {
	a := b.pool.byID[id]
	if a == nil {
		return true // it has ended, and the dispatcher has not handled its outcome yet: the safe answer
	}
	connection, written := a.connection, a.written()
	b.pool.forget(a)
	if connection == nil {
		b.do(&exchange{cancelID: a.call.ID})
		return true
	}
	connection.close()
	return written
}

// ResetConnections implements dispatch.Backend.
func (b *backend) ResetConnections() {
	b.incarnation++
	b.closeIdle()
}

// Probe implements dispatch.Backend.
func (b *backend) Probe(done func(loadbalancer.Result, []float32)) { b.do(&exchange{probeDone: done}) }

// exchange is one request to a backend and its answer. One of the fields is set.
type exchange struct {
	attempt   *attempt
	cancelID  string // of the call to cancel
	probeDone func(loadbalancer.Result, []float32)
}

// do sends an exchange over the connection that became idle last, or over a new one. Idle ones that are found dead, or are
// probably dead after that idle time, are closed on the way.
func (b *backend) do(exchange *exchange) {
	for len(b.idle) > 0 {
		connection := b.idle[len(b.idle)-1]
		now := b.pool.loop.Now()
		if !connection.conn.Alive() || b.staleness.exceeded(now, now-connection.idleSince) { // a request written to it might be lost
			connection.close()
			continue
		}
		b.idle = b.idle[:len(b.idle)-1]
		connection.timeout.Stop()
		// At least the smallest number above 0, which would mean that the connection is new.
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
