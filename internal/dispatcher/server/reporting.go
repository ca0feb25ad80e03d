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
	deltaInterval     = 0.25    // seconds between two messages to the next process of what was counted
	mostHandoverBytes = 2 << 20 // bytes of periods that are handed over where no disk holds them
	finalDeliveryTime = 0.5     // seconds that receivers have for the last period
	closeTime         = 2 * time.Second
)

// reporting is the figures and the request log of a dispatcher, and their way through reloads and upgrades. A nil *reporting
// keeps none: every method takes that.
type reporting struct {
	p     *Server
	set   *telemetry.Set
	feed  *exporter.Exporter
	log   *requestlog.Log
	spool *spool.Spool
	file  *operatorconfig.Config

	outputs      map[string]exporter.Output // by what the file says of them
	awaitsTotals bool                       // the process before this one owes its totals
	successor    *handover.Link             // the next process: it gets the totals, and what is counted since
	totalsSent   bool                       // the successor has the totals
	deltaTimer   *eventloop.Timer           // until what was counted since is sent to the successor again
	deliverUntil float64                    // when the last period must be delivered; 0: it is not closed yet
}

// newReporting opens the outputs and the request log; nil where the operator wants none.
func newReporting(p *Server) (*reporting, error) {
	f := p.config.Operator
	if len(f.Graphite)+len(f.Collectd) == 0 && f.Telemetry.SpoolDir == "" && f.RequestLog == nil {
		return nil, nil
	}
	r := &reporting{p: p, file: f, outputs: map[string]exporter.Output{}}
	r.set = telemetry.New(telemetry.Options{Settings: p.config.brain, Classes: p.config.classes(), Zones: p.config.names.FailureDomains,
		Kinds: p.config.names.Kinds, MaxNodes: *f.Telemetry.NodeSeries, WorkerStatus: p.core.WorkerStatus, Now: p.loop.Now,
		Log: func(line string) { p.log.Info("telemetry: " + line) }})
	r.feed = exporter.New(p.loop, p.log, r.set, exporter.Options{DispatcherName: p.config.Name, Interval: f.Telemetry.IntervalSeconds, BufferBytes: f.Telemetry.MemoryBytes})
	next, err := r.prepare(f)
	if err != nil {
		return nil, err
	}
	r.install(next)
	addFigures(p, r.set)
	addReportingFigures(p, r.set)
	p.core.Observer = r
	r.flushLog()
	return r, nil
}

// delivers says whether figures leave the process.
func (r *reporting) delivers() bool {
	return r != nil && (len(r.outputs) > 0 || r.file.Telemetry.SpoolDir != "")
}

// ObserveAnswer implements dispatch.Observer, and so do the next ones.
func (r *reporting) ObserveAnswer(f *dispatch.AnswerRecord) {
	r.set.ObserveAnswer(f)
	if r.log != nil {
		r.log.LogAnswer(f)
	}
}

// ObserveAttempt implements dispatch.Observer.
func (r *reporting) ObserveAttempt(t *dispatch.AttemptRecord) { r.set.ObserveAttempt(t) }

// ObserveMembers implements dispatch.Observer.
func (r *reporting) ObserveMembers(kind loadbalancer.ListKind, members []dispatch.Member) {
	r.set.ObserveMembers(kind, members)
}

// ObserveLoadReport implements dispatch.Observer.
func (r *reporting) ObserveLoadReport(worker loadbalancer.WorkerID, at float64, report []float32, probed bool) {
	r.set.ObserveLoadReport(worker, at, report, probed)
}

// ObserveDrain implements dispatch.Observer.
func (r *reporting) ObserveDrain(worker loadbalancer.WorkerID, margin float64) {
	r.set.ObserveDrain(worker, margin)
}

func (r *reporting) flushLog() {
	r.p.loop.At(r.p.loop.Now()+requestlog.FlushIntervalSeconds, func() {
		if r.log != nil {
			r.log.Flush()
		}
		r.flushLog()
	})
}

// report logs what a goroutine of its own has met.
func (r *reporting) report(what string) func(error) {
	return func(err error) { r.p.log.Warn("telemetry: "+what, zap.Error(err)) }
}

// begin starts to close periods, from where earlier lives have ended.
func (r *reporting) begin() {
	if !r.delivers() {
		return
	}
	if r.file.Telemetry.SpoolDir == "" {
		r.feed.Start()
		return
	}
	r.open(func(found *spool.Recovered) { r.feed.Restore(found) })
}

// open opens the spool, off the loop, and has what it holds taken before the feed starts. One that cannot be used is told,
// and costs what it is for alone.
func (r *reporting) open(take func(*spool.Recovered)) {
	t := r.file.Telemetry
	go func() {
		s, found, err := spool.Open(t.SpoolDir, filepath.Base(r.p.config.Name+"-"+r.p.config.Listen), t.SpoolBytes, r.report("spool"))
		r.p.loop.Post(func() {
			if err != nil {
				r.p.log.Error("telemetry: no spool, totals do not outlive this process", zap.Error(err))
				found = &spool.Recovered{}
			} else {
				r.p.log.Info("telemetry: spool", zap.Int("periods", len(found.Periods)), zap.Int("torn_files", found.TornFiles), zap.Int("strange_files", found.UnknownFiles))
				r.spool = s
				r.feed.SetSpool(s)
			}
			take(found)
			r.feed.Start()
		})
	}()
}

// finished closes the last period and gives receivers a moment to get it; true once they have it or the moment is over.
func (r *reporting) finished() bool {
	if r == nil || !r.feed.Running() {
		return true
	}
	now := r.p.loop.Now()
	if r.deliverUntil == 0 {
		r.deliverUntil = now + finalDeliveryTime
		r.feed.ClosePeriodNow()
	}
	return now >= r.deliverUntil || r.feed.AllDelivered()
}

// close writes what waits to the disk. A disk that hangs is not waited for.
func (r *reporting) close() {
	if r == nil {
		return
	}
	done := make(chan struct{})
	go func() {
		if r.log != nil {
			r.log.Close()
		}
		if r.spool != nil {
			r.spool.Close()
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(closeTime):
		r.p.log.Error("telemetry: the disk hangs, not waited for")
	}
}
