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

// conn is a connection to a dispatcher.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	until   time.Time // of an idle one; zero: no end is known
	used    bool
}

// connect takes an idle connection, or opens one.
func (c *client) connect(ctx context.Context, host string, fresh bool) (*conn, error) {
	if !fresh && c.keeps {
		if idle := c.takeIdle(); idle != nil {
			return idle, nil
		}
	}
	address, err := c.address(ctx, host)
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: connectWait}
	inner, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		c.avoid(address)
		return nil, err
	}
	return &conn{Conn: inner, reader: bufio.NewReader(inner), address: address}, nil
}

// takeIdle takes a connection that was kept, if it still may be used.
func (c *client) takeIdle() *conn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(c.idle) > 0 {
		idle := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if !idle.until.IsZero() && time.Now().After(idle.until) || !c.quiet(idle) {
			idle.Close()
			continue
		}
		return idle
	}
	return nil
}

// quiet says whether nothing has come on an idle connection, and it is open.
func (c *client) quiet(idle *conn) bool {
	n, open := idle.reader.Buffered(), true
	if raw, err := idle.Conn.(*net.TCPConn).SyscallConn(); err == nil && n == 0 {
		err = raw.Control(func(fd uintptr) {
			var peeked int
			peeked, _, err = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
			n = max(0, peeked)
			open = err == unix.EAGAIN
		})
	}
	if n > 0 {
		c.load.breach(checker.MisdeliveredAnswer, "bytes came on an idle connection to %s", idle.address)
		return false
	}
	return open
}

// keep puts a connection by after a whole answer, if it may be used again.
func (c *client) keep(used *conn, head *http.Response) {
	if used.reader.Buffered() > 0 {
		c.load.breach(checker.MisdeliveredAnswer, "bytes came after a whole answer from %s", used.address)
		used.Close()
		return
	}
	if head.Close || !c.keeps {
		used.Close()
		return
	}
	used.until = time.Time{}
	for field := range strings.SplitSeq(head.Header.Get("Keep-Alive"), ",") {
		if text, is := strings.CutPrefix(strings.TrimSpace(field), "timeout="); is {
			if s, err := strconv.Atoi(text); err == nil {
				used.until = time.Now().Add(time.Duration(s) * time.Second)
			}
		}
	}
	used.used = true
	used.SetDeadline(time.Time{})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idle = append(c.idle, used)
}
