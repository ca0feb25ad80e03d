package proxy

import (
	"errors"
	"net/netip"
	"slices"

	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/httpwire"
	"cinderroad/internal/system/exposition"
)

const (
	readyPath          = "/-/ready"
	monitorHead        = 8 << 10 // bytes
	monitorIdleTime    = 10      // seconds
	mostMonitorClients = 16      // connections of one endpoint; beyond that the oldest goes
)

// monitorAnswer is what an endpoint answers to a GET of its path.
type monitorAnswer struct {
	status      int
	contentType string // empty: there is no body
	body        []byte
}

// monitorEndpoint is an address at which monitoring asks about the process, apart from clients: a flood of them does not
// make the proxy look dead.
type monitorEndpoint struct {
	proxy    *Proxy
	path     string
	answer   func() monitorAnswer
	listener *eventloop.Listener
	sessions []*monitorSession // the oldest first
}

// monitorSession is a connection to an endpoint.
type monitorSession struct {
	endpoint *monitorEndpoint
	conn     *eventloop.Conn
	timeout  *eventloop.Timer
}

// listenMonitor serves an endpoint; the zero address is not served.
func (p *Proxy) listenMonitor(address netip.AddrPort, path string, answer func() monitorAnswer) (*monitorEndpoint, error) {
	if !address.IsValid() {
		return nil, nil
	}
	e := &monitorEndpoint{proxy: p, path: path, answer: answer}
	var err error
	if e.listener, err = p.loop.ListenReserved(address, mostMonitorClients, e.shed, e.accept); err != nil {
		return nil, err
	}
	return e, nil
}

// readiness is the answer to the platform, which asks whether clients should be sent here.
func (p *Proxy) readiness() monitorAnswer {
	if p.Ready() {
		return monitorAnswer{status: 200}
	}
	return monitorAnswer{status: 503}
}

// metrics is the page of the process's own figures.
func (p *Proxy) metrics() monitorAnswer {
	var page exposition.Page
	p.expose(&page)
	return monitorAnswer{status: 200, contentType: exposition.ContentType, body: page.Bytes()}
}

func (e *monitorEndpoint) accept(c *eventloop.Conn) eventloop.Handler {
	s := &monitorSession{endpoint: e, conn: c}
	e.sessions = append(e.sessions, s)
	s.expect()
	return s
}

// shed closes the oldest connection.
func (e *monitorEndpoint) shed() bool {
	if len(e.sessions) == 0 {
		return false
	}
	e.sessions[0].end()
	return true
}

func (s *monitorSession) expect() {
	loop := s.endpoint.proxy.loop
	s.timeout.Stop()
	s.timeout = loop.At(loop.Now()+monitorIdleTime, s.end)
}

// leave forgets the connection.
func (s *monitorSession) leave() {
	s.timeout.Stop()
	s.endpoint.sessions = slices.DeleteFunc(s.endpoint.sessions, func(o *monitorSession) bool { return o == s })
}

func (s *monitorSession) end() {
	s.leave()
	s.conn.Close()
}

// Opened implements transport.Handler.
func (s *monitorSession) Opened(*eventloop.Conn) {}

// Closed implements transport.Handler.
func (s *monitorSession) Closed(*eventloop.Conn, error) { s.leave() }

// Data implements transport.Handler.
func (s *monitorSession) Data(c *eventloop.Conn) {
	for len(c.Bytes()) > 0 {
		q, n, err := httpwire.ParseRequestHead(c.Bytes(), monitorHead)
		if errors.Is(err, httpwire.ErrIncomplete) {
			return
		}
		last := err != nil || q.Close || q.Body.Kind != httpwire.NoBody
		text := appendMonitorAnswer(nil, s.answer(&q, err), last, q.Method == "HEAD")
		c.Consume(n)
		c.Write(text)
		if last {
			s.leave()
			c.CloseAfterFlush()
			return
		}
		s.expect()
	}
}

// answer is the answer to a request.
func (s *monitorSession) answer(q *httpwire.RequestHead, err error) monitorAnswer {
	switch {
	case err != nil:
		return monitorAnswer{status: 400}
	case pathOf(q.Target) != s.endpoint.path:
		return monitorAnswer{status: 404}
	case q.Method != "GET" && q.Method != "HEAD":
		return monitorAnswer{status: 405}
	}
	return s.endpoint.answer()
}

// appendMonitorAnswer writes an answer; last says that the connection ends with it.
func appendMonitorAnswer(b []byte, a monitorAnswer, last, noBody bool) []byte {
	b = httpwire.AppendStatusLine(b, a.status, httpwire.ReasonPhrase(a.status))
	if a.contentType != "" {
		b = httpwire.AppendField(b, "Content-Type", a.contentType)
	}
	b = httpwire.AppendIntField(b, "Content-Length", int64(len(a.body)))
	if last {
		b = httpwire.AppendField(b, "Connection", "close")
	}
	b = append(b, "\r\n"...)
	if noBody {
		return b
	}
	return append(b, a.body...)
}
