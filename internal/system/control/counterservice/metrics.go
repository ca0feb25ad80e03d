package counterservice

import (
	"cinderroad/internal/system/counter"
	"cinderroad/internal/system/exposition"
)

// WriteMetrics writes the service's metrics.
func (s *Service) WriteMetrics(page *exposition.Page) {
	gauge := func(name, help string, value int) { page.Metric(exposition.Gauge, name, help, float64(value)) }
	service := s.Status()
	status := &service.Replica
	page.Metric(exposition.Gauge, "cinderroad_counters_ready", "Whether this machine answers reads of counters.",
		exposition.BoolValue(service.IsRunning && !status.CatchingUp))
	page.Metric(exposition.Gauge, "cinderroad_counters_disk_failure",
		"Whether the disk has failed the last write of counters, so that additions are rejected.",
		exposition.BoolValue(service.DiskFault != nil))
	gauge("cinderroad_counters", "Counters to which anything was added.", status.Counters)
	gauge("cinderroad_counters_operations", "Distinct operations kept.", status.Operations)
	gauge("cinderroad_counters_log_entries", "Entries in the operation logs of all origins.", status.Entries)
	gauge("cinderroad_counters_log_entries_limit", "Entries above which additions are rejected.", service.MaxEntries)
	gauge("cinderroad_counters_unsynced_entries", "Entries that are not on this machine's disk yet.", status.Unpersisted)
	gauge("cinderroad_counters_pending_additions", "Additions that wait for their replication.", status.PendingAdds)
	page.Metric(exposition.Counter, "cinderroad_counters_origin_resets_total",
		"How often the operation log of this machine was found to have gone back in time.", float64(status.OriginResets))
	s.writePeerMetrics(page, status)
	s.writeCallMetrics(page)
}

// writePeerMetrics writes how far the peers are.
func (s *Service) writePeerMetrics(page *exposition.Page, status *counter.Status) {
	label := func(i int) exposition.Label {
		return exposition.Label{Name: "peer", Value: status.Peers[i].Address.String()}
	}
	page.Family(exposition.Gauge, "cinderroad_counters_peer_reachable",
		"Whether additions wait for the replica of another control machine.")
	for i := range status.Peers {
		page.Sample(exposition.BoolValue(!status.Peers[i].Excused), label(i))
	}
	page.Family(exposition.Gauge, "cinderroad_counters_peer_lag",
		"Entries on this machine's disk that another control machine is not known to hold.")
	for i := range status.Peers {
		page.Sample(float64(status.Peers[i].TotalLag()), label(i))
	}
	page.Family(exposition.Gauge, "cinderroad_counters_peer_ahead",
		"Entries that another control machine holds and this machine's disk does not.")
	for i := range status.Peers {
		page.Sample(float64(status.Peers[i].TotalAhead()), label(i))
	}
}

// writeCallMetrics writes the numbers of answers.
func (s *Service) writeCallMetrics(page *exposition.Page) {
	page.Family(exposition.Counter, "cinderroad_counters_additions_total", "Additions by their outcome.")
	outcome := func(name string, count uint64) {
		page.Sample(float64(count), exposition.Label{Name: "outcome", Value: name})
	}
	outcome("acknowledged", s.counts.acknowledged.Load())
	outcome("conflict", s.counts.conflicts.Load())
	outcome("malformed", s.counts.malformed.Load())
	outcome("unavailable", s.counts.unavailable.Load())
	outcome("unknown", s.counts.unknown.Load())
	page.Metric(exposition.Counter, "cinderroad_counters_reads_total", "Reads of counters that were answered.",
		float64(s.counts.reads.Load()))
}
