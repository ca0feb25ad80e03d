package server

import (
	"cinderroad/internal/dispatcher/exporter"
	"cinderroad/internal/dispatcher/telemetry"
)

// addReportingMetrics adds the metrics of reporting itself: periods, receivers, spool and request log. Nothing reads s before
// the end of a period, so it may be nil where only the documentation is wanted.
func addReportingMetrics(s *Server, set *telemetry.Set) {
	add := metricAdder{set}
	addPeriodMetrics(add, s)
	addReceiverMetrics(add, s, "graphite", "Graphite receivers")
	addReceiverMetrics(add, s, "collectd", "collectds")
	addSpoolMetrics(add, s)
	addRequestLogMetrics(add, s)
}

// addPeriodMetrics adds the metrics of the periods that are closed and wait for receivers.
func addPeriodMetrics(add metricAdder, s *Server) {
	add.counter("telemetry.periods", "periods", "Reporting periods completed.",
		func() uint64 { return s.reporting.exporter.ClosedPeriods })
	add.gauge("telemetry.periods_held", "periods", "Periods buffered for receivers.", func() float64 {
		n, _ := s.reporting.exporter.Ring().Size()
		return float64(n)
	})
	add.counter("telemetry.periods_dropped", "periods",
		"Periods dropped before every receiver had them: their points are missing, totals continue.",
		func() uint64 { return s.reporting.exporter.Ring().Dropped })
}

// addReceiverMetrics adds the metrics of deliveries to all receivers of one kind, which the help texts call receivers.
func addReceiverMetrics(add metricAdder, s *Server, kind, receivers string) {
	counter := func(name, unit, help string, get func(exporter.OutputStats) uint64) {
		add.counter("telemetry."+kind+"."+name, unit, help,
			func() uint64 { return get(s.reporting.exporter.KindStats(kind)) })
	}
	counter("periods", "periods", "Periods delivered to "+receivers+".",
		func(stats exporter.OutputStats) uint64 { return stats.Periods })
	counter("points", "points", "Points sent to "+receivers+", including those sent again after a failure.",
		func(stats exporter.OutputStats) uint64 { return stats.Points })
	counter("breaks", "attempts", "Failed attempts to deliver to "+receivers+".",
		func(stats exporter.OutputStats) uint64 { return stats.Failures })
	counter("refused", "points", "Points rejected by "+receivers+".",
		func(stats exporter.OutputStats) uint64 { return stats.RejectedPoints })
}

// addSpoolMetrics adds the metrics of the spool; they have no value without one.
func addSpoolMetrics(add metricAdder, s *Server) {
	present := func() bool { return s.reporting.spool != nil }
	add.optionalCounter("telemetry.spool_failed", "records", "Records that could not be written. None without a spool.", present,
		func() uint64 { return s.reporting.spool.WriteErrors() })
	add.optionalCounter("telemetry.spool_lost", "records", "Records dropped because the disk was too slow. None without a spool.", present,
		func() uint64 { return s.reporting.spool.Dropped() })
}

// addRequestLogMetrics adds the metrics of the request log; they have no value without one.
func addRequestLogMetrics(add metricAdder, s *Server) {
	present := func() bool { return s.reporting.requestLog != nil }
	add.optionalCounter("request_log.lines", "lines", "Lines written to the request log. None without one.", present,
		func() uint64 { return s.reporting.requestLog.Lines })
	add.optionalCounter("request_log.lost", "lines", "Lines dropped because the disk was too slow. None without a request log.", present,
		func() uint64 { return s.reporting.requestLog.DroppedLines() })
	add.optionalCounter("request_log.failed", "lines", "Lines that could not be written. None without a request log.", present,
		func() uint64 { return s.reporting.requestLog.FailedLines() })
}
