package eventloop

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"

	"cinderroad/internal/shared/slotmap"
)

// mostRights is how many descriptors one read takes; a sender puts one at the head of each write.
const mostRights = 16

// rights are the descriptors that pass along a connection between two processes of one machine.
type rights struct {
	come []int // not taken yet, in the order in which they came
	out  []passed
}

// passed is a descriptor that goes out with the byte at a place of what is unsent.
type passed struct{ at, fd int }

func (r *rights) drop() {
	if r == nil {
		return
	}
	for _, fd := range r.come {
		unix.Close(fd)
	}
	for _, p := range r.out {
		unix.Close(p.fd)
	}
	r.come, r.out = nil, nil
}

// EnableDescriptorPassing has descriptors pass along the connection.
func (c *Conn) EnableDescriptorPassing() { c.rights = &rights{} }

// WriteWithDescriptor writes b and passes fd with its first byte; fd is closed here once it has gone out, or cannot.
func (c *Conn) WriteWithDescriptor(b []byte, fd int) {
	if c.fd < 0 || c.broken || c.closing || c.rights == nil || len(b) == 0 {
		unix.Close(fd)
		return
	}
	c.rights.out = append(c.rights.out, passed{len(c.out), fd})
	c.Write(b)
}

// NextDescriptor is the next descriptor that has come; false when there is none.
func (c *Conn) NextDescriptor() (fd int, ok bool) {
	if c.rights == nil || len(c.rights.come) == 0 {
		return -1, false
	}
	fd, c.rights.come = c.rights.come[0], c.rights.come[1:]
	return fd, true
}

// push writes what the socket takes of b, which is the first of what is unsent, with the descriptors that go along.
func (c *Conn) push(b []byte) (n int, err error) {
	if c.rights == nil {
		return c.write(b)
	}
	for n < len(b) {
		end, oob := len(b), []byte(nil)
		for i, p := range c.rights.out {
			if i == 0 && p.at == n {
				oob = unix.UnixRights(p.fd)
			} else {
				end = p.at
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
			unix.Close(c.rights.out[0].fd)
			c.rights.out = c.rights.out[1:]
		}
	}
	for i := range c.rights.out {
		c.rights.out[i].at -= n
	}
	return n, nil
}

// pull reads what has come, with the descriptors that came along.
func (c *Conn) pull() (int, error) {
	if c.rights == nil {
		return c.loop.system.Read(c.fd, c.loop.scratch)
	}
	oob := make([]byte, unix.CmsgSpace(4*mostRights))
	n, oobn, _, _, err := unix.Recvmsg(c.fd, c.loop.scratch, oob, unix.MSG_DONTWAIT|unix.MSG_CMSG_CLOEXEC)
	if err != nil || oobn == 0 {
		return n, err
	}
	messages, err := unix.ParseSocketControlMessage(oob[:oobn])
	if err != nil {
		return 0, fmt.Errorf("transport: control message: %w", err)
	}
	for i := range messages {
		if fds, err := unix.ParseUnixRights(&messages[i]); err == nil {
			c.rights.come = append(c.rights.come, fds...)
		}
	}
	return n, nil
}

// readLast reads what the peer wrote before it went: a write that found it gone says nothing of that. Only for owners that
// asked for it by ReadBeforeReset, or whose connection passes descriptors.
func (c *Conn) readLast() {
	if !c.readsLast && c.rights == nil {
		return
	}
	for c.fd >= 0 && c.handler != nil {
		n, err := c.pull()
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil || n <= 0 {
			return
		}
		c.in = append(c.in, c.loop.scratch[:n]...)
		c.loop.held += n
		c.handler.Data(c)
	}
}

// Detach lets go of the connection without ending it: its descriptor, and what has come and was not consumed. The
// owner hears nothing more.
func (c *Conn) Detach() (fd int, in []byte) {
	fd, in = c.fd, c.in
	if fd < 0 {
		return -1, nil
	}
	// Whoever holds the socket next, its events here would go on.
	_ = c.loop.control(unix.EPOLL_CTL_DEL, fd, 0, 0)
	c.loop.held -= len(c.in)
	c.fd = -1
	c.Close()
	return fd, in
}

// Adopt takes over a connection that another process has let go of, with what had come there; take names its owner.
func (l *Loop) Adopt(fd int, in []byte, take func(c *Conn) Handler) error {
	c := &Conn{loop: l, fd: fd, in: in}
	l.held += len(in)
	if err := unix.SetNonblock(fd, true); err != nil {
		c.Close()
		return fmt.Errorf("transport: adopt: %w", err)
	}
	if err := c.register(unix.EPOLLIN | unix.EPOLLRDHUP); err != nil {
		return err
	}
	if c.handler = take(c); len(in) > 0 {
		l.Defer(func() {
			if c.handler != nil && !c.broken {
				c.handler.Data(c)
			}
		})
	}
	return nil
}

// shortly names a path by its directory's descriptor: the system takes no more than 107 bytes of it.
func shortly(path string, do func(path string) error) error {
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return fmt.Errorf("transport: %w", err)
	}
	defer dir.Close()
	return do(fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)))
}

// ListenUnix accepts connections at a unix socket that takes the place of whatever stands at path. It stands apart
// from the clients' as those of ListenReserved do.
func (l *Loop) ListenUnix(path string, most int, give func() bool, take func(c *Conn) Handler) (*Listener, error) {
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("transport: socket: %w", err)
	}
	fresh := fmt.Sprintf("%s.%d", path, os.Getpid())
	_ = os.Remove(fresh)
	if err := shortly(fresh, func(short string) error {
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
	ln, err := l.listen(fd, take)
	if err != nil {
		return nil, err
	}
	ln.most, ln.give = most, give
	l.apart++
	return ln, nil
}

// ConnectUnixWithDescriptors opens a connection to a unix socket along which descriptors pass, however long its path is.
func (l *Loop) ConnectUnixWithDescriptors(path string, h Handler) (c *Conn) {
	err := shortly(path, func(short string) error {
		c = l.connect(func() (int, error) { return connectSocket(unix.AF_UNIX, &unix.SockaddrUnix{Name: short}) }, h)
		return nil
	})
	if err != nil {
		c = &Conn{loop: l, fd: -1, handler: h, connecting: true, h: slotmap.Handle(0)}
		c.breakLater(err)
	}
	c.EnableDescriptorPassing()
	return c
}
