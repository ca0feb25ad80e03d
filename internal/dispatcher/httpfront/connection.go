package httpfront

import (
	"errors"
	"fmt"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/loadbalancer"
)

// connection is a connection to a backend. It implements eventloop.Handler.
type connection struct {
	backend     *backend
	incarnation uint64 // of the backend when it was opened
	conn        *eventloop.Conn
	exchange    *exchange // nil: idle, or nobody waits for the answer any more
	busy        bool      // an answer is due
	connected   bool
	wroteAny    bool // bytes of the present request have been written
	idleSince   float64
	idleTime    float64 // seconds that it was idle before the present request; 0: it is new
	stale       bool    // turned out to be dead after it was idle
	timeout     *eventloop.Timer
}

// send writes the request of an exchange. An attempt that may not be sent any more ends here, and the connection is idle.
func (c *connection) send(exchange *exchange) {
	p := c.backend.pool
	c.exchange = exchange
	c.busy = true
	c.wroteAny = false
	var request []byte
	switch attempt := exchange.attempt; {
	case attempt != nil:
		attempt.connection = c
		result, confirmed := p.dispatcher.ConfirmSend(attempt.id)
		if !confirmed { // the backend drained, or the deadline passed, during the connect
			p.endAttempt(attempt, dispatch.Outcome{Result: result})
			c.release()
			return
		}
		request = c.appendAttempt(request, attempt)
	case exchange.probeDone != nil:
		request = fmt.Appendf(request, "GET /_load HTTP/1.1\r\nHost: %s\r\n\r\n", c.backend.address)
		c.setTimeout(p.options.ProbeTimeout)
	default:
		request = fmt.Appendf(request, "DELETE /jobs/%s HTTP/1.1\r\nHost: %s\r\n\r\n", exchange.cancelID, c.backend.address)
		c.setTimeout(p.options.ProbeTimeout)
	}
	c.conn.Write(request)
	c.wroteAny = c.conn.Unsent() < len(request)
	if exchange.attempt != nil {
		exchange.attempt.sent = c.conn.Unsent() == 0
		// The connections of a partitioned machine stay open and silent: a request on one of them is lost until its
		// deadline, while a failed connect proves that nothing ran. So once a backend has not acknowledged a request for
		// this long, the next one must open a new connection.
		c.timeout.Stop()
		c.timeout = p.loop.At(p.loop.Now()+p.options.ConnectTimeout, c.backend.closeIdle)
	}
}

// appendAttempt appends the request of an attempt to b. The backend gets what is left of the client's budget.
func (c *connection) appendAttempt(b []byte, attempt *attempt) []byte {
	call := attempt.call
	budgetMS := max(1, int((attempt.deadline-c.backend.pool.loop.Now())*1000))
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget-Ms: %d\r\n",
		call.Method, call.Target, c.backend.address, call.ID, call.Class, budgetMS)
	if call.IdempotencyKey != "" {
		b = fmt.Appendf(b, "Idempotency-Key: %s\r\n", call.IdempotencyKey)
	}
	return fmt.Appendf(b, "Content-Length: %d\r\n\r\n%s", len(call.Body), call.Body)
}

// setTimeout closes the connection after a number of seconds.
func (c *connection) setTimeout(seconds float64) {
	c.timeout.Stop()
	c.timeout = c.backend.pool.loop.At(c.backend.pool.loop.Now()+seconds, func() {
		c.conn.Close()
		c.handleLoss(errors.New("timed out"))
	})
}

// idleCloseFraction is the part of the backend's idle timeout after which an idle connection is closed from this side.
const idleCloseFraction = 0.8

// release makes the connection idle for the next exchange.
func (c *connection) release() {
	c.exchange = nil
	c.busy = false
	c.timeout.Stop()
	if c.conn.Unsent() > 0 || c.incarnation != c.backend.incarnation {
		c.conn.Close()
		return
	}
	c.idleSince = c.backend.pool.loop.Now()
	c.backend.idle = append(c.backend.idle, c)
	// The backend closes at IdleTimeout at the latest, and a request that crosses its close is lost: close before.
	c.timeout = c.backend.pool.loop.At(c.idleSince+idleCloseFraction*c.backend.pool.options.IdleTimeout, c.close)
}

// close closes the connection from this side.
func (c *connection) close() {
	c.timeout.Stop()
	c.removeFromIdle()
	c.conn.Close()
}

func (c *connection) removeFromIdle() {
	for i, other := range c.backend.idle {
		if other == c {
			c.backend.idle = append(c.backend.idle[:i], c.backend.idle[i+1:]...)
			return
		}
	}
}

// Opened implements eventloop.Handler.
func (c *connection) Opened(*eventloop.Conn) {
	c.timeout.Stop()
	c.connected = true
	if c.exchange == nil {
		c.release()
		return
	}
	c.send(c.exchange)
}

// Data implements eventloop.Handler.
func (c *connection) Data(conn *eventloop.Conn) {
	if !c.busy {
		c.close() // unsolicited
		return
	}
	c.readResponse(streamOpen)
}

// readResponse handles the answer if it is complete, and reports whether it was. ended is as for ParseResponse.
func (c *connection) readResponse(ended bool) (done bool) {
	response, size, err := ParseResponse(c.conn.Bytes(), ended)
	if errors.Is(err, ErrIncomplete) {
		return false
	}
	if err != nil {
		c.timeout.Stop()
		c.conn.Close()
		c.handleLoss(err)
		return true
	}
	c.conn.Consume(size)
	if c.idleTime > 0 {
		c.backend.staleness.record(c.backend.pool.loop.Now(), c.idleTime, foundAlive)
		c.idleTime = 0
	}
	exchange := c.exchange
	c.exchange = nil
	if ended || response.Close || len(c.conn.Bytes()) > 0 {
		c.timeout.Stop()
		c.conn.Close()
	} else {
		c.release()
	}
	switch {
	case exchange == nil: // cancelled, or ended by a callback that came before the answer
	case exchange.probeDone != nil:
		result := loadbalancer.OK
		load := LoadReport(nil)
		if response.Status != 200 {
			result = loadbalancer.Error
		} else if load = ParseLoadReport(string(response.Body)); load == nil {
			load = ParseLoadReport(response.Header.Get("X-Load-Report"))
		}
		exchange.probeDone(result, load.Values(c.backend.pool.options.ReportFields))
	case exchange.attempt != nil:
		c.backend.pool.handleResponse(exchange.attempt, &response)
	}
	return true
}

// Closed implements eventloop.Handler.
func (c *connection) Closed(conn *eventloop.Conn, err error) {
	c.timeout.Stop()
	c.removeFromIdle()
	if c.busy && c.connected && len(conn.Bytes()) > 0 && c.readResponse(streamEnded) {
		return
	}
	if c.busy && c.idleTime > 0 && len(conn.Bytes()) == 0 {
		// An idle connection died, which is no evidence against the backend. Those that have been idle for longer
		// are dead, too.
		c.backend.staleness.record(c.backend.pool.loop.Now(), c.idleTime, foundDead)
		c.backend.pool.StaleConnections++
		c.backend.closeIdle()
		if exchange := c.exchange; exchange != nil && exchange.attempt == nil { // safe to retry
			c.exchange = nil
			c.busy = false
			c.backend.do(exchange)
			return
		}
		c.stale = true
	}
	c.handleLoss(err)
}

// handleLoss ends the exchange of a lost connection. Whether an attempt may have run depends only on its last byte: until
// that was written the backend cannot start it, after it a retry could run it twice.
func (c *connection) handleLoss(err error) {
	c.timeout.Stop()
	exchange := c.exchange
	c.exchange = nil
	c.busy = false
	switch {
	case exchange == nil:
	case exchange.probeDone != nil:
		result := loadbalancer.Timeout
		if errors.Is(err, eventloop.ErrNoDescriptor) {
			result = loadbalancer.Withdrawn
		} else if !c.connected {
			result = loadbalancer.ConnectFailed
		}
		exchange.probeDone(result, nil)
	case exchange.attempt != nil:
		attempt := exchange.attempt
		result := loadbalancer.ConnectFailed
		if attempt.written() {
			result = loadbalancer.Reset
		} else if errors.Is(err, eventloop.ErrNoDescriptor) {
			result = loadbalancer.Withdrawn // the shortage is local: no evidence against the backend
		}
		attempt.connection = nil
		c.backend.pool.log.Debug("backend: connection lost", zap.String("backend", c.backend.uid), zap.Error(err))
		c.backend.pool.endAttempt(attempt, dispatch.Outcome{Result: result, StaleConnection: c.stale})
	}
}
