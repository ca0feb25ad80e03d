package proxy

import (
	"errors"

	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/httpwire"
)

// Data implements eventloop.Handler.
func (c *runnerConn) Data(conn *eventloop.Conn) {
	c.dataSinceCheck = true
	c.responseStarted = true
	c.runner.lastDataAt = c.runner.pool.proxy.now()
	for c.state != connClosed {
		if !c.advance(conn) {
			return
		}
	}
}

// advance processes the next part of the received bytes; false if it needs more.
func (c *runnerConn) advance(conn *eventloop.Conn) bool {
	switch c.state {
	case connAwaitingHead:
		return c.readHead(conn)
	case connReadingBody, connSkippingBody:
		return c.readBody(conn)
	}
	c.failProtocol(errUnexpectedBytes)
	return false
}

// readHead processes the head of a response.
func (c *runnerConn) readHead(conn *eventloop.Conn) bool {
	if len(conn.Bytes()) == 0 {
		return false
	}
	head, n, err := httpwire.ParseResponseHead(conn.Bytes(), c.method, maxResponseHeadBytes)
	if errors.Is(err, httpwire.ErrIncomplete) {
		return false
	}
	if err != nil {
		c.failProtocol(err)
		return false
	}
	conn.Consume(n)
	c.bodyReader.Reset(head.Body)
	c.framing = head.Body.Kind
	c.closeAfterResponse = c.closeAfterResponse || head.Close || !c.requestSent()
	c.advertisedIdle = advertisedIdleTimeout(head.Header)
	switch {
	case c.matchesCurrent(&head):
	case c.matchesPrevious(&head):
		c.transition(connSkippingBody)
		c.skippedPrevious = true
		c.closeAfterResponse = true
		return true
	default:
		c.failProtocol(errMismatchedResponse)
		return false
	}
	c.transition(connReadingBody)
	if attempt := c.attempt; attempt != nil {
		attempt.handleHead(&head)
	}
	if c.state == connReadingBody && c.attempt == nil {
		c.discardResponse()
	}
	return c.state != connClosed
}

// matchesCurrent reports whether a response belongs to the current request, which its id shows. A response that only
// says that nothing was executed may lack the id on a connection that carried no request before: it can belong to no
// other.
func (c *runnerConn) matchesCurrent(head *httpwire.ResponseHead) bool {
	id, once := head.Header.GetUnique(headerTryID)
	if id != "" {
		return once && id == c.tryID
	}
	return c.previousTryID == "" && classify(head).provesNotRun()
}

// matchesPrevious reports whether a response is an extra one to the previous request of this connection. It may be
// discarded because the response to the current request follows.
func (c *runnerConn) matchesPrevious(head *httpwire.ResponseHead) bool {
	id, once := head.Header.GetUnique(headerTryID)
	return once && !c.skippedPrevious && id != "" && id == c.previousTryID && head.Body.Kind != httpwire.UntilClose
}

// readBody processes a part of the body.
func (c *runnerConn) readBody(conn *eventloop.Conn) bool {
	data, n, done, err := c.bodyReader.Next(conn.Bytes())
	if err != nil {
		c.failProtocol(err)
		return false
	}
	if a := c.attempt; a != nil && c.state == connReadingBody {
		a.relayBody(data)
	}
	conn.Consume(n)
	switch {
	case done && c.state == connSkippingBody:
		c.transition(connAwaitingHead)
		return true
	case done:
		c.finishResponse(conn)
		return false
	}
	return n > 0 && len(conn.Bytes()) > 0
}

// finishResponse makes the connection idle or closes it, and completes the attempt.
func (c *runnerConn) finishResponse(conn *eventloop.Conn) {
	a := c.attempt
	c.attempt = nil
	if a != nil {
		a.conn = nil
	}
	c.timer.Stop()
	c.watchdog.Stop()
	switch {
	case len(conn.Bytes()) > 0:
		c.runner.pool.proxy.Counters.InvalidResponses++
		c.close()
	case c.closeAfterResponse:
		c.close()
	default:
		c.makeIdle()
	}
	if a != nil {
		a.complete()
	}
}

// discardResponse reads the rest of a response that nobody waits for, so that the connection can be reused.
func (c *runnerConn) discardResponse() {
	if c.closeAfterResponse || c.framing == httpwire.UntilClose {
		c.close()
		return
	}
	p := c.runner.pool.proxy
	c.socket.SetStalled(false)
	c.timer.Stop()
	c.timer = p.runAt(p.now()+discardTimeout, func() { c.fail(errDiscardTimeout) })
}
