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
	mutex      sync.Mutex
	points     []Point
	series     map[string]map[float64]float64
	duplicates int // points that were there already, with the same value
	conflicts  int // and with another one
	malformed  []string
}

func (s *Store) addPoint(point Point) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.series == nil {
		s.series = map[string]map[float64]float64{}
	}
	at := s.series[point.Series]
	if at == nil {
		at = map[float64]float64{}
		s.series[point.Series] = at
	}
	if was, there := at[point.Time]; there && was == point.Value {
		s.duplicates++
	} else if there {
		s.conflicts++
	}
	at[point.Time] = point.Value
	s.points = append(s.points, point)
}

func (s *Store) addMalformed(format string, a ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.malformed = append(s.malformed, fmt.Sprintf(format, a...))
}

// Reset loses all that was kept, as a receiver does whose disk is new.
func (s *Store) Reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.points, s.series, s.duplicates, s.conflicts, s.malformed = nil, nil, 0, 0, nil
}

// Last is the newest value of a series.
func (s *Store) Last(series string) (v float64, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
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
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for name := range s.series {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Timestamps are the times of a series, sorted.
func (s *Store) Timestamps(series string) (stamps []float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for at := range s.series[series] {
		stamps = append(stamps, at)
	}
	slices.Sort(stamps)
	return stamps
}

// Counts tells how many points came, how many of them again, and how many again with another value.
func (s *Store) Counts() (points, again, moved int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.points), s.duplicates, s.conflicts
}

// Malformed is what made no sense.
func (s *Store) Malformed() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.malformed)
}

// WriteLines writes all points in the order in which they came, as lines PATH VALUE TIME, or PUTVAL lines if they came so.
func (s *Store) WriteLines(path string) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
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

// CounterIncrease is by how much a total has grown over all stamps, from 0 on; one that falls has begun anew.
func (s *Store) CounterIncrease(series string) (sum float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
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
