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
	mostCallers = 8       // open at once; the oldest that has not made its call gives way
	mostBytes   = 4 << 10 // of a call
	patience    = 3.0     // seconds for a call to be whole
	mostMember  = 256     // bytes of a member's id
)

// Reply answers a call, once; a status of 2xx is a yes.
type Reply func(status int, reason string)

// Call is what one path does. It may answer later.
type Call struct {
	Method string
	Member bool // the call names a member
	Do     func(member string, reply Reply)
}

// Console serves the calls.
type Console struct {
	Calls, Refused, GaveWay uint64

	loop     *eventloop.Loop
	log      *zap.Logger
	paths    map[string]Call
	callers  []*caller // the oldest first
	listener *eventloop.Listener
}

// Start opens the address.
func Start(loop *eventloop.Loop, log *zap.Logger, addr netip.AddrPort, paths map[string]Call) (*Console, error) {
	c := &Console{loop: loop, log: log, paths: paths}
	ln, err := loop.ListenReserved(addr, mostCallers, c.give, c.accept)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	c.listener = ln
	return c, nil
}

// Open is how many calls wait for their answer.
func (c *Console) Open() (n int) {
	for _, k := range c.callers {
		if k.called && !k.answered {
			n++
		}
	}
	return n
}

// caller is one connection.
type caller struct {
	c        *Console
	conn     *eventloop.Conn
	called   bool // its call is whole
	answered bool
	timeout  *eventloop.Timer
}

func (c *Console) accept(conn *eventloop.Conn) eventloop.Handler {
	k := &caller{c: c, conn: conn}
	c.callers = append(c.callers, k)
	k.timeout = c.loop.At(c.loop.Now()+patience, func() { k.reply(408, "no whole call came in time") })
	return k
}

// give closes the caller that can best be spared: one that has its answer, or the oldest that has not made its call.
func (c *Console) give() bool {
	c.callers = slices.DeleteFunc(c.callers, func(k *caller) bool { return !k.conn.Open() })
	for _, spare := range []func(*caller) bool{
		func(k *caller) bool { return k.answered },
		func(k *caller) bool { return !k.called },
	} {
		if i := slices.IndexFunc(c.callers, spare); i >= 0 {
			if k := c.callers[i]; !k.answered {
				c.GaveWay++
				k.reply(503, "too many callers")
			}
			c.callers[i].conn.Close()
			c.callers = slices.Delete(c.callers, i, i+1)
			return true
		}
	}
	return false
}

// Opened implements eventloop.Handler.
func (k *caller) Opened(*eventloop.Conn) {}

// Closed implements eventloop.Handler. A call that was whole is carried out all the same.
func (k *caller) Closed(*eventloop.Conn, error) {
	k.timeout.Stop()
	k.answered = true
	k.c.callers = slices.DeleteFunc(k.c.callers, func(o *caller) bool { return o == k })
}

// Data implements eventloop.Handler.
func (k *caller) Data(conn *eventloop.Conn) {
	if k.called {
		return
	}
	q, _, err := httpfront.ParseRequest(conn.Bytes())
	var syntax *httpfront.SyntaxError
	switch {
	case errors.Is(err, httpfront.ErrMore) && len(conn.Bytes()) > mostBytes:
		k.reply(413, "call too large")
		return
	case errors.Is(err, httpfront.ErrMore):
		if httpfront.AwaitsContinue(conn.Bytes()) {
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
	k.called = true
	k.timeout.Stop()
	k.serve(&q)
}

func (k *caller) serve(q *httpfront.Request) {
	path, _, _ := strings.Cut(q.Target, "?")
	call, known := k.c.paths[path]
	switch {
	case !known:
		k.reply(404, "no such call")
	case q.Method != call.Method:
		k.reply(405, call.Method+" only")
	case !call.Member:
		call.Do("", k.reply)
	default:
		member, reason := member(q.Body)
		if reason != "" {
			k.reply(400, reason)
			return
		}
		call.Do(member, k.reply)
	}
}

// member reads the body of a call that names one; reason says why it does not.
func member(body []byte) (id, reason string) {
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
	if id == "" || len(id) > mostMember {
		return "", fmt.Sprintf("member must have 1 to %d bytes", mostMember)
	}
	return id, ""
}

// reply answers the call and closes.
func (k *caller) reply(status int, reason string) {
	if k.answered {
		return
	}
	k.answered = true
	k.timeout.Stop()
	k.c.Calls++
	if status >= 300 {
		k.c.Refused++
		k.c.log.Warn("console: no", zap.Int("status", status), zap.String("reason", reason))
	}
	k.conn.Write(httpfront.AppendResponse(nil, status, "", []byte(reason+"\n"), true))
	k.conn.CloseAfterFlush()
}
