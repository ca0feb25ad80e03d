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

const (
	readBufferSize = 4096             // bytes
	readPause      = time.Millisecond // before each read, with a limit of SetReadSize
)

// server is a listener that can be stopped and restarted, with faults for its connections.
type server struct {
	Store
	network string // tcp or unix
	address string // what was asked for, and after start the one that it listens on
	serve   func(c net.Conn)

	mutex      sync.Mutex
	listener   net.Listener
	conns      map[net.Conn]bool
	stalled    bool          // nothing is read
	resume     chan struct{} // closed when it is no longer stalled
	resetAfter int           // bytes after which the next connection is reset; 0: none
	readSize   int           // bytes per read, with a pause after each; 0: unlimited
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
	s.listener = l
	s.address = l.Addr().String()
	go s.acceptAll(l)
	return nil
}

// acceptAll serves connections until the listener is closed.
func (s *server) acceptAll(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.conns[c] = true
		s.accepted++
		s.mutex.Unlock()
		go s.serveConn(c)
	}
}

func (s *server) serveConn(c net.Conn) {
	s.serve(c)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.keepOpen {
		delete(s.conns, c)
		c.Close()
	}
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
		abort(c)
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

// faultyReader reads a connection with the faults of its server.
type faultyReader struct {
	server     *server
	conn       net.Conn
	untilReset int // bytes; 0: never
}

// reader returns a reader of a connection with the server's faults. It takes the reset that ResetAfter ordered.
func (s *server) reader(c net.Conn) *bufio.Reader {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := &faultyReader{server: s, conn: c, untilReset: s.resetAfter}
	s.resetAfter = 0
	return bufio.NewReaderSize(r, readBufferSize)
}

// Read implements io.Reader.
func (r *faultyReader) Read(b []byte) (int, error) {
	r.server.mutex.Lock()
	stalled := r.server.stalled
	resume := r.server.resume
	readSize := r.server.readSize
	r.server.mutex.Unlock()
	if stalled {
		<-resume
	}
	if readSize > 0 {
		time.Sleep(readPause)
		b = b[:min(len(b), readSize)]
	}
	if r.untilReset > 0 {
		b = b[:min(len(b), r.untilReset)]
	}
	n, err := r.conn.Read(b)
	if r.untilReset > 0 && err == nil {
		r.untilReset -= n
		if r.untilReset == 0 {
			abort(r.conn)
			return n, io.ErrUnexpectedEOF
		}
	}
	return n, err
}
