// Package transport is the one epoll loop of the process: sockets, their slots, and every deadline. All of
// it belongs to the goroutine that calls Run; Post alone may be called from another.
package transport

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"cinderroad/internal/slots"
)

const (
	wakeHandle = 0 // epoll data of the wake-up descriptor; no slot handle is 0
	readSize   = 64 << 10
	readRounds = 4 // reads of one connection in a turn: a fast peer must not hold up the others

	// What a peer still sends after its last answer is thrown away within these bounds: a close at once would
	// reset the connection, and the reset may reach the peer before it has read the answer.
	lingerTime  = 2.0
	lingerBytes = 64 << 20
	mostLinger  = 64 // connections that linger; beyond that the oldest goes
)

// Handler is what a connection tells its owner. After a Close of its own the owner hears nothing more.
type Handler interface {
	Opened(c *Conn)            // an outgoing connection is up
	Data(c *Conn)              // bytes were added to what Bytes returns
	Closed(c *Conn, err error) // the connection ended or never came up
}

// Loop owns the sockets and the deadlines.
type Loop struct {
	Deadlines
	Shed func() bool // frees a descriptor that can be spared; false when there is none

	epoll, wake int
	limit       int // sockets that may be open at once
	conns       slots.Table[*Conn]
	listeners   slots.Table[*Listener]
	urgent      []*Conn
	lingering   []*Conn // the oldest first
	held        int     // bytes that have come and were not consumed, over all connections
	apart       int     // sockets of listeners that stand apart
	now, start  float64
	anchor      time.Time
	scratch     []byte
	later       []func()
	stopped     bool

	mu     sync.Mutex
	posted []func()
}

// NewLoop makes a loop that opens at most limit sockets.
func NewLoop(limit int) (*Loop, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("transport: epoll: %w", err)
	}
	wake, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		unix.Close(epoll)
		return nil, fmt.Errorf("transport: eventfd: %w", err)
	}
	l := &Loop{epoll: epoll, wake: wake, limit: limit, scratch: make([]byte, readSize)}
	// Unix time at the start, then the monotonic clock: boot_ms compares, and time never goes back.
	l.anchor = time.Now()
	l.start = float64(l.anchor.UnixMicro()) / 1e6
	l.tick()
	if err := l.control(unix.EPOLL_CTL_ADD, wake, wakeHandle, unix.EPOLLIN); err != nil {
		return nil, err
	}
	return l, nil
}

// Now is the time of this turn: monotonic seconds, anchored to Unix time at the start.
func (l *Loop) Now() float64 { return l.now }

func (l *Loop) tick() { l.now = l.start + time.Since(l.anchor).Seconds() }

// Open is the number of sockets open, without those of listeners that stand apart.
func (l *Loop) Open() int { return l.conns.Len() + l.listeners.Len() - l.apart }

// SetLimit changes how many sockets may be open; what is open beyond it stays.
func (l *Loop) SetLimit(limit int) { l.limit = limit }

// Limit is how many sockets may be open.
func (l *Loop) Limit() int { return l.limit }

// Held is how many bytes have come and were not consumed, over all connections.
func (l *Loop) Held() int { return l.held }

// Post runs do on the loop's goroutine; it may be called from any other.
func (l *Loop) Post(do func()) {
	l.mu.Lock()
	l.posted = append(l.posted, do)
	l.mu.Unlock()
	one := [8]byte{1}
	_, _ = unix.Write(l.wake, one[:])
}

// Later runs do after the event at hand, so that it re-enters nobody.
func (l *Loop) Later(do func()) { l.later = append(l.later, do) }

// Stop ends Run after the turn at hand.
func (l *Loop) Stop() { l.stopped = true }

// Run serves until Stop.
func (l *Loop) Run() error {
	defer l.closeAll()
	events := make([]unix.EpollEvent, 256)
	for !l.stopped {
		wait := -1
		if len(l.later) > 0 {
			wait = 0
		} else if at, any := l.next(); any {
			l.tick()
			wait = max(0, int((at-l.now)*1000+0.999))
		}
		n, err := unix.EpollWait(l.epoll, events, wait)
		if err != nil && !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("transport: epoll wait: %w", err)
		}
		l.tick()
		for _, c := range l.urgent { // whatever the director has written counts as told: read it before anything can send
			if !c.connecting {
				c.readable()
			}
		}
		l.runLater()
		if l.apart > 0 {
			for i := range events[:max(n, 0)] {
				if l.isApart(&events[i]) {
					l.event(events[i])
					l.runLater()
					events[i].Events = 0
				}
			}
		}
		for _, e := range events[:max(n, 0)] {
			if e.Events != 0 {
				l.event(e)
				l.runLater()
			}
		}
		l.run(l.now)
		l.runLater()
	}
	return nil
}

func (l *Loop) runLater() {
	for len(l.later) > 0 {
		do := l.later[0]
		l.later = l.later[1:]
		do()
	}
}

func handleOf(e *unix.EpollEvent) slots.Handle {
	return slots.Handle(uint64(uint32(e.Pad))<<32 | uint64(uint32(e.Fd)))
}

// isApart says whether an event is of a listener that stands apart, or of one of its connections.
func (l *Loop) isApart(e *unix.EpollEvent) bool {
	h := handleOf(e)
	if h>>63 == 1 {
		ln, ok := l.listeners.Get(h &^ (1 << 63))
		return ok && ln.most > 0
	}
	c, ok := l.conns.Get(h)
	return ok && c.home != nil
}

func (l *Loop) event(e unix.EpollEvent) {
	h := handleOf(&e)
	if h == wakeHandle {
		var count [8]byte
		_, _ = unix.Read(l.wake, count[:])
		l.mu.Lock()
		posted := l.posted
		l.posted = nil
		l.mu.Unlock()
		for _, do := range posted {
			do()
		}
		return
	}
	if h>>63 == 1 {
		if ln, ok := l.listeners.Get(h &^ (1 << 63)); ok {
			ln.accept()
		}
		return
	}
	if c, ok := l.conns.Get(h); ok {
		c.event(e.Events)
	}
}

func (l *Loop) control(op, fd int, h slots.Handle, events uint32) error {
	e := unix.EpollEvent{Events: events, Fd: int32(uint32(h)), Pad: int32(uint32(h >> 32))}
	if err := unix.EpollCtl(l.epoll, op, fd, &e); err != nil {
		return fmt.Errorf("transport: epoll ctl: %w", err)
	}
	return nil
}

func (l *Loop) closeAll() {
	l.conns.Each(func(_ slots.Handle, c *Conn) { c.Close() })
	l.listeners.Each(func(_ slots.Handle, ln *Listener) { ln.Close() })
	unix.Close(l.wake)
	unix.Close(l.epoll)
}

// room frees a descriptor when all are taken: first that of a peer which has had its last answer.
func (l *Loop) room() bool { return l.Open() < l.limit || l.spare() }

func (l *Loop) spare() bool {
	if len(l.lingering) > 0 {
		l.lingering[0].Close()
		return true
	}
	return l.Shed != nil && l.Shed()
}

// sockaddr turns an address into the system's form.
func sockaddr(addr netip.AddrPort) (family int, sa unix.Sockaddr) {
	if ip := addr.Addr().Unmap(); ip.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: ip.As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
}

// Listener accepts connections.
type Listener struct {
	loop   *Loop
	h      slots.Handle
	fd     int
	take   func(c *Conn) Handler
	paused bool

	suspended bool // others accept

	most int         // connections that may be open of one that stands apart; 0 is one that does not
	open int         // of them
	give func() bool // closes one of them
}

// Listen accepts connections at addr; take names the owner of each.
func (l *Loop) Listen(addr netip.AddrPort, take func(c *Conn) Handler) (*Listener, error) {
	family, sa := sockaddr(addr)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("transport: socket: %w", err)
	}
	// A restart must get its old address although the last life's connections linger.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err := unix.Bind(fd, sa); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("transport: bind %s: %w", addr, err)
	}
	if err := unix.Listen(fd, 1024); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("transport: listen %s: %w", addr, err)
	}
	return l.listen(fd, take)
}

func (l *Loop) listen(fd int, take func(c *Conn) Handler) (*Listener, error) {
	ln := &Listener{loop: l, fd: fd, take: take}
	ln.h = l.listeners.Put(ln)
	if err := l.control(unix.EPOLL_CTL_ADD, fd, ln.h|1<<63, unix.EPOLLIN); err != nil {
		ln.Close()
		return nil, err
	}
	return ln, nil
}

// ListenApart accepts connections at addr whatever others hold: at most so many are open, give closes one of them
// that can be spared, and what happens on them is handled first in each turn.
func (l *Loop) ListenApart(addr netip.AddrPort, most int, give func() bool, take func(c *Conn) Handler) (*Listener, error) {
	ln, err := l.Listen(addr, take)
	if err != nil {
		return nil, err
	}
	ln.most, ln.give = most, give
	l.apart++
	return ln, nil
}

// Inherit accepts connections on a socket that was handed to this process and that others listen on, too.
func (l *Loop) Inherit(fd int, take func(c *Conn) Handler) (*Listener, error) {
	if on, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil {
		return nil, fmt.Errorf("transport: descriptor %d: %w", fd, err)
	} else if on == 0 {
		return nil, fmt.Errorf("transport: descriptor %d does not listen", fd)
	}
	unix.CloseOnExec(fd)
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, fmt.Errorf("transport: descriptor %d: %w", fd, err)
	}
	return l.listen(fd, take)
}

// Addr is the address the listener has.
func (ln *Listener) Addr() netip.AddrPort { return address(unix.Getsockname(ln.fd)) }

func address(sa unix.Sockaddr, err error) netip.AddrPort {
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
	if ln.loop.listeners.Drop(ln.h) {
		if ln.most > 0 {
			ln.loop.apart--
		}
		// Closing alone would not end the events of a socket that others hold, too.
		_ = ln.loop.control(unix.EPOLL_CTL_DEL, ln.fd, 0, 0)
		unix.Close(ln.fd)
	}
}

// Suspend leaves the callers to others who listen on the same socket, until Resume.
func (ln *Listener) Suspend(on bool) {
	if _, open := ln.loop.listeners.Get(ln.h); !open || ln.suspended == on {
		return
	}
	ln.suspended = on
	events := uint32(unix.EPOLLIN)
	if on || ln.paused {
		events = 0
	}
	_ = ln.loop.control(unix.EPOLL_CTL_MOD, ln.fd, ln.h|1<<63, events)
}

// Dup is another descriptor of the socket, to be handed to another process.
func (ln *Listener) Dup() (int, error) {
	fd, err := unix.FcntlInt(uintptr(ln.fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return -1, fmt.Errorf("transport: dup: %w", err)
	}
	return fd, nil
}

// room makes room for one more connection.
func (ln *Listener) room() bool {
	if ln.most == 0 {
		return ln.loop.room()
	}
	return ln.open < ln.most || ln.give()
}

func (ln *Listener) accept() {
	for i := 0; i < 64 && !ln.suspended; i++ {
		if !ln.room() {
			ln.pause()
			return
		}
		fd, _, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
			c := &Conn{loop: ln.loop, fd: fd}
			if ln.most > 0 {
				c.home = ln
				ln.open++
				ln.loop.apart++
			}
			if c.register(unix.EPOLLIN|unix.EPOLLRDHUP) != nil {
				continue
			}
			c.handler = ln.take(c)
		case errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE) || errors.Is(err, unix.ENOBUFS) || errors.Is(err, unix.ENOMEM):
			if !ln.loop.spare() {
				ln.pause()
				return
			}
		case errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED):
		default:
			return
		}
	}
}

// pause leaves callers in the backlog for a moment: with no descriptor to spare the loop would only spin.
func (ln *Listener) pause() {
	if ln.paused {
		return
	}
	ln.paused = true
	_ = ln.loop.control(unix.EPOLL_CTL_MOD, ln.fd, ln.h|1<<63, 0)
	ln.loop.At(ln.loop.now+0.01, func() {
		ln.paused = false
		if _, open := ln.loop.listeners.Get(ln.h); open && !ln.suspended {
			_ = ln.loop.control(unix.EPOLL_CTL_MOD, ln.fd, ln.h|1<<63, unix.EPOLLIN)
		}
	})
}

// Conn is one connection.
type Conn struct {
	loop       *Loop
	h          slots.Handle
	fd         int
	handler    Handler
	in, out    []byte
	written    uint64 // bytes that have gone out
	connecting bool
	urgent     bool
	writing    bool // waits for room to write
	paused     bool // is not read
	closing    bool // closes once all is written and the peer has closed too
	lingers    bool // all is written
	discarded  int  // bytes thrown away meanwhile
	limit      *Deadline
	broken     bool      // has failed; Closed is on its way
	home       *Listener // that accepted it, of one that stands apart
	rights     *rights   // of one that descriptors pass along
}

// ErrNoRoom says that no descriptor was to be had.
var ErrNoRoom = errors.New("transport: no descriptor to spare")

// Connect opens a connection to addr. What goes wrong at once is told like all else: by Closed, later.
func (l *Loop) Connect(addr netip.AddrPort, h Handler) *Conn {
	return l.connect(func() (int, unix.Sockaddr) { return sockaddr(addr) }, h)
}

// ConnectUnix opens a connection to a unix socket.
func (l *Loop) ConnectUnix(path string, h Handler) *Conn {
	return l.connect(func() (int, unix.Sockaddr) { return unix.AF_UNIX, &unix.SockaddrUnix{Name: path} }, h)
}

func (l *Loop) connect(to func() (int, unix.Sockaddr), h Handler) *Conn {
	c := &Conn{loop: l, fd: -1, handler: h, connecting: true}
	if !l.room() {
		c.breakLater(ErrNoRoom)
		return c
	}
	family, sa := to()
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if (errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE)) && l.spare() {
		fd, err = unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	}
	if errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE) {
		err = ErrNoRoom
	}
	if err != nil {
		c.breakLater(fmt.Errorf("transport: socket: %w", err))
		return c
	}
	c.fd = fd
	if err := unix.Connect(fd, sa); err != nil && !errors.Is(err, unix.EINPROGRESS) {
		unix.Close(fd)
		c.fd = -1
		c.breakLater(fmt.Errorf("transport: connect: %w", err))
		return c
	}
	if err := c.register(unix.EPOLLIN | unix.EPOLLOUT | unix.EPOLLRDHUP); err != nil {
		c.breakLater(err)
	}
	return c
}

func (c *Conn) register(events uint32) error {
	_ = unix.SetsockoptInt(c.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c.h = c.loop.conns.Put(c)
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

// Urgent has the connection read first in every turn.
func (c *Conn) Urgent() {
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
	var b [1]byte
	_, _, err := unix.Recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return errors.Is(err, unix.EAGAIN)
}

// Write sends b, now or as the peer takes it. A failure is told by Closed, later.
func (c *Conn) Write(b []byte) {
	if c.fd < 0 || c.broken || c.closing {
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
func write(fd int, b []byte) (n int, err error) {
	for n < len(b) {
		m, err := unix.Write(fd, b[n:])
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
	if !c.paused {
		events |= unix.EPOLLIN
	}
	if c.writing {
		events |= unix.EPOLLOUT
	}
	_ = c.loop.control(unix.EPOLL_CTL_MOD, c.fd, c.h, events)
}

// Pause leaves what comes to the system's buffers, so that a peer which sends ahead is held back; Resume reads
// on. The peer's close is told all the same.
func (c *Conn) Pause(on bool) {
	if c.paused != on && c.fd >= 0 && !c.connecting && !c.broken {
		c.paused = on
		c.wait()
	}
}

// CloseWhenSent closes once all that was given to Write has gone out and the peer has closed its side, or has
// had the time for it; nothing more is told. What the peer still sends is thrown away.
func (c *Conn) CloseWhenSent() {
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
	c.Pause(false)
	if err := unix.Shutdown(c.fd, unix.SHUT_WR); err != nil {
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
		n, _, err := unix.Recvfrom(c.fd, c.loop.scratch, unix.MSG_TRUNC|unix.MSG_DONTWAIT) // nothing is copied
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
	c.loop.conns.Drop(c.h)
	if c.home != nil {
		c.home.open--
		c.loop.apart--
		c.home = nil
	}
	if c.fd >= 0 {
		unix.Close(c.fd)
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
	c.loop.Later(func() { c.fail(err) })
}

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
		code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
		if err == nil && code != 0 {
			err = unix.Errno(code)
		}
		if err != nil {
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
	switch ended := events&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0; {
	case c.fd < 0 || c.broken:
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
		} else {
			c.fail(err)
		}
		return
	}
	if len(c.out) == 0 {
		c.out = nil
	}
	c.arm()
	if c.closing && len(c.out) == 0 {
		c.linger()
	}
}

func (c *Conn) readable() {
	for i := 0; i < readRounds && c.fd >= 0 && !c.broken && !c.paused; i++ {
		if c.closing { // the last answer is going out, or has gone: what comes now is nobody's
			c.discard()
			return
		}
		n, err := c.pull()
		switch {
		case n > 0:
			c.in = append(c.in, c.loop.scratch[:n]...)
			c.loop.held += n
			c.handler.Data(c)
			if n < len(c.loop.scratch) {
				return // a hang-up, if any, shows in the next turn
			}
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return
		case err == nil:
			c.fail(io.EOF)
		default:
			c.fail(fmt.Errorf("transport: read: %w", err))
		}
	}
}
