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
	picklePointsPerTurn = 100       // points rendered in a turn as a pickle: the library makes one thrice as dear as a line
	maxBatchBytes       = 256 << 10 // bytes of a connection: a receiver that returns is not flooded
	minBatchBytes       = 4 << 10
	maxUnsentBytes      = 64 << 10 // bytes that may wait for the receiver
	batchPause          = 0.05     // seconds between two batches
	pollPause           = 0.005    // seconds between two looks at whether there is room
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
	outputBase
	options  GraphiteOptions
	maxBatch int // bytes of a connection, as this receiver can bear
	prefix   string

	conn                  *eventloop.Conn
	connected             bool
	nextPeriod            uint64            // number of the period that is being rendered, or of the next one
	period                *telemetry.Period // that is being rendered
	reader                *telemetry.Reader
	lastComplete          uint64 // number of the last period of the batch that is written whole
	lastCompleteTimestamp int64  // and its stamp
	hasComplete           bool
	batchBytes            int    // bytes of the batch
	batchWritten          bool   // all of the batch is written
	written               uint64 // progress as of moved
	unacknowledged        int
	progressAt            float64
	watchdog              *eventloop.Timer
	unconfirmedAttempts   int // tries in turn that the receiver never closed
}

// NewGraphite makes an output; Feed.Attach starts it.
func NewGraphite(o GraphiteOptions) *Graphite { return &Graphite{options: o, maxBatch: maxBatchBytes} }

// Name implements Output.
func (g *Graphite) Name() string { return "graphite " + g.options.Address.String() }

// Kind implements Output.
func (g *Graphite) Kind() string { return "graphite" }

func (g *Graphite) start(f *Exporter, place *telemetry.Cursor) {
	g.init(f, place)
	if g.options.Prefix != "" {
		g.prefix = g.options.Prefix + "."
	}
	g.prefix += telemetry.SanitizeName(f.options.DispatcherName) + "."
}

func (g *Graphite) stop() {
	g.stopTimer()
	g.disconnect()
}

func (g *Graphite) disconnect() {
	g.watchdog.Stop()
	if g.conn != nil {
		g.conn.Close()
	}
	g.conn, g.connected, g.period, g.reader = nil, false, nil, nil
}

// wake begins a batch if there is something to deliver and none is on its way.
func (g *Graphite) wake() {
	if !g.canStart() {
		return
	}
	if g.conn != nil {
		if g.connected && g.batchWritten && !g.options.ConfirmByClose { // the connection stays, and there is more
			g.batchWritten = false
			g.writeMore()
		}
		return
	}
	if p, _ := g.exporter.periodFrom(g.cursor.Next()); p == nil {
		return
	}
	g.nextPeriod, g.hasComplete, g.batchBytes, g.batchWritten, g.written, g.unacknowledged = g.cursor.Next(), false, 0, false, 0, 0
	g.progressAt = g.exporter.loop.Now()
	g.conn = g.exporter.loop.Connect(g.options.Address, g)
	g.checkProgress()
}

// checkProgress gives the try up when nothing moves.
func (g *Graphite) checkProgress() {
	now := g.exporter.loop.Now()
	if g.conn != nil {
		if w, q := g.conn.Written(), g.conn.Unacknowledged(); w != g.written || q != g.unacknowledged || g.idle() {
			g.written, g.unacknowledged, g.progressAt = w, q, now
		}
		if now-g.progressAt >= g.options.Timeout {
			if g.batchWritten {
				g.unconfirmedAttempts++
			}
			if g.unconfirmedAttempts == 3 {
				g.exporter.log.Warn("metrics: the Graphite receiver never closes after our close, which would say that it has read all: sent again and again. A relay that does not close wants confirm = \"none\"",
					zap.Stringer("address", g.options.Address))
			}
			g.attemptFailed(errors.New("no progress"))
			return
		}
	}
	g.watchdog = g.exporter.loop.At(now+g.options.Timeout/8, g.checkProgress)
}

// idle says that nothing is owed on a connection that stays.
func (g *Graphite) idle() bool { return !g.options.ConfirmByClose && g.batchWritten && !g.hasComplete }

// Opened implements eventloop.Handler.
func (g *Graphite) Opened(*eventloop.Conn) {
	g.connected = true
	g.writeMore()
}

// writeMore renders and writes, some points a turn, until the batch is full or nothing is left.
func (g *Graphite) writeMore() {
	if g.conn == nil || !g.connected {
		return
	}
	if g.conn.Unsent() > maxUnsentBytes {
		g.schedule(pollPause, g.writeMore)
		return
	}
	if g.reader == nil {
		p, n := g.exporter.periodFrom(g.nextPeriod)
		if p == nil || g.hasComplete && g.batchBytes >= g.maxBatch {
			g.finishBatch()
			return
		}
		g.period, g.reader, g.nextPeriod = p, p.Read(), n
	}
	b, points, done := g.render(nil)
	g.stats.Points += uint64(points)
	g.batchBytes += len(b)
	g.conn.Write(b)
	if done {
		g.lastComplete, g.lastCompleteTimestamp, g.hasComplete = g.nextPeriod, g.period.Timestamp, true
		g.nextPeriod++
		g.period, g.reader = nil, nil
	}
	g.schedule(0, g.writeMore)
}

// render writes the next points.
func (g *Graphite) render(b []byte) (out []byte, points int, done bool) {
	if g.options.Pickle {
		return g.renderPickle(b)
	}
	stamp := g.period.Timestamp / 1000
	for ; points < pointsPerTurn; points++ {
		s, v, ok := g.reader.Next()
		if !ok {
			g.logTruncated(g.reader)
			return b, points, true
		}
		b = append(append(b, g.prefix...), s.Name...)
		b = strconv.AppendFloat(append(b, ' '), v, 'f', -1, 64)
		b = append(strconv.AppendInt(append(b, ' '), stamp, 10), '\n')
	}
	return b, points, false
}

// renderPickle writes the next points as one message.
func (g *Graphite) renderPickle(b []byte) (out []byte, points int, done bool) {
	stamp := g.period.Timestamp / 1000
	list := make([]any, 0, picklePointsPerTurn)
	for len(list) < picklePointsPerTurn && !done {
		s, v, ok := g.reader.Next()
		if !ok {
			g.logTruncated(g.reader)
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
		g.exporter.log.Error("metrics: pickle", zap.Error(err))
		return b, 0, done
	}
	b = binary.BigEndian.AppendUint32(b, uint32(text.Len()))
	return append(b, text.Bytes()...), len(list), done
}

// finishBatch ends the batch: a receiver that closes in answer has read all of it.
func (g *Graphite) finishBatch() {
	g.batchWritten = true
	if g.options.ConfirmByClose {
		g.conn.CloseWrite()
		return
	}
	g.awaitDelivery()
}

// awaitDelivery waits, where the connection stays, until the receiver's kernel has the batch.
func (g *Graphite) awaitDelivery() {
	switch {
	case g.conn == nil || !g.batchWritten:
	case g.conn.Unsent() > 0 || g.conn.Unacknowledged() > 0:
		g.schedule(pollPause, g.awaitDelivery)
	case g.hasComplete:
		g.batchDelivered()
		g.hasComplete, g.batchBytes = false, 0
		if p, _ := g.exporter.periodFrom(g.nextPeriod); p != nil {
			g.schedule(batchPause, g.wake)
		}
	}
}

func (g *Graphite) batchDelivered() {
	g.stats.Periods += g.lastComplete - max(g.cursor.Next(), 1) + 1
	g.retryDelay, g.unconfirmedAttempts = 0, 0
	g.maxBatch = min(2*g.maxBatch, maxBatchBytes)
	g.exporter.acknowledge(g, g.lastComplete, g.lastCompleteTimestamp)
}

// Data implements eventloop.Handler: Graphite says nothing.
func (g *Graphite) Data(c *eventloop.Conn) { c.Consume(len(c.Bytes())) }

// Closed implements eventloop.Handler.
func (g *Graphite) Closed(c *eventloop.Conn, err error) {
	if g.options.ConfirmByClose && g.batchWritten && g.hasComplete && c.PeerReadAll() {
		g.batchDelivered()
		g.disconnect()
		if p, _ := g.exporter.periodFrom(g.cursor.Next()); p != nil {
			g.schedule(batchPause, g.wake)
		}
		return
	}
	g.attemptFailed(err)
}

// attemptFailed gives a try up: all of the batch that the receiver has not confirmed goes again, in smaller pieces.
func (g *Graphite) attemptFailed(err error) {
	g.exporter.log.Debug("metrics: Graphite", zap.Stringer("address", g.options.Address), zap.Error(err))
	idle := g.idle()
	g.disconnect()
	if g.maxBatch = max(g.maxBatch/2, minBatchBytes); idle {
		g.wake()
		return
	}
	g.retryLater(g.wake)
}
