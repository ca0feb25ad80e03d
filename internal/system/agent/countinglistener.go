package agent

import (
	"net"
	"sync"
)

// countingListener counts its open connections.
type countingListener struct {
	net.Listener
	changed func(open int) // called without a lock after each change; calls may come in any order

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
	return &countingConn{Conn: conn, listener: l}, nil
}

func (l *countingListener) add(change int) {
	l.mutex.Lock()
	l.open += change
	open := l.open
	l.mutex.Unlock()
	l.changed(open)
}

// count returns the number of open connections.
func (l *countingListener) count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.open
}

// countingConn is counted until it is closed.
type countingConn struct {
	net.Conn
	listener *countingListener
	once     sync.Once
}

// Close closes the connection. Further calls do not count.
func (c *countingConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.listener.add(-1) })
	return err
}
