package client

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"cinderroad/internal/testkit/checker"
)

// conn is a connection to a proxy.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	address   string
	idleUntil time.Time // Keep-Alive timeout of an idle connection; zero: unknown
	used      bool
}

// connect returns an idle connection, or opens one. newConnection forces the latter.
func (c *client) connect(ctx context.Context, host string, newConnection bool) (*conn, error) {
	if !newConnection && c.keepsConnections {
		if idle := c.takeIdle(); idle != nil {
			return idle, nil
		}
	}
	address, err := c.pickAddress(ctx, host)
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: connectTimeout}
	inner, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		c.markFailed(address)
		return nil, err
	}
	return &conn{Conn: inner, reader: bufio.NewReader(inner), address: address}, nil
}

// takeIdle removes a usable connection from the idle list; nil if there is none.
func (c *client) takeIdle() *conn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(c.idle) > 0 {
		idle := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		expired := !c.sticky && !idle.idleUntil.IsZero() && time.Now().After(idle.idleUntil)
		if expired || !c.checkIdle(idle) {
			idle.Close()
			continue
		}
		return idle
	}
	return nil
}

// checkIdle reports whether an idle connection is open and has received nothing; bytes that nobody asked for are a
// violation.
func (c *client) checkIdle(idle *conn) bool {
	unread := idle.reader.Buffered()
	open := true
	if raw, err := idle.Conn.(*net.TCPConn).SyscallConn(); err == nil && unread == 0 {
		err = raw.Control(func(fd uintptr) {
			var peeked int
			peeked, _, err = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
			unread = max(0, peeked)
			open = err == unix.EAGAIN
		})
	}
	if unread > 0 {
		c.generator.report(checker.MisdeliveredAnswer, "bytes came on an idle connection to %s", idle.address)
		return false
	}
	return open
}

// putIdle keeps a connection after a complete answer, if it may be reused.
func (c *client) putIdle(used *conn, head *http.Response) {
	if used.reader.Buffered() > 0 {
		c.generator.report(checker.MisdeliveredAnswer, "bytes came after a complete answer from %s", used.address)
		used.Close()
		return
	}
	if head.Close || !c.keepsConnections {
		used.Close()
		return
	}
	used.idleUntil = time.Time{}
	for field := range strings.SplitSeq(head.Header.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			used.idleUntil = time.Now().Add(time.Duration(seconds) * time.Second)
		}
	}
	used.used = true
	used.SetDeadline(time.Time{})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idle = append(c.idle, used)
}

// closeIdle closes all idle connections.
func (c *client) closeIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, idle := range c.idle {
		idle.Close()
	}
	c.idle = nil
}
