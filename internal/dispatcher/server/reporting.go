package server

import (
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/dispatcher/exporter"
	"cinderroad/internal/dispatcher/handover"
	"cinderroad/internal/dispatcher/operatorconfig"
	"cinderroad/internal/dispatcher/requestlog"
	"cinderroad/internal/dispatcher/spool"
	"cinderroad/internal/dispatcher/telemetry"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/loadbalancer"
)

const (
	deltaInterval        = 0.25    // seconds between two messages to the successor of what was counted
	maxHandoverBytes     = 2 << 20 // bytes of undelivered periods that are handed over where no spool holds them
	finalDeliverySeconds = 0.5     // seconds that receivers have to accept the last period
	closeTimeout         = 2 * time.Second
)

// reporting reports a dispatcher's metrics and writes its request log, across reloads and upgrades. A nil *reporting reports
// nothing: the methods that the server calls accept it.
type reporting struct {
	server         *Server
	metrics        *telemetry.Set
	exporter       *exporter.Exporter
	requestLog     *requestlog.Log
	spool          *spool.Spool
	operatorConfig *operatorconfig.Config

	outputs      map[string]exporter.Output // by the text of their section of the operator's file
	awaitsTotals bool                       // the predecessor has not sent its totals yet
	successor    *handover.Link             // which gets the totals and what is counted since; nil: this process reports by itself
	totalsSent   bool                       // the successor has the totals
	deltaTimer   *eventloop.Timer           // until the next message of what was counted since
	deliverUntil float64                    // Unix time of the end of the last delivery; 0: the last period is not closed yet
}

// newReporting opens the outputs and the request log; nil if the operator's file configures none.
func newReporting(s *Server) (*reporting, error) {
	operatorConfig := s.config.Operator
	hasReceivers := len(operatorConfig.Graphite)+len(operatorConfig.Collectd) > 0
	hasSpool := operatorConfig.Telemetry.SpoolDir != ""
	if !hasReceivers && !hasSpool && operatorConfig.RequestLog == nil {
		return nil, nil
	}
	r := &reporting{server: s, operatorConfig: operatorConfig, outputs: map[string]exporter.Output{}}
	r.metrics = telemetry.New(telemetry.Options{
		Settings:     s.config.balancerSettings,
		Classes:      s.config.classNames(),
		Zones:        s.config.dispatcherSettings.FailureDomains,
		Kinds:        s.config.dispatcherSettings.Kinds,
		MaxNodes:     *operatorConfig.Telemetry.NodeSeries,
		WorkerStatus: s.dispatcher.WorkerStatus,
		Now:          s.loop.Now,
		Log:          func(line string) { s.log.Info("telemetry: " + line) },
	})
	r.exporter = exporter.New(s.loop, s.log, r.metrics, exporter.Options{
		DispatcherName: s.config.Name,
		Interval:       operatorConfig.Telemetry.IntervalSeconds,
		BufferBytes:    operatorConfig.Telemetry.MemoryBytes,
	})
	next, err := r.prepareReload(operatorConfig)
	if err != nil {
		return nil, err
	}
	r.install(next)
	addMetrics(s, r.metrics)
	addReportingMetrics(s, r.metrics)
	s.dispatcher.Observer = r
	r.scheduleLogFlush()
	return r, nil
}

// delivers reports whether metrics leave the process.
func (r *reporting) delivers() bool {
	return r != nil && (len(r.outputs) > 0 || r.operatorConfig.Telemetry.SpoolDir != "")
}

// ObserveAnswer implements dispatch.Observer.
func (r *reporting) ObserveAnswer(answer *dispatch.AnswerRecord) {
	r.metrics.ObserveAnswer(answer)
	if r.requestLog != nil {
		r.requestLog.LogAnswer(answer)
	}
}

// ObserveAttempt implements dispatch.Observer.
func (r *reporting) ObserveAttempt(attempt *dispatch.AttemptRecord) {
	r.metrics.ObserveAttempt(attempt)
}

// ObserveMembers implements dispatch.Observer.
func (r *reporting) ObserveMembers(kind loadbalancer.ListKind, members []dispatch.Member) {
	r.metrics.ObserveMembers(kind, members)
}

// ObserveLoadReport implements dispatch.Observer.
func (r *reporting) ObserveLoadReport(worker loadbalancer.WorkerID, at float64, report []float32, probed bool) {
	r.metrics.ObserveLoadReport(worker, at, report, probed)
}

// ObserveDrain implements dispatch.Observer.
func (r *reporting) ObserveDrain(worker loadbalancer.WorkerID, margin float64) {
	r.metrics.ObserveDrain(worker, margin)
}

// scheduleLogFlush hands lines to the request log's writer from time to time.
func (r *reporting) scheduleLogFlush() {
	r.server.loop.At(r.server.loop.Now()+requestlog.FlushIntervalSeconds, func() {
		if r.requestLog != nil {
			r.requestLog.Flush()
		}
		r.scheduleLogFlush()
	})
}

// logError returns a function that logs errors under a message, from any goroutine.
func (r *reporting) logError(message string) func(error) {
	return func(err error) { r.server.log.Warn("telemetry: "+message, zap.Error(err)) }
}

// start starts to close periods, continuing the totals of earlier processes if a spool holds them.
func (r *reporting) start() {
	if !r.delivers() {
		return
	}
	if r.operatorConfig.Telemetry.SpoolDir == "" {
		r.exporter.Start()
		return
	}
	r.openSpool(func(found *spool.Recovered) { r.exporter.Restore(found) })
}

// openSpool opens the spool off the loop, passes what it holds to take and starts the feed. If the spool cannot be used,
// that is logged, and metrics are reported without it.
func (r *reporting) openSpool(take func(*spool.Recovered)) {
	settings := r.operatorConfig.Telemetry
	name := filepath.Base(r.server.config.Name + "-" + r.server.config.Listen)
	go func() {
		opened, found, err := spool.Open(settings.SpoolDir, name, settings.SpoolBytes, r.logError("spool I/O error"))
		r.server.loop.Post(func() {
			if err != nil {
				r.server.log.Error("telemetry: failed to open spool, totals will not survive a restart", zap.Error(err))
				found = &spool.Recovered{}
			} else {
				r.server.log.Info("telemetry: spool opened",
					zap.Int("periods", len(found.Periods)),
					zap.Int("torn_files", found.TornFiles),
					zap.Int("unknown_files", found.UnknownFiles),
				)
				r.spool = opened
				r.exporter.SetSpool(opened)
			}
			take(found)
			r.exporter.Start()
		})
	}()
}

// finished closes the last period, and reports whether receivers have accepted it or their time is over.
func (r *reporting) finished() bool {
	if r == nil || !r.exporter.Running() {
		return true
	}
	now := r.server.loop.Now()
	if r.deliverUntil == 0 {
		r.deliverUntil = now + finalDeliverySeconds
		r.exporter.ClosePeriodNow()
	}
	return now >= r.deliverUntil || r.exporter.AllDelivered()
}

// close writes what is buffered to the disk. It gives up after closeTimeout: a disk that hangs must not keep the process alive.
func (r *reporting) close() {
	if r == nil {
		return
	}
	done := make(chan struct{})
	go func() {
		if r.requestLog != nil {
			r.requestLog.Close()
		}
		if r.spool != nil {
			r.spool.Close()
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(closeTimeout):
		r.server.log.Error("telemetry: disk write timed out, exiting without the last writes")
	}
}
