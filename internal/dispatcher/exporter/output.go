package exporter

import (
	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/telemetry"
	"cinderroad/internal/shared/eventloop"
)

// Output delivers to one receiver. The unexported methods are called by its Exporter only.
type Output interface {
	// Name identifies the receiver across restarts; acknowledgements are stored under it.
	Name() string
	// Kind is graphite or collectd.
	Kind() string
	// Stats returns the statistics since the start.
	Stats() OutputStats
	start(exporter *Exporter, cursor *telemetry.Cursor) // called once, before any other
	wake()                                              // starts a delivery if there is something to deliver and none is under way
	stop()                                              // until the next wake; what is under way is sent again then
	end()                                               // for good
	receiverCursor() *telemetry.Cursor
}

// OutputStats counts the work of an output.
type OutputStats struct {
	Periods        uint64 // delivered
	Points         uint64 // sent, repeated ones included
	Failures       uint64 // failed attempts
	RejectedPoints uint64 // points that the receiver rejected
}

// outputBase is common to all outputs: the cursor and the retries with backoff.
type outputBase struct {
	exporter        *Exporter
	cursor          *telemetry.Cursor
	stats           OutputStats
	retryDelay      float64 // seconds, before the next attempt
	timer           *eventloop.Timer
	waitingForRetry bool
}

const (
	initialRetryDelay = 0.25 // seconds; doubled by each successive failure
	maxRetryDelay     = 10.0
)

// Stats implements Output.
func (s *outputBase) Stats() OutputStats { return s.stats }

func (s *outputBase) receiverCursor() *telemetry.Cursor { return s.cursor }

// stopTimer cancels what is scheduled; the cursor stays.
func (s *outputBase) stopTimer() {
	s.timer.Stop()
	s.waitingForRetry = false
}

// end detaches the output from its exporter.
func (s *outputBase) end() { s.exporter = nil }

func (s *outputBase) init(exporter *Exporter, cursor *telemetry.Cursor) {
	s.exporter = exporter
	s.cursor = cursor
}

// retryLater counts a failure and schedules one call of attempt after the backoff.
func (s *outputBase) retryLater(attempt func()) {
	s.stats.Failures++
	s.retryDelay = min(max(initialRetryDelay, 2*s.retryDelay), maxRetryDelay)
	s.waitingForRetry = true
	s.timer.Stop()
	s.timer = s.exporter.loop.At(s.exporter.loop.Now()+s.retryDelay, func() {
		s.waitingForRetry = false
		attempt()
	})
}

// canStart reports whether an attempt may start now.
func (s *outputBase) canStart() bool {
	return s.exporter != nil && s.exporter.running && !s.waitingForRetry
}

// logTruncated logs why a period's values ended early, if they did.
func (s *outputBase) logTruncated(r *telemetry.Reader) {
	if err := r.Err(); err != nil {
		s.exporter.log.Error("exporter: invalid data in period, rest skipped", zap.Error(err))
	}
}

// schedule replaces the timer by one call of run, wait seconds from now.
func (s *outputBase) schedule(wait float64, run func()) {
	s.timer.Stop()
	s.timer = s.exporter.loop.At(s.exporter.loop.Now()+wait, run)
}

func (s OutputStats) plus(o OutputStats) OutputStats {
	return OutputStats{
		Periods:        s.Periods + o.Periods,
		Points:         s.Points + o.Points,
		Failures:       s.Failures + o.Failures,
		RejectedPoints: s.RejectedPoints + o.RejectedPoints,
	}
}
