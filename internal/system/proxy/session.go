package proxy

import (
	"time"

	"cinderroad/internal/shared/eventloop"
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
