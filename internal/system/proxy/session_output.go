package proxy

import (
	"errors"
	"strconv"
	"time"

	"cinderroad/internal/shared/httpwire"
)

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

// pendingWrite gathers what one session is to be sent within an event, so that it goes out in one call of the system.
type pendingWrite struct {
	session *session
	bytes   []byte
	flush   func()
}

// flushPending sends what has been gathered.
func (p *Proxy) flushPending() {
	s := p.pending.session
	if s == nil {
		return
	}
	p.pending.session = nil
	s.socket.Write(p.pending.bytes)
	if cap(p.pending.bytes) > maxPendingSpareBytes {
		p.pending.bytes = nil
	}
	p.pending.bytes = p.pending.bytes[:0]
	s.applyBackpressure()
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
