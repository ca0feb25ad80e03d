package proxy

import (
	"errors"

	"cinderroad/internal/httpwire"
	"cinderroad/internal/transport"
)

const (
	readyPath     = "/-/ready"
	readyHead     = 8 << 10
	readyIdleTime = 10 // seconds
)

// readySession is a connection of the platform, which asks whether the proxy is ready.
type readySession struct {
	proxy   *Proxy
	timeout *transport.Deadline
}

func (p *Proxy) acceptReady(c *transport.Conn) transport.Handler {
	s := &readySession{proxy: p}
	s.expect(c)
	return s
}

func (s *readySession) expect(c *transport.Conn) {
	s.timeout.Stop()
	s.timeout = s.proxy.loop.At(s.proxy.loop.Now()+readyIdleTime, c.Close)
}

// Opened implements transport.Handler.
func (s *readySession) Opened(*transport.Conn) {}

// Closed implements transport.Handler.
func (s *readySession) Closed(*transport.Conn, error) { s.timeout.Stop() }

// Data implements transport.Handler.
func (s *readySession) Data(c *transport.Conn) {
	for len(c.Bytes()) > 0 {
		q, n, err := httpwire.ParseRequestHead(c.Bytes(), readyHead)
		if errors.Is(err, httpwire.ErrMore) {
			return
		}
		status := s.status(&q, err)
		last := err != nil || q.Close || q.Body.Kind != httpwire.NoBody
		b := httpwire.AppendStatusLine(nil, status, httpwire.Reason(status))
		b = httpwire.AppendNumber(b, "Content-Length", 0)
		if last {
			b = httpwire.AppendField(b, "Connection", "close")
		}
		c.Consume(n)
		c.Write(append(b, "\r\n"...))
		if last {
			s.timeout.Stop()
			c.CloseWhenSent()
			return
		}
		s.expect(c)
	}
}

func (s *readySession) status(q *httpwire.RequestHead, err error) int {
	switch {
	case err != nil:
		return 400
	case pathOf(q.Target) != readyPath:
		return 404
	case q.Method != "GET" && q.Method != "HEAD":
		return 405
	case !s.proxy.Ready():
		return 503
	}
	return 200
}
