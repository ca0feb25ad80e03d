package eventloop

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"

	"cinderroad/internal/shared/slotmap"
)

// maxDescriptorsPerRead is how many descriptors one read takes; a sender puts one at the head of each write.
const maxDescriptorsPerRead = 16

// descriptorQueue are the descriptors that pass along a connection between two processes of one machine.
type descriptorQueue struct {
	received []int // not taken yet, in the order in which they came
	outgoing []outgoingDescriptor
}

// outgoingDescriptor is a descriptor that goes out with the byte at a place of what is unsent.
type outgoingDescriptor struct{ offset, fd int }

func (r *descriptorQueue) closeAll() {
	if r == nil {
		return
	}
	for _, fd := range r.received {
		unix.Close(fd)
	}
	for _, p := range r.outgoing {
		unix.Close(p.fd)
	}
	r.received, r.outgoing = nil, nil
}

// EnableDescriptorPassing has descriptors pass along the connection.
func (c *Conn) EnableDescriptorPassing() { c.descriptors = &descriptorQueue{} }

// WriteWithDescriptor writes b and passes fd with its first byte; fd is closed here once it has gone out, or cannot.
func (c *Conn) WriteWithDescriptor(b []byte, fd int) {
	if c.fd < 0 || c.failed || c.closeAfterFlush || c.descriptors == nil || len(b) == 0 {
		unix.Close(fd)
		return
	}
	c.descriptors.outgoing = append(c.descriptors.outgoing, outgoingDescriptor{len(c.unsent), fd})
	c.Write(b)
}

// NextDescriptor is the next descriptor that has come; false when there is none.
func (c *Conn) NextDescriptor() (fd int, ok bool) {
	if c.descriptors == nil || len(c.descriptors.received) == 0 {
		return -1, false
	}
	fd, c.descriptors.received = c.descriptors.received[0], c.descriptors.received[1:]
	return fd, true
}

// send writes what the socket takes of b, which is the first of what is unsent, with the descriptors that go along.
func (c *Conn) send(b []byte) (n int, err error) {
	if c.descriptors == nil {
		return c.writeSocket(b)
	}
	for n < len(b) {
		end, oob := len(b), []byte(nil)
		for i, p := range c.descriptors.outgoing {
			if i == 0 && p.offset == n {
				oob = unix.UnixRights(p.fd)
			} else {
				end = p.offset
				break
			}
		}
		m, err := unix.SendmsgN(c.fd, b[n:end], oob, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case errors.Is(err, unix.EAGAIN):
		case err != nil:
			return n, fmt.Errorf("transport: send: %w", err)
		}
		if m <= 0 {
			break
		}
		if n += m; oob != nil {
			unix.Close(c.descriptors.outgoing[0].fd)
			c.descriptors.outgoing = c.descriptors.outgoing[1:]
		}
	}
	for i := range c.descriptors.outgoing {
		c.descriptors.outgoing[i].offset -= n
	}
	return n, nil
}

// receive reads what has come, with the descriptors that came along.
func (c *Conn) receive() (int, error) {
	if c.descriptors == nil {
		return c.loop.system.Read(c.fd, c.loop.readBuffer)
	}
	oob := make([]byte, unix.CmsgSpace(4*maxDescriptorsPerRead))
	n, oobn, _, _, err := unix.Recvmsg(c.fd, c.loop.readBuffer, oob, unix.MSG_DONTWAIT|unix.MSG_CMSG_CLOEXEC)
	if err != nil || oobn == 0 {
		return n, err
	}
	messages, err := unix.ParseSocketControlMessage(oob[:oobn])
	if err != nil {
		return 0, fmt.Errorf("transport: control message: %w", err)
	}
	for i := range messages {
		if fds, err := unix.ParseUnixRights(&messages[i]); err == nil {
			c.descriptors.received = append(c.descriptors.received, fds...)
		}
	}
	return n, nil
}

// readRemaining reads what the peer wrote before it went: a write that found it gone says nothing of that. Only for owners that
// asked for it by ReadBeforeReset, or whose connection passes descriptors.
func (c *Conn) readRemaining() {
	if !c.readBeforeReset && c.descriptors == nil {
		return
	}
	for c.fd >= 0 && c.handler != nil {
		n, err := c.receive()
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil || n <= 0 {
			return
		}
		c.received = append(c.received, c.loop.readBuffer[:n]...)
		c.loop.bufferedBytes += n
		c.handler.Data(c)
	}
}

// Detach lets go of the connection without ending it: its descriptor, and what has come and was not consumed. The
// owner hears nothing more.
func (c *Conn) Detach() (fd int, received []byte) {
	fd, received = c.fd, c.received
	if fd < 0 {
		return -1, nil
	}
	// Whoever holds the socket next, its events here would go on.
	_ = c.loop.watch(unix.EPOLL_CTL_DEL, fd, 0, 0)
	c.loop.bufferedBytes -= len(c.received)
	c.fd = -1
	c.Close()
	return fd, received
}

// Adopt takes over a connection that another process has let go of, with what had come there; take names its owner.
func (l *Loop) Adopt(fd int, received []byte, newHandler func(conn *Conn) Handler) error {
	conn := &Conn{loop: l, fd: fd, received: received}
	l.bufferedBytes += len(received)
	if err := unix.SetNonblock(fd, true); err != nil {
		conn.Close()
		return fmt.Errorf("transport: adopt: %w", err)
	}
	if err := conn.register(unix.EPOLLIN | unix.EPOLLRDHUP); err != nil {
		return err
	}
	if conn.handler = newHandler(conn); len(received) > 0 {
		l.Defer(func() {
			if conn.handler != nil && !conn.failed {
				conn.handler.Data(conn)
			}
		})
	}
	return nil
}

// withShortPath names a path by its directory's descriptor: the system takes no more than 107 bytes of it.
func withShortPath(path string, do func(path string) error) error {
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return fmt.Errorf("transport: %w", err)
	}
	defer dir.Close()
	return do(fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)))
}

// ListenUnix accepts connections at a unix socket that takes the place of whatever stands at path. It stands apart
// from the clients' as those of ListenReserved do.
func (l *Loop) ListenUnix(path string, limit int, closeOne func() bool, newHandler func(c *Conn) Handler) (*Listener, error) {
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("transport: socket: %w", err)
	}
	fresh := fmt.Sprintf("%s.%d", path, os.Getpid())
	_ = os.Remove(fresh)
	if err := withShortPath(fresh, func(short string) error {
		if err := unix.Bind(fd, &unix.SockaddrUnix{Name: short}); err != nil {
			return fmt.Errorf("transport: bind %s: %w", fresh, err)
		}
		return nil
	}); err != nil {
		unix.Close(fd)
		return nil, err
	}
	err = os.Chmod(fresh, 0o600)
	if err == nil {
		err = unix.Listen(fd, 8)
	}
	if err == nil { // it answers before it is found
		err = os.Rename(fresh, path)
	}
	if err != nil {
		unix.Close(fd)
		_ = os.Remove(fresh)
		return nil, fmt.Errorf("transport: listen %s: %w", path, err)
	}
	ln, err := l.listen(fd, newHandler)
	if err != nil {
		return nil, err
	}
	ln.reservedLimit, ln.closeOne = limit, closeOne
	l.reservedSockets++
	return ln, nil
}

// ConnectUnixWithDescriptors opens a connection to a unix socket along which descriptors pass, however long its path is.
func (l *Loop) ConnectUnixWithDescriptors(path string, handler Handler) (conn *Conn) {
	err := withShortPath(path, func(short string) error {
		conn = l.connect(func() (int, error) { return connectSocket(unix.AF_UNIX, &unix.SockaddrUnix{Name: short}) }, handler)
		return nil
	})
	if err != nil {
		conn = &Conn{loop: l, fd: -1, handler: handler, connecting: true, handle: slotmap.Handle(0)}
		conn.failLater(err)
	}
	conn.EnableDescriptorPassing()
	return conn
}
