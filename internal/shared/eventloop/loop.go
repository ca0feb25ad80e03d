package eventloop

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"cinderroad/internal/shared/slotmap"
)

const (
	readBufferBytes  = 64 << 10
	maxEventsPerWait = 256

	// Per iteration, so that a fast peer or a burst of clients does not delay the others.
	maxReadsPerIteration   = 4 // of one connection
	maxAcceptsPerIteration = 64

	// acceptPauseSeconds is how long a listener rests when no descriptor is available.
	acceptPauseSeconds = 0.01

	// keepAliveProbes is how many unanswered keep-alive probes end a connection.
	keepAliveProbes = 3

	// Bounds of a lingering close: what a peer sends after its last response is discarded. Closing at once would reset
	// the connection, and the reset may reach the peer before it has read the response.
	lingerSeconds         = 2.0
	maxLingerDiscardBytes = 64 << 20
	maxLingering          = 64 // connections; beyond that the oldest is closed
)

// Handles of epoll events. Handles of connections and listeners are those of their slots, listeners with listenerFlag.
// Slots have a generation in the upper half, which is never 0; smaller numbers are UDP sockets.
const (
	wakeHandle   = 0
	listenerFlag = 1 << 63
)

// Handler receives the events of a connection. After its owner has closed the connection there are none.
type Handler interface {
	Opened(c *Conn)            // an outgoing connection is established
	Data(c *Conn)              // bytes were added to those that Bytes returns
	Closed(c *Conn, err error) // the connection has ended or was never established
}

// Drainer is a Handler that is also notified when everything given to Write has been sent after some of it was buffered.
type Drainer interface{ Drained(c *Conn) }

// Loop owns the sockets and timers. Set the exported fields before Run.
type Loop struct {
	Timers
	FreeDescriptor func() bool // closes a connection that can be spared; false if there is none

	// ZeroCopyReads passes received bytes to handlers without copying them, as long as they consume them within Data.
	// A handler must not retain what Bytes returns beyond that.
	ZeroCopyReads bool

	// OnLateWakeup is called when an iteration starts more than LateWakeupSeconds late, before anything else in it: the
	// process was stopped or got no CPU.
	OnLateWakeup      func(late float64)
	LateWakeupSeconds float64

	system          System
	socketLimit     int
	conns           slotmap.Map[*Conn]
	listeners       slotmap.Map[*Listener]
	udpSockets      map[uint32]*UDPSocket // by the number in their handle
	lastUDPSocket   uint32
	readFirst       []*Conn   // see Conn.ReadFirst
	lingering       []*Conn   // oldest first
	bufferedBytes   int       // received and not consumed, over all connections
	reservedSockets int       // reserved listeners and their connections
	now             float64   // see Now
	startSeconds    float64   // Unix time at which the loop was created
	startTime       time.Time // of System's clock, at startSeconds
	readBuffer      []byte
	deferred        []func() // see Defer
	stopped         bool
	iterations      IterationStats

	mutex  sync.Mutex
	posted []func() // see Post
}

// NewLoop creates a loop that has at most limit sockets open.
func NewLoop(limit int) (*Loop, error) {
	kernel, err := newKernel()
	if err != nil {
		return nil, err
	}
	return NewLoopWithSystem(kernel, limit), nil
}

// NewLoopWithSystem creates a loop over another System than the kernel, for simulations.
func NewLoopWithSystem(system System, limit int) *Loop {
	l := &Loop{
		system:      system,
		socketLimit: limit,
		readBuffer:  make([]byte, readBufferBytes),
		udpSockets:  map[uint32]*UDPSocket{},
	}
	// Unix time at the start plus the monotonic clock: times are comparable with boot_ms and never go back.
	l.startTime = system.Now()
	l.startSeconds = float64(l.startTime.UnixMicro()) / 1e6
	l.updateTime()
	return l
}

// Now returns the time at which this iteration started, or at which its last datagram was received: monotonic seconds,
// anchored to Unix time at the loop's start.
func (l *Loop) Now() float64 { return l.now }

func (l *Loop) updateTime() { l.now = l.startSeconds + l.system.Now().Sub(l.startTime).Seconds() }

// OpenSockets returns the number of open sockets, without those of reserved listeners.
func (l *Loop) OpenSockets() int { return l.conns.Len() + l.listeners.Len() - l.reservedSockets }

// SetSocketLimit changes the limit of open sockets. Sockets beyond it stay open.
func (l *Loop) SetSocketLimit(limit int) { l.socketLimit = limit }

// SocketLimit returns the limit of open sockets.
func (l *Loop) SocketLimit() int { return l.socketLimit }

// BufferedBytes returns how many received bytes were not consumed, over all connections.
func (l *Loop) BufferedBytes() int { return l.bufferedBytes }

// Post runs do on the loop's goroutine. It may be called from any goroutine, also after Run has ended: do is not run then.
func (l *Loop) Post(do func()) {
	l.mutex.Lock()
	l.posted = append(l.posted, do)
	l.mutex.Unlock()
	l.system.Wake()
}

// Defer runs do after the current event has been handled, so that it does not re-enter its caller.
func (l *Loop) Defer(do func()) { l.deferred = append(l.deferred, do) }

// Stop ends Run after the current iteration.
func (l *Loop) Stop() { l.stopped = true }

// Run serves until Stop, then closes all sockets. It returns the error of a failed wait for events.
func (l *Loop) Run() error {
	defer l.closeAll()
	events := make([]unix.EpollEvent, maxEventsPerWait)
	began := l.now // start of the current iteration
	for !l.stopped {
		previous := began
		timeout := l.waitTimeout()
		n, err := l.system.Wait(events, timeout)
		if err != nil {
			return err
		}
		l.updateTime()
		began = l.now
		if timeout >= 0 { // the previous iteration counts too: a process may be stopped anywhere
			l.reportLateness(began - previous - float64(timeout)/1000)
		}
		l.handleReadFirst()
		l.runDeferred()
		l.dispatchAll(events[:n])
		l.runDue(l.now)
		l.runDeferred()
		l.endIteration(began)
	}
	return nil
}

// waitTimeout returns how long to wait for events, in milliseconds, rounded up; -1: until there are some.
func (l *Loop) waitTimeout() int {
	if len(l.deferred) > 0 {
		return 0
	}
	due, pending := l.nextDue()
	if !pending {
		return -1
	}
	l.updateTime()
	return max(0, int((due-l.now)*1000+0.999))
}

// reportLateness calls OnLateWakeup if an iteration starts too late, by the given seconds.
func (l *Loop) reportLateness(late float64) {
	if l.OnLateWakeup != nil && late > l.LateWakeupSeconds {
		l.OnLateWakeup(late)
	}
}

func (l *Loop) closeAll() {
	l.conns.Each(func(_ slotmap.Handle, c *Conn) { c.Close() })
	l.listeners.Each(func(_ slotmap.Handle, ln *Listener) { ln.Close() })
	for _, s := range l.udpSockets {
		s.Close()
	}
	l.system.Release()
}

// ensureFreeSocket makes sure that one more socket may be opened; false if no connection can be closed for it.
func (l *Loop) ensureFreeSocket() bool { return l.OpenSockets() < l.socketLimit || l.freeDescriptor() }

// freeDescriptor closes a connection that can be spared; false if there is none.
func (l *Loop) freeDescriptor() bool {
	if len(l.lingering) > 0 {
		l.lingering[0].Close()
		return true
	}
	return l.FreeDescriptor != nil && l.FreeDescriptor()
}
