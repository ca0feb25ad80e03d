package eventloop

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"

	"golang.org/x/sys/unix"

	"cinderroad/internal/shared/slotmap"
)

// Conn is one connection.
type Conn struct {
	loop       *Loop
	h          slotmap.Handle
	fd         int
	handler    Handler
	in, out    []byte
	written    uint64 // bytes that have gone out
	connecting bool
	urgent     bool
	writing    bool // waits for room to write
	paused     bool // is not read
	stalled    bool // is not read, and the peer's close waits until it is
	unwatched  bool // has ended while it was stalled
	closing    bool // closes once all is written and the peer has closed too
	lingers    bool // all is written
	finishing  bool // closes this side once all is written
	finished   bool // has
	whole      bool // and the peer has read all of it
	discarded  int  // bytes thrown away meanwhile
	limit      *Timer
	broken     bool      // has failed; Closed is on its way
	readsLast  bool      // what came before a failed write is read
	hungUp     bool      // the peer has closed its side or reset the connection
	home       *Listener // that accepted it, of one that stands apart
	rights     *rights   // of one that descriptors pass along
}

// ErrNoDescriptor says that no descriptor was to be had.
var ErrNoDescriptor = errors.New("transport: no descriptor to spare")

// Connect opens a connection to addr. What goes wrong at once is told like all else: by Closed, later.
func (l *Loop) Connect(addr netip.AddrPort, h Handler) *Conn {
	return l.connect(func() (int, error) { return l.system.Connect(addr) }, h)
}

// ConnectUnix opens a connection to a unix socket.
func (l *Loop) ConnectUnix(path string, h Handler) *Conn {
	return l.connect(func() (int, error) { return connectSocket(unix.AF_UNIX, &unix.SockaddrUnix{Name: path}) }, h)
}

func (l *Loop) connect(begin func() (fd int, err error), h Handler) *Conn {
	c := &Conn{loop: l, fd: -1, handler: h, connecting: true}
	if !l.room() {
		c.breakLater(ErrNoDescriptor)
		return c
	}
	fd, err := begin()
	if noDescriptor(err) && l.spare() {
		fd, err = begin()
	}
	if noDescriptor(err) {
		err = fmt.Errorf("transport: socket: %w", ErrNoDescriptor)
	}
	if err != nil {
		c.breakLater(err)
		return c
	}
	c.fd = fd
	if err := c.register(unix.EPOLLIN | unix.EPOLLOUT | unix.EPOLLRDHUP); err != nil {
		c.breakLater(err)
	}
	return c
}

// noDescriptor says whether an error is the want of a descriptor.
func noDescriptor(err error) bool { return errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE) }

func (c *Conn) register(events uint32) error {
	_ = unix.SetsockoptInt(c.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c.h = c.loop.conns.Insert(c)
	if err := c.loop.control(unix.EPOLL_CTL_ADD, c.fd, c.h, events); err != nil {
		c.Close()
		return err
	}
	return nil
}

// Open says whether the connection still holds its socket.
func (c *Conn) Open() bool { return c.fd >= 0 }

// Peer is the address of the other side.
func (c *Conn) Peer() netip.AddrPort { return address(unix.Getpeername(c.fd)) }

// ReadFirst has the connection read first in every turn.
func (c *Conn) ReadFirst() {
	c.urgent = true
	c.loop.urgent = append(c.loop.urgent, c)
}

// Bytes is what has come and was not consumed.
func (c *Conn) Bytes() []byte { return c.in }

// Consume drops the first n bytes of what has come.
func (c *Conn) Consume(n int) {
	if c.fd >= 0 {
		c.loop.held -= n
	}
	if c.in = c.in[n:]; len(c.in) == 0 {
		c.in = nil
	}
}

// Unsent is how many bytes given to Write have not gone out.
func (c *Conn) Unsent() int { return len(c.out) }

// Written is how many bytes have gone out since the connection came up.
func (c *Conn) Written() uint64 { return c.written }

// Alive looks whether the peer still holds an idle connection: one it has closed must not carry a request.
func (c *Conn) Alive() bool {
	if c.fd < 0 || c.broken || c.connecting {
		return false
	}
	_, err := c.loop.system.Peek(c.fd)
	return errors.Is(err, unix.EAGAIN)
}

// Write sends b, now or as the peer takes it. A failure is told by Closed, later.
func (c *Conn) Write(b []byte) {
	if c.fd < 0 || c.broken || c.closing || c.finishing {
		return
	}
	if len(c.out) == 0 && !c.connecting {
		n, err := c.push(b)
		c.written += uint64(n)
		if err != nil {
			c.out = append(c.out, b[n:]...)
			c.breakLater(err)
			return
		}
		b = b[n:]
	}
	if c.out = append(c.out, b...); len(c.out) > 0 {
		c.arm()
	}
}

// write sends what the socket takes.
func (c *Conn) write(b []byte) (n int, err error) {
	for n < len(b) {
		m, err := c.loop.system.Write(c.fd, b[n:])
		if m > 0 {
			n += m
		}
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if errors.Is(err, unix.EAGAIN) {
			return n, nil
		}
		if err != nil {
			return n, fmt.Errorf("transport: write: %w", err)
		}
	}
	return n, nil
}

// arm keeps the events waited for in step with whether there is something to write and whether to read.
func (c *Conn) arm() {
	if c.fd < 0 || c.connecting {
		return
	}
	want := len(c.out) > 0
	if want == c.writing {
		return
	}
	c.writing = want
	c.wait()
}

func (c *Conn) wait() {
	events := uint32(unix.EPOLLRDHUP)
	if !c.paused && !c.stalled {
		events |= unix.EPOLLIN
	}
	if c.writing {
		events |= unix.EPOLLOUT
	}
	_ = c.loop.control(unix.EPOLL_CTL_MOD, c.fd, c.h, events)
}

// SetPaused leaves what comes to the system's buffers, so that a peer which sends ahead is held back; Resume reads
// on. The peer's close is told all the same.
func (c *Conn) SetPaused(on bool) {
	if c.paused != on && c.fd >= 0 && !c.connecting && !c.broken {
		c.paused = on
		c.wait()
	}
}

// CloseAfterFlush closes once all that was given to Write has gone out and the peer has closed its side, or has
// had the time for it; nothing more is told. What the peer still sends is thrown away.
func (c *Conn) CloseAfterFlush() {
	if c.fd < 0 || c.broken || c.closing {
		return
	}
	c.closing = true
	c.loop.held -= len(c.in)
	c.in = nil
	c.limit = c.loop.At(c.loop.now+lingerTime, c.Close)
	if len(c.out) == 0 {
		c.linger()
	}
}

// linger says that nothing more comes from here and waits for the peer to have read it.
func (c *Conn) linger() {
	c.lingers = true
	c.SetPaused(false)
	if err := c.loop.system.ShutdownWrite(c.fd); err != nil {
		c.Close()
		return
	}
	c.loop.lingering = append(c.loop.lingering, c)
	if len(c.loop.lingering) > mostLinger {
		c.loop.lingering[0].Close()
	}
}

// discard throws away what has come.
func (c *Conn) discard() {
	for i := 0; i < readRounds && c.fd >= 0; i++ {
		n, err := c.loop.system.Discard(c.fd, c.loop.scratch)
		if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) {
			return
		}
		if c.discarded += n; err != nil || n == 0 || c.discarded > lingerBytes {
			c.Close()
		}
	}
}

// Close ends the connection without a word to its owner.
func (c *Conn) Close() {
	if c.urgent {
		c.urgent = false
		for i, u := range c.loop.urgent {
			if u == c {
				c.loop.urgent = append(append([]*Conn(nil), c.loop.urgent[:i]...), c.loop.urgent[i+1:]...)
				break
			}
		}
	}
	c.limit.Stop()
	c.rights.drop()
	if c.lingers {
		c.lingers = false
		c.loop.lingering = slices.DeleteFunc(c.loop.lingering, func(o *Conn) bool { return o == c })
	}
	c.loop.conns.Remove(c.h)
	if c.home != nil {
		c.home.open--
		c.loop.apart--
		c.home = nil
	}
	if c.fd >= 0 {
		c.loop.system.Close(c.fd)
		c.fd = -1
		c.loop.held -= len(c.in) // the owner may still look at them
	}
	c.handler, c.broken = nil, true
}

// breakLater tells the owner of a failure once the event at hand is over.
func (c *Conn) breakLater(err error) {
	if c.broken {
		return
	}
	c.broken = true
	c.loop.Defer(func() {
		c.readLast()
		c.fail(err)
	})
}

// ReadBeforeReset has what the peer sent before it reset the connection shown to the owner also when a write meets the reset:
// without it those bytes are lost, and with them an answer that came while its request was still being written.
func (c *Conn) ReadBeforeReset() { c.readsLast = true }

// HungUp says whether the peer is known to have closed its side or to have reset the connection, though what it sent
// before may not have been read.
func (c *Conn) HungUp() bool { return c.hungUp }

func (c *Conn) fail(err error) {
	if h := c.handler; h != nil {
		c.Close()
		h.Closed(c, err)
	}
}

func (c *Conn) event(events uint32) {
	if c.broken {
		return
	}
	if c.connecting {
		if err := c.loop.system.SocketError(c.fd); err != nil {
			c.fail(fmt.Errorf("transport: connect: %w", err))
			return
		}
		if events&(unix.EPOLLOUT|unix.EPOLLIN) == 0 {
			return
		}
		c.connecting, c.writing = false, true
		c.handler.Opened(c)
		if c.fd >= 0 && !c.broken {
			c.flush()
		}
	} else if events&unix.EPOLLOUT != 0 {
		c.flush()
	}
	ended := events&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0
	c.hungUp = c.hungUp || ended
	switch {
	case c.fd < 0 || c.broken:
	case c.stalled && ended:
		c.unwatch()
	case c.paused && ended: // what it sent ahead is not looked at any more
		c.fail(io.EOF)
	case ended || events&unix.EPOLLIN != 0:
		c.readable()
	}
}

func (c *Conn) flush() {
	n, err := c.push(c.out)
	c.written += uint64(n)
	c.out = c.out[n:]
	if err != nil {
		if c.closing {
			c.Close()
			return
		}
		c.broken = true
		c.readLast()
		c.fail(err)
		return
	}
	drained := len(c.out) == 0 && c.out != nil
	if len(c.out) == 0 {
		c.out = nil
	}
	c.arm()
	if d, ok := c.handler.(Drainer); ok && drained && !c.closing {
		d.Drained(c)
		if c.fd < 0 || c.broken {
			return
		}
	}
	if c.closing && len(c.out) == 0 {
		c.linger()
	}
	if c.finishing && !c.finished && len(c.out) == 0 {
		c.finish()
	}
}

// take shows the owner the n bytes that were read.
func (c *Conn) take(n int) {
	c.loop.held += n
	lent := c.loop.ZeroCopyReads && len(c.in) == 0
	if lent {
		c.in = c.loop.scratch[:n:n]
	} else {
		c.in = append(c.in, c.loop.scratch[:n]...)
	}
	c.handler.Data(c)
	if lent && len(c.in) > 0 {
		c.in = append([]byte(nil), c.in...)
	}
}

func (c *Conn) readable() {
	for i := 0; i < readRounds && c.fd >= 0 && !c.broken && !c.paused && !c.stalled; i++ {
		if c.closing { // the last answer is going out, or has gone: what comes now is nobody's
			c.discard()
			return
		}
		n, err := c.pull()
		switch {
		case n > 0:
			c.take(n)
			if n < len(c.loop.scratch) {
				return // a hang-up, if any, shows in the next turn
			}
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return
		case err == nil:
			c.ended()
			c.fail(io.EOF)
		default:
			c.fail(fmt.Errorf("transport: read: %w", err))
		}
	}
}
