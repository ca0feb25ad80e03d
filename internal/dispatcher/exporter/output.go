package exporter

import (
	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/telemetry"
	"cinderroad/internal/shared/eventloop"
)

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
	receiverCursor() *telemetry.Cursor
}

// OutputStats is what an output has done so far.
type OutputStats struct {
	Periods        uint64 // the receiver has got
	Points         uint64 // sent, again and again after breaks
	Failures       uint64 // tries that came to nothing
	RejectedPoints uint64 // points that the receiver would not have
}

// outputBase is what all outputs share: their place, and when they try again.
type outputBase struct {
	exporter        *Exporter
	cursor          *telemetry.Cursor
	stats           OutputStats
	retryDelay      float64 // before the next try
	timer           *eventloop.Timer
	waitingForRetry bool // for it
}

const (
	initialRetryDelay = 0.25 // seconds after a break, doubled with each that follows at once
	maxRetryDelay     = 10.0
)

func (s *outputBase) Stats() OutputStats { return s.stats }

func (s *outputBase) receiverCursor() *telemetry.Cursor { return s.cursor }

// stopTimer ends what is on its way; the place stays.
func (s *outputBase) stopTimer() {
	s.timer.Stop()
	s.waitingForRetry = false
}

// end has the output do nothing any more.
func (s *outputBase) end() { s.exporter = nil }

func (s *outputBase) init(f *Exporter, place *telemetry.Cursor) { s.exporter, s.cursor = f, place }

// retryLater tries later; try is called once.
func (s *outputBase) retryLater(try func()) {
	s.stats.Failures++
	s.retryDelay = min(max(initialRetryDelay, 2*s.retryDelay), maxRetryDelay)
	s.waitingForRetry = true
	s.timer.Stop()
	s.timer = s.exporter.loop.At(s.exporter.loop.Now()+s.retryDelay, func() {
		s.waitingForRetry = false
		try()
	})
}

// canStart says whether a new try may begin now.
func (s *outputBase) canStart() bool {
	return s.exporter != nil && s.exporter.running && !s.waitingForRetry
}

// logTruncated logs why a period's values ended early, if they did.
func (s *outputBase) logTruncated(r *telemetry.Reader) {
	if err := r.Err(); err != nil {
		s.exporter.log.Error("metrics: the rest of a period makes no sense, left out", zap.Error(err))
	}
}

// schedule goes on in a turn of its own.
func (s *outputBase) schedule(wait float64, do func()) {
	s.timer.Stop()
	s.timer = s.exporter.loop.At(s.exporter.loop.Now()+wait, do)
}

func (s OutputStats) plus(o OutputStats) OutputStats {
	return OutputStats{s.Periods + o.Periods, s.Points + o.Points, s.Failures + o.Failures, s.RejectedPoints + o.RejectedPoints}
}
