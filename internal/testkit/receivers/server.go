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

// server is a listener that comes and goes, with what its connections are to do.
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
	readSize   int // bytes a read, with a pause between two; 0 is as they come
	accepted   int
	keepOpen   bool // does not close in answer to a peer's close, as some relays
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
		return fmt.Errorf("standin: %w", err)
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

// Addr is where the stand-in listens.
func (s *server) Addr() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.address
}

// Stop ends all connections, with bytes unread, and listens no more until Back.
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

// SetStalled accepts and reads nothing, or reads again.
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

// ResetAfter resets the next connection after so many bytes were read.
func (s *server) ResetAfter(after int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.resetAfter = after
}

// SetReadSize reads so many bytes at a time, a millisecond apart; 0 is as they come.
func (s *server) SetReadSize(bytes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.readSize = bytes
}

// KeepOpen has connections stay open when the peer has closed its side.
func (s *server) KeepOpen(keepOpen bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.keepOpen = keepOpen
}

// Accepted is how many connections there were.
func (s *server) Accepted() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.accepted
}

// cueReader reads a connection as the cues say.
type cueReader struct {
	server     *server
	conn       net.Conn
	untilReset int // until it is reset; 0: never
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
