package runner

import (
	"net"
	"sync"
)

// listener tracks the open connections, and resets new ones beyond a limit.
type listener struct {
	net.Listener
	maxConns int

	mutex              sync.Mutex
	conns              map[*conn]struct{}
	accepted, rejected int
}

// conn is a connection from a caller.
type conn struct {
	net.Conn
	listener    *listener
	afterAnswer []byte // sent once the connection is idle
	beforeNext  []byte // sent before the next answer
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.register(inner); c != nil {
			return c, nil
		}
		reset(inner)
	}
}

func (l *listener) register(inner net.Conn) *conn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.maxConns > 0 && len(l.conns) >= l.maxConns {
		l.rejected++
		return nil
	}
	l.accepted++
	c := &conn{Conn: inner, listener: l}
	l.conns[c] = struct{}{}
	return c
}

func (l *listener) counts() (accepted, rejected int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.accepted, l.rejected
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

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}
