package eventloop

import (
	"errors"
	"io"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"cinderroad/internal/shared/slotmap"
)

// Conn is a stream connection. Its methods may only be called on the loop's goroutine.
type Conn struct {
	loop                *Loop
	handle              slotmap.Handle
	fd                  int
	handler             Handler
	received            []byte // not consumed by the handler
	unsent              []byte // given to Write, and not accepted by the socket
	writtenBytes        uint64 // since the connection was established
	connecting          bool
	readFirst           bool // see ReadFirst
	awaitsWritable      bool // EPOLLOUT is watched
	paused              bool // see SetPaused
	stalled             bool // see SetStalled
	unwatched           bool // the peer closed while stalled; no events are watched
	closeAfterFlush     bool // close once everything is written and the peer has closed too
	lingering           bool // everything is written and the write side is closed
	closeWriteRequested bool // close the write side once everything is written
	writeClosed         bool // done so
	peerReadAll         bool // see PeerReadAll
	discardedBytes      int  // while lingering
	lingerTimer         *Timer
	failed              bool             // Closed is due, or the connection was closed: nothing is read or written any more
	readBeforeReset     bool             // see ReadBeforeReset
	hungUp              bool             // see HungUp
	reservedBy          *Listener        // the reserved listener that accepted it; nil: none
	descriptors         *descriptorQueue // nil: the connection passes none
}

// ErrNoDescriptor means that no file descriptor was available for a connection.
var ErrNoDescriptor = errors.New("eventloop: no descriptor to spare")

// Connect starts a connection to addr. All errors are reported by Closed, later.
func (l *Loop) Connect(addr netip.AddrPort, handler Handler) *Conn {
	return l.connect(func() (int, error) { return l.system.Connect(addr) }, handler)
}

// connect returns a connection whose socket begin creates.
func (l *Loop) connect(begin func() (fd int, err error), handler Handler) *Conn {
	conn := &Conn{loop: l, fd: -1, handler: handler, connecting: true}
	if !l.ensureFreeSocket() {
		conn.failLater(ErrNoDescriptor)
		return conn
	}
	fd, err := begin()
	if isDescriptorLimit(err) && l.freeDescriptor() {
		fd, err = begin()
	}
	if isDescriptorLimit(err) {
		err = systemError("socket", ErrNoDescriptor)
	}
	if err != nil {
		conn.failLater(err)
		return conn
	}
	conn.fd = fd
	if err := conn.register(unix.EPOLLIN | unix.EPOLLOUT | unix.EPOLLRDHUP); err != nil {
		conn.failLater(err)
	}
	return conn
}

// isDescriptorLimit reports whether an error means that the process or the system has no free descriptor.
func isDescriptorLimit(err error) bool {
	return errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE)
}

// register adds the connection to the loop and watches its events. The caller must close the connection if that fails.
func (c *Conn) register(events uint32) error {
	_ = unix.SetsockoptInt(c.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c.handle = c.loop.conns.Insert(c)
	return c.loop.watch(unix.EPOLL_CTL_ADD, c.fd, c.handle, events)
}

// Open reports whether the connection still has its socket.
func (c *Conn) Open() bool { return c.fd >= 0 }

// Peer returns the remote address.
func (c *Conn) Peer() netip.AddrPort { return addrPortOf(unix.Getpeername(c.fd)) }

// ReadFirst reads the connection at the start of every iteration, before any event.
func (c *Conn) ReadFirst() {
	c.readFirst = true
	c.loop.readFirst = append(c.loop.readFirst, c)
}

// Alive reports whether an idle connection is still open on the peer's side. One that the peer has closed, or on which
// it has sent bytes, must not carry a request.
func (c *Conn) Alive() bool {
	if c.fd < 0 || c.failed || c.connecting {
		return false
	}
	_, err := c.loop.system.Peek(c.fd)
	return errors.Is(err, unix.EAGAIN)
}

// updateEvents watches the events that the state of the connection calls for. A connection that cannot be watched fails: nobody
// would notice anything of it again.
func (c *Conn) updateEvents() {
	events := uint32(unix.EPOLLRDHUP)
	if !c.paused && !c.stalled {
		events |= unix.EPOLLIN
	}
	if c.awaitsWritable {
		events |= unix.EPOLLOUT
	}
	if err := c.loop.watch(unix.EPOLL_CTL_MOD, c.fd, c.handle, events); err != nil {
		c.failLater(err)
	}
}

// failLater reports a failure once the current event has been handled.
func (c *Conn) failLater(err error) {
	if c.failed {
		return
	}
	c.failed = true
	c.loop.Defer(func() {
		c.readRemaining()
		c.fail(err)
	})
}

// HungUp reports whether the peer is known to have closed its side or reset the connection. What it sent before may
// still be unread.
func (c *Conn) HungUp() bool { return c.hungUp }

// fail closes the connection and reports the error to its handler.
func (c *Conn) fail(err error) {
	if h := c.handler; h != nil {
		c.Close()
		h.Closed(c, err)
	}
}

// handleEvent handles the events that epoll reports.
func (c *Conn) handleEvent(events uint32) {
	if c.failed {
		return
	}
	if c.connecting {
		if !c.finishConnecting(events) {
			return
		}
	} else if events&unix.EPOLLOUT != 0 {
		c.flush()
	}
	ended := events&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0
	c.hungUp = c.hungUp || ended
	switch {
	case c.fd < 0 || c.failed:
	case c.stalled && ended:
		c.unwatch()
	case c.paused && ended: // what it sent before is discarded, as SetPaused states
		c.fail(io.EOF)
	case ended || events&unix.EPOLLIN != 0:
		c.handleReadable()
	}
}

// finishConnecting handles an event of a connection that is not established yet; false if it still isn't.
func (c *Conn) finishConnecting(events uint32) bool {
	if err := c.loop.system.SocketError(c.fd); err != nil {
		c.fail(systemError("connect", err))
		return false
	}
	if events&(unix.EPOLLOUT|unix.EPOLLIN) == 0 {
		return false
	}
	c.connecting = false
	c.awaitsWritable = true // as Connect has watched it
	c.handler.Opened(c)
	if c.fd >= 0 && !c.failed {
		c.flush()
	}
	return true
}

// SetKeepAlive lets the kernel detect an unreachable peer. ackTimeout is how long sent bytes may stay unacknowledged,
// with a resolution of a millisecond; idleTime is how long the peer may be silent before it is probed, in whole seconds.
func (c *Conn) SetKeepAlive(ackTimeout, idleTime time.Duration) {
	if c.fd < 0 {
		return
	}
	set := func(level, option, value int) { _ = unix.SetsockoptInt(c.fd, level, option, value) }
	seconds := max(1, int(idleTime/time.Second))
	set(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout/time.Millisecond))
	set(unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
	set(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, seconds)
	set(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, seconds)
	set(unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveProbes)
}
