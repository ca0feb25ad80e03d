package eventloop

import (
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// ConnectUnix starts a connection to a Unix socket.
func (l *Loop) ConnectUnix(path string, handler Handler) *Conn {
	return l.connect(func() (int, error) { return connectUnixSocket(path) }, handler)
}

// connectUnixSocket starts a connection to a Unix socket.
func connectUnixSocket(path string) (fd int, err error) {
	return connectSocket(unix.AF_UNIX, &unix.SockaddrUnix{Name: path})
}

// ConnectUnixWithDescriptors starts a connection to a Unix socket that passes descriptors. The path may be of any
// length.
func (l *Loop) ConnectUnixWithDescriptors(path string, handler Handler) (conn *Conn) {
	err := withShortPath(path, func(short string) error {
		conn = l.connect(func() (int, error) { return connectUnixSocket(short) }, handler)
		return nil
	})
	if err != nil {
		conn = &Conn{loop: l, fd: -1, handler: handler, connecting: true}
		conn.failLater(err)
	}
	conn.EnableDescriptorPassing()
	return conn
}

// ListenUnix accepts connections at a Unix socket, which replaces whatever is at path. The listener is reserved as that
// of ListenReserved.
func (l *Loop) ListenUnix(path string, limit int, closeOne func() bool, newHandler func(c *Conn) Handler) (*Listener, error) {
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, systemError("socket", err)
	}
	fresh := fmt.Sprintf("%s.%d", path, os.Getpid())
	_ = os.Remove(fresh)
	if err := withShortPath(fresh, func(short string) error {
		if err := unix.Bind(fd, &unix.SockaddrUnix{Name: short}); err != nil {
			return systemErrorAt("bind", fresh, err)
		}
		return nil
	}); err != nil {
		unix.Close(fd)
		return nil, err
	}
	err = os.Chmod(fresh, 0o600)
	if err == nil {
		err = unix.Listen(fd, unixBacklog)
	}
	if err == nil { // it must listen before clients can find it
		err = os.Rename(fresh, path)
	}
	if err != nil {
		unix.Close(fd)
		_ = os.Remove(fresh)
		return nil, systemErrorAt("listen", path, err)
	}
	ln, err := l.listen(fd, newHandler)
	if err != nil {
		return nil, err
	}
	ln.reserve(limit, closeOne)
	return ln, nil
}

// withShortPath calls do with a short path to the same file, by way of its directory's descriptor: the kernel accepts
// no more than 107 bytes.
func withShortPath(path string, do func(path string) error) error {
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return fmt.Errorf("eventloop: %w", err)
	}
	defer dir.Close()
	return do(fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)))
}
