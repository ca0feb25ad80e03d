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

	socket *net.UDPConn
	output *net.UDPConn
	target *net.UDPAddr
	log    Log

	mutex     sync.Mutex
	random    *rand.Rand
	links     map[string]Link // by sender; "" for all that have none of their own
	reordered []byte          // waits for the next one to pass
	counts    struct{ Passed, Dropped, Repeated, Held int }
}

// NewUDPRelay opens a relay to an address, which need not exist yet.
func NewUDPRelay(name string, target netip.AddrPort, seed uint64, log Log) (*UDPRelay, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("standin: %w", err)
	}
	out, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("standin: %w", err)
	}
	d := &UDPRelay{Name: name, socket: conn, output: out, target: net.UDPAddrFromAddrPort(target), log: log, random: rand.New(rand.NewPCG(seed, 0)),
		links: map[string]Link{}}
	go d.run()
	return d, nil
}

// Addr is the relay's port: what the member advertises.
func (d *UDPRelay) Addr() string { return d.socket.LocalAddr().String() }

// SetLink sets the way from a sender; "" sets that of all who have none of their own.
func (d *UDPRelay) SetLink(from string, link Link) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.links[from] = link
	d.log(fmt.Sprintf("link %s -> %s: %+v", from, d.Name, link))
}

// ClearLinks has every way pass everything again.
func (d *UDPRelay) ClearLinks() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	clear(d.links)
	d.log("links -> " + d.Name + ": clear")
}

// Close ends the relay and tells the log what it did.
func (d *UDPRelay) Close() {
	d.socket.Close()
	d.output.Close()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.log(fmt.Sprintf("datagrams -> %s: %+v", d.Name, d.counts))
}

func (d *UDPRelay) run() {
	buf := make([]byte, 65536)
	for {
		n, _, err := d.socket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		d.forward(append([]byte(nil), buf[:n]...))
	}
}

func (d *UDPRelay) forward(b []byte) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	from := ""
	if d.SenderOf != nil {
		from = d.SenderOf(b)
	}
	link, own := d.links[from]
	if !own {
		link = d.links[""]
	}
	if link.Blackhole || link.Resets || link.LossRate > 0 && d.random.Float64() < link.LossRate {
		d.counts.Dropped++
		return
	}
	times := 1
	if link.DuplicateRate > 0 && d.random.Float64() < link.DuplicateRate {
		times = 2
		d.counts.Repeated++
	}
	if link.ReorderRate > 0 && d.reordered == nil && d.random.Float64() < link.ReorderRate {
		d.reordered = b
		d.counts.Held++
		return
	}
	queue := [][]byte{b}
	if d.reordered != nil {
		queue, d.reordered = append(queue, d.reordered), nil
	}
	for range times {
		wait := link.Delay
		if link.Jitter > 0 {
			wait += time.Duration(d.random.Int64N(int64(link.Jitter)))
		}
		for _, b := range queue {
			d.counts.Passed++
			if wait == 0 {
				_, _ = d.output.WriteToUDP(b, d.target)
			} else {
				time.AfterFunc(wait, func() { _, _ = d.output.WriteToUDP(b, d.target) })
			}
		}
	}
}

// TCPRelay is a relay for TCP: each connection to its port goes on to an address, both ways over one Link.
type TCPRelay struct {
	Name string

	listener net.Listener
	log      Log

	mutex       sync.Mutex
	target      string
	link        Link
	connections map[net.Conn]net.Conn // by the caller's side
	changed     chan struct{}         // closed when the link changes
	accepted    int
	resets      int
}

// NewTCPRelay opens a relay to an address. The port is on an address of its own where one is given: peers may bound what
// comes from one.
func NewTCPRelay(name, listenAddress, target string, log Log) (*TCPRelay, error) {
	l, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return nil, fmt.Errorf("standin: %w", err)
	}
	s := &TCPRelay{Name: name, listener: l, target: target, log: log, connections: map[net.Conn]net.Conn{}, changed: make(chan struct{})}
	go s.run()
	return s, nil
}

// Addr is the relay's port.
func (s *TCPRelay) Addr() string { return s.listener.Addr().String() }

// SetTarget has new connections go to another address.
func (s *TCPRelay) SetTarget(to string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.target = to
}

// SetLink sets the link; with Resets all open connections are reset at once.
func (s *TCPRelay) SetLink(link Link) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.link = link
	close(s.changed)
	s.changed = make(chan struct{})
	s.log(fmt.Sprintf("stream %s: %+v", s.Name, link))
	if link.Resets {
		for a, b := range s.connections {
			abort(a)
			abort(b)
			s.resets++
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
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for a, b := range s.connections {
		a.Close()
		b.Close()
	}
	s.log(fmt.Sprintf("stream %s: %d connections, %d reset", s.Name, s.accepted, s.resets))
}

// Link is the link as it is set.
func (s *TCPRelay) Link() Link {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.link
}

func (s *TCPRelay) state() (Link, string, chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.link, s.target, s.changed
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

func (s *TCPRelay) serve(caller net.Conn, to string) {
	target, err := net.Dial("tcp", to)
	if err != nil {
		abort(caller)
		return
	}
	s.mutex.Lock()
	s.connections[caller] = target
	s.accepted++
	s.mutex.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); s.forward(target, caller) }()
	go func() { defer both.Done(); s.forward(caller, target) }()
	both.Wait()
	s.mutex.Lock()
	delete(s.connections, caller)
	s.mutex.Unlock()
	caller.Close()
	target.Close()
}

// forward passes bytes on, and the end of them; while the link is silent they wait, as in a network that sends them again.
func (s *TCPRelay) forward(to, from net.Conn) {
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
