package eventloop

import (
	"errors"
	"fmt"
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
	paused     bool

	suspended bool // others accept
	shared    bool // others hold the socket, too

	reservedLimit int         // connections that may be open of one that stands apart; 0 is one that does not
	reservedOpen  int         // of them
	closeOne      func() bool // closes one of them
}

// Listen accepts connections at addr; take names the owner of each.
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
	if err := l.watch(unix.EPOLL_CTL_ADD, fd, ln.handle|1<<63, unix.EPOLLIN); err != nil {
		ln.Close()
		return nil, err
	}
	return ln, nil
}

// ListenReserved accepts connections at addr whatever others hold: at most so many are open, give closes one of them
// that can be spared, and what happens on them is handled first in each turn.
func (l *Loop) ListenReserved(addr netip.AddrPort, limit int, closeOne func() bool, newHandler func(c *Conn) Handler) (*Listener, error) {
	ln, err := l.Listen(addr, newHandler)
	if err != nil {
		return nil, err
	}
	ln.reservedLimit, ln.closeOne = limit, closeOne
	l.reservedSockets++
	return ln, nil
}

// InheritListener accepts connections on a socket that was handed to this process and that others listen on, too.
func (l *Loop) InheritListener(fd int, newHandler func(c *Conn) Handler) (*Listener, error) {
	if listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil {
		return nil, fmt.Errorf("transport: descriptor %d: %w", fd, err)
	} else if listening == 0 {
		return nil, fmt.Errorf("transport: descriptor %d does not listen", fd)
	}
	unix.CloseOnExec(fd)
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, fmt.Errorf("transport: descriptor %d: %w", fd, err)
	}
	ln, err := l.listen(fd, newHandler)
	if err == nil {
		ln.shared = true
	}
	return ln, err
}

// Addr is the address the listener has.
func (ln *Listener) Addr() netip.AddrPort { return ln.loop.system.Address(ln.fd) }

func addrPortOf(sa unix.Sockaddr, err error) netip.AddrPort {
	if err != nil {
		return netip.AddrPort{}
	}
	switch a := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port))
	}
	return netip.AddrPort{}
}

// Close stops accepting.
func (ln *Listener) Close() {
	if ln.loop.listeners.Remove(ln.handle) {
		if ln.reservedLimit > 0 {
			ln.loop.reservedSockets--
		}
		// Closing alone would not end the events of a socket that others hold, too.
		_ = ln.loop.watch(unix.EPOLL_CTL_DEL, ln.fd, 0, 0)
		ln.loop.system.Close(ln.fd)
	}
}

// SetSuspended leaves the callers to others who listen on the same socket, until Resume.
func (ln *Listener) SetSuspended(suspended bool) {
	if _, open := ln.loop.listeners.Get(ln.handle); !open || ln.suspended == suspended {
		return
	}
	ln.suspended = suspended
	events := uint32(unix.EPOLLIN)
	if suspended || ln.paused {
		events = 0
	}
	_ = ln.loop.watch(unix.EPOLL_CTL_MOD, ln.fd, ln.handle|1<<63, events)
}

// Dup is another descriptor of the socket, to be handed to another process.
func (ln *Listener) Dup() (int, error) {
	fd, err := unix.FcntlInt(uintptr(ln.fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return -1, fmt.Errorf("transport: dup: %w", err)
	}
	return fd, nil
}

// makeRoom makes room for one more connection.
func (ln *Listener) makeRoom() bool {
	if ln.reservedLimit == 0 {
		return ln.loop.makeRoom()
	}
	return ln.reservedOpen < ln.reservedLimit || ln.closeOne()
}

func (ln *Listener) acceptPending() {
	for i := 0; i < 64 && !ln.suspended; i++ {
		if !ln.makeRoom() {
			ln.pauseAccepting()
			return
		}
		if ln.shared {
			// Whoever else holds the socket may have it block again (Go's os.File.Fd does), and may take the caller first:
			// then the accept would hold up everybody until the next one calls.
			_ = unix.SetNonblock(ln.fd, true)
		}
		fd, err := ln.loop.system.Accept(ln.fd)
		switch {
		case err == nil:
			c := &Conn{loop: ln.loop, fd: fd}
			if ln.reservedLimit > 0 {
				c.reservedBy = ln
				ln.reservedOpen++
				ln.loop.reservedSockets++
			}
			if c.register(unix.EPOLLIN|unix.EPOLLRDHUP) != nil {
				continue
			}
			c.handler = ln.newHandler(c)
		case errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE) || errors.Is(err, unix.ENOBUFS) || errors.Is(err, unix.ENOMEM):
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

// pauseAccepting leaves callers in the backlog for a moment: with no descriptor to spare the loop would only spin.
func (ln *Listener) pauseAccepting() {
	if ln.paused {
		return
	}
	ln.paused = true
	_ = ln.loop.watch(unix.EPOLL_CTL_MOD, ln.fd, ln.handle|1<<63, 0)
	ln.loop.At(ln.loop.now+0.01, func() {
		ln.paused = false
		if _, open := ln.loop.listeners.Get(ln.handle); open && !ln.suspended {
			_ = ln.loop.watch(unix.EPOLL_CTL_MOD, ln.fd, ln.handle|1<<63, unix.EPOLLIN)
		}
	})
}
