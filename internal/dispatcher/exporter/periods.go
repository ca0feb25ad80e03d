package exporter

import (
	"math"

	"cinderroad/internal/dispatcher/telemetry"
)

// This file closes periods, and says which of them may be delivered.

// scheduleClose schedules the end of the period at the next full multiple of the interval, so that all dispatchers
// close at the same time.
func (e *Exporter) scheduleClose() {
	interval := e.options.Interval
	end := (math.Floor(e.loop.Now()/interval+clockTolerance) + 1) * interval
	e.timer = e.loop.At(end, func() {
		e.ClosePeriod()
		e.scheduleClose()
	})
}

// ClosePeriod closes the open period over the next iterations of the event loop; with thousands of nodes a single one
// would take too long.
func (e *Exporter) ClosePeriod() {
	if e.set.GatherNodeGauges(nodesPerIteration) {
		e.loop.At(e.loop.Now(), e.ClosePeriod)
		return
	}
	e.loop.At(e.loop.Now(), func() {
		if e.running {
			e.freeze()
			e.encode()
		}
	})
}

// encode encodes a part of the frozen period in each iteration of the event loop.
func (e *Exporter) encode() {
	if !e.encoding {
		return // ClosePeriodNow has done so
	}
	if p := e.set.EncodePeriod(valuesPerIteration); p != nil {
		e.addPeriod(p)
		return
	}
	e.loop.At(e.loop.Now(), e.encode)
}

// ClosePeriodNow closes the open period within this iteration of the event loop.
func (e *Exporter) ClosePeriodNow() {
	e.freeze()
	e.addPeriod(e.set.EncodePeriod(math.MaxInt32))
}

// freeze freezes the open period. Its timestamp is the wall clock's, but at least a second later than the last one,
// or a millisecond if intervals are shorter: receivers drop points that go back in time, so after a clock step
// timestamps advance slowly until the clock has caught up.
func (e *Exporter) freeze() {
	if e.encoding { // the encoding of the last period is late
		e.addPeriod(e.set.EncodePeriod(math.MaxInt32))
	}
	minStep := int64(1000) // milliseconds
	if e.options.Interval < 1 {
		minStep = 1
	}
	e.lastTimestamp = max(e.options.WallClock().UnixMilli(), e.lastTimestamp+minStep)
	e.ClosedPeriods++
	e.set.FreezePeriod(e.lastTimestamp, e.options.Interval)
	e.encoding = true
}

// addPeriod buffers a closed period for the receivers.
func (e *Exporter) addPeriod(p *telemetry.Period) {
	e.encoding = false
	e.ring.Push(p)
	number := e.ring.Newest()
	if e.spool == nil {
		e.deliverUpTo(number)
		return
	}
	// A total that a receiver has must not decrease when the next process continues from an older one: the spool
	// has it first.
	e.spool.AppendPeriod(p, e.set.SlotAssignments(), func() {
		e.loop.Post(func() { e.deliverUpTo(number) })
	})
	e.loop.At(e.loop.Now()+maxDiskWait, func() { e.deliverUpTo(number) })
}

// deliverUpTo allows the delivery of periods up to number n.
func (e *Exporter) deliverUpTo(n uint64) {
	if n <= e.deliverable {
		return
	}
	e.deliverable = n
	for _, o := range e.outputs {
		o.wake()
	}
}

// periodFrom returns the first period with number n or more that may be delivered, and its number; nil if there is
// none.
func (e *Exporter) periodFrom(n uint64) (*telemetry.Period, uint64) {
	p, n := e.ring.PeriodFrom(n)
	if n > e.deliverable {
		return nil, n
	}
	return p, n
}
