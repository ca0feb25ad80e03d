// Package metrics delivers the figures of package telemetry: to Graphite, as lines or pickles over TCP, and to collectd, over
// its unix socket or by its network protocol. A Feed closes a period at a time and holds it until every receiver has it;
// see docs/design/telemetry.md for when that is. Nothing here holds the loop up: values are rendered some at a time, and
// a receiver that stalls or is down costs room in a bounded ring.
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
	minInterval   = 0.1   // seconds
	maxDiskWait   = 2.0   // seconds that a period waits for the disk before it is delivered all the same
	valuesPerTurn = 15000 // values written in a turn
	nodesPerTurn  = 500   // nodes whose gauges are gathered in a turn
	pointsPerTurn = 300   // points rendered in a turn: some 0.2 ms
)

// Options say how figures leave the process.
type Options struct {
	DispatcherName string  // the dispatcher's name
	Interval       float64 // seconds that a period lasts
	BufferBytes    int     // of periods held in memory
	WallClock      func() time.Time
}

// Exporter closes the periods and has its outputs deliver them.
type Exporter struct {
	ClosedPeriods uint64 // closed

	loop          *eventloop.Loop
	log           *zap.Logger
	set           *telemetry.Set
	ring          *telemetry.Ring
	options       Options
	spool         *spool.Spool
	acknowledged  map[string]int64
	retiredStats  map[string]OutputStats // of outputs that are gone, by kind
	outputs       []Output
	lastTimestamp int64  // stamp of the last period
	deliverable   uint64 // number of the last period that may be delivered
	timer         *eventloop.Timer
	running       bool
	encoding      bool // the period at hand has ended and is being encoded
}

// New makes a feed that is not started yet.
func New(loop *eventloop.Loop, log *zap.Logger, set *telemetry.Set, o Options) *Exporter {
	if o.WallClock == nil {
		o.WallClock = time.Now
	}
	o.Interval = math.Max(minInterval, o.Interval)
	return &Exporter{loop: loop, log: log, set: set, ring: telemetry.NewRing(o.BufferBytes), options: o, acknowledged: map[string]int64{}, retiredStats: map[string]OutputStats{}}
}

// AddOutput adds an output, which gets what is held and what comes.
func (f *Exporter) AddOutput(o Output) {
	f.outputs = append(f.outputs, o)
	o.start(f, f.ring.OpenCursor(o.Name()))
}

// ReplaceOutput has an output take the place of another of its kind: what that had not delivered is the new one's.
func (f *Exporter) ReplaceOutput(was, now Output) {
	for i, o := range f.outputs {
		if o == was {
			f.retireOutput(was)
			f.outputs[i] = now
			place := was.receiverCursor()
			place.Name = now.Name()
			now.start(f, place)
			now.wake()
		}
	}
}

// RemoveOutput ends an output and what is held for it.
func (f *Exporter) RemoveOutput(was Output) {
	for i, o := range f.outputs {
		if o == was {
			f.retireOutput(was)
			f.outputs = append(f.outputs[:i:i], f.outputs[i+1:]...)
			f.ring.CloseCursor(was.receiverCursor())
			return
		}
	}
}

// Outputs are those attached.
func (f *Exporter) Outputs() []Output { return f.outputs }

// Ring holds what is not delivered yet.
func (f *Exporter) Ring() *telemetry.Ring { return f.ring }

// Restore goes on from what earlier lives have left on disk.
func (f *Exporter) Restore(found *spool.Recovered) {
	f.set.AddTotals(found.Totals)
	f.set.RestoreSlots(found.SlotAssignments)
	for _, p := range found.Periods {
		f.ring.Push(p)
		f.lastTimestamp = max(f.lastTimestamp, p.Timestamp)
	}
	f.deliverable = f.ring.Newest()
	for _, o := range f.outputs {
		f.ring.SkipTo(o.receiverCursor(), found.Acknowledged[o.Name()])
	}
}

// SetSpool has closed periods kept on disk, too.
func (f *Exporter) SetSpool(s *spool.Spool) { f.spool = s }

// Start begins to close periods and to deliver them.
func (f *Exporter) Start() {
	if !f.running {
		f.running = true
		f.scheduleClose()
		for _, o := range f.outputs {
			o.wake()
		}
	}
}

// Stop ends that; the period at hand stays open, and nothing that is held is lost.
func (f *Exporter) Stop() {
	if f.running = false; f.encoding {
		f.addPeriod(f.set.EncodePeriod(math.MaxInt32))
	}
	f.timer.Stop()
	for _, o := range f.outputs {
		o.stop()
	}
}

// Running says whether periods are closed here.
func (f *Exporter) Running() bool { return f.running }

// SetInterval changes how long a period lasts, from the next one on.
func (f *Exporter) SetInterval(every float64) {
	f.options.Interval = math.Max(minInterval, every)
	if f.running {
		f.timer.Stop()
		f.scheduleClose()
	}
}

// scheduleClose waits for the next full multiple of the period: dispatchers that are graphed together close together.
func (f *Exporter) scheduleClose() {
	now, every := f.loop.Now(), f.options.Interval
	f.timer = f.loop.At((math.Floor(now/every+1e-6)+1)*every, func() {
		f.ClosePeriod()
		f.scheduleClose()
	})
}

// ClosePeriod closes the period at hand within the next turns: with thousands of nodes one would be too long.
func (f *Exporter) ClosePeriod() {
	if f.set.GatherNodeGauges(nodesPerTurn) {
		f.loop.At(f.loop.Now(), f.ClosePeriod)
		return
	}
	f.loop.At(f.loop.Now(), func() {
		if f.running {
			f.freeze()
			f.encode()
		}
	})
}

// encode writes some of the period's values a turn.
func (f *Exporter) encode() {
	if !f.encoding {
		return // ClosePeriodNow has
	}
	if p := f.set.EncodePeriod(valuesPerTurn); p != nil {
		f.addPeriod(p)
		return
	}
	f.loop.At(f.loop.Now(), f.encode)
}

// ClosePeriodNow closes the period at hand at once.
func (f *Exporter) ClosePeriodNow() {
	f.freeze()
	f.addPeriod(f.set.EncodePeriod(math.MaxInt32))
}

// freeze ends the period at hand. Its stamp is of the system's clock, and later than the one before by a second, or by
// a millisecond where periods are shorter: receivers drop what goes back, so a clock that is set back is waited for.
func (f *Exporter) freeze() {
	if f.encoding { // a turn of the one before is late
		f.addPeriod(f.set.EncodePeriod(math.MaxInt32))
	}
	least := int64(1000)
	if f.options.Interval < 1 {
		least = 1
	}
	f.lastTimestamp = max(f.options.WallClock().UnixMilli(), f.lastTimestamp+least)
	f.ClosedPeriods++
	f.set.FreezePeriod(f.lastTimestamp, f.options.Interval)
	f.encoding = true
}

// addPeriod holds a closed period for the receivers.
func (f *Exporter) addPeriod(p *telemetry.Period) {
	f.encoding = false
	f.ring.Push(p)
	n := f.ring.Newest()
	if f.spool == nil {
		f.deliverUpTo(n)
		return
	}
	// A total that a receiver has must not fall when the next life goes on from an older one: the disk has it first.
	f.spool.AppendPeriod(p, f.set.SlotAssignments(), func() { f.loop.Post(func() { f.deliverUpTo(n) }) })
	f.loop.At(f.loop.Now()+maxDiskWait, func() { f.deliverUpTo(n) })
}

// deliverUpTo has periods delivered up to a number.
func (f *Exporter) deliverUpTo(n uint64) {
	if n <= f.deliverable {
		return
	}
	f.deliverable = n
	for _, o := range f.outputs {
		o.wake()
	}
}

// periodFrom is the first period numbered n or more that may be delivered, and its number; nil if there is none.
func (f *Exporter) periodFrom(n uint64) (*telemetry.Period, uint64) {
	p, n := f.ring.PeriodFrom(n)
	if n > f.deliverable {
		return nil, n
	}
	return p, n
}

// acknowledge notes that a receiver has all up to a period.
func (f *Exporter) acknowledge(o Output, n uint64, stamp int64) {
	f.ring.Acknowledge(o.receiverCursor(), n)
	f.acknowledged[o.Name()] = stamp
	if f.spool != nil {
		f.spool.AppendAcknowledged(f.acknowledged)
	}
}

// AllDelivered says whether every receiver has all that was closed.
func (f *Exporter) AllDelivered() bool {
	for _, o := range f.outputs {
		if f.ring.Pending(o.receiverCursor()) > 0 {
			return false
		}
	}
	return true
}

// LastTimestamp is the stamp of the last period, After has those to come later than one: two processes share the receivers.
func (f *Exporter) LastTimestamp() int64 { return f.lastTimestamp }

// AdvanceTimestamp is told of by Last.
func (f *Exporter) AdvanceTimestamp(stamp int64) { f.lastTimestamp = max(f.lastTimestamp, stamp) }

// KindStats sums up what the outputs of a kind have done, with those that are gone: it never falls.
func (f *Exporter) KindStats(kind string) OutputStats {
	total := f.retiredStats[kind]
	for _, o := range f.outputs {
		if o.Kind() == kind {
			total = total.plus(o.Stats())
		}
	}
	return total
}

// retireOutput ends an output for good; what it has done stays in the totals.
func (f *Exporter) retireOutput(o Output) {
	o.stop()
	o.end()
	f.retiredStats[o.Kind()] = f.retiredStats[o.Kind()].plus(o.Stats())
}
