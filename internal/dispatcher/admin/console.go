// Package console is the second address, at which the staff who run the dispatcher speak to it: one HTTP call a
// connection, yes is 2xx, no is 4xx or 5xx with a reason.
package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/httpfront"
	"cinderroad/internal/shared/eventloop"
)

const (
	maxConnections = 8       // open at once; the oldest that has not made its call gives way
	maxCallBytes   = 4 << 10 // of a call
	callTimeout    = 3.0     // seconds for a call to be whole
	maxMemberBytes = 256     // bytes of a member's id
)

// Reply answers a call, once; a status of 2xx is a yes.
type Reply func(status int, reason string)

// Call is what one path does. It may answer later.
type Call struct {
	Method      string
	TakesMember bool // the call names a member
	Handle      func(member string, reply Reply)
}

// Server serves the calls.
type Server struct {
	Calls, Rejected, Evicted uint64

	loop        *eventloop.Loop
	log         *zap.Logger
	calls       map[string]Call
	connections []*connection // the oldest first
	listener    *eventloop.Listener
}

// Start opens the address.
func Start(loop *eventloop.Loop, log *zap.Logger, addr netip.AddrPort, calls map[string]Call) (*Server, error) {
	s := &Server{loop: loop, log: log, calls: calls}
	listener, err := loop.ListenReserved(addr, maxConnections, s.evict, s.accept)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	s.listener = listener
	return s, nil
}

// OpenCalls is how many calls wait for their answer.
func (s *Server) OpenCalls() (open int) {
	for _, connection := range s.connections {
		if connection.complete && !connection.answered {
			open++
		}
	}
	return open
}

// connection is one connection.
type connection struct {
	server   *Server
	conn     *eventloop.Conn
	complete bool // its call is whole
	answered bool
	timeout  *eventloop.Timer
}

func (s *Server) accept(conn *eventloop.Conn) eventloop.Handler {
	connection := &connection{server: s, conn: conn}
	s.connections = append(s.connections, connection)
	connection.timeout = s.loop.At(s.loop.Now()+callTimeout, func() { connection.reply(408, "no whole call came in time") })
	return connection
}

// evict closes the caller that can best be spared: one that has its answer, or the oldest that has not made its call.
func (s *Server) evict() bool {
	s.connections = slices.DeleteFunc(s.connections, func(connection *connection) bool { return !connection.conn.Open() })
	for _, maySpare := range []func(*connection) bool{
		func(connection *connection) bool { return connection.answered },
		func(connection *connection) bool { return !connection.complete },
	} {
		if i := slices.IndexFunc(s.connections, maySpare); i >= 0 {
			if connection := s.connections[i]; !connection.answered {
				s.Evicted++
				connection.reply(503, "too many callers")
			}
			s.connections[i].conn.Close()
			s.connections = slices.Delete(s.connections, i, i+1)
			return true
		}
	}
	return false
}

// Opened implements eventloop.Handler.
func (c *connection) Opened(*eventloop.Conn) {}

// Closed implements eventloop.Handler. A call that was whole is carried out all the same.
func (c *connection) Closed(*eventloop.Conn, error) {
	c.timeout.Stop()
	c.answered = true
	c.server.connections = slices.DeleteFunc(c.server.connections, func(other *connection) bool { return other == c })
}

// Data implements eventloop.Handler.
func (c *connection) Data(conn *eventloop.Conn) {
	if c.complete {
		return
	}
	request, _, err := httpfront.ParseRequest(conn.Bytes())
	var syntax *httpfront.SyntaxError
	switch {
	case errors.Is(err, httpfront.ErrIncomplete) && len(conn.Bytes()) > maxCallBytes:
		c.reply(413, "call too large")
		return
	case errors.Is(err, httpfront.ErrIncomplete):
		if httpfront.ExpectsContinue(conn.Bytes()) {
			conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
		return
	case errors.As(err, &syntax) && syntax.Status < 500:
		c.reply(syntax.Status, syntax.Reason)
		return
	case err != nil:
		c.reply(400, err.Error())
		return
	}
	c.complete = true
	c.timeout.Stop()
	c.serve(&request)
}

func (c *connection) serve(request *httpfront.Request) {
	path, _, _ := strings.Cut(request.Target, "?")
	call, known := c.server.calls[path]
	switch {
	case !known:
		c.reply(404, "no such call")
	case request.Method != call.Method:
		c.reply(405, call.Method+" only")
	case !call.TakesMember:
		call.Handle("", c.reply)
	default:
		member, reason := parseMember(request.Body)
		if reason != "" {
			c.reply(400, reason)
			return
		}
		call.Handle(member, c.reply)
	}
}

// parseMember reads the body of a call that names one; reason says why it does not.
func parseMember(body []byte) (id, reason string) {
	var call map[string]json.RawMessage
	if err := json.Unmarshal(body, &call); err != nil || call == nil {
		return "", `the body must be a JSON object like {"member":"ID"}`
	}
	text, ok := call["member"]
	if !ok {
		return "", "member is missing"
	}
	if !bytes.HasPrefix(text, []byte(`"`)) || json.Unmarshal(text, &id) != nil {
		return "", "member must be a string"
	}
	if id == "" || len(id) > maxMemberBytes {
		return "", fmt.Sprintf("member must have 1 to %d bytes", maxMemberBytes)
	}
	return id, ""
}

// reply answers the call and closes.
func (c *connection) reply(status int, reason string) {
	if c.answered {
		return
	}
	c.answered = true
	c.timeout.Stop()
	c.server.Calls++
	if status >= 300 {
		c.server.Rejected++
		c.server.log.Warn("console: no", zap.Int("status", status), zap.String("reason", reason))
	}
	c.conn.Write(httpfront.AppendResponse(nil, status, "", []byte(reason+"\n"), true))
	c.conn.CloseAfterFlush()
}
