package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/httpfront"
	"cinderroad/internal/shared/eventloop"
)

// connection is one connection and its call. It implements eventloop.Handler.
type connection struct {
	server   *Server
	conn     *eventloop.Conn
	complete bool // the call has been read
	answered bool // or the peer has disconnected
	timeout  *eventloop.Timer
}

// Opened implements eventloop.Handler.
func (c *connection) Opened(*eventloop.Conn) {}

// Closed implements eventloop.Handler. A complete call is carried out all the same.
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

// serve carries out a call.
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

// parseMember reads the body of a call that names a member. reason is empty, or says what is wrong with the body.
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

// reply answers the call and closes; the first answer counts.
func (c *connection) reply(status int, reason string) {
	if c.answered {
		return
	}
	c.answered = true
	c.timeout.Stop()
	c.server.Calls++
	if status >= 300 {
		c.server.Rejected++
		c.server.log.Warn("admin: request failed", zap.Int("status", status), zap.String("reason", reason))
	}
	c.conn.Write(httpfront.AppendResponse(nil, status, "", []byte(reason+"\n"), true))
	c.conn.CloseAfterFlush()
}
