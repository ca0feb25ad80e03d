// Package metrics writes the program's figures to Graphite (plaintext over TCP) and to collectd (PUTVAL over
// its unix socket). Both are off unless named. Nothing here ever holds the loop up: a peer that stalls or is
// down loses figures, not the program time.
package metrics

import (
	"bytes"
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"cinderroad/internal/transport"
)

// Value is one figure. A counter only grows; any other is a gauge.
type Value struct {
	Name    string
	Counter bool
	V       float64
}

// Form writes one figure in a peer's form.
type Form func(b []byte, v Value, host string, unix int64, every float64) []byte

// Graphite is `PATH VALUE TIME`.
func Graphite(b []byte, v Value, host string, unix int64, _ float64) []byte {
	return fmt.Appendf(b, "cinderroad.%s.%s %s %d\n", clean(host), v.Name, number(v.V), unix)
}

// Collectd is `PUTVAL HOST/PLUGIN/TYPE-INSTANCE interval=S TIME:VALUE`; its counters are type derive.
func Collectd(b []byte, v Value, host string, unix int64, every float64) []byte {
	kind := "gauge"
	if v.Counter {
		kind = "derive"
	}
	return fmt.Appendf(b, "PUTVAL \"%s/cinderroad/%s-%s\" interval=%s %d:%s\n", clean(host), kind,
		strings.ReplaceAll(v.Name, ".", "_"), number(every), unix, number(v.V))
}

func number(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// clean keeps a name to what both forms take as one part of a path.
func clean(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' || r == '-' {
			return r
		}
		return '_'
	}, name)
}

const (
	maxWaiting  = 64 << 10 // bytes that may wait for a peer
	stallPeriod = 3        // periods without progress after which a peer is let go
)

// Writer sends the figures to one peer, every period.
type Writer struct {
	Dropped uint64 // rounds of figures that were not sent

	loop    *transport.Loop
	log     *zap.Logger
	form    Form
	dial    func(transport.Handler) *transport.Conn
	host    string
	every   float64
	read    func() []Value
	conn    *transport.Conn
	up      bool
	stalled int
	written uint64
}

// NewGraphite writes to a Graphite server.
func NewGraphite(loop *transport.Loop, log *zap.Logger, addr netip.AddrPort, host string, every float64, read func() []Value) *Writer {
	return start(&Writer{loop: loop, log: log, form: Graphite, host: host, every: every, read: read,
		dial: func(h transport.Handler) *transport.Conn { return loop.Connect(addr, h) }})
}

// NewCollectd writes to collectd's unix socket.
func NewCollectd(loop *transport.Loop, log *zap.Logger, path, host string, every float64, read func() []Value) *Writer {
	return start(&Writer{loop: loop, log: log, form: Collectd, host: host, every: every, read: read,
		dial: func(h transport.Handler) *transport.Conn { return loop.ConnectUnix(path, h) }})
}

func start(w *Writer) *Writer {
	w.loop.At(w.loop.Now()+w.every, w.round)
	return w
}

// round sends the figures, or drops them while the peer is not there or takes nothing.
func (w *Writer) round() {
	w.loop.At(w.loop.Now()+w.every, w.round)
	if w.conn == nil {
		w.stalled, w.written = 0, 0
		w.conn = w.dial(w)
	}
	if w.conn.Written() > w.written || w.up && w.conn.Unsent() == 0 {
		w.stalled, w.written = 0, w.conn.Written()
	} else if w.stalled++; w.stalled > stallPeriod {
		w.log.Warn("metrics: peer takes nothing, letting go")
		w.conn.Close()
		w.conn, w.up = nil, false
		w.Dropped++
		return
	}
	var b []byte
	for _, v := range w.read() {
		b = w.form(b, v, w.host, int64(w.loop.Now()), w.every)
	}
	if w.conn.Unsent()+len(b) > maxWaiting {
		w.Dropped++
		return
	}
	w.conn.Write(b)
}

// Opened implements transport.Handler.
func (w *Writer) Opened(*transport.Conn) { w.up = true }

// Data implements transport.Handler: collectd answers each line, Graphite says nothing.
func (w *Writer) Data(c *transport.Conn) {
	for _, line := range bytes.Split(c.Bytes(), []byte("\n")) {
		if bytes.HasPrefix(line, []byte("-")) {
			w.log.Debug("metrics: collectd refused", zap.ByteString("line", line))
		}
	}
	c.Consume(len(c.Bytes()))
}

// Closed implements transport.Handler.
func (w *Writer) Closed(_ *transport.Conn, err error) {
	w.log.Debug("metrics: connection ended", zap.Error(err))
	w.conn, w.up = nil, false
}
