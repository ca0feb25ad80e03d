package proxy

import (
	"errors"

	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/httpwire"
)

// Data implements eventloop.Handler.
func (l *runnerConn) Data(conn *eventloop.Conn) {
	l.dataSinceCheck, l.responseStarted = true, true
	l.runner.lastDataAt = l.runner.pool.proxy.now()
	for l.state != connClosed {
		if !l.advance(conn) {
			return
		}
	}
}

// advance processes the next part of the received bytes; false if it needs more.
func (l *runnerConn) advance(conn *eventloop.Conn) bool {
	switch l.state {
	case connAwaitingHead:
		return l.readHead(conn)
	case connReadingBody, connSkippingBody:
		return l.readBody(conn)
	}
	l.failProtocol(errUnexpectedBytes)
	return false
}

// readHead processes the head of a response.
func (l *runnerConn) readHead(conn *eventloop.Conn) bool {
	if len(conn.Bytes()) == 0 {
		return false
	}
	head, n, err := httpwire.ParseResponseHead(conn.Bytes(), l.method, maxResponseHeadBytes)
	if errors.Is(err, httpwire.ErrIncomplete) {
		return false
	}
	if err != nil {
		l.failProtocol(err)
		return false
	}
	conn.Consume(n)
	l.bodyReader.Reset(head.Body)
	l.framing = head.Body.Kind
	l.closeAfterResponse = l.closeAfterResponse || head.Close || !l.requestSent()
	l.advertisedIdle = advertisedIdleTimeout(head.Header)
	switch {
	case l.matchesCurrent(&head):
	case l.matchesPrevious(&head):
		l.transition(connSkippingBody)
		l.skippedPrevious, l.closeAfterResponse = true, true
		return true
	default:
		l.failProtocol(errMismatchedResponse)
		return false
	}
	l.transition(connReadingBody)
	if a := l.attempt; a != nil {
		a.handleHead(&head)
	}
	if l.state == connReadingBody && l.attempt == nil {
		l.discardResponse()
	}
	return l.state != connClosed
}

// matchesCurrent reports whether a response belongs to the current request, which its id shows. A response that only
// says that nothing was executed may lack the id on a connection that carried no request before: it can belong to no
// other.
func (l *runnerConn) matchesCurrent(head *httpwire.ResponseHead) bool {
	id, once := head.Header.GetUnique(headerTryID)
	if id != "" {
		return once && id == l.tryID
	}
	return l.previousTryID == "" && classify(head).saysNotRun()
}

// matchesPrevious reports whether a response is an extra one to the previous request of this connection. It may be
// discarded because the response to the current request follows.
func (l *runnerConn) matchesPrevious(head *httpwire.ResponseHead) bool {
	id, once := head.Header.GetUnique(headerTryID)
	return once && !l.skippedPrevious && id != "" && id == l.previousTryID && head.Body.Kind != httpwire.UntilClose
}

// readBody processes a part of the body.
func (l *runnerConn) readBody(conn *eventloop.Conn) bool {
	data, n, done, err := l.bodyReader.Next(conn.Bytes())
	if err != nil {
		l.failProtocol(err)
		return false
	}
	if a := l.attempt; a != nil && l.state == connReadingBody {
		a.relayBody(data)
	}
	conn.Consume(n)
	switch {
	case done && l.state == connSkippingBody:
		l.transition(connAwaitingHead)
		return true
	case done:
		l.finishResponse(conn)
		return false
	}
	return n > 0 && len(conn.Bytes()) > 0
}

// finishResponse makes the connection idle or closes it, and completes the attempt.
func (l *runnerConn) finishResponse(conn *eventloop.Conn) {
	a := l.attempt
	l.attempt = nil
	if a != nil {
		a.conn = nil
	}
	l.timer.Stop()
	l.watchdog.Stop()
	switch {
	case len(conn.Bytes()) > 0:
		l.runner.pool.proxy.Counters.InvalidResponses++
		l.close()
	case l.closeAfterResponse:
		l.close()
	default:
		l.makeIdle()
	}
	if a != nil {
		a.complete()
	}
}

// discardResponse reads the rest of a response that nobody waits for, so that the connection can be reused.
func (l *runnerConn) discardResponse() {
	if l.closeAfterResponse || l.framing == httpwire.UntilClose {
		l.close()
		return
	}
	p := l.runner.pool.proxy
	l.socket.SetStalled(false)
	l.timer.Stop()
	l.timer = p.runAt(p.now()+discardTimeout, func() { l.fail(errDiscardTimeout) })
}
