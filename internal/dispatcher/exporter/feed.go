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
	Host  string  // the dispatcher's name
	Every float64 // seconds that a period lasts
	Bytes int     // of periods held in memory
	Wall  func() time.Time
}

// Feed closes the periods and has its outputs deliver them.
type Feed struct {
	Periods uint64 // closed

	loop    *eventloop.Loop
	log     *zap.Logger
	set     *telemetry.Set
	ring    *telemetry.Ring
	options Options
	spool   *spool.Spool
	got     map[string]int64
	past    map[string]State // of outputs that are gone, by kind
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
	// State is what it has done so far.
	State() State
	start(f *Feed, place *telemetry.Place)
	wake()
	stop() // until the next wake
	end()  // for good
	held() *telemetry.Place
}

// State is what an output has done so far.
type State struct {
	Periods uint64 // the receiver has got
	Points  uint64 // sent, again and again after breaks
	Breaks  uint64 // tries that came to nothing
	Refused uint64 // points that the receiver would not have
}

// NewFeed makes a feed that is not started yet.
func NewFeed(loop *eventloop.Loop, log *zap.Logger, set *telemetry.Set, o Options) *Feed {
	if o.Wall == nil {
		o.Wall = time.Now
	}
	o.Every = math.Max(leastEvery, o.Every)
	return &Feed{loop: loop, log: log, set: set, ring: telemetry.NewRing(o.Bytes), options: o, got: map[string]int64{}, past: map[string]State{}}
}

// Attach adds an output, which gets what is held and what comes.
func (f *Feed) Attach(o Output) {
	f.outputs = append(f.outputs, o)
	o.start(f, f.ring.Open(o.Name()))
}

// Replace has an output take the place of another of its kind: what that had not delivered is the new one's.
func (f *Feed) Replace(was, now Output) {
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

// Remove ends an output and what is held for it.
func (f *Feed) Remove(was Output) {
	for i, o := range f.outputs {
		if o == was {
			f.retire(was)
			f.outputs = append(f.outputs[:i:i], f.outputs[i+1:]...)
			f.ring.Close(was.held())
			return
		}
	}
}

// Outputs are those attached.
func (f *Feed) Outputs() []Output { return f.outputs }

// Ring holds what is not delivered yet.
func (f *Feed) Ring() *telemetry.Ring { return f.ring }

// Recall goes on from what earlier lives have left on disk.
func (f *Feed) Recall(found *spool.Found) {
	f.set.Add(found.Totals)
	f.set.Remember(found.Held)
	for _, p := range found.Periods {
		f.ring.Push(p)
		f.last = max(f.last, p.Stamp)
	}
	f.safe = f.ring.Newest()
	for _, o := range f.outputs {
		f.ring.Skip(o.held(), found.Got[o.Name()])
	}
}

// Keep has closed periods kept on disk, too.
func (f *Feed) Keep(s *spool.Spool) { f.spool = s }

// Start begins to close periods and to deliver them.
func (f *Feed) Start() {
	if !f.on {
		f.on = true
		f.next()
		for _, o := range f.outputs {
			o.wake()
		}
	}
}

// Stop ends that; the period at hand stays open, and nothing that is held is lost.
func (f *Feed) Stop() {
	if f.on = false; f.frozen {
		f.push(f.set.Encode(math.MaxInt32))
	}
	f.timer.Stop()
	for _, o := range f.outputs {
		o.stop()
	}
}

// On says whether periods are closed here.
func (f *Feed) On() bool { return f.on }

// SetEvery changes how long a period lasts, from the next one on.
func (f *Feed) SetEvery(every float64) {
	f.options.Every = math.Max(leastEvery, every)
	if f.on {
		f.timer.Stop()
		f.next()
	}
}

// next waits for the next full multiple of the period: dispatchers that are graphed together close together.
func (f *Feed) next() {
	now, every := f.loop.Now(), f.options.Every
	f.timer = f.loop.At((math.Floor(now/every+1e-6)+1)*every, func() {
		f.End()
		f.next()
	})
}

// End closes the period at hand within the next turns: with thousands of nodes one would be too long.
func (f *Feed) End() {
	if f.set.Gather(gathered) {
		f.loop.At(f.loop.Now(), f.End)
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
func (f *Feed) encode() {
	if !f.frozen {
		return // CloseNow has
	}
	if p := f.set.Encode(encoded); p != nil {
		f.push(p)
		return
	}
	f.loop.At(f.loop.Now(), f.encode)
}

// CloseNow closes the period at hand at once.
func (f *Feed) CloseNow() {
	f.freeze()
	f.push(f.set.Encode(math.MaxInt32))
}

// freeze ends the period at hand. Its stamp is of the system's clock, and later than the one before by a second, or by
// a millisecond where periods are shorter: receivers drop what goes back, so a clock that is set back is waited for.
func (f *Feed) freeze() {
	if f.frozen { // a turn of the one before is late
		f.push(f.set.Encode(math.MaxInt32))
	}
	least := int64(1000)
	if f.options.Every < 1 {
		least = 1
	}
	f.last = max(f.options.Wall().UnixMilli(), f.last+least)
	f.Periods++
	f.set.Freeze(f.last, f.options.Every)
	f.frozen = true
}

// push holds a closed period for the receivers.
func (f *Feed) push(p *telemetry.Period) {
	f.frozen = false
	f.ring.Push(p)
	n := f.ring.Newest()
	if f.spool == nil {
		f.release(n)
		return
	}
	// A total that a receiver has must not fall when the next life goes on from an older one: the disk has it first.
	f.spool.Period(p, f.set.Held(), func() { f.loop.Post(func() { f.release(n) }) })
	f.loop.At(f.loop.Now()+diskTime, func() { f.release(n) })
}

// release has periods delivered up to a number.
func (f *Feed) release(n uint64) {
	if n <= f.safe {
		return
	}
	f.safe = n
	for _, o := range f.outputs {
		o.wake()
	}
}

// from is the first period numbered n or more that may be delivered, and its number; nil if there is none.
func (f *Feed) from(n uint64) (*telemetry.Period, uint64) {
	p, n := f.ring.From(n)
	if n > f.safe {
		return nil, n
	}
	return p, n
}

// took notes that a receiver has all up to a period.
func (f *Feed) took(o Output, n uint64, stamp int64) {
	f.ring.Got(o.held(), n)
	f.got[o.Name()] = stamp
	if f.spool != nil {
		f.spool.Got(f.got)
	}
}

// sender is what all outputs share: their place, and when they try again.
type sender struct {
	feed  *Feed
	place *telemetry.Place
	state State
	pause float64 // before the next try
	timer *eventloop.Timer
	waits bool // for it
}

const (
	firstPause = 0.25 // seconds after a break, doubled with each that follows at once
	mostPause  = 10.0
)

func (s *sender) State() State           { return s.state }
func (s *sender) held() *telemetry.Place { return s.place }

// rest ends what is on its way; the place stays.
func (s *sender) rest() {
	s.timer.Stop()
	s.waits = false
}

// end has the output do nothing any more.
func (s *sender) end() { s.feed = nil }

func (s *sender) begin(f *Feed, place *telemetry.Place) { s.feed, s.place = f, place }

// again tries later; try is called once.
func (s *sender) again(try func()) {
	s.state.Breaks++
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

// Delivered says whether every receiver has all that was closed.
func (f *Feed) Delivered() bool {
	for _, o := range f.outputs {
		if f.ring.Waiting(o.held()) > 0 {
			return false
		}
	}
	return true
}

// Last is the stamp of the last period, After has those to come later than one: two processes share the receivers.
func (f *Feed) Last() int64 { return f.last }

// After is told of by Last.
func (f *Feed) After(stamp int64) { f.last = max(f.last, stamp) }

// Total sums up what the outputs of a kind have done, with those that are gone: it never falls.
func (f *Feed) Total(kind string) State {
	total := f.past[kind]
	for _, o := range f.outputs {
		if o.Kind() == kind {
			total = total.plus(o.State())
		}
	}
	return total
}

func (s State) plus(o State) State {
	return State{s.Periods + o.Periods, s.Points + o.Points, s.Breaks + o.Breaks, s.Refused + o.Refused}
}

// retire ends an output for good; what it has done stays in the totals.
func (f *Feed) retire(o Output) {
	o.stop()
	o.end()
	f.past[o.Kind()] = f.past[o.Kind()].plus(o.State())
}
