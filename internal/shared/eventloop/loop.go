// Package transport is the one epoll loop of the process: sockets, their slots, and every deadline. All of
// it belongs to the goroutine that calls Run; Post alone may be called from another.
package eventloop

import (
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"cinderroad/internal/shared/slotmap"
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

// Drainer is an owner that wants to hear when all that was given to Write has gone out, after some of it had to wait.
type Drainer interface{ Drained(c *Conn) }

// Loop owns the sockets and the deadlines.
type Loop struct {
	Timers
	FreeDescriptor func() bool // frees a descriptor that can be spared; false when there is none

	// ZeroCopyReads has what comes shown to owners where it was read, without a copy, as long as they consume it within Data:
	// nothing of Bytes may be kept beyond that.
	ZeroCopyReads bool

	// OnLateWakeup is told when a turn comes so many seconds later than it was due, before anything else is done in it: the
	// process was stopped, or got no processor. LateWakeupSeconds is how late that is.
	OnLateWakeup      func(late float64)
	LateWakeupSeconds float64

	system     System
	limit      int // sockets that may be open at once
	conns      slotmap.Map[*Conn]
	listeners  slotmap.Map[*Listener]
	sockets    map[uint32]*UDPSocket // of datagrams
	lastSocket uint32
	urgent     []*Conn
	lingering  []*Conn // the oldest first
	held       int     // bytes that have come and were not consumed, over all connections
	apart      int     // sockets of listeners that stand apart
	now, start float64
	anchor     time.Time
	scratch    []byte
	later      []func()
	stopped    bool
	turns      IterationStats

	mu     sync.Mutex
	posted []func()
}

// NewLoop makes a loop that opens at most limit sockets.
func NewLoop(limit int) (*Loop, error) {
	kernel, err := newKernel()
	if err != nil {
		return nil, err
	}
	return NewLoopWithSystem(kernel, limit), nil
}

// NewLoopWithSystem makes a loop over a system other than the kernel, which tests simulate.
func NewLoopWithSystem(system System, limit int) *Loop {
	l := &Loop{system: system, limit: limit, scratch: make([]byte, readSize), sockets: map[uint32]*UDPSocket{}}
	// Unix time at the start, then the monotonic clock: boot_ms compares, and time never goes back.
	l.anchor = system.Now()
	l.start = float64(l.anchor.UnixMicro()) / 1e6
	l.tick()
	return l
}

// Now is the time of this turn: monotonic seconds, anchored to Unix time at the start.
func (l *Loop) Now() float64 { return l.now }

func (l *Loop) tick() { l.now = l.start + l.system.Now().Sub(l.anchor).Seconds() }

// OpenSockets is the number of sockets open, without those of listeners that stand apart.
func (l *Loop) OpenSockets() int { return l.conns.Len() + l.listeners.Len() - l.apart }

// SetSocketLimit changes how many sockets may be open; what is open beyond it stays.
func (l *Loop) SetSocketLimit(limit int) { l.limit = limit }

// SocketLimit is how many sockets may be open.
func (l *Loop) SocketLimit() int { return l.limit }

// BufferedBytes is how many bytes have come and were not consumed, over all connections.
func (l *Loop) BufferedBytes() int { return l.held }

// Post runs do on the loop's goroutine; it may be called from any other.
func (l *Loop) Post(do func()) {
	l.mu.Lock()
	l.posted = append(l.posted, do)
	l.mu.Unlock()
	l.system.Wake()
}

// Defer runs do after the event at hand, so that it re-enters nobody.
func (l *Loop) Defer(do func()) { l.later = append(l.later, do) }

// Stop ends Run after the turn at hand.
func (l *Loop) Stop() { l.stopped = true }

// Run serves until Stop.
func (l *Loop) Run() error {
	defer l.closeAll()
	events := make([]unix.EpollEvent, 256)
	began := l.now // the turn at hand
	for !l.stopped {
		wait, before := -1, began
		if len(l.later) > 0 {
			wait = 0
		} else if at, any := l.next(); any {
			l.tick()
			wait = max(0, int((at-l.now)*1000+0.999))
		}
		n, err := l.system.Wait(events, wait)
		if err != nil {
			return err
		}
		l.tick()
		began = l.now
		// the turn before counts, too: a process may be stopped at any place
		if late := l.now - before - float64(wait)/1000; wait >= 0 && l.OnLateWakeup != nil && late > l.LateWakeupSeconds {
			l.OnLateWakeup(late)
		}
		for _, c := range l.urgent { // whatever the director has written counts as told: read it before anything can send
			if !c.connecting {
				c.readable()
			}
		}
		l.runLater()
		if l.apart > 0 {
			for i := range events[:n] {
				if l.isApart(&events[i]) {
					l.event(events[i])
					l.runLater()
					events[i].Events = 0
				}
			}
		}
		for _, e := range events[:n] {
			if e.Events != 0 {
				l.event(e)
				l.runLater()
			}
		}
		l.run(l.now)
		l.runLater()
		l.turned()
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

// socketHandle names a socket of datagrams in events: slots have a generation in the upper half, which is never 0.
func socketHandle(id uint32) slotmap.Handle { return slotmap.Handle(id) }

func handleOf(e *unix.EpollEvent) slotmap.Handle {
	return slotmap.Handle(uint64(uint32(e.Pad))<<32 | uint64(uint32(e.Fd)))
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
		l.system.ClearWake()
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
	if h>>32 == 0 {
		if s := l.sockets[uint32(h)]; s != nil {
			s.readable()
		}
		return
	}
	if c, ok := l.conns.Get(h); ok {
		c.event(e.Events)
	}
}

func (l *Loop) control(op, fd int, h slotmap.Handle, events uint32) error {
	return l.system.Watch(op, fd, unix.EpollEvent{Events: events, Fd: int32(uint32(h)), Pad: int32(uint32(h >> 32))})
}

func (l *Loop) closeAll() {
	l.conns.Each(func(_ slotmap.Handle, c *Conn) { c.Close() })
	l.listeners.Each(func(_ slotmap.Handle, ln *Listener) { ln.Close() })
	for _, s := range l.sockets {
		s.Close()
	}
	l.system.Release()
}

// room frees a descriptor when all are taken: first that of a peer which has had its last answer.
func (l *Loop) room() bool { return l.OpenSockets() < l.limit || l.spare() }

func (l *Loop) spare() bool {
	if len(l.lingering) > 0 {
		l.lingering[0].Close()
		return true
	}
	return l.FreeDescriptor != nil && l.FreeDescriptor()
}

// sockaddr turns an address into the system's form.
func sockaddr(addr netip.AddrPort) (family int, sa unix.Sockaddr) {
	if ip := addr.Addr().Unmap(); ip.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: ip.As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
}
