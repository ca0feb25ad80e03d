// Package exporter delivers the periods of package telemetry to receivers: to Graphite, as lines or pickles over TCP,
// and to collectd, over its unix socket or by its network protocol. An Exporter closes the periods and buffers each
// until every receiver has it; docs/design/telemetry.md says when that is.
//
// Everything runs on the dispatcher's event loop and never blocks it: periods are encoded and rendered in slices, and
// a receiver that stalls or is down costs only room in a bounded ring.
package exporter

import (
	"math"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/spool"
	"cinderroad/internal/dispatcher/telemetry"
	"cinderroad/internal/shared/eventloop"
)

const (
	minInterval = 0.1 // seconds
	maxDiskWait = 2.0 // seconds that a period waits for the spool before it is delivered anyway
	// Work is split over iterations of the event loop.
	valuesPerIteration = 15000 // encoded in one
	nodesPerIteration  = 500   // whose gauges are gathered in one
	pointsPerIteration = 300   // rendered in one, about 0.2 ms

	// clockTolerance is the share of an interval by which a timer may fire before the end of the period.
	clockTolerance = 1e-6
)

// Options configure an Exporter.
type Options struct {
	DispatcherName string
	Interval       float64 // seconds; at least minInterval
	BufferBytes    int     // of buffered periods
	WallClock      func() time.Time
}

// Exporter closes periods and has its outputs deliver them. It belongs to the goroutine of its event loop.
type Exporter struct {
	ClosedPeriods uint64 // frozen ones included

	loop          *eventloop.Loop
	log           *zap.Logger
	set           *telemetry.Set
	ring          *telemetry.Ring
	options       Options
	spool         *spool.Spool           // nil: periods are not stored
	acknowledged  map[string]int64       // by output name: timestamp of the last period that it has
	retiredStats  map[string]OutputStats // of removed outputs, by kind
	outputs       []Output
	lastTimestamp int64  // of the last period, in Unix milliseconds
	deliverable   uint64 // number of the last period that may be delivered
	timer         *eventloop.Timer
	running       bool
	encoding      bool // the period is frozen, but not completely encoded
}

// New returns an exporter that isn't started.
func New(loop *eventloop.Loop, log *zap.Logger, set *telemetry.Set, o Options) *Exporter {
	if o.WallClock == nil {
		o.WallClock = time.Now
	}
	o.Interval = math.Max(minInterval, o.Interval)
	return &Exporter{
		loop:         loop,
		log:          log,
		set:          set,
		ring:         telemetry.NewRing(o.BufferBytes),
		options:      o,
		acknowledged: map[string]int64{},
		retiredStats: map[string]OutputStats{},
	}
}

// AddOutput adds an output, which gets all buffered and future periods.
func (e *Exporter) AddOutput(o Output) {
	e.outputs = append(e.outputs, o)
	o.start(e, e.ring.OpenCursor(o.Name()))
}

// ReplaceOutput replaces an output by another of its kind, which continues where the old one was.
func (e *Exporter) ReplaceOutput(old, replacement Output) {
	for i, o := range e.outputs {
		if o == old {
			e.retireOutput(old)
			e.outputs[i] = replacement
			cursor := old.receiverCursor()
			cursor.Name = replacement.Name()
			replacement.start(e, cursor)
			replacement.wake()
		}
	}
}

// RemoveOutput removes an output; periods that only it lacks are dropped.
func (e *Exporter) RemoveOutput(output Output) {
	for i, o := range e.outputs {
		if o == output {
			e.retireOutput(output)
			e.outputs = append(e.outputs[:i:i], e.outputs[i+1:]...)
			e.ring.CloseCursor(output.receiverCursor())
			return
		}
	}
}

// Outputs returns the current outputs.
func (e *Exporter) Outputs() []Output { return e.outputs }

// Ring returns the buffer of undelivered periods.
func (e *Exporter) Ring() *telemetry.Ring { return e.ring }

// Restore continues from what earlier processes left in the spool. It must be called after the outputs are added.
func (e *Exporter) Restore(found *spool.Recovered) {
	e.set.AddTotals(found.Totals)
	e.set.RestoreSlots(found.SlotAssignments)
	for _, p := range found.Periods {
		e.ring.Push(p)
		e.lastTimestamp = max(e.lastTimestamp, p.Timestamp)
	}
	e.deliverable = e.ring.Newest()
	for _, o := range e.outputs {
		e.ring.SkipTo(o.receiverCursor(), found.Acknowledged[o.Name()])
	}
}

// SetSpool makes closed periods be stored in a spool, too.
func (e *Exporter) SetSpool(s *spool.Spool) { e.spool = s }

// Start starts closing and delivering periods.
func (e *Exporter) Start() {
	if !e.running {
		e.running = true
		e.scheduleClose()
		for _, o := range e.outputs {
			o.wake()
		}
	}
}

// Stop stops closing and delivering periods until the next Start. The open period stays open and buffered periods stay buffered.
func (e *Exporter) Stop() {
	e.running = false
	if e.encoding {
		e.addPeriod(e.set.EncodePeriod(math.MaxInt32))
	}
	e.timer.Stop()
	for _, o := range e.outputs {
		o.stop()
	}
}

// Running reports whether periods are being closed.
func (e *Exporter) Running() bool { return e.running }

// SetInterval changes the duration of periods in seconds, from the next one on.
func (e *Exporter) SetInterval(interval float64) {
	e.options.Interval = math.Max(minInterval, interval)
	if e.running {
		e.timer.Stop()
		e.scheduleClose()
	}
}

// acknowledge records that a receiver has all periods up to number n.
func (e *Exporter) acknowledge(output Output, n uint64, timestamp int64) {
	e.ring.Acknowledge(output.receiverCursor(), n)
	e.acknowledged[output.Name()] = timestamp
	if e.spool != nil {
		e.spool.AppendAcknowledged(e.acknowledged)
	}
}

// AllDelivered reports whether every receiver has all closed periods.
func (e *Exporter) AllDelivered() bool {
	for _, o := range e.outputs {
		if e.ring.Pending(o.receiverCursor()) > 0 {
			return false
		}
	}
	return true
}

// LastTimestamp returns the timestamp of the last period in Unix milliseconds. During an upgrade two processes share
// the receivers, see AdvanceTimestamp.
func (e *Exporter) LastTimestamp() int64 { return e.lastTimestamp }

// AdvanceTimestamp makes future timestamps later than the given one.
func (e *Exporter) AdvanceTimestamp(timestamp int64) {
	e.lastTimestamp = max(e.lastTimestamp, timestamp)
}

// KindStats returns the sum over all outputs of a kind, removed ones included, so that it never decreases.
func (e *Exporter) KindStats(kind string) OutputStats {
	total := e.retiredStats[kind]
	for _, o := range e.outputs {
		if o.Kind() == kind {
			total = total.plus(o.Stats())
		}
	}
	return total
}

// retireOutput stops an output for good and keeps its statistics.
func (e *Exporter) retireOutput(output Output) {
	output.stop()
	output.end()
	e.retiredStats[output.Kind()] = e.retiredStats[output.Kind()].plus(output.Stats())
}
