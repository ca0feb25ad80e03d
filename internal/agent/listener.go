package agent

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	listenAgain = 100 * time.Millisecond // between two tries for an address
	listenFor   = 5 * time.Second        // that an address is tried for: an earlier life may still hold it
)

// listen opens a listener, waiting for an address that is still taken.
func listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	end := time.Now().Add(listenFor)
	for {
		listener, err := net.Listen("tcp4", address.String())
		if err == nil || ctx.Err() != nil || time.Now().After(end) {
			return listener, err
		}
		pause(ctx, listenAgain)
	}
}

// countingListener tells how many of its connections are open.
type countingListener struct {
	net.Listener
	changed func(open int) // called without a lock, in any order

	mutex sync.Mutex
	open  int
}

// Accept waits for a connection.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.add(1)
	return &countedConn{Conn: conn, listener: l}, nil
}

func (l *countingListener) add(change int) {
	l.mutex.Lock()
	l.open += change
	open := l.open
	l.mutex.Unlock()
	l.changed(open)
}

// count is the number of open connections.
func (l *countingListener) count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.open
}

// countedConn takes itself off its listener's count when it is closed.
type countedConn struct {
	net.Conn
	listener *countingListener
	once     sync.Once
}

// Close closes the connection.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.listener.add(-1) })
	return err
}
