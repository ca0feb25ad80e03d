package proxy

import (
	"errors"
	"strconv"
	"time"

	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/httpwire"
)

const (
	maxPipelinedBytes = 16 << 10               // bytes that a client may send ahead of its turn
	writeHighWater    = 32 << 10               // unsent bytes at which the runner is held back
	keepAliveLead     = time.Second            // a client is told to let go so much before it would be closed
	defaultRetryAfter = 200 * time.Millisecond // after which a refused client may come back, if nothing better is known
	startupRetryAfter = time.Second            // the same, of a proxy without a configuration: clients retry seldom
)

// session is a connection of a client. It carries one exchange at a time; requests that a client sends ahead wait.
type session struct {
	proxy              *Proxy
	socket             *eventloop.Conn
	exchange           *exchange // nil between requests
	closeAfterResponse bool      // closes after the answer at hand
	headStarted        bool      // bytes of the next request have come
	requestCount       int       // heads of requests that it has carried
	acceptedAt         time.Duration
	nextStarted        bool          // bytes of a request have come whose head was not read
	nextStartedAt      time.Duration // when the first of them came: the client's time runs at least from then
	lastDataAt         time.Duration // when bytes last came
	timer              *eventloop.Timer

	previous, next *session // in the list of sessions, of which the one that rests longest is first
}

// accept owns a new connection.
func (p *Proxy) accept(conn *eventloop.Conn) eventloop.Handler {
	s := &session{proxy: p, socket: conn, acceptedAt: p.now()}
	p.sessions.add(s)
	s.awaitNextRequest()
	return s
}

// Opened implements transport.Handler.
func (s *session) Opened(*eventloop.Conn) {}

// Data implements transport.Handler.
func (s *session) Data(conn *eventloop.Conn) {
	s.lastDataAt = s.proxy.now()
	if s.exchange == nil || s.exchange.state != exchangeReceiving {
		s.noteNextRequest()
	}
	if s.exchange != nil && s.exchange.state != exchangeReceiving {
		if len(conn.Bytes()) > maxPipelinedBytes {
			conn.SetPaused(true)
		}
		return
	}
	s.processInput()
}

// noteNextRequest notes when the next request began to come, if some of it has.
func (s *session) noteNextRequest() {
	if !s.nextStarted && len(s.socket.Bytes()) > 0 {
		s.nextStarted, s.nextStartedAt = true, s.lastDataAt
	}
}

// Drained implements transport.Drainer: the client has taken all.
func (s *session) Drained(*eventloop.Conn) {
	if s.exchange != nil {
		s.exchange.setStalled(false)
	}
}

// Closed implements transport.Handler: the client has gone.
func (s *session) Closed(*eventloop.Conn, error) {
	x := s.exchange
	s.detach()
	if x != nil {
		x.handleClientGone()
	}
}

// detach forgets the session; its connection is closed by the caller.
func (s *session) detach() {
	s.timer.Stop()
	s.exchange = nil
	if s.proxy.pending.session == s {
		s.proxy.pending.session = nil
		s.proxy.pending.bytes = s.proxy.pending.bytes[:0]
	}
	s.proxy.sessions.remove(s)
	s.proxy.exitWhenDrained()
}

// close closes the session without a word.
func (s *session) close() {
	s.detach()
	s.socket.Close()
}

// setTimeout does something when the client has not gone on in time.
func (s *session) setTimeout(after time.Duration, do func()) {
	s.timer.Stop()
	s.timer = s.proxy.runAt(s.proxy.now()+after, do)
}

// awaitNextRequest waits for the next request.
func (s *session) awaitNextRequest() {
	s.headStarted = false
	s.proxy.sessions.moveToBack(s)
	s.setTimeout(s.proxy.limits.IdleTimeout, s.handleIdleTimeout)
}

// handleIdleTimeout closes a session that rests, unless a request has come that was not read yet. One whose client has not taken
// its answer in all this time is given up.
func (s *session) handleIdleTimeout() {
	switch {
	case s.exchange == nil && s.socket.Unsent() > 0:
		s.detach()
		s.socket.Reset()
	case s.isIdle() && s.socket.Alive():
		s.close()
	}
}

// isIdle says whether nothing of a request or of an answer is under way, as far as has been read.
func (s *session) isIdle() bool {
	return s.exchange == nil && len(s.socket.Bytes()) == 0 && s.socket.Unsent() == 0 && s.proxy.pending.session != s
}

// processInput takes what has come of the next request.
func (s *session) processInput() {
	for s.socket.Open() {
		switch x := s.exchange; {
		case x != nil && x.state != exchangeReceiving:
			return
		case x != nil:
			if !s.readBody(x) {
				return
			}
		case !s.readHead():
			return
		}
	}
}

// readHead takes the head of a request; false when it waits, or the session has ended.
func (s *session) readHead() bool {
	s.socket.SetPaused(false)
	if len(s.socket.Bytes()) == 0 {
		return false
	}
	head, n, err := httpwire.ParseRequestHead(s.socket.Bytes(), s.proxy.limits.MaxHeaderBytes)
	if errors.Is(err, httpwire.ErrIncomplete) {
		s.limitHeadWait()
		return false
	}
	if err != nil {
		s.reject(err)
		return false
	}
	s.socket.Consume(n)
	s.timer.Stop()
	s.nextStarted, s.closeAfterResponse = false, head.Close || head.Version == "HTTP/1.0"
	s.proxy.countShutdownRequest(s)
	s.requestCount++
	x := newExchange(s, head)
	s.exchange = x
	x.admit()
	return s.exchange != nil || len(s.socket.Bytes()) > 0
}

// limitHeadWait bounds how long a head may take from its first byte.
func (s *session) limitHeadWait() {
	if s.proxy.memoryExhausted() {
		s.rejectWith(503, "no memory to wait for the rest")
		return
	}
	if !s.headStarted {
		s.headStarted = true
		s.setTimeout(s.proxy.limits.HeaderTimeout, func() { s.rejectWith(408, "request not whole in time") })
	}
}

// readBody takes what has come of a body; false when it waits, or the session has ended.
func (s *session) readBody(x *exchange) bool {
	data, n, done, err := x.bodyReader.Next(s.socket.Bytes())
	if err != nil {
		x.finish()
		s.reject(err)
		return false
	}
	x.appendBody(data)
	s.socket.Consume(n)
	switch {
	case len(x.body) > s.proxy.limits.MaxBodyBytes:
		x.finish()
		s.rejectWith(413, "body too large")
		return false
	case done && s.socket.HungUp(): // the client has left, which is told next: nothing is sent for it
		return false
	case done:
		s.timer.Stop()
		s.noteNextRequest()
		x.handleComplete()
		return s.exchange != nil
	case s.proxy.memoryExhausted():
		x.finish()
		s.rejectWith(503, "no memory to wait for the rest")
		return false
	case n > 0 && len(s.socket.Bytes()) > 0:
		return true
	}
	s.setTimeout(s.proxy.limits.IdleTimeout, func() {
		x.finish()
		s.rejectWith(408, "request not whole in time")
	})
	return false
}

// skipBody drops what has come of a body; true when that was all of it.
func (s *session) skipBody(x *exchange) bool {
	for {
		_, n, done, err := x.bodyReader.Next(s.socket.Bytes())
		if err != nil || n == 0 && !done {
			return false
		}
		s.socket.Consume(n)
		if done {
			s.noteNextRequest()
			return true
		}
	}
}

// sendContinue invites the client to send the body, if it waits for that.
func (s *session) sendContinue(x *exchange) {
	if x.head.ExpectsContinue && len(s.socket.Bytes()) == 0 {
		s.socket.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// reject answers what is no request and closes.
func (s *session) reject(err error) {
	status, reason := 400, "malformed request"
	var syntax *httpwire.SyntaxError
	if errors.As(err, &syntax) {
		status, reason = syntax.Status, syntax.Reason
	}
	s.rejectWith(status, reason)
}

func (s *session) rejectWith(status int, reason string) {
	s.closeAfterResponse = true
	a := localResponse{status: status, body: reason}
	if status == 503 || status == 408 {
		a.retryAfter = defaultRetryAfter
	}
	s.respond(a)
}

// localResponse is an answer of the proxy itself.
type localResponse struct {
	status     int
	tryID      string
	retryAfter time.Duration // 0: not told
	body       string
	noBody     bool // of a request with HEAD
}

// respond writes an answer of the proxy itself, which ends the request.
func (s *session) respond(response localResponse) {
	s.exchange = nil
	s.closeAfterResponse = s.closeAfterResponse || s.proxy.shutdown.active
	b := httpwire.AppendStatusLine(s.proxy.scratch[:0], response.status, httpwire.ReasonPhrase(response.status))
	if response.tryID != "" {
		b = httpwire.AppendField(b, "X-Try-Id", response.tryID)
	}
	if response.retryAfter > 0 {
		b = httpwire.AppendField(b, "Retry-After", strconv.FormatFloat(response.retryAfter.Seconds(), 'f', 3, 64))
	}
	body := ""
	if response.body != "" {
		body = response.body + "\n"
		b = httpwire.AppendField(b, "Content-Type", "text/plain")
	}
	b = httpwire.AppendIntField(b, "Content-Length", int64(len(body)))
	b = s.appendConnection(b)
	b = append(b, "\r\n"...)
	if !response.noBody {
		b = append(b, body...)
	}
	s.proxy.scratch = b
	s.write(b)
	s.finishResponse()
}

// appendConnection tells the client how long the connection stays, and ends the head.
func (s *session) appendConnection(b []byte) []byte {
	if s.closeAfterResponse {
		return httpwire.AppendField(b, "Connection", "close")
	}
	if rest := (s.proxy.limits.IdleTimeout - keepAliveLead) / time.Second; rest > 0 {
		b = append(b, "Keep-Alive: timeout="...)
		b = strconv.AppendInt(b, int64(rest), 10)
		b = append(b, "\r\n"...)
	}
	return b
}

// write gathers bytes for the client; they go out when the event at hand is over.
func (s *session) write(b []byte) {
	pending := &s.proxy.pending
	if pending.session != s {
		s.proxy.flushPending()
		pending.session = s
		s.proxy.loop.Defer(pending.flush)
	}
	if pending.bytes = append(pending.bytes, b...); len(pending.bytes) > pendingFlushBytes {
		s.proxy.flushPending()
	}
}

// applyBackpressure looks whether the client takes what it is sent.
func (s *session) applyBackpressure() {
	if s.exchange != nil && s.socket.Unsent() > writeHighWater {
		s.exchange.setStalled(true)
	}
}

// finishResponse ends the request at hand: its answer is whole.
func (s *session) finishResponse() {
	s.exchange = nil
	if s.closeAfterResponse {
		s.proxy.flushPending()
		s.detach()
		s.socket.CloseAfterFlush()
		return
	}
	s.awaitNextRequest()
	if len(s.socket.Bytes()) > 0 || !s.socket.Open() {
		s.proxy.loop.Defer(s.resumeInput)
		return
	}
	s.socket.SetPaused(false)
}

// resumeInput takes a request that was sent ahead.
func (s *session) resumeInput() {
	if s.socket.Open() && s.exchange == nil {
		s.processInput()
	}
}

// abort ends an answer that cannot be completed; it must not look complete. framed says that its length shows this.
func (s *session) abort(framed bool) {
	s.proxy.flushPending()
	s.detach()
	if framed {
		s.socket.CloseAfterFlush()
		return
	}
	s.socket.Reset()
}
