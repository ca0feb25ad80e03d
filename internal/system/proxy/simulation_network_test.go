package proxy

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

const (
	firstDescriptor    = 1 << 30  // no real descriptor has such a number
	sendBuffer         = 48 << 10 // bytes that a simulated socket buffers until they have arrived
	longIteration      = 25 * time.Millisecond
	longIterationOneIn = 60 // iterations, on average, until one is long
)

// simulatedNetwork is an eventloop.System in virtual time: the sockets of one process, the connections to its peers,
// and the peers' actions, which run within Wait. It behaves like Linux TCP: bytes that arrived before a reset can still
// be read; an error is reported once, by a read, a peek or a write; data for a closed socket is answered with a reset.
type simulatedNetwork struct {
	random     *rand.Rand
	now        time.Duration
	queue      eventQueue
	sequence   uint64
	sockets    map[int]*simulatedSocket
	order      []*simulatedSocket // in order of creation
	listening  map[netip.AddrPort]*simulatedSocket
	peers      map[netip.AddrPort]*simulatedPeer
	descriptor int
}

// simulatedPeer is a remote process that accepts connections.
type simulatedPeer struct {
	latency          time.Duration
	partitionedUntil time.Duration    // nothing passes the network before
	lastPartitionEnd time.Duration    // the last value of partitionedUntil
	accept           func(*remoteEnd) // nil: connections are refused
}

// scheduledEvent is an action at a time.
type scheduledEvent struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(t any)   { *q = append(*q, t.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	*q = (*q)[:last]
	return t
}

// simulatedSocket is a descriptor of the process under test.
type simulatedSocket struct {
	network      *simulatedNetwork
	fd           int
	watched      bool
	event        unix.EpollEvent
	address      netip.AddrPort
	backlog      []*simulatedSocket // of a listener
	listens      bool
	connecting   bool
	received     []byte
	peerClosed   bool  // the peer sends nothing more
	reset        bool  // by the peer
	pendingError error // not reported yet
	unackedBytes int
	closed       bool
	resetOnClose bool // Close resets the connection
	end          *remoteEnd
}

// remoteEnd is the remote end of a connection, which a script controls.
type remoteEnd struct {
	socket              *simulatedSocket
	peer                *simulatedPeer
	unread              bool         // bytes of the script reached a closed socket, or were unread when it was closed
	onLost              func([]byte) // gets the bytes that the script does not receive; may be nil
	onData              func([]byte)
	onEnd               func(reset bool) // the process under test has closed the connection
	closed              bool             // by the script
	localClosed         bool             // by the process under test, as the script has seen
	stalled             bool             // the script does not read
	deferredEnd         func()           // runs when the script reads on; nil: the connection has not ended
	stalledUntil        time.Duration    // when setStalled was called last: the script may not have read before
	unreadBytes         []byte
	lastInboundArrival  time.Duration // of what was sent to the process
	lastOutboundArrival time.Duration // of what the process sent
	droppedAt           time.Duration // what has not arrived by then is lost; 0: everything arrives
}

func newSimulatedNetwork(random *rand.Rand) *simulatedNetwork {
	return &simulatedNetwork{
		random:     random,
		sockets:    map[int]*simulatedSocket{},
		descriptor: firstDescriptor,
		listening:  map[netip.AddrPort]*simulatedSocket{},
		peers:      map[netip.AddrPort]*simulatedPeer{},
	}
}

// after schedules an action.
func (n *simulatedNetwork) after(wait time.Duration, do func()) { n.at(n.now+wait, do) }

func (n *simulatedNetwork) at(when time.Duration, do func()) {
	n.sequence++
	heap.Push(&n.queue, scheduledEvent{max(when, n.now), n.sequence, do})
}

// Now implements eventloop.System.
func (n *simulatedNetwork) Now() time.Time { return time.Unix(1000, 0).Add(n.now) }

// Wait implements eventloop.System. Time passes until an event has occurred on a socket.
func (n *simulatedNetwork) Wait(events []unix.EpollEvent, timeout int) (int, error) {
	n.now += time.Duration(n.random.IntN(100)) * time.Microsecond // work of the process
	if n.random.IntN(longIterationOneIn) == 0 {
		n.now += time.Duration(n.random.Int64N(int64(longIteration)))
	}
	end := n.now + time.Duration(timeout)*time.Millisecond
	for {
		for len(n.queue) > 0 && n.queue[0].at <= n.now {
			heap.Pop(&n.queue).(scheduledEvent).run()
		}
		if count := n.collect(events); count > 0 {
			return count, nil
		}
		if len(n.queue) == 0 || timeout >= 0 && n.queue[0].at > end {
			n.now = max(n.now, end)
			return 0, nil
		}
		n.now = n.queue[0].at
	}
}

// advance lets time pass after the process has exited.
func (n *simulatedNetwork) advance(span time.Duration) {
	end := n.now + span
	for len(n.queue) > 0 && n.queue[0].at <= end {
		n.now = max(n.now, n.queue[0].at)
		heap.Pop(&n.queue).(scheduledEvent).run()
	}
}

// collect returns the events of the sockets that are ready, in random order.
func (n *simulatedNetwork) collect(events []unix.EpollEvent) (count int) {
	open := n.order[:0]
	for _, s := range n.order {
		if s.closed {
			continue
		}
		open = append(open, s)
		if ready := s.ready(); s.watched && ready != 0 && count < len(events) {
			events[count] = s.event
			events[count].Events = ready
			count++
		}
	}
	n.order = open
	n.random.Shuffle(count, func(i, j int) { events[i], events[j] = events[j], events[i] })
	return count
}

func (s *simulatedSocket) ready() (ready uint32) {
	if s.listens {
		if len(s.backlog) > 0 {
			ready = unix.EPOLLIN
		}
		return ready & s.event.Events
	}
	if s.connecting {
		return 0
	}
	if len(s.received) > 0 || s.peerClosed || s.reset {
		ready |= unix.EPOLLIN
	}
	if s.unackedBytes < sendBuffer || s.reset {
		ready |= unix.EPOLLOUT
	}
	if s.peerClosed || s.reset {
		ready |= unix.EPOLLRDHUP
	}
	ready &= s.event.Events
	if s.pendingError != nil {
		ready |= unix.EPOLLERR
	}
	if s.reset {
		ready |= unix.EPOLLHUP
	}
	return ready
}

// Wake implements eventloop.System; nothing is posted.
func (n *simulatedNetwork) Wake() {}

// ClearWake implements eventloop.System.
func (n *simulatedNetwork) ClearWake() {}

// Release implements eventloop.System.
func (n *simulatedNetwork) Release() {}

// Watch implements eventloop.System.
func (n *simulatedNetwork) Watch(operation, fd int, event unix.EpollEvent) error {
	s := n.sockets[fd]
	if s == nil {
		return unix.EBADF
	}
	s.watched = operation != unix.EPOLL_CTL_DEL
	s.event = event
	return nil
}

func (n *simulatedNetwork) newSocket() *simulatedSocket {
	n.descriptor++
	s := &simulatedSocket{network: n, fd: n.descriptor}
	n.sockets[s.fd] = s
	n.order = append(n.order, s)
	return s
}

// Listen implements eventloop.System.
func (n *simulatedNetwork) Listen(addr netip.AddrPort) (int, error) {
	s := n.newSocket()
	s.listens = true
	s.address = addr
	n.listening[addr] = s
	return s.fd, nil
}

// Accept implements eventloop.System.
func (n *simulatedNetwork) Accept(fd int) (int, error) {
	s := n.sockets[fd]
	if len(s.backlog) == 0 {
		return -1, unix.EAGAIN
	}
	accepted := s.backlog[0]
	s.backlog = s.backlog[1:]
	return accepted.fd, nil
}

// Address implements eventloop.System.
func (n *simulatedNetwork) Address(fd int) netip.AddrPort { return n.sockets[fd].address }

// Connect implements eventloop.System.
func (n *simulatedNetwork) Connect(addr netip.AddrPort) (int, error) {
	s := n.newSocket()
	s.connecting = true
	peer := n.peers[addr]
	s.end = &remoteEnd{socket: s, peer: peer}
	n.at(max(n.now, peer.partitionedUntil)+2*peer.latency, func() {
		if s.closed {
			return
		}
		s.connecting = false
		if peer.accept == nil {
			s.pendingError = unix.ECONNREFUSED
			s.reset = true
			return
		}
		peer.accept(s.end)
	})
	return s.fd, nil
}

// dial connects a script to a listener of the process under test.
func (n *simulatedNetwork) dial(addr netip.AddrPort, peer *simulatedPeer) *remoteEnd {
	s := n.newSocket()
	s.end = &remoteEnd{socket: s, peer: peer}
	n.after(peer.latency, func() {
		listener := n.listening[addr]
		if listener.closed { // a closed port answers with a reset
			s.closed = true
			n.after(peer.latency, func() { s.end.notifyEnd(true) })
			return
		}
		listener.backlog = append(listener.backlog, s)
	})
	return s.end
}

// Read implements eventloop.System.
func (n *simulatedNetwork) Read(fd int, b []byte) (int, error) {
	s := n.sockets[fd]
	if len(s.received) > 0 {
		count := copy(b, s.received)
		s.received = s.received[count:]
		return count, nil
	}
	return 0, s.emptyRead()
}

// emptyRead returns the result of a read without bytes; nil: the end.
func (s *simulatedSocket) emptyRead() error {
	if err := s.pendingError; err != nil {
		s.pendingError = nil
		return err
	}
	if s.peerClosed || s.reset {
		return nil
	}
	return unix.EAGAIN
}

// Peek implements eventloop.System.
func (n *simulatedNetwork) Peek(fd int) (int, error) {
	s := n.sockets[fd]
	if len(s.received) > 0 {
		return 1, nil
	}
	return 0, s.emptyRead()
}

// Discard implements eventloop.System.
func (n *simulatedNetwork) Discard(fd int, b []byte) (int, error) { return n.Read(fd, b) }

// Write implements eventloop.System.
func (n *simulatedNetwork) Write(fd int, b []byte) (int, error) {
	s := n.sockets[fd]
	if err := s.pendingError; err != nil {
		s.pendingError = nil
		return 0, err
	}
	if s.reset {
		return 0, unix.EPIPE
	}
	count := min(len(b), sendBuffer-s.unackedBytes)
	if count <= 0 {
		return 0, unix.EAGAIN
	}
	s.unackedBytes += count
	s.end.receive(append([]byte(nil), b[:count]...))
	return count, nil
}

// ShutdownWrite implements eventloop.System.
func (n *simulatedNetwork) ShutdownWrite(fd int) error {
	s := n.sockets[fd]
	s.end.deliverOutbound(func() { s.end.notifyEnd(false) })
	return nil
}

// SetResetOnClose implements eventloop.System.
func (n *simulatedNetwork) SetResetOnClose(fd int) { n.sockets[fd].resetOnClose = true }

// SocketError implements eventloop.System.
func (n *simulatedNetwork) SocketError(fd int) error {
	err := n.sockets[fd].pendingError
	n.sockets[fd].pendingError = nil
	return err
}

// Unacknowledged implements eventloop.System.
func (n *simulatedNetwork) Unacknowledged(fd int) (int, error) {
	return n.sockets[fd].unackedBytes, nil
}

// Close implements eventloop.System.
func (n *simulatedNetwork) Close(fd int) {
	s := n.sockets[fd]
	s.closed = true
	s.watched = false
	delete(n.sockets, fd)
	e := s.end
	switch {
	case e == nil || s.connecting:
	case s.resetOnClose:
		e.droppedAt = n.now + e.peer.latency
		if n.now >= e.peer.partitionedUntil { // a reset is not retransmitted
			n.after(e.peer.latency, func() { e.notifyEnd(true) })
		}
	default:
		reset := len(s.received) > 0
		e.unread = e.unread || reset
		e.deliverOutbound(func() { e.notifyEnd(reset) })
	}
}

// deliverOutbound runs do at the script after everything sent before has arrived.
func (e *remoteEnd) deliverOutbound(do func()) { e.deliverOutboundOr(do, func() {}) }

// deliverOutboundOr is deliverOutbound; dropped runs instead if a reset discards what was sent.
func (e *remoteEnd) deliverOutboundOr(do, dropped func()) {
	n := e.socket.network
	e.lastOutboundArrival = max(n.now, e.peer.partitionedUntil, e.lastOutboundArrival-e.peer.latency) + e.peer.latency
	arrival := e.lastOutboundArrival
	n.at(arrival, func() {
		if e.droppedAt == 0 || arrival <= e.droppedAt {
			do()
		} else {
			dropped()
		}
	})
}

// receive delivers bytes to the script.
func (e *remoteEnd) receive(b []byte) {
	lose := func() {
		if e.onLost != nil {
			e.onLost(b)
		}
	}
	e.deliverOutboundOr(func() {
		switch {
		case e.closed:
			lose()
			e.sendReset()
		case e.stalled:
			e.unreadBytes = append(e.unreadBytes, b...)
		default:
			e.socket.unackedBytes -= len(b)
			e.onData(b)
		}
	}, lose)
}

// setStalled pauses the script's reading (true) or resumes it.
func (e *remoteEnd) setStalled(stalled bool) {
	e.stalled = stalled
	e.stalledUntil = e.socket.network.now
	if stalled || e.closed {
		return
	}
	held := e.unreadBytes
	e.unreadBytes = nil
	e.socket.unackedBytes -= len(held)
	if len(held) > 0 {
		e.onData(held)
	}
	if end := e.deferredEnd; end != nil {
		e.deferredEnd = nil
		end()
	}
}

// sendReset resets the connection of the process under test.
func (e *remoteEnd) sendReset() { e.deliverInbound(e.socket.applyReset) }

func (s *simulatedSocket) applyReset() {
	if !s.reset {
		s.reset = true
		s.pendingError = unix.ECONNRESET
		s.unackedBytes = 0
	}
}

// dropUnread discards what the script has not read when it closes.
func (e *remoteEnd) dropUnread() {
	if len(e.unreadBytes) > 0 && e.onLost != nil {
		e.onLost(e.unreadBytes)
	}
	e.unreadBytes = nil
}

func (e *remoteEnd) notifyEnd(reset bool) {
	if e.closed || e.localClosed || e.onEnd == nil { // no script accepted the connection if onEnd is nil
		return
	}
	if e.stalled {
		e.deferredEnd = func() { e.notifyEnd(reset) }
		return
	}
	e.localClosed = true
	e.onEnd(reset)
}

// deliverInbound runs do at the process under test after everything sent before has arrived.
func (e *remoteEnd) deliverInbound(do func()) {
	n := e.socket.network
	e.lastInboundArrival = max(n.now, e.peer.partitionedUntil, e.lastInboundArrival-e.peer.latency) + e.peer.latency
	n.at(e.lastInboundArrival, do)
}

// send sends bytes to the process under test.
func (e *remoteEnd) send(text string) {
	if e.closed || text == "" {
		return
	}
	e.deliverInbound(func() {
		switch s := e.socket; {
		case s.closed:
			e.unread = true
			e.deliverOutbound(func() { e.notifyEnd(true) })
		case !s.reset:
			s.received = append(s.received, text...)
		}
	})
}

// close closes the connection in order, or with a reset if the script has unread bytes.
func (e *remoteEnd) close() {
	if len(e.unreadBytes) > 0 {
		e.abort()
		return
	}
	if !e.closed {
		e.closed = true
		e.deliverInbound(func() { e.socket.peerClosed = true })
	}
}

// abort resets the connection.
func (e *remoteEnd) abort() {
	if e.closed {
		return
	}
	e.closed = true
	e.dropUnread()
	if e.socket.network.now >= e.peer.partitionedUntil {
		e.deliverInbound(e.socket.applyReset)
	}
}
