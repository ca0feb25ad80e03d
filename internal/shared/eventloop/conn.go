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
	loop                *Loop
	handle              slotmap.Handle
	fd                  int
	handler             Handler
	received, unsent    []byte
	writtenBytes        uint64 // bytes that have gone out
	connecting          bool
	readFirst           bool
	awaitsWritable      bool // waits for room to write
	paused              bool // is not read
	stalled             bool // is not read, and the peer's close waits until it is
	unwatched           bool // has ended while it was stalled
	closeAfterFlush     bool // closes once all is written and the peer has closed too
	lingering           bool // all is written
	closeWriteRequested bool // closes this side once all is written
	writeClosed         bool // has
	peerReadAll         bool // and the peer has read all of it
	discardedBytes      int  // bytes thrown away meanwhile
	lingerTimer         *Timer
	failed              bool             // has failed; Closed is on its way
	readBeforeReset     bool             // what came before a failed write is read
	hungUp              bool             // the peer has closed its side or reset the connection
	reservedBy          *Listener        // that accepted it, of one that stands apart
	descriptors         *descriptorQueue // of one that descriptors pass along
}

// ErrNoDescriptor says that no descriptor was to be had.
var ErrNoDescriptor = errors.New("transport: no descriptor to spare")

// Connect opens a connection to addr. What goes wrong at once is told like all else: by Closed, later.
func (l *Loop) Connect(addr netip.AddrPort, handler Handler) *Conn {
	return l.connect(func() (int, error) { return l.system.Connect(addr) }, handler)
}

// ConnectUnix opens a connection to a unix socket.
func (l *Loop) ConnectUnix(path string, handler Handler) *Conn {
	return l.connect(func() (int, error) { return connectSocket(unix.AF_UNIX, &unix.SockaddrUnix{Name: path}) }, handler)
}

func (l *Loop) connect(begin func() (fd int, err error), handler Handler) *Conn {
	conn := &Conn{loop: l, fd: -1, handler: handler, connecting: true}
	if !l.makeRoom() {
		conn.failLater(ErrNoDescriptor)
		return conn
	}
	fd, err := begin()
	if isDescriptorLimit(err) && l.freeDescriptor() {
		fd, err = begin()
	}
	if isDescriptorLimit(err) {
		err = fmt.Errorf("transport: socket: %w", ErrNoDescriptor)
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

// isDescriptorLimit says whether an error is the want of a descriptor.
func isDescriptorLimit(err error) bool {
	return errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE)
}

func (c *Conn) register(events uint32) error {
	_ = unix.SetsockoptInt(c.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c.handle = c.loop.conns.Insert(c)
	if err := c.loop.watch(unix.EPOLL_CTL_ADD, c.fd, c.handle, events); err != nil {
		c.Close()
		return err
	}
	return nil
}

// Open says whether the connection still holds its socket.
func (c *Conn) Open() bool { return c.fd >= 0 }

// Peer is the address of the other side.
func (c *Conn) Peer() netip.AddrPort { return addrPortOf(unix.Getpeername(c.fd)) }

// ReadFirst has the connection read first in every turn.
func (c *Conn) ReadFirst() {
	c.readFirst = true
	c.loop.readFirst = append(c.loop.readFirst, c)
}

// Bytes is what has come and was not consumed.
func (c *Conn) Bytes() []byte { return c.received }

// Consume drops the first n bytes of what has come.
func (c *Conn) Consume(n int) {
	if c.fd >= 0 {
		c.loop.bufferedBytes -= n
	}
	if c.received = c.received[n:]; len(c.received) == 0 {
		c.received = nil
	}
}

// Unsent is how many bytes given to Write have not gone out.
func (c *Conn) Unsent() int { return len(c.unsent) }

// Written is how many bytes have gone out since the connection came up.
func (c *Conn) Written() uint64 { return c.writtenBytes }

// Alive looks whether the peer still holds an idle connection: one it has closed must not carry a request.
func (c *Conn) Alive() bool {
	if c.fd < 0 || c.failed || c.connecting {
		return false
	}
	_, err := c.loop.system.Peek(c.fd)
	return errors.Is(err, unix.EAGAIN)
}

// Write sends b, now or as the peer takes it. A failure is told by Closed, later.
func (c *Conn) Write(b []byte) {
	if c.fd < 0 || c.failed || c.closeAfterFlush || c.closeWriteRequested {
		return
	}
	if len(c.unsent) == 0 && !c.connecting {
		n, err := c.send(b)
		c.writtenBytes += uint64(n)
		if err != nil {
			c.unsent = append(c.unsent, b[n:]...)
			c.failLater(err)
			return
		}
		b = b[n:]
	}
	if c.unsent = append(c.unsent, b...); len(c.unsent) > 0 {
		c.updateWriteInterest()
	}
}

// writeSocket sends what the socket takes.
func (c *Conn) writeSocket(b []byte) (n int, err error) {
	for n < len(b) {
		count, err := c.loop.system.Write(c.fd, b[n:])
		if count > 0 {
			n += count
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

// updateWriteInterest keeps the events waited for in step with whether there is something to write and whether to read.
func (c *Conn) updateWriteInterest() {
	if c.fd < 0 || c.connecting {
		return
	}
	want := len(c.unsent) > 0
	if want == c.awaitsWritable {
		return
	}
	c.awaitsWritable = want
	c.updateEvents()
}

func (c *Conn) updateEvents() {
	events := uint32(unix.EPOLLRDHUP)
	if !c.paused && !c.stalled {
		events |= unix.EPOLLIN
	}
	if c.awaitsWritable {
		events |= unix.EPOLLOUT
	}
	_ = c.loop.watch(unix.EPOLL_CTL_MOD, c.fd, c.handle, events)
}

// SetPaused leaves what comes to the system's buffers, so that a peer which sends ahead is held back; Resume reads
// on. The peer's close is told all the same.
func (c *Conn) SetPaused(paused bool) {
	if c.paused != paused && c.fd >= 0 && !c.connecting && !c.failed {
		c.paused = paused
		c.updateEvents()
	}
}

// CloseAfterFlush closes once all that was given to Write has gone out and the peer has closed its side, or has
// had the time for it; nothing more is told. What the peer still sends is thrown away.
func (c *Conn) CloseAfterFlush() {
	if c.fd < 0 || c.failed || c.closeAfterFlush {
		return
	}
	c.closeAfterFlush = true
	c.loop.bufferedBytes -= len(c.received)
	c.received = nil
	c.lingerTimer = c.loop.At(c.loop.now+lingerSeconds, c.Close)
	if len(c.unsent) == 0 {
		c.startLinger()
	}
}

// startLinger says that nothing more comes from here and waits for the peer to have read it.
func (c *Conn) startLinger() {
	c.lingering = true
	c.SetPaused(false)
	if err := c.loop.system.ShutdownWrite(c.fd); err != nil {
		c.Close()
		return
	}
	c.loop.lingering = append(c.loop.lingering, c)
	if len(c.loop.lingering) > maxLingering {
		c.loop.lingering[0].Close()
	}
}

// discardReceived throws away what has come.
func (c *Conn) discardReceived() {
	for i := 0; i < maxReadsPerIteration && c.fd >= 0; i++ {
		n, err := c.loop.system.Discard(c.fd, c.loop.readBuffer)
		if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) {
			return
		}
		if c.discardedBytes += n; err != nil || n == 0 || c.discardedBytes > maxLingerDiscardBytes {
			c.Close()
		}
	}
}

// Close ends the connection without a word to its owner.
func (c *Conn) Close() {
	if c.readFirst {
		c.readFirst = false
		for i, u := range c.loop.readFirst {
			if u == c {
				c.loop.readFirst = append(append([]*Conn(nil), c.loop.readFirst[:i]...), c.loop.readFirst[i+1:]...)
				break
			}
		}
	}
	c.lingerTimer.Stop()
	c.descriptors.closeAll()
	if c.lingering {
		c.lingering = false
		c.loop.lingering = slices.DeleteFunc(c.loop.lingering, func(o *Conn) bool { return o == c })
	}
	c.loop.conns.Remove(c.handle)
	if c.reservedBy != nil {
		c.reservedBy.reservedOpen--
		c.loop.reservedSockets--
		c.reservedBy = nil
	}
	if c.fd >= 0 {
		c.loop.system.Close(c.fd)
		c.fd = -1
		c.loop.bufferedBytes -= len(c.received) // the owner may still look at them
	}
	c.handler, c.failed = nil, true
}

// failLater tells the owner of a failure once the event at hand is over.
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

// ReadBeforeReset has what the peer sent before it reset the connection shown to the owner also when a write meets the reset:
// without it those bytes are lost, and with them an answer that came while its request was still being written.
func (c *Conn) ReadBeforeReset() { c.readBeforeReset = true }

// HungUp says whether the peer is known to have closed its side or to have reset the connection, though what it sent
// before may not have been read.
func (c *Conn) HungUp() bool { return c.hungUp }

func (c *Conn) fail(err error) {
	if h := c.handler; h != nil {
		c.Close()
		h.Closed(c, err)
	}
}

func (c *Conn) handleEvent(events uint32) {
	if c.failed {
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
		c.connecting, c.awaitsWritable = false, true
		c.handler.Opened(c)
		if c.fd >= 0 && !c.failed {
			c.flush()
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
	case c.paused && ended: // what it sent ahead is not looked at any more
		c.fail(io.EOF)
	case ended || events&unix.EPOLLIN != 0:
		c.handleReadable()
	}
}

func (c *Conn) flush() {
	n, err := c.send(c.unsent)
	c.writtenBytes += uint64(n)
	c.unsent = c.unsent[n:]
	if err != nil {
		if c.closeAfterFlush {
			c.Close()
			return
		}
		c.failed = true
		c.readRemaining()
		c.fail(err)
		return
	}
	drained := len(c.unsent) == 0 && c.unsent != nil
	if len(c.unsent) == 0 {
		c.unsent = nil
	}
	c.updateWriteInterest()
	if d, ok := c.handler.(Drainer); ok && drained && !c.closeAfterFlush {
		d.Drained(c)
		if c.fd < 0 || c.failed {
			return
		}
	}
	if c.closeAfterFlush && len(c.unsent) == 0 {
		c.startLinger()
	}
	if c.closeWriteRequested && !c.writeClosed && len(c.unsent) == 0 {
		c.shutdownWrite()
	}
}

// deliver shows the owner the n bytes that were read.
func (c *Conn) deliver(n int) {
	c.loop.bufferedBytes += n
	lent := c.loop.ZeroCopyReads && len(c.received) == 0
	if lent {
		c.received = c.loop.readBuffer[:n:n]
	} else {
		c.received = append(c.received, c.loop.readBuffer[:n]...)
	}
	c.handler.Data(c)
	if lent && len(c.received) > 0 {
		c.received = append([]byte(nil), c.received...)
	}
}

func (c *Conn) handleReadable() {
	for i := 0; i < maxReadsPerIteration && c.fd >= 0 && !c.failed && !c.paused && !c.stalled; i++ {
		if c.closeAfterFlush { // the last answer is going out, or has gone: what comes now is nobody's
			c.discardReceived()
			return
		}
		n, err := c.receive()
		switch {
		case n > 0:
			c.deliver(n)
			if n < len(c.loop.readBuffer) {
				return // a hang-up, if any, shows in the next turn
			}
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return
		case err == nil:
			c.notePeerClose()
			c.fail(io.EOF)
		default:
			c.fail(fmt.Errorf("transport: read: %w", err))
		}
	}
}
