package server

import (
	"math"

	"cinderroad/internal/dispatcher/exporter"
	"cinderroad/internal/dispatcher/telemetry"
)

// addReportingMetrics adds the metrics of reporting itself: periods, receivers, spool and request log.
func addReportingMetrics(s *Server, set *telemetry.Set) {
	add := metricAdder{set}
	add.counter("telemetry.periods", "periods", "Periods closed.", func() uint64 { return s.reporting.exporter.ClosedPeriods })
	add.gauge("telemetry.periods_held", "periods", "Periods that wait for a receiver.", func() float64 {
		n, _ := s.reporting.exporter.Ring().Size()
		return float64(n)
	})
	add.counter("telemetry.periods_dropped", "periods", "Periods that had to go before every receiver had them: their points are missing, totals go on.",
		func() uint64 { return s.reporting.exporter.Ring().Dropped })
	for _, kind := range []string{"graphite", "collectd"} {
		of := map[string]string{"graphite": "Graphite receivers", "collectd": "collectds"}[kind]
		for _, f := range []struct {
			name, unit, help string
			get              func(exporter.OutputStats) uint64
		}{{"periods", "periods", "Periods that " + of + " have got.", func(s exporter.OutputStats) uint64 { return s.Periods }},
			{"points", "points", "Points sent to " + of + ", some again after a break.", func(s exporter.OutputStats) uint64 { return s.Points }},
			{"breaks", "tries", "Tries to deliver to " + of + " that came to nothing.", func(s exporter.OutputStats) uint64 { return s.Failures }},
			{"refused", "points", "Points that " + of + " would not have.", func(s exporter.OutputStats) uint64 { return s.RejectedPoints }}} {
			add.counter("telemetry."+kind+"."+f.name, f.unit, f.help, func() uint64 { return f.get(s.reporting.exporter.KindStats(kind)) })
		}
	}
	disk := func(name, unit, help string, has func() bool, get func() uint64) {
		set.AddFunc(telemetry.SeriesDoc{Pattern: name, Kind: telemetry.Counter, Unit: unit, Help: help}, func() float64 {
			if !has() {
				return math.NaN()
			}
			return float64(get())
		})
	}
	spooled := func() bool { return s.reporting.spool != nil }
	disk("telemetry.spool_failed", "records", "Records that the disk refused. None without a spool.", spooled, func() uint64 { return s.reporting.spool.WriteErrors() })
	disk("telemetry.spool_lost", "records", "Records that the disk was too slow for. None without a spool.", spooled, func() uint64 { return s.reporting.spool.Dropped() })
	logged := func() bool { return s.reporting.requestLog != nil }
	disk("request_log.lines", "lines", "Lines written to the request log. None without one.", logged, func() uint64 { return s.reporting.requestLog.Lines })
	disk("request_log.lost", "lines", "Lines that the disk was too slow for. None without a request log.", logged, func() uint64 { return s.reporting.requestLog.DroppedLines() })
	disk("request_log.failed", "lines", "Lines that the disk refused. None without a request log.", logged, func() uint64 { return s.reporting.requestLog.FailedLines() })
}
