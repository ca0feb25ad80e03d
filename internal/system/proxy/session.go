package proxy

import (
	"errors"
	"strconv"
	"time"

	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/httpwire"
)

const (
	mostAhead     = 16 << 10               // bytes that a client may send ahead of its turn
	highWater     = 32 << 10               // unsent bytes at which the runner is held back
	keepAliveLead = time.Second            // a client is told to let go so much before it would be closed
	refusalPause  = 200 * time.Millisecond // after which a refused client may come back, if nothing better is known
	startPause    = time.Second            // the same, of a proxy without a configuration: clients retry seldom
)

// session is a connection of a client. It carries one exchange at a time; requests that a client sends ahead wait.
type session struct {
	proxy    *Proxy
	conn     *eventloop.Conn
	exchange *exchange // nil between requests
	last     bool      // closes after the answer at hand
	began    bool      // bytes of the next request have come
	requests int       // heads of requests that it has carried
	entered  time.Duration
	coming   bool          // bytes of a request have come whose head was not read
	comingAt time.Duration // when the first of them came: the client's time runs at least from then
	heardAt  time.Duration // when bytes last came
	timeout  *eventloop.Timer

	previous, next *session // in the list of sessions, of which the one that rests longest is first
}

// accept owns a new connection.
func (p *Proxy) accept(c *eventloop.Conn) eventloop.Handler {
	s := &session{proxy: p, conn: c, entered: p.now()}
	p.sessions.add(s)
	s.rest()
	return s
}

// Opened implements transport.Handler.
func (s *session) Opened(*eventloop.Conn) {}

// Data implements transport.Handler.
func (s *session) Data(c *eventloop.Conn) {
	s.heardAt = s.proxy.now()
	if s.exchange == nil || s.exchange.state != receiving {
		s.noteComing()
	}
	if s.exchange != nil && s.exchange.state != receiving {
		if len(c.Bytes()) > mostAhead {
			c.SetPaused(true)
		}
		return
	}
	s.read()
}

// noteComing notes when the next request began to come, if some of it has.
func (s *session) noteComing() {
	if !s.coming && len(s.conn.Bytes()) > 0 {
		s.coming, s.comingAt = true, s.heardAt
	}
}

// Drained implements transport.Drainer: the client has taken all.
func (s *session) Drained(*eventloop.Conn) {
	if s.exchange != nil {
		s.exchange.stall(false)
	}
}

// Closed implements transport.Handler: the client has gone.
func (s *session) Closed(*eventloop.Conn, error) {
	x := s.exchange
	s.leave()
	if x != nil {
		x.clientGone()
	}
}

// leave forgets the session; its connection is closed by the caller.
func (s *session) leave() {
	s.timeout.Stop()
	s.exchange = nil
	if s.proxy.pending.session == s {
		s.proxy.pending.session = nil
		s.proxy.pending.bytes = s.proxy.pending.bytes[:0]
	}
	s.proxy.sessions.remove(s)
	s.proxy.endWhenDone()
}

// end closes the session without a word.
func (s *session) end() {
	s.leave()
	s.conn.Close()
}

// expect does something when the client has not gone on in time.
func (s *session) expect(after time.Duration, do func()) {
	s.timeout.Stop()
	s.timeout = s.proxy.at(s.proxy.now()+after, do)
}

// rest waits for the next request.
func (s *session) rest() {
	s.began = false
	s.proxy.sessions.touch(s)
	s.expect(s.proxy.limits.IdleTimeout, s.endIdle)
}

// endIdle closes a session that rests, unless a request has come that was not read yet. One whose client has not taken
// its answer in all this time is given up.
func (s *session) endIdle() {
	switch {
	case s.exchange == nil && s.conn.Unsent() > 0:
		s.leave()
		s.conn.Reset()
	case s.idle() && s.conn.Alive():
		s.end()
	}
}

// idle says whether nothing of a request or of an answer is under way, as far as has been read.
func (s *session) idle() bool {
	return s.exchange == nil && len(s.conn.Bytes()) == 0 && s.conn.Unsent() == 0 && s.proxy.pending.session != s
}

// read takes what has come of the next request.
func (s *session) read() {
	for s.conn.Open() {
		switch x := s.exchange; {
		case x != nil && x.state != receiving:
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
	s.conn.SetPaused(false)
	if len(s.conn.Bytes()) == 0 {
		return false
	}
	head, n, err := httpwire.ParseRequestHead(s.conn.Bytes(), s.proxy.limits.MaxHeaderBytes)
	if errors.Is(err, httpwire.ErrIncomplete) {
		s.awaitHead()
		return false
	}
	if err != nil {
		s.reject(err)
		return false
	}
	s.conn.Consume(n)
	s.timeout.Stop()
	s.coming, s.last = false, head.Close || head.Version == "HTTP/1.0"
	s.proxy.noteWhileStopping(s)
	s.requests++
	x := newExchange(s, head)
	s.exchange = x
	x.admit()
	return s.exchange != nil || len(s.conn.Bytes()) > 0
}

// awaitHead bounds how long a head may take from its first byte.
func (s *session) awaitHead() {
	if s.proxy.crowded() {
		s.rejectWith(503, "no memory to wait for the rest")
		return
	}
	if !s.began {
		s.began = true
		s.expect(s.proxy.limits.HeaderTimeout, func() { s.rejectWith(408, "request not whole in time") })
	}
}

// readBody takes what has come of a body; false when it waits, or the session has ended.
func (s *session) readBody(x *exchange) bool {
	data, n, done, err := x.reader.Next(s.conn.Bytes())
	if err != nil {
		x.finish()
		s.reject(err)
		return false
	}
	x.take(data)
	s.conn.Consume(n)
	switch {
	case len(x.body) > s.proxy.limits.MaxBodyBytes:
		x.finish()
		s.rejectWith(413, "body too large")
		return false
	case done && s.conn.HungUp(): // the client has left, which is told next: nothing is sent for it
		return false
	case done:
		s.timeout.Stop()
		s.noteComing()
		x.received()
		return s.exchange != nil
	case s.proxy.crowded():
		x.finish()
		s.rejectWith(503, "no memory to wait for the rest")
		return false
	case n > 0 && len(s.conn.Bytes()) > 0:
		return true
	}
	s.expect(s.proxy.limits.IdleTimeout, func() {
		x.finish()
		s.rejectWith(408, "request not whole in time")
	})
	return false
}

// skipBody drops what has come of a body; true when that was all of it.
func (s *session) skipBody(x *exchange) bool {
	for {
		_, n, done, err := x.reader.Next(s.conn.Bytes())
		if err != nil || n == 0 && !done {
			return false
		}
		s.conn.Consume(n)
		if done {
			s.noteComing()
			return true
		}
	}
}

// awaitsBody invites the client to send the body, if it waits for that.
func (s *session) awaitsBody(x *exchange) {
	if x.head.ExpectsContinue && len(s.conn.Bytes()) == 0 {
		s.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
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
	s.last = true
	a := ownAnswer{status: status, body: reason}
	if status == 503 || status == 408 {
		a.retryAfter = refusalPause
	}
	s.reply(a)
}

// ownAnswer is an answer of the proxy itself.
type ownAnswer struct {
	status     int
	tryID      string
	retryAfter time.Duration // 0: not told
	body       string
	noBody     bool // of a request with HEAD
}

// reply writes an answer of the proxy itself, which ends the request.
func (s *session) reply(a ownAnswer) {
	s.exchange = nil
	s.last = s.last || s.proxy.stopping.on
	b := httpwire.AppendStatusLine(s.proxy.scratch[:0], a.status, httpwire.ReasonPhrase(a.status))
	if a.tryID != "" {
		b = httpwire.AppendField(b, "X-Try-Id", a.tryID)
	}
	if a.retryAfter > 0 {
		b = httpwire.AppendField(b, "Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	body := ""
	if a.body != "" {
		body = a.body + "\n"
		b = httpwire.AppendField(b, "Content-Type", "text/plain")
	}
	b = httpwire.AppendIntField(b, "Content-Length", int64(len(body)))
	b = s.appendConnection(b)
	b = append(b, "\r\n"...)
	if !a.noBody {
		b = append(b, body...)
	}
	s.proxy.scratch = b
	s.write(b)
	s.answered()
}

// appendConnection tells the client how long the connection stays, and ends the head.
func (s *session) appendConnection(b []byte) []byte {
	if s.last {
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
	if pending.bytes = append(pending.bytes, b...); len(pending.bytes) > pendingFlush {
		s.proxy.flushPending()
	}
}

// sent looks whether the client takes what it is sent.
func (s *session) sent() {
	if s.exchange != nil && s.conn.Unsent() > highWater {
		s.exchange.stall(true)
	}
}

// answered ends the request at hand: its answer is whole.
func (s *session) answered() {
	s.exchange = nil
	if s.last {
		s.proxy.flushPending()
		s.leave()
		s.conn.CloseAfterFlush()
		return
	}
	s.rest()
	if len(s.conn.Bytes()) > 0 || !s.conn.Open() {
		s.proxy.loop.Defer(s.readOn)
		return
	}
	s.conn.SetPaused(false)
}

// readOn takes a request that was sent ahead.
func (s *session) readOn() {
	if s.conn.Open() && s.exchange == nil {
		s.read()
	}
}

// abort ends an answer that cannot be completed; it must not look complete. framed says that its length shows this.
func (s *session) abort(framed bool) {
	s.proxy.flushPending()
	s.leave()
	if framed {
		s.conn.CloseAfterFlush()
		return
	}
	s.conn.Reset()
}
