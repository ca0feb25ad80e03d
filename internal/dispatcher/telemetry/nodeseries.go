package telemetry

// The series of a node, as offsets from its first one.
const (
	nodeEnded = iota
	nodeOK
	nodeState
	nodeInFlight
	nodeUtilization
	nodeReportAge
	nodeProbedInFlight
	nodeProbeAge
	nodeOwnSlots
	nodeLoadLimit
	nodeUtilizationLimit
	nodeSpareCapacity
	nodePace
	nodeErrorRate
	nodeEjected
	nodeWarmth
	nodeSlowStartWork
	nodeSeriesCount
)

var nodeDocs = [nodeSeriesCount]SeriesDoc{
	nodeEnded:            {"ended", Counter, "attempts", "Attempts at the node that have ended."},
	nodeOK:               {"ok", Counter, "attempts", "Attempts at the node that succeeded."},
	nodeState:            {"state", Gauge, "", "1 ready, 2 draining. None while the slot is free."},
	nodeInFlight:         {"reported_in_flight", Gauge, "jobs", "Jobs in flight at the node by its last load report."},
	nodeUtilization:      {"reported_utilization", Gauge, "share", "Utilization of its cores by its last load report."},
	nodeReportAge:        {"report_age_s", Gauge, "s", "Age of the last load report that came with an answer."},
	nodeProbedInFlight:   {"probed_in_flight", Gauge, "jobs", "Jobs in flight at the node by its last probe."},
	nodeProbeAge:         {"probe_age_s", Gauge, "s", "Age of the last probe."},
	nodeOwnSlots:         {"own_slots", Gauge, "slots", "Slots taken by this dispatcher's own jobs."},
	nodeLoadLimit:        {"ceiling", Gauge, "slots", "Concurrency limit estimated by the load balancer; 0: not learnt yet."},
	nodeUtilizationLimit: {"utilization_ceiling", Gauge, "share", "Utilization above which it gets work only if all others are full."},
	nodeSpareCapacity:    {"room", Gauge, "slots", "Spare capacity estimated by the load balancer; below 0 it is over its limit."},
	nodePace:             {"pace", Gauge, "", "Execution time for an amount of work, relative to a standard core: above 1 is slower."},
	nodeErrorRate:        {"errors", Gauge, "share", "Moving average of the share of attempts that failed."},
	nodeEjected:          {"set_aside", Gauge, "", "1 while it is ejected, because its attempts fail or it rejects work."},
	nodeWarmth:           {"warmth", Gauge, "share", "Share of its capacity that it has reached in its slow start."},
	nodeSlowStartWork: {
		Pattern: "cold_budget_used_s",
		Kind:    Gauge,
		Unit:    "s",
		Help:    "Work sent to it within the fall time, which counts against its slow-start budget.",
	},
}
