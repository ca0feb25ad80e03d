package receivers

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Link is what one directed way does to what goes over it. The zero Link passes everything on at once.
type Link struct {
	LossRate      float64       // share of the datagrams that get lost
	Delay         time.Duration // that everything takes
	Jitter        time.Duration // and more, drawn evenly: datagrams may pass one another
	DuplicateRate float64       // share of the datagrams that come twice
	Blackhole     bool          // nothing gets over, and nobody is told: datagrams are lost, connections hang
	Resets        bool          // connections are reset, and new ones at once
	ReorderRate   float64       // share of the datagrams that wait for the next one to pass
}

// Log takes what a relay did, a line each; it may be called from several goroutines.
type Log func(line string)

// UDPRelay is a relay for UDP with a port of its own: what comes there goes on to a member. Who sent it is told by the
// first bytes, which From reads; each directed way has a Link of its own.
type UDPRelay struct {
	Name string
	// SenderOf says who sent a datagram; "" is not known.
	SenderOf func(b []byte) string

	conn *net.UDPConn
	out  *net.UDPConn
	to   *net.UDPAddr
	log  Log

	mu     sync.Mutex
	rng    *rand.Rand
	links  map[string]Link // by sender; "" for all that have none of their own
	held   []byte          // waits for the next one to pass
	counts struct{ Passed, Dropped, Repeated, Held int }
}

// NewUDPRelay opens a relay to an address, which need not exist yet.
func NewUDPRelay(name string, to netip.AddrPort, seed uint64, log Log) (*UDPRelay, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("standin: %w", err)
	}
	out, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("standin: %w", err)
	}
	d := &UDPRelay{Name: name, conn: conn, out: out, to: net.UDPAddrFromAddrPort(to), log: log, rng: rand.New(rand.NewPCG(seed, 0)),
		links: map[string]Link{}}
	go d.run()
	return d, nil
}

// Addr is the relay's port: what the member advertises.
func (d *UDPRelay) Addr() string { return d.conn.LocalAddr().String() }

// SetLink sets the way from a sender; "" sets that of all who have none of their own.
func (d *UDPRelay) SetLink(from string, l Link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.links[from] = l
	d.log(fmt.Sprintf("link %s -> %s: %+v", from, d.Name, l))
}

// ClearLinks has every way pass everything again.
func (d *UDPRelay) ClearLinks() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.links)
	d.log("links -> " + d.Name + ": clear")
}

// Close ends the relay and tells the log what it did.
func (d *UDPRelay) Close() {
	d.conn.Close()
	d.out.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.log(fmt.Sprintf("datagrams -> %s: %+v", d.Name, d.counts))
}

func (d *UDPRelay) run() {
	buf := make([]byte, 65536)
	for {
		n, _, err := d.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		d.pass(append([]byte(nil), buf[:n]...))
	}
}

func (d *UDPRelay) pass(b []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	from := ""
	if d.SenderOf != nil {
		from = d.SenderOf(b)
	}
	l, own := d.links[from]
	if !own {
		l = d.links[""]
	}
	if l.Blackhole || l.Resets || l.LossRate > 0 && d.rng.Float64() < l.LossRate {
		d.counts.Dropped++
		return
	}
	times := 1
	if l.DuplicateRate > 0 && d.rng.Float64() < l.DuplicateRate {
		times = 2
		d.counts.Repeated++
	}
	if l.ReorderRate > 0 && d.held == nil && d.rng.Float64() < l.ReorderRate {
		d.held = b
		d.counts.Held++
		return
	}
	queue := [][]byte{b}
	if d.held != nil {
		queue, d.held = append(queue, d.held), nil
	}
	for range times {
		wait := l.Delay
		if l.Jitter > 0 {
			wait += time.Duration(d.rng.Int64N(int64(l.Jitter)))
		}
		for _, b := range queue {
			d.counts.Passed++
			if wait == 0 {
				_, _ = d.out.WriteToUDP(b, d.to)
			} else {
				time.AfterFunc(wait, func() { _, _ = d.out.WriteToUDP(b, d.to) })
			}
		}
	}
}

// TCPRelay is a relay for TCP: each connection to its port goes on to an address, both ways over one Link.
type TCPRelay struct {
	Name string

	listener net.Listener
	log      Log

	mu     sync.Mutex
	to     string
	link   Link
	open   map[net.Conn]net.Conn // by the caller's side
	change chan struct{}         // closed when the link changes
	total  int
	reset  int
}

// NewTCPRelay opens a relay to an address. The port is on an address of its own where one is given: peers may bound what
// comes from one.
func NewTCPRelay(name, on, to string, log Log) (*TCPRelay, error) {
	l, err := net.Listen("tcp", on)
	if err != nil {
		return nil, fmt.Errorf("standin: %w", err)
	}
	s := &TCPRelay{Name: name, listener: l, to: to, log: log, open: map[net.Conn]net.Conn{}, change: make(chan struct{})}
	go s.run()
	return s, nil
}

// Addr is the relay's port.
func (s *TCPRelay) Addr() string { return s.listener.Addr().String() }

// SetTarget has new connections go to another address.
func (s *TCPRelay) SetTarget(to string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.to = to
}

// SetLink sets the link; with Resets all open connections are reset at once.
func (s *TCPRelay) SetLink(l Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link = l
	close(s.change)
	s.change = make(chan struct{})
	s.log(fmt.Sprintf("stream %s: %+v", s.Name, l))
	if l.Resets {
		for a, b := range s.open {
			abort(a)
			abort(b)
			s.reset++
		}
	}
}

func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

// Close ends the relay and its connections.
func (s *TCPRelay) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for a, b := range s.open {
		a.Close()
		b.Close()
	}
	s.log(fmt.Sprintf("stream %s: %d connections, %d reset", s.Name, s.total, s.reset))
}

// Link is the link as it is set.
func (s *TCPRelay) Link() Link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link
}

func (s *TCPRelay) state() (Link, string, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link, s.to, s.change
}

func (s *TCPRelay) run() {
	for {
		a, err := s.listener.Accept()
		if err != nil {
			return
		}
		link, to, _ := s.state()
		if link.Resets {
			abort(a)
			continue
		}
		go s.serve(a, to)
	}
}

func (s *TCPRelay) serve(a net.Conn, to string) {
	b, err := net.Dial("tcp", to)
	if err != nil {
		abort(a)
		return
	}
	s.mu.Lock()
	s.open[a] = b
	s.total++
	s.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); s.copy(b, a) }()
	go func() { defer both.Done(); s.copy(a, b) }()
	both.Wait()
	s.mu.Lock()
	delete(s.open, a)
	s.mu.Unlock()
	a.Close()
	b.Close()
}

// copy passes bytes on, and the end of them; while the link is silent they wait, as in a network that sends them again.
func (s *TCPRelay) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for {
			link, _, change := s.state()
			if !link.Blackhole {
				time.Sleep(link.Delay)
				break
			}
			<-change
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				from.Close()
				return
			}
		}
		if err == io.EOF {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
		if err != nil {
			abort(to)
			return
		}
	}
}
