package exporter

import (
	"bytes"
	"encoding/binary"
	"errors"
	"net/netip"
	"strconv"

	ogorek "github.com/kisielk/og-rek"
	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/telemetry"
	"cinderroad/internal/shared/eventloop"
)

const (
	pickleSlice = 100       // points rendered in a turn as a pickle: the library makes one thrice as dear as a line
	mostBatch   = 256 << 10 // bytes of a connection: a receiver that returns is not flooded
	leastBatch  = 4 << 10
	mostUnsent  = 64 << 10 // bytes that may wait for the receiver
	batchPause  = 0.05     // seconds between two batches
	pollPause   = 0.005    // seconds between two looks at whether there is room
)

// GraphiteOptions say how a Graphite receiver is served.
type GraphiteOptions struct {
	Address        netip.AddrPort
	Prefix         string  // before the dispatcher's name
	Pickle         bool    // else lines
	ConfirmByClose bool    // a batch counts once the receiver has closed in answer to our close; else once its kernel has it
	Timeout        float64 // seconds without any progress after which a try is given up
}

// Graphite delivers to carbon, or to what takes its protocols: lines `PATH VALUE TIME`, or pickles of lists of
// (path, (time, value)) behind their length in four bytes
// (https://graphite.readthedocs.io/en/latest/feeding-carbon.html).
type Graphite struct {
	sender
	options GraphiteOptions
	batch   int // bytes of a connection, as this receiver can bear
	prefix  string

	conn     *eventloop.Conn
	up       bool
	at       uint64            // number of the period that is being rendered, or of the next one
	period   *telemetry.Period // that is being rendered
	reader   *telemetry.Reader
	whole    uint64 // number of the last period of the batch that is written whole
	stamp    int64  // and its stamp
	any      bool
	out      int    // bytes of the batch
	finished bool   // all of the batch is written
	written  uint64 // progress as of moved
	queue    int
	moved    float64
	limit    *eventloop.Timer
	silent   int // tries in turn that the receiver never closed
}

// NewGraphite makes an output; Feed.Attach starts it.
func NewGraphite(o GraphiteOptions) *Graphite { return &Graphite{options: o, batch: mostBatch} }

// Name implements Output.
func (g *Graphite) Name() string { return "graphite " + g.options.Address.String() }

// Kind implements Output.
func (g *Graphite) Kind() string { return "graphite" }

func (g *Graphite) start(f *Exporter, place *telemetry.Cursor) {
	g.begin(f, place)
	if g.options.Prefix != "" {
		g.prefix = g.options.Prefix + "."
	}
	g.prefix += telemetry.SanitizeName(f.options.DispatcherName) + "."
}

func (g *Graphite) stop() {
	g.rest()
	g.drop()
}

func (g *Graphite) drop() {
	g.limit.Stop()
	if g.conn != nil {
		g.conn.Close()
	}
	g.conn, g.up, g.period, g.reader = nil, false, nil, nil
}

// wake begins a batch if there is something to deliver and none is on its way.
func (g *Graphite) wake() {
	if !g.free() {
		return
	}
	if g.conn != nil {
		if g.up && g.finished && !g.options.ConfirmByClose { // the connection stays, and there is more
			g.finished = false
			g.pump()
		}
		return
	}
	if p, _ := g.feed.from(g.place.Next()); p == nil {
		return
	}
	g.at, g.any, g.out, g.finished, g.written, g.queue = g.place.Next(), false, 0, false, 0, 0
	g.moved = g.feed.loop.Now()
	g.conn = g.feed.loop.Connect(g.options.Address, g)
	g.watch()
}

// watch gives the try up when nothing moves.
func (g *Graphite) watch() {
	now := g.feed.loop.Now()
	if g.conn != nil {
		if w, q := g.conn.Written(), g.conn.Unacknowledged(); w != g.written || q != g.queue || g.idle() {
			g.written, g.queue, g.moved = w, q, now
		}
		if now-g.moved >= g.options.Timeout {
			if g.finished {
				g.silent++
			}
			if g.silent == 3 {
				g.feed.log.Warn("metrics: the Graphite receiver never closes after our close, which would say that it has read all: sent again and again. A relay that does not close wants confirm = \"none\"",
					zap.Stringer("address", g.options.Address))
			}
			g.broke(errors.New("no progress"))
			return
		}
	}
	g.limit = g.feed.loop.At(now+g.options.Timeout/8, g.watch)
}

// idle says that nothing is owed on a connection that stays.
func (g *Graphite) idle() bool { return !g.options.ConfirmByClose && g.finished && !g.any }

// Opened implements eventloop.Handler.
func (g *Graphite) Opened(*eventloop.Conn) {
	g.up = true
	g.pump()
}

// pump renders and writes, some points a turn, until the batch is full or nothing is left.
func (g *Graphite) pump() {
	if g.conn == nil || !g.up {
		return
	}
	if g.conn.Unsent() > mostUnsent {
		g.soon(pollPause, g.pump)
		return
	}
	if g.reader == nil {
		p, n := g.feed.from(g.at)
		if p == nil || g.any && g.out >= g.batch {
			g.finish()
			return
		}
		g.period, g.reader, g.at = p, p.Read(), n
	}
	b, points, done := g.render(nil)
	g.state.Points += uint64(points)
	g.out += len(b)
	g.conn.Write(b)
	if done {
		g.whole, g.stamp, g.any = g.at, g.period.Timestamp, true
		g.at++
		g.period, g.reader = nil, nil
	}
	g.soon(0, g.pump)
}

// render writes the next points.
func (g *Graphite) render(b []byte) (out []byte, points int, done bool) {
	if g.options.Pickle {
		return g.pickle(b)
	}
	stamp := g.period.Timestamp / 1000
	for ; points < slice; points++ {
		s, v, ok := g.reader.Next()
		if !ok {
			g.ended(g.reader)
			return b, points, true
		}
		b = append(append(b, g.prefix...), s.Name...)
		b = strconv.AppendFloat(append(b, ' '), v, 'f', -1, 64)
		b = append(strconv.AppendInt(append(b, ' '), stamp, 10), '\n')
	}
	return b, points, false
}

// pickle writes the next points as one message.
func (g *Graphite) pickle(b []byte) (out []byte, points int, done bool) {
	stamp := g.period.Timestamp / 1000
	list := make([]any, 0, pickleSlice)
	for len(list) < pickleSlice && !done {
		s, v, ok := g.reader.Next()
		if !ok {
			g.ended(g.reader)
			done = true
			break
		}
		list = append(list, ogorek.Tuple{g.prefix + s.Name, ogorek.Tuple{stamp, v}})
	}
	if len(list) == 0 {
		return b, 0, done
	}
	var text bytes.Buffer
	if err := ogorek.NewEncoder(&text).Encode(list); err != nil {
		g.feed.log.Error("metrics: pickle", zap.Error(err))
		return b, 0, done
	}
	b = binary.BigEndian.AppendUint32(b, uint32(text.Len()))
	return append(b, text.Bytes()...), len(list), done
}

// finish ends the batch: a receiver that closes in answer has read all of it.
func (g *Graphite) finish() {
	g.finished = true
	if g.options.ConfirmByClose {
		g.conn.CloseWrite()
		return
	}
	g.settle()
}

// settle waits, where the connection stays, until the receiver's kernel has the batch.
func (g *Graphite) settle() {
	switch {
	case g.conn == nil || !g.finished:
	case g.conn.Unsent() > 0 || g.conn.Unacknowledged() > 0:
		g.soon(pollPause, g.settle)
	case g.any:
		g.got()
		g.any, g.out = false, 0
		if p, _ := g.feed.from(g.at); p != nil {
			g.soon(batchPause, g.wake)
		}
	}
}

func (g *Graphite) got() {
	g.state.Periods += g.whole - max(g.place.Next(), 1) + 1
	g.pause, g.silent = 0, 0
	g.batch = min(2*g.batch, mostBatch)
	g.feed.took(g, g.whole, g.stamp)
}

// Data implements eventloop.Handler: Graphite says nothing.
func (g *Graphite) Data(c *eventloop.Conn) { c.Consume(len(c.Bytes())) }

// Closed implements eventloop.Handler.
func (g *Graphite) Closed(c *eventloop.Conn, err error) {
	if g.options.ConfirmByClose && g.finished && g.any && c.PeerReadAll() {
		g.got()
		g.drop()
		if p, _ := g.feed.from(g.place.Next()); p != nil {
			g.soon(batchPause, g.wake)
		}
		return
	}
	g.broke(err)
}

// broke gives a try up: all of the batch that the receiver has not confirmed goes again, in smaller pieces.
func (g *Graphite) broke(err error) {
	g.feed.log.Debug("metrics: Graphite", zap.Stringer("address", g.options.Address), zap.Error(err))
	idle := g.idle()
	g.drop()
	if g.batch = max(g.batch/2, leastBatch); idle {
		g.wake()
		return
	}
	g.again(g.wake)
}
