// Package standin imitates the systems that a dispatcher delivers figures to, for tests: a carbon and a collectd, written from
// their public descriptions, on loopback alone. Each misbehaves on cue and keeps all that it got. They read with code of
// their own where the sender uses a library, so that no mistake agrees with itself.
package receivers

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// Point is one value of a series.
type Point struct {
	Series string
	Time   float64 // Unix time in seconds
	Value  float64
}

// Store keeps what a stand-in got. It is safe for use by several goroutines.
type Store struct {
	mu     sync.Mutex
	points []Point
	series map[string]map[float64]float64
	again  int // points that were there already, with the same value
	moved  int // and with another one
	bad    []string
}

func (s *Store) add(p Point) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.series == nil {
		s.series = map[string]map[float64]float64{}
	}
	at := s.series[p.Series]
	if at == nil {
		at = map[float64]float64{}
		s.series[p.Series] = at
	}
	if was, there := at[p.Time]; there && was == p.Value {
		s.again++
	} else if there {
		s.moved++
	}
	at[p.Time] = p.Value
	s.points = append(s.points, p)
}

func (s *Store) wrong(format string, a ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bad = append(s.bad, fmt.Sprintf(format, a...))
}

// Reset loses all that was kept, as a receiver does whose disk is new.
func (s *Store) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.points, s.series, s.again, s.moved, s.bad = nil, nil, 0, 0, nil
}

// Last is the newest value of a series.
func (s *Store) Last(series string) (v float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := 0.0
	for at, value := range s.series[series] {
		if at >= newest {
			newest, v, ok = at, value, true
		}
	}
	return v, ok
}

// Sum adds the newest values of all series whose names match.
func (s *Store) Sum(match func(series string) bool) (sum float64) {
	for _, name := range s.Names() {
		if match(name) {
			v, _ := s.Last(name)
			sum += v
		}
	}
	return sum
}

// Names are the series, sorted.
func (s *Store) Names() (names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.series {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Timestamps are the times of a series, sorted.
func (s *Store) Timestamps(series string) (stamps []float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for at := range s.series[series] {
		stamps = append(stamps, at)
	}
	slices.Sort(stamps)
	return stamps
}

// Counts tells how many points came, how many of them again, and how many again with another value.
func (s *Store) Counts() (points, again, moved int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.points), s.again, s.moved
}

// Malformed is what made no sense.
func (s *Store) Malformed() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.bad)
}

// WriteLines writes all points in the order in which they came, as lines PATH VALUE TIME, or PUTVAL lines if they came so.
func (s *Store) WriteLines(path string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b strings.Builder
	for _, p := range s.points {
		if strings.Contains(p.Series, "/") {
			fmt.Fprintf(&b, "PUTVAL %q interval=1 %.3f:%v\n", p.Series, p.Time, p.Value)
			continue
		}
		fmt.Fprintf(&b, "%s %v %v\n", p.Series, p.Value, int64(p.Time))
	}
	return os.WriteFile(path, []byte(b.String()), 0o600)
}

// server is a listener that comes and goes, with what its connections are to do.
type server struct {
	Store
	network, addr string
	serve         func(c net.Conn)

	cue      sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	stalled  bool
	unstall  chan struct{}
	cut      int // bytes after which the next connection is reset; 0: none
	pace     int // bytes a read, with a pause between two; 0 is as they come
	accepted int
	keeps    bool // does not close in answer to a peer's close, as some relays
}

func (s *server) start() error {
	s.cue.Lock()
	defer s.cue.Unlock()
	if s.conns == nil {
		s.conns = map[net.Conn]bool{}
	}
	if s.network == "unix" {
		os.Remove(s.addr)
	}
	l, err := net.Listen(s.network, s.addr)
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	s.listener, s.addr = l, l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.cue.Lock()
			s.conns[c] = true
			s.accepted++
			s.cue.Unlock()
			go func() {
				s.serve(c)
				s.cue.Lock()
				defer s.cue.Unlock()
				if !s.keeps {
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
	s.cue.Lock()
	defer s.cue.Unlock()
	return s.addr
}

// Stop ends all connections, with bytes unread, and listens no more until Back.
func (s *server) Stop() {
	s.cue.Lock()
	defer s.cue.Unlock()
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
func (s *server) SetStalled(on bool) {
	s.cue.Lock()
	defer s.cue.Unlock()
	switch {
	case on && !s.stalled:
		s.unstall = make(chan struct{})
	case !on && s.stalled:
		close(s.unstall)
	}
	s.stalled = on
}

// ResetAfter resets the next connection after so many bytes were read.
func (s *server) ResetAfter(after int) {
	s.cue.Lock()
	defer s.cue.Unlock()
	s.cut = after
}

// SetReadSize reads so many bytes at a time, a millisecond apart; 0 is as they come.
func (s *server) SetReadSize(bytes int) {
	s.cue.Lock()
	defer s.cue.Unlock()
	s.pace = bytes
}

// KeepOpen has connections stay open when the peer has closed its side.
func (s *server) KeepOpen(on bool) {
	s.cue.Lock()
	defer s.cue.Unlock()
	s.keeps = on
}

// Accepted is how many connections there were.
func (s *server) Accepted() int {
	s.cue.Lock()
	defer s.cue.Unlock()
	return s.accepted
}

// reader reads a connection as the cues say.
type reader struct {
	s    *server
	c    net.Conn
	left int // until it is reset; 0: never
}

func (s *server) reader(c net.Conn) *bufio.Reader {
	s.cue.Lock()
	defer s.cue.Unlock()
	r := &reader{s: s, c: c, left: s.cut}
	s.cut = 0
	return bufio.NewReaderSize(r, 4096)
}

// Read implements io.Reader.
func (r *reader) Read(b []byte) (int, error) {
	r.s.cue.Lock()
	wait, pace := r.s.unstall, r.s.pace
	stalled := r.s.stalled
	r.s.cue.Unlock()
	if stalled {
		<-wait
	}
	if pace > 0 {
		time.Sleep(time.Millisecond)
		b = b[:min(len(b), pace)]
	}
	if r.left > 0 {
		b = b[:min(len(b), r.left)]
	}
	n, err := r.c.Read(b)
	if r.left > 0 && err == nil {
		if r.left -= n; r.left == 0 {
			if tcp, ok := r.c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			r.c.Close()
			return n, io.ErrUnexpectedEOF
		}
	}
	return n, err
}

// CounterIncrease is by how much a total has grown over all stamps, from 0 on; one that falls has begun anew.
func (s *Store) CounterIncrease(series string) (sum float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	type at struct{ at, v float64 }
	var all []at
	for t, v := range s.series[series] {
		all = append(all, at{t, v})
	}
	slices.SortFunc(all, func(x, y at) int { return cmp.Compare(x.at, y.at) })
	last := 0.0
	for _, p := range all {
		if p.v < last {
			last = 0
		}
		sum, last = sum+p.v-last, p.v
	}
	return sum
}
