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
	// picklePointsPerIteration is pointsPerIteration for pickles, which cost the library three times as much as lines.
	picklePointsPerIteration = 100

	maxBatchBytes    = 256 << 10 // bytes sent on a connection, so that a returning receiver isn't flooded
	minBatchBytes    = 4 << 10
	maxUnsentBytes   = 64 << 10 // bytes in our socket buffer
	batchPause       = 0.05     // seconds between two batches
	pollPause        = 0.005    // seconds between two checks for room in the socket buffer
	checksPerTimeout = 8        // of an attempt's progress
	warnUnconfirmed  = 3        // unconfirmed attempts in a row after which a warning is logged
)

// GraphiteOptions configure the output to a Graphite receiver.
type GraphiteOptions struct {
	Address        netip.AddrPort
	Prefix         string  // precedes the dispatcher's name
	Pickle         bool    // instead of lines
	ConfirmByClose bool    // a batch is delivered once the receiver closes in answer to our close; else once its kernel has acknowledged it
	Timeout        float64 // seconds without progress after which an attempt fails
}

// Graphite delivers to carbon or compatible receivers: lines `PATH VALUE TIME`, or pickles of lists of (path, (time,
// value)) behind their length in four bytes (https://graphite.readthedocs.io/en/latest/feeding-carbon.html).
type Graphite struct {
	outputBase
	options  GraphiteOptions
	maxBatch int // bytes; adapted to the receiver
	prefix   string

	conn                  *eventloop.Conn
	connected             bool
	nextPeriod            uint64            // number of the period being rendered, or of the next one
	period                *telemetry.Period // being rendered
	reader                *telemetry.Reader
	lastComplete          uint64 // number of the last period completely in the batch
	lastCompleteTimestamp int64
	hasComplete           bool
	batchBytes            int
	batchWritten          bool   // the batch is completely written
	written               uint64 // as of progressAt
	unacknowledged        int
	progressAt            float64
	watchdog              *eventloop.Timer
	unconfirmedAttempts   int // successive ones in which the receiver never closed
}

// NewGraphite returns an output; Exporter.AddOutput starts it.
func NewGraphite(o GraphiteOptions) *Graphite { return &Graphite{options: o, maxBatch: maxBatchBytes} }

// Name implements Output.
func (g *Graphite) Name() string { return "graphite " + g.options.Address.String() }

// Kind implements Output.
func (g *Graphite) Kind() string { return "graphite" }

func (g *Graphite) start(exporter *Exporter, cursor *telemetry.Cursor) {
	g.init(exporter, cursor)
	if g.options.Prefix != "" {
		g.prefix = g.options.Prefix + "."
	}
	g.prefix += telemetry.SanitizeName(exporter.options.DispatcherName) + "."
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
	g.conn = nil
	g.connected = false
	g.period = nil
	g.reader = nil
}

// wake starts a batch if there is something to deliver and no batch is in flight.
func (g *Graphite) wake() {
	if !g.canStart() {
		return
	}
	if g.conn != nil {
		if g.connected && g.batchWritten && !g.options.ConfirmByClose { // the connection is persistent, and there is more
			g.batchWritten = false
			g.writeMore()
		}
		return
	}
	if p, _ := g.exporter.periodFrom(g.cursor.Next()); p == nil {
		return
	}
	g.nextPeriod = g.cursor.Next()
	g.hasComplete = false
	g.batchBytes = 0
	g.batchWritten = false
	g.written = 0
	g.unacknowledged = 0
	g.progressAt = g.exporter.loop.Now()
	g.conn = g.exporter.loop.Connect(g.options.Address, g)
	g.checkProgress()
}

// checkProgress fails the attempt after the timeout without progress.
func (g *Graphite) checkProgress() {
	now := g.exporter.loop.Now()
	if g.conn != nil {
		written := g.conn.Written()
		unacknowledged := g.conn.Unacknowledged()
		if written != g.written || unacknowledged != g.unacknowledged || g.idle() {
			g.written = written
			g.unacknowledged = unacknowledged
			g.progressAt = now
		}
		if now-g.progressAt >= g.options.Timeout {
			if g.batchWritten {
				g.unconfirmedAttempts++
			}
			if g.unconfirmedAttempts == warnUnconfirmed {
				g.exporter.log.Warn("exporter: Graphite receiver does not confirm batches by closing the connection: "+
					"they are sent repeatedly. For a relay that does not close, set confirm = \"none\"",
					zap.Stringer("address", g.options.Address))
			}
			g.attemptFailed(errors.New("no progress"))
			return
		}
	}
	g.watchdog = g.exporter.loop.At(now+g.options.Timeout/checksPerTimeout, g.checkProgress)
}

// idle reports whether a persistent connection has nothing in flight.
func (g *Graphite) idle() bool { return !g.options.ConfirmByClose && g.batchWritten && !g.hasComplete }

// Opened implements eventloop.Handler.
func (g *Graphite) Opened(*eventloop.Conn) {
	g.connected = true
	g.writeMore()
}

// writeMore renders and writes some points in each iteration of the event loop, until the batch is full or nothing is left.
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
		g.period = p
		g.reader = p.Read()
		g.nextPeriod = n
	}
	b, points, done := g.render(nil)
	g.stats.Points += uint64(points)
	g.batchBytes += len(b)
	g.conn.Write(b)
	if done {
		g.lastComplete = g.nextPeriod
		g.lastCompleteTimestamp = g.period.Timestamp
		g.hasComplete = true
		g.nextPeriod++
		g.period = nil
		g.reader = nil
	}
	g.schedule(0, g.writeMore)
}

// render renders the next points.
func (g *Graphite) render(b []byte) (out []byte, points int, done bool) {
	if g.options.Pickle {
		return g.renderPickle(b)
	}
	seconds := g.period.Timestamp / 1000
	for ; points < pointsPerIteration; points++ {
		s, v, ok := g.reader.Next()
		if !ok {
			g.logTruncated(g.reader)
			return b, points, true
		}
		b = append(append(b, g.prefix...), s.Name...)
		b = strconv.AppendFloat(append(b, ' '), v, 'f', -1, 64)
		b = append(strconv.AppendInt(append(b, ' '), seconds, 10), '\n')
	}
	return b, points, false
}

// renderPickle renders the next points as one pickle.
func (g *Graphite) renderPickle(b []byte) (out []byte, points int, done bool) {
	seconds := g.period.Timestamp / 1000
	list := make([]any, 0, picklePointsPerIteration)
	for len(list) < picklePointsPerIteration && !done {
		s, v, ok := g.reader.Next()
		if !ok {
			g.logTruncated(g.reader)
			done = true
			break
		}
		list = append(list, ogorek.Tuple{g.prefix + s.Name, ogorek.Tuple{seconds, v}})
	}
	if len(list) == 0 {
		return b, 0, done
	}
	var text bytes.Buffer
	if err := ogorek.NewEncoder(&text).Encode(list); err != nil {
		g.exporter.log.Error("exporter: failed to encode pickle", zap.Error(err))
		return b, 0, done
	}
	b = binary.BigEndian.AppendUint32(b, uint32(text.Len()))
	return append(b, text.Bytes()...), len(list), done
}

// finishBatch ends the batch. A receiver that closes in answer to our close has read all of it.
func (g *Graphite) finishBatch() {
	g.batchWritten = true
	if g.options.ConfirmByClose {
		g.conn.CloseWrite()
		return
	}
	g.awaitDelivery()
}

// awaitDelivery polls, on a persistent connection, until the receiver's kernel has acknowledged the batch.
func (g *Graphite) awaitDelivery() {
	switch {
	case g.conn == nil || !g.batchWritten:
	case g.conn.Unsent() > 0 || g.conn.Unacknowledged() > 0:
		g.schedule(pollPause, g.awaitDelivery)
	case g.hasComplete:
		g.batchDelivered()
		g.hasComplete = false
		g.batchBytes = 0
		if p, _ := g.exporter.periodFrom(g.nextPeriod); p != nil {
			g.schedule(batchPause, g.wake)
		}
	}
}

func (g *Graphite) batchDelivered() {
	g.stats.Periods += g.lastComplete - max(g.cursor.Next(), 1) + 1
	g.retryDelay = 0
	g.unconfirmedAttempts = 0
	g.maxBatch = min(2*g.maxBatch, maxBatchBytes)
	g.exporter.acknowledge(g, g.lastComplete, g.lastCompleteTimestamp)
}

// Data implements eventloop.Handler; Graphite sends nothing.
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

// attemptFailed ends an attempt. All unconfirmed periods of the batch are sent again, in smaller batches.
func (g *Graphite) attemptFailed(err error) {
	g.exporter.log.Debug("exporter: Graphite connection failed", zap.Stringer("address", g.options.Address), zap.Error(err))
	idle := g.idle()
	g.disconnect()
	g.maxBatch = max(g.maxBatch/2, minBatchBytes)
	if idle {
		g.wake()
		return
	}
	g.retryLater(g.wake)
}
