package runner

import (
	"net"
	"sync"
)

// listener resets connections beyond a number, and keeps those that are open.
type listener struct {
	net.Listener
	most int

	mutex             sync.Mutex
	conns             map[*conn]struct{}
	taken, turnedAway int
}

// conn is a connection of a caller.
type conn struct {
	net.Conn
	listener *listener
	extra    []byte // that is sent once the connection is idle
	late     []byte // that is sent before the next answer
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.take(inner); c != nil {
			return c, nil
		}
		reset(inner)
	}
}

func (l *listener) take(inner net.Conn) *conn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.most > 0 && len(l.conns) >= l.most {
		l.turnedAway++
		return nil
	}
	l.taken++
	c := &conn{Conn: inner, listener: l}
	l.conns[c] = struct{}{}
	return c
}

func (l *listener) counts() (taken, turnedAway int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.taken, l.turnedAway
}

func (l *listener) resetAll() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for c := range l.conns {
		reset(c.Conn)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mutex.Lock()
	delete(c.listener.conns, c)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}

// reset closes a connection so that the other side sees a reset.
func reset(c net.Conn) {
	if tcp, is := c.(*net.TCPConn); is {
		tcp.SetLinger(0)
	}
	c.Close()
}
