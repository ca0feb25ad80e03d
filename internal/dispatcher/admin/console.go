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
func Start(loop *eventloop.Loop, log *zap.Logger, addr netip.AddrPort, paths map[string]Call) (*Server, error) {
	c := &Server{loop: loop, log: log, calls: paths}
	ln, err := loop.ListenReserved(addr, maxConnections, c.evict, c.accept)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	c.listener = ln
	return c, nil
}

// OpenCalls is how many calls wait for their answer.
func (c *Server) OpenCalls() (n int) {
	for _, k := range c.connections {
		if k.complete && !k.answered {
			n++
		}
	}
	return n
}

// connection is one connection.
type connection struct {
	server   *Server
	conn     *eventloop.Conn
	complete bool // its call is whole
	answered bool
	timeout  *eventloop.Timer
}

func (c *Server) accept(conn *eventloop.Conn) eventloop.Handler {
	k := &connection{server: c, conn: conn}
	c.connections = append(c.connections, k)
	k.timeout = c.loop.At(c.loop.Now()+callTimeout, func() { k.reply(408, "no whole call came in time") })
	return k
}

// evict closes the caller that can best be spared: one that has its answer, or the oldest that has not made its call.
func (c *Server) evict() bool {
	c.connections = slices.DeleteFunc(c.connections, func(k *connection) bool { return !k.conn.Open() })
	for _, spare := range []func(*connection) bool{
		func(k *connection) bool { return k.answered },
		func(k *connection) bool { return !k.complete },
	} {
		if i := slices.IndexFunc(c.connections, spare); i >= 0 {
			if k := c.connections[i]; !k.answered {
				c.Evicted++
				k.reply(503, "too many callers")
			}
			c.connections[i].conn.Close()
			c.connections = slices.Delete(c.connections, i, i+1)
			return true
		}
	}
	return false
}

// Opened implements eventloop.Handler.
func (k *connection) Opened(*eventloop.Conn) {}

// Closed implements eventloop.Handler. A call that was whole is carried out all the same.
func (k *connection) Closed(*eventloop.Conn, error) {
	k.timeout.Stop()
	k.answered = true
	k.server.connections = slices.DeleteFunc(k.server.connections, func(o *connection) bool { return o == k })
}

// Data implements eventloop.Handler.
func (k *connection) Data(conn *eventloop.Conn) {
	if k.complete {
		return
	}
	q, _, err := httpfront.ParseRequest(conn.Bytes())
	var syntax *httpfront.SyntaxError
	switch {
	case errors.Is(err, httpfront.ErrIncomplete) && len(conn.Bytes()) > maxCallBytes:
		k.reply(413, "call too large")
		return
	case errors.Is(err, httpfront.ErrIncomplete):
		if httpfront.ExpectsContinue(conn.Bytes()) {
			conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
		return
	case errors.As(err, &syntax) && syntax.Status < 500:
		k.reply(syntax.Status, syntax.Reason)
		return
	case err != nil:
		k.reply(400, err.Error())
		return
	}
	k.complete = true
	k.timeout.Stop()
	k.serve(&q)
}

func (k *connection) serve(q *httpfront.Request) {
	path, _, _ := strings.Cut(q.Target, "?")
	call, known := k.server.calls[path]
	switch {
	case !known:
		k.reply(404, "no such call")
	case q.Method != call.Method:
		k.reply(405, call.Method+" only")
	case !call.TakesMember:
		call.Handle("", k.reply)
	default:
		member, reason := parseMember(q.Body)
		if reason != "" {
			k.reply(400, reason)
			return
		}
		call.Handle(member, k.reply)
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
func (k *connection) reply(status int, reason string) {
	if k.answered {
		return
	}
	k.answered = true
	k.timeout.Stop()
	k.server.Calls++
	if status >= 300 {
		k.server.Rejected++
		k.server.log.Warn("console: no", zap.Int("status", status), zap.String("reason", reason))
	}
	k.conn.Write(httpfront.AppendResponse(nil, status, "", []byte(reason+"\n"), true))
	k.conn.CloseAfterFlush()
}
