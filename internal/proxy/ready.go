package proxy

import (
	"errors"

	"cinderroad/internal/httpwire"
	"cinderroad/internal/transport"
)

const (
	readyPath     = "/-/ready"
	readyHead     = 8 << 10 // bytes
	readyIdleTime = 10      // seconds
	mostReady     = 16      // connections; beyond that the oldest goes
)

// readyList is the connections of those who ask whether the proxy is ready, the oldest first.
type readyList []*readySession

// readySession is a connection of the platform, which asks whether the proxy is ready.
type readySession struct {
	proxy   *Proxy
	conn    *transport.Conn
	timeout *transport.Deadline
}

// listenReady serves readiness apart from clients: a flood of them does not make the proxy look dead.
func (p *Proxy) listenReady() (err error) {
	p.ready, err = p.loop.ListenApart(p.options.Ready, mostReady, p.shedReady, p.acceptReady)
	return err
}

func (p *Proxy) acceptReady(c *transport.Conn) transport.Handler {
	s := &readySession{proxy: p, conn: c}
	p.readiness = append(p.readiness, s)
	s.expect()
	return s
}

// shedReady closes the oldest connection.
func (p *Proxy) shedReady() bool {
	if len(p.readiness) == 0 {
		return false
	}
	p.readiness[0].end()
	return true
}

func (s *readySession) expect() {
	s.timeout.Stop()
	s.timeout = s.proxy.loop.At(s.proxy.loop.Now()+readyIdleTime, s.end)
}

// leave forgets the connection.
func (s *readySession) leave() {
	s.timeout.Stop()
	list := s.proxy.readiness
	for i, o := range list {
		if o == s {
			s.proxy.readiness = append(list[:i], list[i+1:]...)
			return
		}
	}
}

func (s *readySession) end() {
	s.leave()
	s.conn.Close()
}

// Opened implements transport.Handler.
func (s *readySession) Opened(*transport.Conn) {}

// Closed implements transport.Handler.
func (s *readySession) Closed(*transport.Conn, error) { s.leave() }

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
			s.leave()
			c.CloseWhenSent()
			return
		}
		s.expect()
	}
}

// status is the answer to a request.
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
