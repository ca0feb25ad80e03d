package httpfront

import (
	"errors"
	"fmt"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/loadbalancer"
)

// link is a connection to a backend.
type link struct {
	b       *backend
	life    uint64
	conn    *eventloop.Conn
	job     *exchange // what it carries; nil when idle or when nobody waits for the answer any more
	busy    bool
	up      bool
	wrote   bool // bytes of the present request have gone out
	since   float64
	rested  float64 // how long it had rested before the present request; 0 is a new connection
	worn    bool    // was found dead after a rest
	timeout *eventloop.Timer
}

// start writes the request of an exchange.
func (l *link) start(x *exchange) {
	p := l.b.pool
	l.job, l.busy, l.wrote = x, true, false
	var b []byte
	switch a := x.attempt; {
	case a != nil:
		a.link = l
		if result, clear := p.core.ConfirmSend(a.id); !clear { // drained or overdue while the connection came up: no byte of it goes out
			p.end(a, dispatch.Outcome{Result: result})
			l.rest()
			return
		}
		b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget-Ms: %d\r\n",
			a.call.Method, a.call.Target, l.b.addr, a.call.ID, a.call.Class, max(1, int((a.ends-p.loop.Now())*1000)))
		if a.call.IdempotencyKey != "" {
			b = fmt.Appendf(b, "Idempotency-Key: %s\r\n", a.call.IdempotencyKey)
		}
		b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n%s", len(a.call.Body), a.call.Body)
	case x.probe != nil:
		b = fmt.Appendf(b, "GET /_load HTTP/1.1\r\nHost: %s\r\n\r\n", l.b.addr)
		l.limit(p.limits.ProbeTimeout)
	default:
		b = fmt.Appendf(b, "DELETE /jobs/%s HTTP/1.1\r\nHost: %s\r\n\r\n", x.deletes, l.b.addr)
		l.limit(p.limits.ProbeTimeout)
	}
	l.conn.Write(b)
	l.wrote = l.conn.Unsent() < len(b)
	if x.attempt != nil {
		x.attempt.sent = l.conn.Unsent() == 0
		// A machine that was cut off keeps its connections open and silent: a request on one of them is lost for
		// as long as it may take, while a connect that never comes up proves that nothing ran. So once a backend
		// has not even taken a request for this long, the next must connect anew.
		l.timeout.Stop()
		l.timeout = p.loop.At(p.loop.Now()+p.limits.ConnectTimeout, l.b.closeIdle)
	}
}

func (l *link) limit(s float64) {
	l.timeout.Stop()
	l.timeout = l.b.pool.loop.At(l.b.pool.loop.Now()+s, func() {
		l.conn.Close()
		l.lost(errors.New("timed out"))
	})
}

// rest makes the link idle for the next exchange.
func (l *link) rest() {
	l.job, l.busy = nil, false
	l.timeout.Stop()
	if l.b.pool.dropping || l.conn.Unsent() > 0 || l.life != l.b.life {
		l.conn.Close()
		return
	}
	l.since = l.b.pool.loop.Now()
	l.b.idle = append(l.b.idle, l)
	// The backend closes at IdleTimeout at the latest, and a request that crosses the close is lost: be first.
	l.timeout = l.b.pool.loop.At(l.since+0.8*l.b.pool.limits.IdleTimeout, l.end)
}

// end closes the link from our side.
func (l *link) end() {
	l.timeout.Stop()
	l.unlist()
	l.conn.Close()
}

func (l *link) unlist() {
	for i, o := range l.b.idle {
		if o == l {
			l.b.idle = append(l.b.idle[:i], l.b.idle[i+1:]...)
			return
		}
	}
}

// Opened implements eventloop.Handler.
func (l *link) Opened(*eventloop.Conn) {
	l.timeout.Stop()
	l.up = true
	if l.job == nil {
		l.rest()
		return
	}
	l.start(l.job)
}

// Data implements eventloop.Handler.
func (l *link) Data(c *eventloop.Conn) {
	if !l.busy {
		l.end() // an answer that nobody asked for
		return
	}
	l.answer(false)
}

// answer takes the whole answer, if it has come; ended says that no more will.
func (l *link) answer(ended bool) (took bool) {
	r, n, err := ParseResponse(l.conn.Bytes(), ended)
	if errors.Is(err, ErrIncomplete) {
		return false
	}
	if err != nil {
		l.timeout.Stop()
		l.conn.Close()
		l.lost(err)
		return true
	}
	l.conn.Consume(n)
	if l.rested > 0 {
		l.b.wear.saw(l.b.pool.loop.Now(), l.rested, 0)
		l.rested = 0
	}
	x := l.job
	l.job = nil
	if ended || r.Close || len(l.conn.Bytes()) > 0 {
		l.timeout.Stop()
		l.conn.Close()
	} else {
		l.rest()
	}
	switch {
	case x == nil: // given up, or ended by a call-back that came before the answer
	case x.probe != nil:
		result, load := loadbalancer.OK, LoadReport(nil)
		if r.Status != 200 {
			result = loadbalancer.Error
		} else if load = ParseLoadReport(string(r.Body)); load == nil {
			load = ParseLoadReport(r.Header.Get("X-Load-Report"))
		}
		x.probe(result, load.Values(l.b.pool.limits.ReportFields))
	case x.attempt != nil:
		l.b.pool.replied(x.attempt, &r)
	}
	return true
}

// Closed implements eventloop.Handler.
func (l *link) Closed(c *eventloop.Conn, err error) {
	l.timeout.Stop()
	l.unlist()
	if l.busy && l.up && len(c.Bytes()) > 0 && l.answer(true) {
		return
	}
	if l.busy && l.rested > 0 && len(c.Bytes()) == 0 {
		// Dead at the request after a rest: the connection's end, not the backend's. Those that have rested
		// longer are as dead.
		l.b.wear.saw(l.b.pool.loop.Now(), l.rested, 1)
		l.b.pool.StaleConnections++
		l.b.closeIdle()
		if x := l.job; x != nil && x.attempt == nil { // harmless to repeat
			l.job, l.busy = nil, false
			l.b.carry(x)
			return
		}
		l.worn = true
	}
	l.lost(err)
}

// lost ends what the link carried. Whether it may have run hinges on its last byte alone: until that was
// written the backend cannot begin, after it a repeat would be a second copy.
func (l *link) lost(err error) {
	l.timeout.Stop()
	x := l.job
	l.job, l.busy = nil, false
	switch {
	case x == nil:
	case x.probe != nil:
		result := loadbalancer.Timeout
		if errors.Is(err, eventloop.ErrNoDescriptor) {
			result = loadbalancer.Withdrawn
		} else if !l.up {
			result = loadbalancer.ConnectFailed
		}
		x.probe(result, nil)
	case x.attempt != nil:
		a := x.attempt
		result := loadbalancer.ConnectFailed
		if a.written() {
			result = loadbalancer.Reset
		} else if errors.Is(err, eventloop.ErrNoDescriptor) {
			result = loadbalancer.Withdrawn // the want is here: it says nothing of the backend
		}
		a.link = nil
		l.b.pool.log.Debug("fetch: connection lost", zap.String("backend", l.b.uid), zap.Error(err))
		l.b.pool.end(a, dispatch.Outcome{Result: result, StaleConnection: l.worn})
	}
}
