package receivers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// server is a listener that can be stopped and restarted, with faults for its connections.
type server struct {
	Store
	network, address string
	serve            func(c net.Conn)

	mutex      sync.Mutex
	listener   net.Listener
	conns      map[net.Conn]bool
	stalled    bool
	resume     chan struct{}
	resetAfter int // bytes after which the next connection is reset; 0: none
	readSize   int // bytes per read, with a pause after each; 0: unlimited
	accepted   int
	keepOpen   bool // doesn't close when the peer has closed, like some relays
}

func (s *server) start() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.conns == nil {
		s.conns = map[net.Conn]bool{}
	}
	if s.network == "unix" {
		os.Remove(s.address)
	}
	l, err := net.Listen(s.network, s.address)
	if err != nil {
		return fmt.Errorf("receivers: %w", err)
	}
	s.listener, s.address = l, l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mutex.Lock()
			s.conns[c] = true
			s.accepted++
			s.mutex.Unlock()
			go func() {
				s.serve(c)
				s.mutex.Lock()
				defer s.mutex.Unlock()
				if !s.keepOpen {
					delete(s.conns, c)
					c.Close()
				}
			}()
		}
	}()
	return nil
}

// Addr returns the address that it listens on.
func (s *server) Addr() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.address
}

// Stop resets all connections and stops listening until Restart.
func (s *server) Stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.listener != nil {
		s.listener.Close()
		s.listener = nil
	}
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}

// Restart listens at the same address again.
func (s *server) Restart() error { return s.start() }

// SetStalled makes the server accept, but not read, or ends that.
func (s *server) SetStalled(stalled bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case stalled && !s.stalled:
		s.resume = make(chan struct{})
	case !stalled && s.stalled:
		close(s.resume)
	}
	s.stalled = stalled
}

// ResetAfter resets the next connection after that many bytes.
func (s *server) ResetAfter(after int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.resetAfter = after
}

// SetReadSize limits reads to that many bytes, a millisecond apart; 0: unlimited.
func (s *server) SetReadSize(bytes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.readSize = bytes
}

// KeepOpen sets whether connections stay open after the peer has closed its side.
func (s *server) KeepOpen(keepOpen bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.keepOpen = keepOpen
}

// Accepted returns the number of connections accepted so far.
func (s *server) Accepted() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.accepted
}

// cueReader reads a connection with the faults of its server.
type cueReader struct {
	server     *server
	conn       net.Conn
	untilReset int // bytes; 0: never
}

func (s *server) reader(c net.Conn) *bufio.Reader {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := &cueReader{server: s, conn: c, untilReset: s.resetAfter}
	s.resetAfter = 0
	return bufio.NewReaderSize(r, 4096)
}

// Read implements io.Reader.
func (r *cueReader) Read(b []byte) (int, error) {
	r.server.mutex.Lock()
	wait, pace := r.server.resume, r.server.readSize
	stalled := r.server.stalled
	r.server.mutex.Unlock()
	if stalled {
		<-wait
	}
	if pace > 0 {
		time.Sleep(time.Millisecond)
		b = b[:min(len(b), pace)]
	}
	if r.untilReset > 0 {
		b = b[:min(len(b), r.untilReset)]
	}
	n, err := r.conn.Read(b)
	if r.untilReset > 0 && err == nil {
		if r.untilReset -= n; r.untilReset == 0 {
			if tcp, ok := r.conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			r.conn.Close()
			return n, io.ErrUnexpectedEOF
		}
	}
	return n, err
}
