package proxy

import (
	"errors"
	"net/http"
	"net/netip"
	"slices"

	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/httpwire"
	"cinderroad/internal/system/exposition"
)

const (
	readyPath           = "/-/ready"
	maxMonitorHeadBytes = 8 << 10
	monitorIdleSeconds  = 10
	maxMonitorConns     = 16 // per endpoint; beyond that the oldest is closed
)

// monitorResponse is an endpoint's response to a GET of its path.
type monitorResponse struct {
	status      int
	contentType string // empty: no body
	body        []byte
}

// monitorEndpoint is a listener for health checks or metrics, separate from the one for clients so that a flood of
// clients does not make the proxy look dead.
type monitorEndpoint struct {
	proxy    *Proxy
	path     string
	respond  func() monitorResponse
	listener *eventloop.Listener
	sessions []*monitorSession // oldest first
}

// monitorSession is a connection to an endpoint.
type monitorSession struct {
	endpoint *monitorEndpoint
	socket   *eventloop.Conn
	timer    *eventloop.Timer
}

// listenMonitor starts an endpoint; the zero address starts none.
func (p *Proxy) listenMonitor(address netip.AddrPort, path string, respond func() monitorResponse) (*monitorEndpoint, error) {
	if !address.IsValid() {
		return nil, nil
	}
	e := &monitorEndpoint{proxy: p, path: path, respond: respond}
	var err error
	if e.listener, err = p.loop.ListenReserved(address, maxMonitorConns, e.closeOldest, e.accept); err != nil {
		return nil, err
	}
	return e, nil
}

// readyResponse answers the platform's readiness check.
func (p *Proxy) readyResponse() monitorResponse {
	if p.Ready() {
		return monitorResponse{status: http.StatusOK}
	}
	return monitorResponse{status: http.StatusServiceUnavailable}
}

// metricsResponse is the page of the process's metrics.
func (p *Proxy) metricsResponse() monitorResponse {
	var page exposition.Page
	p.writeMetrics(&page)
	return monitorResponse{status: http.StatusOK, contentType: exposition.ContentType, body: page.Bytes()}
}

func (e *monitorEndpoint) accept(conn *eventloop.Conn) eventloop.Handler {
	s := &monitorSession{endpoint: e, socket: conn}
	e.sessions = append(e.sessions, s)
	s.resetTimeout()
	return s
}

// closeOldest closes the oldest connection; false if there is none.
func (e *monitorEndpoint) closeOldest() bool {
	if len(e.sessions) == 0 {
		return false
	}
	e.sessions[0].close()
	return true
}

func (s *monitorSession) resetTimeout() {
	loop := s.endpoint.proxy.loop
	s.timer.Stop()
	s.timer = loop.At(loop.Now()+monitorIdleSeconds, s.close)
}

// detach removes the session from its endpoint.
func (s *monitorSession) detach() {
	s.timer.Stop()
	s.endpoint.sessions = slices.DeleteFunc(s.endpoint.sessions, func(other *monitorSession) bool { return other == s })
}

func (s *monitorSession) close() {
	s.detach()
	s.socket.Close()
}

// Opened implements eventloop.Handler.
func (s *monitorSession) Opened(*eventloop.Conn) {}

// Closed implements eventloop.Handler.
func (s *monitorSession) Closed(*eventloop.Conn, error) { s.detach() }

// Data implements eventloop.Handler.
func (s *monitorSession) Data(conn *eventloop.Conn) {
	for len(conn.Bytes()) > 0 {
		request, n, err := httpwire.ParseRequestHead(conn.Bytes(), maxMonitorHeadBytes)
		if errors.Is(err, httpwire.ErrIncomplete) {
			return
		}
		last := err != nil || request.Close || request.Body.Kind != httpwire.NoBody
		text := appendMonitorResponse(nil, s.respond(&request, err), last, request.Method == "HEAD")
		conn.Consume(n)
		conn.Write(text)
		if last {
			s.detach()
			conn.CloseAfterFlush()
			return
		}
		s.resetTimeout()
	}
}

// respond returns the response to a request, or to the parse error of one.
func (s *monitorSession) respond(request *httpwire.RequestHead, err error) monitorResponse {
	switch {
	case err != nil:
		return monitorResponse{status: http.StatusBadRequest}
	case pathOf(request.Target) != s.endpoint.path:
		return monitorResponse{status: http.StatusNotFound}
	case request.Method != "GET" && request.Method != "HEAD":
		return monitorResponse{status: http.StatusMethodNotAllowed}
	}
	return s.endpoint.respond()
}

// appendMonitorResponse encodes a response; last means that the connection is closed after it.
func appendMonitorResponse(b []byte, response monitorResponse, last, noBody bool) []byte {
	b = httpwire.AppendStatusLine(b, response.status, httpwire.ReasonPhrase(response.status))
	if response.contentType != "" {
		b = httpwire.AppendField(b, "Content-Type", response.contentType)
	}
	b = httpwire.AppendIntField(b, "Content-Length", int64(len(response.body)))
	if last {
		b = httpwire.AppendField(b, "Connection", "close")
	}
	b = append(b, "\r\n"...)
	if noBody {
		return b
	}
	return append(b, response.body...)
}
