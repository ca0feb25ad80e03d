package eventloop

import (
	"errors"
	"net/netip"

	"golang.org/x/sys/unix"

	"cinderroad/internal/shared/slotmap"
)

// Listener accepts connections.
type Listener struct {
	loop       *Loop
	handle     slotmap.Handle
	fd         int
	newHandler func(c *Conn) Handler
	paused     bool // see pauseAccepting
	suspended  bool // see SetSuspended
	shared     bool // other processes have the socket too

	reservedLimit int         // maximum of open connections of a reserved listener; 0: not reserved
	reservedOpen  int         // open connections of a reserved listener
	closeOne      func() bool // closes one of them; false if none can be closed
}

// Listen accepts connections at addr; newHandler returns the handler of each.
func (l *Loop) Listen(addr netip.AddrPort, newHandler func(c *Conn) Handler) (*Listener, error) {
	fd, err := l.system.Listen(addr)
	if err != nil {
		return nil, err
	}
	return l.listen(fd, newHandler)
}

func (l *Loop) listen(fd int, newHandler func(c *Conn) Handler) (*Listener, error) {
	ln := &Listener{loop: l, fd: fd, newHandler: newHandler}
	ln.handle = l.listeners.Insert(ln)
	if err := l.watch(unix.EPOLL_CTL_ADD, fd, ln.handle|listenerFlag, unix.EPOLLIN); err != nil {
		ln.Close()
		return nil, err
	}
	return ln, nil
}

// ListenReserved accepts connections at addr independently of the loop's socket limit. At most limit of them are open;
// beyond that closeOne closes one. Their events are handled before all others.
func (l *Loop) ListenReserved(addr netip.AddrPort, limit int, closeOne func() bool, newHandler func(c *Conn) Handler) (*Listener, error) {
	ln, err := l.Listen(addr, newHandler)
	if err != nil {
		return nil, err
	}
	ln.reserve(limit, closeOne)
	return ln, nil
}

// reserve takes the listener and its connections out of the loop's socket limit.
func (ln *Listener) reserve(limit int, closeOne func() bool) {
	ln.reservedLimit = limit
	ln.closeOne = closeOne
	ln.loop.reservedSockets++
}

// InheritListener accepts connections on a listening socket that this process has received and may share with others.
func (l *Loop) InheritListener(fd int, newHandler func(c *Conn) Handler) (*Listener, error) {
	if listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil {
		return nil, systemErrorAt("descriptor", fd, err)
	} else if listening == 0 {
		return nil, systemErrorAt("descriptor", fd, errNotListening)
	}
	unix.CloseOnExec(fd)
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, systemErrorAt("descriptor", fd, err)
	}
	ln, err := l.listen(fd, newHandler)
	if err == nil {
		ln.shared = true
	}
	return ln, err
}

// Addr returns the listener's address.
func (ln *Listener) Addr() netip.AddrPort { return ln.loop.system.Address(ln.fd) }

// Close stops accepting. Closing it again has no effect.
func (ln *Listener) Close() {
	if ln.loop.listeners.Remove(ln.handle) {
		if ln.reservedLimit > 0 {
			ln.loop.reservedSockets--
		}
		// closing alone does not end the events of a shared socket
		_ = ln.loop.watch(unix.EPOLL_CTL_DEL, ln.fd, 0, 0)
		ln.loop.system.Close(ln.fd)
	}
}

// SetSuspended suspends or resumes accepting, so that other processes that listen on the same socket get the connections.
func (ln *Listener) SetSuspended(suspended bool) {
	if _, open := ln.loop.listeners.Get(ln.handle); !open || ln.suspended == suspended {
		return
	}
	ln.suspended = suspended
	events := uint32(unix.EPOLLIN)
	if suspended || ln.paused {
		events = 0
	}
	_ = ln.loop.watch(unix.EPOLL_CTL_MOD, ln.fd, ln.handle|listenerFlag, events)
}

// Dup returns another descriptor of the socket, to be passed to another process.
func (ln *Listener) Dup() (int, error) {
	fd, err := unix.FcntlInt(uintptr(ln.fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return -1, systemError("dup", err)
	}
	return fd, nil
}

// ensureFreeSocket makes sure that one more connection may be accepted; false if none can be closed for it.
func (ln *Listener) ensureFreeSocket() bool {
	if ln.reservedLimit == 0 {
		return ln.loop.ensureFreeSocket()
	}
	return ln.reservedOpen < ln.reservedLimit || ln.closeOne()
}

// acceptPending accepts the connections in the backlog, as far as descriptors and maxAcceptsPerIteration allow.
func (ln *Listener) acceptPending() {
	for i := 0; i < maxAcceptsPerIteration && !ln.suspended; i++ {
		if !ln.ensureFreeSocket() {
			ln.pauseAccepting()
			return
		}
		if ln.shared {
			// Another process that has the socket may have made it blocking (as Go's os.File.Fd does) and may accept
			// the connection first. Then accept would block the loop until the next client connects.
			_ = unix.SetNonblock(ln.fd, true)
		}
		fd, err := ln.loop.system.Accept(ln.fd)
		switch {
		case err == nil:
			ln.addConn(fd)
		case isDescriptorLimit(err) || errors.Is(err, unix.ENOBUFS) || errors.Is(err, unix.ENOMEM):
			if !ln.loop.freeDescriptor() {
				ln.pauseAccepting()
				return
			}
		case errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED):
		default:
			return
		}
	}
}

// addConn adds an accepted connection.
func (ln *Listener) addConn(fd int) {
	conn := &Conn{loop: ln.loop, fd: fd}
	if ln.reservedLimit > 0 {
		conn.reservedBy = ln
		ln.reservedOpen++
		ln.loop.reservedSockets++
	}
	if err := conn.register(unix.EPOLLIN | unix.EPOLLRDHUP); err != nil {
		conn.Close()
		return
	}
	conn.handler = ln.newHandler(conn)
}

// pauseAccepting leaves connections in the backlog for acceptPauseSeconds. Without a free descriptor the loop would
// only spin.
func (ln *Listener) pauseAccepting() {
	if ln.paused {
		return
	}
	ln.paused = true
	_ = ln.loop.watch(unix.EPOLL_CTL_MOD, ln.fd, ln.handle|listenerFlag, 0)
	ln.resumeLater()
}

// resumeLater accepts connections again after acceptPauseSeconds, or later if the system cannot watch the listener then.
func (ln *Listener) resumeLater() {
	ln.loop.At(ln.loop.now+acceptPauseSeconds, func() {
		_, open := ln.loop.listeners.Get(ln.handle)
		if open && !ln.suspended && ln.loop.watch(unix.EPOLL_CTL_MOD, ln.fd, ln.handle|listenerFlag, unix.EPOLLIN) != nil {
			ln.resumeLater()
			return
		}
		ln.paused = false
	})
}
