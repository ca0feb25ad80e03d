package receivers

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// relayBufferSize is the size of the buffer of each direction of a connection, in bytes.
const relayBufferSize = 32 << 10

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
	r := &TCPRelay{
		Name:        name,
		listener:    l,
		log:         log,
		target:      target,
		connections: map[net.Conn]net.Conn{},
		changed:     make(chan struct{}),
	}
	go r.run()
	return r, nil
}

// Addr returns the address that it listens on.
func (r *TCPRelay) Addr() string { return r.listener.Addr().String() }

// SetTarget changes the target of new connections.
func (r *TCPRelay) SetTarget(to string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.target = to
}

// SetLink sets the link; if it resets, all open connections are reset at once.
func (r *TCPRelay) SetLink(link Link) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.link = link
	close(r.changed)
	r.changed = make(chan struct{})
	r.log(fmt.Sprintf("stream %s: %+v", r.Name, link))
	if link.Resets {
		for caller, target := range r.connections {
			abort(caller)
			abort(target)
			r.resets++
		}
	}
}

// Close stops the relay, closes its connections and logs their number.
func (r *TCPRelay) Close() {
	r.listener.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for caller, target := range r.connections {
		caller.Close()
		target.Close()
	}
	r.log(fmt.Sprintf("stream %s: %d connections, %d reset", r.Name, r.accepted, r.resets))
}

// Link returns the current link.
func (r *TCPRelay) Link() Link {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.link
}

// state returns the link, the target of new connections, and a channel that is closed when the link changes.
func (r *TCPRelay) state() (link Link, target string, changed <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.link, r.target, r.changed
}

func (r *TCPRelay) run() {
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return
		}
		link, target, _ := r.state()
		if link.Resets {
			abort(caller)
			continue
		}
		go r.serve(caller, target)
	}
}

// serve forwards a connection until both directions have ended.
func (r *TCPRelay) serve(caller net.Conn, address string) {
	target, err := net.Dial("tcp", address)
	if err != nil {
		abort(caller)
		return
	}
	r.mutex.Lock()
	r.connections[caller] = target
	r.accepted++
	r.mutex.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { r.forward(target, caller) })
	directions.Go(func() { r.forward(caller, target) })
	directions.Wait()
	r.mutex.Lock()
	delete(r.connections, caller)
	r.mutex.Unlock()
	caller.Close()
	target.Close()
}

// waitForLink waits until the link is no black hole, and then for its delay.
func (r *TCPRelay) waitForLink() {
	for {
		link, _, changed := r.state()
		if !link.Blackhole {
			time.Sleep(link.Delay)
			return
		}
		<-changed
	}
}

// forward copies bytes and the end of the stream. While the link is a black hole, bytes wait, as with retransmission.
func (r *TCPRelay) forward(to, from net.Conn) {
	buf := make([]byte, relayBufferSize)
	for {
		n, err := from.Read(buf)
		r.waitForLink()
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
