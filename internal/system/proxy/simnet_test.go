package proxy

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

const (
	firstDescriptor = 1 << 30  // of simulated sockets: no real one has such a number
	sendBuffer      = 48 << 10 // bytes that a simulated socket takes and holds until they have arrived
	longTurn        = 25 * time.Millisecond
	longTurnIn      = 60 // turns, on average, until one is long
)

// simulatedNetwork is a transport.System in virtual time: the sockets of one process, the lines to its peers, and the
// peers' doings, which run within Wait. It behaves as TCP of Linux does: bytes that came before a reset can still be read;
// an error is told once, by a read, a peek or a write; data for a closed socket is answered by a reset.
type simulatedNetwork struct {
	random     *rand.Rand
	now        time.Duration
	agenda     agenda
	sequence   uint64
	sockets    map[int]*simulatedSocket
	order      []*simulatedSocket // as they were made
	listening  map[netip.AddrPort]*simulatedSocket
	peers      map[netip.AddrPort]*simulatedPeer
	descriptor int
}

// simulatedPeer is a process elsewhere that takes connections.
type simulatedPeer struct {
	latency  time.Duration
	cutUntil time.Duration       // nothing passes its line before
	lastCut  time.Duration       // when that was last set
	accept   func(*simulatedEnd) // nil: it refuses
}

// task is something that happens at a time.
type task struct {
	at       time.Duration
	sequence uint64
	do       func()
}

type agenda []task

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].sequence < a[j].sequence
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(t any)   { *a = append(*a, t.(task)) }
func (a *agenda) Pop() any {
	last := len(*a) - 1
	t := (*a)[last]
	*a = (*a)[:last]
	return t
}

// simulatedSocket is a descriptor of the process under test.
type simulatedSocket struct {
	network    *simulatedNetwork
	fd         int
	watched    bool
	event      unix.EpollEvent
	address    netip.AddrPort
	queue      []*simulatedSocket // of a listener
	listens    bool
	connecting bool
	in         []byte
	finished   bool  // the peer sends no more
	reset      bool  // by the peer
	failure    error // not told yet
	unacked    int
	closed     bool
	abortive   bool // Close resets
	end        *simulatedEnd
}

// simulatedEnd is the other end of a connection, in the hands of a script.
type simulatedEnd struct {
	socket    *simulatedSocket
	peer      *simulatedPeer
	unread    bool         // bytes of the script came to a closed socket, or were not read when it was closed
	lost      func([]byte) // takes what the script does not get; may be nil
	data      func([]byte)
	ended     func(reset bool) // the process under test has closed
	closed    bool             // by the script
	gone      bool             // by the process under test, as the script knows
	stalled   bool             // the script does not read
	heldEnd   func()           // the end that the script has not read
	heldUntil time.Duration    // the script did not read before
	held      []byte
	toward    time.Duration // when the last that was sent to the process arrives
	away      time.Duration // when the last that was sent by it arrives
	droppedAt time.Duration // what has not arrived by then never does; 0: all arrives
}

func newSimulatedNetwork(random *rand.Rand) *simulatedNetwork {
	return &simulatedNetwork{random: random, sockets: map[int]*simulatedSocket{}, descriptor: firstDescriptor,
		listening: map[netip.AddrPort]*simulatedSocket{}, peers: map[netip.AddrPort]*simulatedPeer{}}
}

// after has something happen.
func (n *simulatedNetwork) after(wait time.Duration, do func()) { n.at(n.now+wait, do) }

func (n *simulatedNetwork) at(when time.Duration, do func()) {
	n.sequence++
	heap.Push(&n.agenda, task{max(when, n.now), n.sequence, do})
}

// Now implements transport.System.
func (n *simulatedNetwork) Now() time.Time { return time.Unix(1000, 0).Add(n.now) }

// Wait implements transport.System: it lets time pass until something has happened to a socket.
func (n *simulatedNetwork) Wait(events []unix.EpollEvent, timeout int) (int, error) {
	n.now += time.Duration(n.random.IntN(100)) * time.Microsecond // of work
	if n.random.IntN(longTurnIn) == 0 {
		n.now += time.Duration(n.random.Int64N(int64(longTurn)))
	}
	end := n.now + time.Duration(timeout)*time.Millisecond
	for {
		for len(n.agenda) > 0 && n.agenda[0].at <= n.now {
			heap.Pop(&n.agenda).(task).do()
		}
		if count := n.collect(events); count > 0 {
			return count, nil
		}
		if len(n.agenda) == 0 || timeout >= 0 && n.agenda[0].at > end {
			n.now = max(n.now, end)
			return 0, nil
		}
		n.now = n.agenda[0].at
	}
}

// pass lets time pass once the process has ended.
func (n *simulatedNetwork) pass(span time.Duration) {
	end := n.now + span
	for len(n.agenda) > 0 && n.agenda[0].at <= end {
		n.now = max(n.now, n.agenda[0].at)
		heap.Pop(&n.agenda).(task).do()
	}
}

// collect fills in the events of the sockets that are ready, in any order.
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
		if len(s.queue) > 0 {
			ready = unix.EPOLLIN
		}
		return ready & s.event.Events
	}
	if s.connecting {
		return 0
	}
	if len(s.in) > 0 || s.finished || s.reset {
		ready |= unix.EPOLLIN
	}
	if s.unacked < sendBuffer || s.reset {
		ready |= unix.EPOLLOUT
	}
	if s.finished || s.reset {
		ready |= unix.EPOLLRDHUP
	}
	ready &= s.event.Events
	if s.failure != nil {
		ready |= unix.EPOLLERR
	}
	if s.reset {
		ready |= unix.EPOLLHUP
	}
	return ready
}

// Wake implements transport.System; nobody posts.
func (n *simulatedNetwork) Wake() {}

// ClearWake implements transport.System.
func (n *simulatedNetwork) ClearWake() {}

// Release implements transport.System.
func (n *simulatedNetwork) Release() {}

// Watch implements transport.System.
func (n *simulatedNetwork) Watch(operation, fd int, event unix.EpollEvent) error {
	s := n.sockets[fd]
	if s == nil {
		return unix.EBADF
	}
	s.watched, s.event = operation != unix.EPOLL_CTL_DEL, event
	return nil
}

func (n *simulatedNetwork) newSocket() *simulatedSocket {
	n.descriptor++
	s := &simulatedSocket{network: n, fd: n.descriptor}
	n.sockets[s.fd] = s
	n.order = append(n.order, s)
	return s
}

// Listen implements transport.System.
func (n *simulatedNetwork) Listen(addr netip.AddrPort) (int, error) {
	s := n.newSocket()
	s.listens, s.address = true, addr
	n.listening[addr] = s
	return s.fd, nil
}

// Accept implements transport.System.
func (n *simulatedNetwork) Accept(fd int) (int, error) {
	s := n.sockets[fd]
	if len(s.queue) == 0 {
		return -1, unix.EAGAIN
	}
	accepted := s.queue[0]
	s.queue = s.queue[1:]
	return accepted.fd, nil
}

// Address implements transport.System.
func (n *simulatedNetwork) Address(fd int) netip.AddrPort { return n.sockets[fd].address }

// Connect implements transport.System.
func (n *simulatedNetwork) Connect(addr netip.AddrPort) (int, error) {
	s := n.newSocket()
	s.connecting = true
	peer := n.peers[addr]
	s.end = &simulatedEnd{socket: s, peer: peer}
	n.at(max(n.now, peer.cutUntil)+2*peer.latency, func() {
		if s.closed {
			return
		}
		s.connecting = false
		if peer.accept == nil {
			s.failure, s.reset = unix.ECONNREFUSED, true
			return
		}
		peer.accept(s.end)
	})
	return s.fd, nil
}

// dial has a script connect to a listener of the process under test.
func (n *simulatedNetwork) dial(addr netip.AddrPort, peer *simulatedPeer) *simulatedEnd {
	s := n.newSocket()
	s.end = &simulatedEnd{socket: s, peer: peer}
	n.after(peer.latency, func() {
		listener := n.listening[addr]
		if listener.closed { // a closed port answers by a reset
			s.closed = true
			n.after(peer.latency, func() { s.end.tellEnded(true) })
			return
		}
		listener.queue = append(listener.queue, s)
	})
	return s.end
}

// Read implements transport.System.
func (n *simulatedNetwork) Read(fd int, b []byte) (int, error) {
	s := n.sockets[fd]
	if len(s.in) > 0 {
		count := copy(b, s.in)
		s.in = s.in[count:]
		return count, nil
	}
	return 0, s.emptyRead()
}

// emptyRead is what a read without bytes gives; nil: the end.
func (s *simulatedSocket) emptyRead() error {
	if err := s.failure; err != nil {
		s.failure = nil
		return err
	}
	if s.finished || s.reset {
		return nil
	}
	return unix.EAGAIN
}

// Peek implements transport.System.
func (n *simulatedNetwork) Peek(fd int) (int, error) {
	s := n.sockets[fd]
	if len(s.in) > 0 {
		return 1, nil
	}
	return 0, s.emptyRead()
}

// Discard implements transport.System.
func (n *simulatedNetwork) Discard(fd int, b []byte) (int, error) { return n.Read(fd, b) }

// Write implements transport.System.
func (n *simulatedNetwork) Write(fd int, b []byte) (int, error) {
	s := n.sockets[fd]
	if err := s.failure; err != nil {
		s.failure = nil
		return 0, err
	}
	if s.reset {
		return 0, unix.EPIPE
	}
	count := min(len(b), sendBuffer-s.unacked)
	if count <= 0 {
		return 0, unix.EAGAIN
	}
	s.unacked += count
	s.end.arrive(append([]byte(nil), b[:count]...))
	return count, nil
}

// ShutdownWrite implements transport.System.
func (n *simulatedNetwork) ShutdownWrite(fd int) error {
	s := n.sockets[fd]
	s.end.passAway(func() { s.end.tellEnded(false) })
	return nil
}

// SetResetOnClose implements transport.System.
func (n *simulatedNetwork) SetResetOnClose(fd int) { n.sockets[fd].abortive = true }

// SocketError implements transport.System.
func (n *simulatedNetwork) SocketError(fd int) error {
	err := n.sockets[fd].failure
	n.sockets[fd].failure = nil
	return err
}

// Unacknowledged implements transport.System.
func (n *simulatedNetwork) Unacknowledged(fd int) (int, error) { return n.sockets[fd].unacked, nil }

// Close implements transport.System.
func (n *simulatedNetwork) Close(fd int) {
	s := n.sockets[fd]
	s.closed, s.watched = true, false
	delete(n.sockets, fd)
	e := s.end
	switch {
	case e == nil || s.connecting:
	case s.abortive:
		e.droppedAt = n.now + e.peer.latency
		if n.now >= e.peer.cutUntil { // a reset is not sent again
			n.after(e.peer.latency, func() { e.tellEnded(true) })
		}
	default:
		reset := len(s.in) > 0
		e.unread = e.unread || reset
		e.passAway(func() { e.tellEnded(reset) })
	}
}

// passAway has something arrive at the script, after all that was sent before.
func (e *simulatedEnd) passAway(do func()) { e.passAwayOr(do, func() {}) }

// passAwayOr is passAway, and tells when a reset has what was sent dropped.
func (e *simulatedEnd) passAwayOr(do, dropped func()) {
	n := e.socket.network
	e.away = max(n.now, e.peer.cutUntil, e.away-e.peer.latency) + e.peer.latency
	arrival := e.away
	n.at(arrival, func() {
		if e.droppedAt == 0 || arrival <= e.droppedAt {
			do()
		} else {
			dropped()
		}
	})
}

// arrive passes bytes to the script.
func (e *simulatedEnd) arrive(b []byte) {
	lose := func() {
		if e.lost != nil {
			e.lost(b)
		}
	}
	e.passAwayOr(func() {
		switch {
		case e.closed:
			lose()
			e.answerReset()
		case e.stalled:
			e.held = append(e.held, b...)
		default:
			e.socket.unacked -= len(b)
			e.data(b)
		}
	}, lose)
}

// stall has the script read nothing.
func (e *simulatedEnd) stall(on bool) {
	e.stalled = on
	e.heldUntil = e.socket.network.now
	if on || e.closed {
		return
	}
	held := e.held
	e.held = nil
	e.socket.unacked -= len(held)
	if len(held) > 0 {
		e.data(held)
	}
	if end := e.heldEnd; end != nil {
		e.heldEnd = nil
		end()
	}
}

// answerReset tells the process under test that its peer has closed.
func (e *simulatedEnd) answerReset() { e.passToward(e.socket.takeReset) }

func (s *simulatedSocket) takeReset() {
	if !s.reset {
		s.reset, s.failure, s.unacked = true, unix.ECONNRESET, 0
	}
}

// loseHeld tells what the script has not read when it closes.
func (e *simulatedEnd) loseHeld() {
	if len(e.held) > 0 && e.lost != nil {
		e.lost(e.held)
	}
	e.held = nil
}

func (e *simulatedEnd) tellEnded(reset bool) {
	if e.closed || e.gone || e.ended == nil { // ended is nil where no script took the connection
		return
	}
	if e.stalled {
		e.heldEnd = func() { e.tellEnded(reset) }
		return
	}
	e.gone = true
	e.ended(reset)
}

// passToward has something arrive at the process under test, after all that was sent before.
func (e *simulatedEnd) passToward(do func()) {
	n := e.socket.network
	e.toward = max(n.now, e.peer.cutUntil, e.toward-e.peer.latency) + e.peer.latency
	n.at(e.toward, do)
}

// send sends bytes to the process under test.
func (e *simulatedEnd) send(text string) {
	if e.closed || text == "" {
		return
	}
	e.passToward(func() {
		switch s := e.socket; {
		case s.closed:
			e.unread = true
			e.passAway(func() { e.tellEnded(true) })
		case !s.reset:
			s.in = append(s.in, text...)
		}
	})
}

// close closes the connection in order, or by a reset where the script has not read all.
func (e *simulatedEnd) close() {
	if len(e.held) > 0 {
		e.abort()
		return
	}
	if !e.closed {
		e.closed = true
		e.passToward(func() { e.socket.finished = true })
	}
}

// abort resets the connection.
func (e *simulatedEnd) abort() {
	if e.closed {
		return
	}
	e.closed = true
	e.loseHeld()
	if e.socket.network.now >= e.peer.cutUntil {
		e.passToward(e.socket.takeReset)
	}
}
