package eventloop

import (
	"golang.org/x/sys/unix"
)

// Detach gives up the connection without closing it and returns its descriptor and the bytes that were not consumed.
// The handler gets no more callbacks.
func (c *Conn) Detach() (fd int, received []byte) {
	if c.fd < 0 {
		return -1, nil
	}
	fd = c.fd
	received = c.received
	// the socket stays open elsewhere, so its events would continue here
	_ = c.loop.watch(unix.EPOLL_CTL_DEL, fd, 0, 0)
	c.loop.bufferedBytes -= len(c.received)
	c.fd = -1
	c.Close()
	return fd, received
}

// Adopt takes over a connection that another process has detached, with the bytes received there; newHandler returns
// its handler.
func (l *Loop) Adopt(fd int, received []byte, newHandler func(conn *Conn) Handler) error {
	conn := &Conn{loop: l, fd: fd, received: received}
	l.bufferedBytes += len(received)
	if err := unix.SetNonblock(fd, true); err != nil {
		conn.Close()
		return systemError("adopt", err)
	}
	if err := conn.register(unix.EPOLLIN | unix.EPOLLRDHUP); err != nil {
		conn.Close()
		return err
	}
	conn.handler = newHandler(conn)
	if len(received) > 0 {
		l.Defer(func() {
			if conn.handler != nil && !conn.failed {
				conn.handler.Data(conn)
			}
		})
	}
	return nil
}
