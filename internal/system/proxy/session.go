package proxy

import (
	"time"

	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/system/intrusivelist"
)

const (
	maxPipelinedBytes = 16 << 10               // that a client may pipeline before its turn
	writeHighWater    = 32 << 10               // unsent bytes beyond which reading from the runner is paused
	keepAliveLead     = time.Second            // the advertised keep-alive time is shorter than the real one by this much
	defaultRetryAfter = 200 * time.Millisecond // sent to a rejected client if nothing better is known
	startupRetryAfter = time.Second            // the same while the proxy has no configuration
)

// session is a connection of a client. It processes one exchange at a time; pipelined requests wait.
type session struct {
	proxy                *Proxy
	socket               *eventloop.Conn
	exchange             *exchange // nil between requests
	closeAfterResponse   bool
	headTimerStarted     bool // the header timeout of the next request has been set: a part of its head has arrived
	requestCount         int  // request heads read
	acceptedAt           time.Duration
	nextRequestStarted   bool          // bytes of a request have arrived whose head was not read
	nextRequestStartedAt time.Duration // when the first of them arrived: the client's time runs at least from then
	lastDataAt           time.Duration
	timer                *eventloop.Timer // of the idle time, the head or the body: one at a time, see setTimeout

	links intrusivelist.Links[session] // in the session list
}

// accept creates the session of a new connection.
func (p *Proxy) accept(conn *eventloop.Conn) eventloop.Handler {
	s := &session{proxy: p, socket: conn, acceptedAt: p.now()}
	p.sessions.add(s)
	s.awaitNextRequest()
	return s
}

// Opened implements eventloop.Handler.
func (s *session) Opened(*eventloop.Conn) {}

// Data implements eventloop.Handler.
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

// noteNextRequest records when the first bytes of the next request arrived.
func (s *session) noteNextRequest() {
	if !s.nextRequestStarted && len(s.socket.Bytes()) > 0 {
		s.nextRequestStarted = true
		s.nextRequestStartedAt = s.lastDataAt
	}
}

// Drained implements eventloop.Drainer: the client has read everything.
func (s *session) Drained(*eventloop.Conn) {
	if s.exchange != nil {
		s.exchange.setStalled(false)
	}
}

// Closed implements eventloop.Handler: the client has disconnected.
func (s *session) Closed(*eventloop.Conn, error) {
	x := s.exchange
	s.detach()
	if x != nil {
		x.handleClientDisconnect()
	}
}

// detach removes the session from the proxy; the caller closes its connection.
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

// close closes the session without a response.
func (s *session) close() {
	s.detach()
	s.socket.Close()
}

// setTimeout calls do if the client does not continue in time.
func (s *session) setTimeout(after time.Duration, do func()) {
	s.timer.Stop()
	s.timer = s.proxy.runAt(s.proxy.now()+after, do)
}

// awaitNextRequest makes the session idle until the next request.
func (s *session) awaitNextRequest() {
	s.headTimerStarted = false
	s.proxy.sessions.moveToBack(s)
	s.setTimeout(s.proxy.limits.IdleTimeout, s.handleIdleTimeout)
}

// handleIdleTimeout closes an idle session, unless a request has arrived that was not read yet. A client that has not
// read its response in all this time is disconnected.
func (s *session) handleIdleTimeout() {
	switch {
	case s.exchange == nil && s.socket.Unsent() > 0:
		s.detach()
		s.socket.Reset()
	case s.isIdle() && s.socket.Alive():
		s.close()
	}
}

// isIdle reports whether nothing of a request or response is in progress, as far as has been read.
func (s *session) isIdle() bool {
	return s.exchange == nil && len(s.socket.Bytes()) == 0 && s.socket.Unsent() == 0 && s.proxy.pending.session != s
}

// abort ends a response that cannot be completed and must not look complete. framed means that its framing shows the
// truncation.
func (s *session) abort(framed bool) {
	s.proxy.flushPending()
	s.detach()
	if framed {
		s.socket.CloseAfterFlush()
		return
	}
	s.socket.Reset()
}
