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
	wakeHandle           = 0 // epoll data of the wake-up descriptor; no slot handle is 0
	readBufferBytes      = 64 << 10
	maxReadsPerIteration = 4 // reads of one connection in a turn: a fast peer must not hold up the others

	// What a peer still sends after its last answer is thrown away within these bounds: a close at once would
	// reset the connection, and the reset may reach the peer before it has read the answer.
	lingerSeconds         = 2.0
	maxLingerDiscardBytes = 64 << 20
	maxLingering          = 64 // connections that linger; beyond that the oldest goes
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

	system            System
	socketLimit       int // sockets that may be open at once
	conns             slotmap.Map[*Conn]
	listeners         slotmap.Map[*Listener]
	udpSockets        map[uint32]*UDPSocket // of datagrams
	lastUDPSocket     uint32
	readFirst         []*Conn
	lingering         []*Conn // the oldest first
	bufferedBytes     int     // bytes that have come and were not consumed, over all connections
	reservedSockets   int     // sockets of listeners that stand apart
	now, startSeconds float64
	startTime         time.Time
	readBuffer        []byte
	deferred          []func()
	stopped           bool
	iterations        IterationStats

	mutex  sync.Mutex
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
	l := &Loop{system: system, socketLimit: limit, readBuffer: make([]byte, readBufferBytes), udpSockets: map[uint32]*UDPSocket{}}
	// Unix time at the start, then the monotonic clock: boot_ms compares, and time never goes back.
	l.startTime = system.Now()
	l.startSeconds = float64(l.startTime.UnixMicro()) / 1e6
	l.updateTime()
	return l
}

// Now is the time of this turn: monotonic seconds, anchored to Unix time at the start.
func (l *Loop) Now() float64 { return l.now }

func (l *Loop) updateTime() { l.now = l.startSeconds + l.system.Now().Sub(l.startTime).Seconds() }

// OpenSockets is the number of sockets open, without those of listeners that stand apart.
func (l *Loop) OpenSockets() int { return l.conns.Len() + l.listeners.Len() - l.reservedSockets }

// SetSocketLimit changes how many sockets may be open; what is open beyond it stays.
func (l *Loop) SetSocketLimit(limit int) { l.socketLimit = limit }

// SocketLimit is how many sockets may be open.
func (l *Loop) SocketLimit() int { return l.socketLimit }

// BufferedBytes is how many bytes have come and were not consumed, over all connections.
func (l *Loop) BufferedBytes() int { return l.bufferedBytes }

// Post runs do on the loop's goroutine; it may be called from any other.
func (l *Loop) Post(do func()) {
	l.mutex.Lock()
	l.posted = append(l.posted, do)
	l.mutex.Unlock()
	l.system.Wake()
}

// Defer runs do after the event at hand, so that it re-enters nobody.
func (l *Loop) Defer(do func()) { l.deferred = append(l.deferred, do) }

// Stop ends Run after the turn at hand.
func (l *Loop) Stop() { l.stopped = true }

// Run serves until Stop.
func (l *Loop) Run() error {
	defer l.closeAll()
	events := make([]unix.EpollEvent, 256)
	began := l.now // the turn at hand
	for !l.stopped {
		wait, before := -1, began
		if len(l.deferred) > 0 {
			wait = 0
		} else if at, pending := l.nextDue(); pending {
			l.updateTime()
			wait = max(0, int((at-l.now)*1000+0.999))
		}
		n, err := l.system.Wait(events, wait)
		if err != nil {
			return err
		}
		l.updateTime()
		began = l.now
		// the turn before counts, too: a process may be stopped at any place
		if late := l.now - before - float64(wait)/1000; wait >= 0 && l.OnLateWakeup != nil && late > l.LateWakeupSeconds {
			l.OnLateWakeup(late)
		}
		for _, c := range l.readFirst { // whatever the director has written counts as told: read it before anything can send
			if !c.connecting {
				c.handleReadable()
			}
		}
		l.runDeferred()
		if l.reservedSockets > 0 {
			for i := range events[:n] {
				if l.isReserved(&events[i]) {
					l.dispatch(events[i])
					l.runDeferred()
					events[i].Events = 0
				}
			}
		}
		for _, event := range events[:n] {
			if event.Events != 0 {
				l.dispatch(event)
				l.runDeferred()
			}
		}
		l.runDue(l.now)
		l.runDeferred()
		l.endIteration()
	}
	return nil
}

func (l *Loop) runDeferred() {
	for len(l.deferred) > 0 {
		do := l.deferred[0]
		l.deferred = l.deferred[1:]
		do()
	}
}

// udpHandle names a socket of datagrams in events: slots have a generation in the upper half, which is never 0.
func udpHandle(id uint32) slotmap.Handle { return slotmap.Handle(id) }

func eventHandle(event *unix.EpollEvent) slotmap.Handle {
	return slotmap.Handle(uint64(uint32(event.Pad))<<32 | uint64(uint32(event.Fd)))
}

// isReserved says whether an event is of a listener that stands apart, or of one of its connections.
func (l *Loop) isReserved(event *unix.EpollEvent) bool {
	h := eventHandle(event)
	if h>>63 == 1 {
		ln, ok := l.listeners.Get(h &^ (1 << 63))
		return ok && ln.reservedLimit > 0
	}
	c, ok := l.conns.Get(h)
	return ok && c.reservedBy != nil
}

func (l *Loop) dispatch(event unix.EpollEvent) {
	handle := eventHandle(&event)
	if handle == wakeHandle {
		l.system.ClearWake()
		l.mutex.Lock()
		posted := l.posted
		l.posted = nil
		l.mutex.Unlock()
		for _, do := range posted {
			do()
		}
		return
	}
	if handle>>63 == 1 {
		if ln, ok := l.listeners.Get(handle &^ (1 << 63)); ok {
			ln.acceptPending()
		}
		return
	}
	if handle>>32 == 0 {
		if s := l.udpSockets[uint32(handle)]; s != nil {
			s.handleReadable()
		}
		return
	}
	if c, ok := l.conns.Get(handle); ok {
		c.handleEvent(event.Events)
	}
}

func (l *Loop) watch(operation, fd int, handle slotmap.Handle, events uint32) error {
	return l.system.Watch(operation, fd, unix.EpollEvent{Events: events, Fd: int32(uint32(handle)), Pad: int32(uint32(handle >> 32))})
}

func (l *Loop) closeAll() {
	l.conns.Each(func(_ slotmap.Handle, c *Conn) { c.Close() })
	l.listeners.Each(func(_ slotmap.Handle, ln *Listener) { ln.Close() })
	for _, s := range l.udpSockets {
		s.Close()
	}
	l.system.Release()
}

// makeRoom frees a descriptor when all are taken: first that of a peer which has had its last answer.
func (l *Loop) makeRoom() bool { return l.OpenSockets() < l.socketLimit || l.freeDescriptor() }

func (l *Loop) freeDescriptor() bool {
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
