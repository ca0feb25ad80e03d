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
	leastEvery = 0.1   // seconds
	diskTime   = 2.0   // seconds that a period waits for the disk before it is delivered all the same
	encoded    = 15000 // values written in a turn
	gathered   = 500   // nodes whose gauges are gathered in a turn
	slice      = 300   // points rendered in a turn: some 0.2 ms
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

	loop    *eventloop.Loop
	log     *zap.Logger
	set     *telemetry.Set
	ring    *telemetry.Ring
	options Options
	spool   *spool.Spool
	got     map[string]int64
	past    map[string]OutputStats // of outputs that are gone, by kind
	outputs []Output
	last    int64  // stamp of the last period
	safe    uint64 // number of the last period that may be delivered
	timer   *eventloop.Timer
	on      bool
	frozen  bool // the period at hand has ended and is being encoded
}

// Output delivers to one receiver.
type Output interface {
	// Name tells it from others, over lives: what it got is kept by it.
	Name() string
	// Kind is graphite or collectd.
	Kind() string
	// Stats is what it has done so far.
	Stats() OutputStats
	start(f *Exporter, place *telemetry.Cursor)
	wake()
	stop() // until the next wake
	end()  // for good
	held() *telemetry.Cursor
}

// OutputStats is what an output has done so far.
type OutputStats struct {
	Periods        uint64 // the receiver has got
	Points         uint64 // sent, again and again after breaks
	Failures       uint64 // tries that came to nothing
	RejectedPoints uint64 // points that the receiver would not have
}

// New makes a feed that is not started yet.
func New(loop *eventloop.Loop, log *zap.Logger, set *telemetry.Set, o Options) *Exporter {
	if o.WallClock == nil {
		o.WallClock = time.Now
	}
	o.Interval = math.Max(leastEvery, o.Interval)
	return &Exporter{loop: loop, log: log, set: set, ring: telemetry.NewRing(o.BufferBytes), options: o, got: map[string]int64{}, past: map[string]OutputStats{}}
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
			f.retire(was)
			f.outputs[i] = now
			place := was.held()
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
			f.retire(was)
			f.outputs = append(f.outputs[:i:i], f.outputs[i+1:]...)
			f.ring.CloseCursor(was.held())
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
		f.last = max(f.last, p.Timestamp)
	}
	f.safe = f.ring.Newest()
	for _, o := range f.outputs {
		f.ring.SkipTo(o.held(), found.Acknowledged[o.Name()])
	}
}

// SetSpool has closed periods kept on disk, too.
func (f *Exporter) SetSpool(s *spool.Spool) { f.spool = s }

// Start begins to close periods and to deliver them.
func (f *Exporter) Start() {
	if !f.on {
		f.on = true
		f.next()
		for _, o := range f.outputs {
			o.wake()
		}
	}
}

// Stop ends that; the period at hand stays open, and nothing that is held is lost.
func (f *Exporter) Stop() {
	if f.on = false; f.frozen {
		f.push(f.set.EncodePeriod(math.MaxInt32))
	}
	f.timer.Stop()
	for _, o := range f.outputs {
		o.stop()
	}
}

// Running says whether periods are closed here.
func (f *Exporter) Running() bool { return f.on }

// SetInterval changes how long a period lasts, from the next one on.
func (f *Exporter) SetInterval(every float64) {
	f.options.Interval = math.Max(leastEvery, every)
	if f.on {
		f.timer.Stop()
		f.next()
	}
}

// next waits for the next full multiple of the period: dispatchers that are graphed together close together.
func (f *Exporter) next() {
	now, every := f.loop.Now(), f.options.Interval
	f.timer = f.loop.At((math.Floor(now/every+1e-6)+1)*every, func() {
		f.ClosePeriod()
		f.next()
	})
}

// ClosePeriod closes the period at hand within the next turns: with thousands of nodes one would be too long.
func (f *Exporter) ClosePeriod() {
	if f.set.GatherNodeGauges(gathered) {
		f.loop.At(f.loop.Now(), f.ClosePeriod)
		return
	}
	f.loop.At(f.loop.Now(), func() {
		if f.on {
			f.freeze()
			f.encode()
		}
	})
}

// encode writes some of the period's values a turn.
func (f *Exporter) encode() {
	if !f.frozen {
		return // ClosePeriodNow has
	}
	if p := f.set.EncodePeriod(encoded); p != nil {
		f.push(p)
		return
	}
	f.loop.At(f.loop.Now(), f.encode)
}

// ClosePeriodNow closes the period at hand at once.
func (f *Exporter) ClosePeriodNow() {
	f.freeze()
	f.push(f.set.EncodePeriod(math.MaxInt32))
}

// freeze ends the period at hand. Its stamp is of the system's clock, and later than the one before by a second, or by
// a millisecond where periods are shorter: receivers drop what goes back, so a clock that is set back is waited for.
func (f *Exporter) freeze() {
	if f.frozen { // a turn of the one before is late
		f.push(f.set.EncodePeriod(math.MaxInt32))
	}
	least := int64(1000)
	if f.options.Interval < 1 {
		least = 1
	}
	f.last = max(f.options.WallClock().UnixMilli(), f.last+least)
	f.ClosedPeriods++
	f.set.FreezePeriod(f.last, f.options.Interval)
	f.frozen = true
}

// push holds a closed period for the receivers.
func (f *Exporter) push(p *telemetry.Period) {
	f.frozen = false
	f.ring.Push(p)
	n := f.ring.Newest()
	if f.spool == nil {
		f.release(n)
		return
	}
	// A total that a receiver has must not fall when the next life goes on from an older one: the disk has it first.
	f.spool.AppendPeriod(p, f.set.SlotAssignments(), func() { f.loop.Post(func() { f.release(n) }) })
	f.loop.At(f.loop.Now()+diskTime, func() { f.release(n) })
}

// release has periods delivered up to a number.
func (f *Exporter) release(n uint64) {
	if n <= f.safe {
		return
	}
	f.safe = n
	for _, o := range f.outputs {
		o.wake()
	}
}

// from is the first period numbered n or more that may be delivered, and its number; nil if there is none.
func (f *Exporter) from(n uint64) (*telemetry.Period, uint64) {
	p, n := f.ring.PeriodFrom(n)
	if n > f.safe {
		return nil, n
	}
	return p, n
}

// took notes that a receiver has all up to a period.
func (f *Exporter) took(o Output, n uint64, stamp int64) {
	f.ring.Acknowledge(o.held(), n)
	f.got[o.Name()] = stamp
	if f.spool != nil {
		f.spool.AppendAcknowledged(f.got)
	}
}

// sender is what all outputs share: their place, and when they try again.
type sender struct {
	feed  *Exporter
	place *telemetry.Cursor
	state OutputStats
	pause float64 // before the next try
	timer *eventloop.Timer
	waits bool // for it
}

const (
	firstPause = 0.25 // seconds after a break, doubled with each that follows at once
	mostPause  = 10.0
)

func (s *sender) Stats() OutputStats      { return s.state }
func (s *sender) held() *telemetry.Cursor { return s.place }

// rest ends what is on its way; the place stays.
func (s *sender) rest() {
	s.timer.Stop()
	s.waits = false
}

// end has the output do nothing any more.
func (s *sender) end() { s.feed = nil }

func (s *sender) begin(f *Exporter, place *telemetry.Cursor) { s.feed, s.place = f, place }

// again tries later; try is called once.
func (s *sender) again(try func()) {
	s.state.Failures++
	s.pause = min(max(firstPause, 2*s.pause), mostPause)
	s.waits = true
	s.timer.Stop()
	s.timer = s.feed.loop.At(s.feed.loop.Now()+s.pause, func() {
		s.waits = false
		try()
	})
}

// free says whether a new try may begin now.
func (s *sender) free() bool { return s.feed != nil && s.feed.on && !s.waits }

// ended logs why a period's values ended early, if they did.
func (s *sender) ended(r *telemetry.Reader) {
	if err := r.Err(); err != nil {
		s.feed.log.Error("metrics: the rest of a period makes no sense, left out", zap.Error(err))
	}
}

// soon goes on in a turn of its own.
func (s *sender) soon(wait float64, do func()) {
	s.timer.Stop()
	s.timer = s.feed.loop.At(s.feed.loop.Now()+wait, do)
}

// AllDelivered says whether every receiver has all that was closed.
func (f *Exporter) AllDelivered() bool {
	for _, o := range f.outputs {
		if f.ring.Pending(o.held()) > 0 {
			return false
		}
	}
	return true
}

// LastTimestamp is the stamp of the last period, After has those to come later than one: two processes share the receivers.
func (f *Exporter) LastTimestamp() int64 { return f.last }

// AdvanceTimestamp is told of by Last.
func (f *Exporter) AdvanceTimestamp(stamp int64) { f.last = max(f.last, stamp) }

// KindStats sums up what the outputs of a kind have done, with those that are gone: it never falls.
func (f *Exporter) KindStats(kind string) OutputStats {
	total := f.past[kind]
	for _, o := range f.outputs {
		if o.Kind() == kind {
			total = total.plus(o.Stats())
		}
	}
	return total
}

func (s OutputStats) plus(o OutputStats) OutputStats {
	return OutputStats{s.Periods + o.Periods, s.Points + o.Points, s.Failures + o.Failures, s.RejectedPoints + o.RejectedPoints}
}

// retire ends an output for good; what it has done stays in the totals.
func (f *Exporter) retire(o Output) {
	o.stop()
	o.end()
	f.past[o.Kind()] = f.past[o.Kind()].plus(o.Stats())
}
