package receivers

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// TCPRelay forwards each connection to a target; one Link applies to both directions.
type TCPRelay struct {
	Name string

	listener net.Listener
	log      Log

	mutex       sync.Mutex
	target      string
	link        Link
	connections map[net.Conn]net.Conn // by the caller's connection
	changed     chan struct{}         // closed and replaced when the link changes
	accepted    int
	resets      int
}

// NewTCPRelay starts a relay that listens on an address. Callers may give each relay a loopback address of its own,
// since peers limit the connections from one address.
func NewTCPRelay(name, listenAddress, target string, log Log) (*TCPRelay, error) {
	l, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return nil, fmt.Errorf("receivers: %w", err)
	}
	s := &TCPRelay{Name: name, listener: l, target: target, log: log, connections: map[net.Conn]net.Conn{}, changed: make(chan struct{})}
	go s.run()
	return s, nil
}

// Addr returns the address that it listens on.
func (s *TCPRelay) Addr() string { return s.listener.Addr().String() }

// SetTarget changes the target of new connections.
func (s *TCPRelay) SetTarget(to string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.target = to
}

// SetLink sets the link; if it resets, all open connections are reset at once.
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

// Close stops the relay, closes its connections and logs their number.
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

// Link returns the current link.
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

// forward copies bytes and the end of the stream. While the link is a black hole, bytes wait, as with retransmission.
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
