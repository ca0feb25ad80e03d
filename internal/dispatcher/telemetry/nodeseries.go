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
	nodeOK:               {"ok", Counter, "attempts", "Those of them that ended well."},
	nodeState:            {"state", Gauge, "", "1 ready, 2 draining. None while nobody holds the slot."},
	nodeInFlight:         {"reported_in_flight", Gauge, "jobs", "Jobs the node held by its last report."},
	nodeUtilization:      {"reported_utilization", Gauge, "share", "Share of its cores that was busy by its last report."},
	nodeReportAge:        {"report_age_s", Gauge, "s", "Age of the last report that came with an answer."},
	nodeProbedInFlight:   {"probed_in_flight", Gauge, "jobs", "Jobs the node held by its last probe."},
	nodeProbeAge:         {"probe_age_s", Gauge, "s", "Age of the last probe."},
	nodeOwnSlots:         {"own_slots", Gauge, "slots", "Slots that this dispatcher's own jobs take there."},
	nodeLoadLimit:        {"ceiling", Gauge, "slots", "Load that the decisions think it bears; 0 is not learnt yet."},
	nodeUtilizationLimit: {"utilization_ceiling", Gauge, "share", "Utilization above which it gets work only if all others are full."},
	nodeSpareCapacity:    {"room", Gauge, "slots", "Spare room as the decisions hold it; below 0 it is over its ceiling."},
	nodePace:             {"pace", Gauge, "", "Running time for an amount of work: a standard core has 1, a slow one more."},
	nodeErrorRate:        {"errors", Gauge, "share", "Running share of attempts that failed."},
	nodeEjected:          {"set_aside", Gauge, "", "1 while it is set aside, since its attempts fail or it takes nothing."},
	nodeWarmth:           {"warmth", Gauge, "share", "Share of its capacity that it is sure to have since its start."},
	nodeSlowStartWork: {
		Pattern: "cold_budget_used_s",
		Kind:    Gauge,
		Unit:    "s",
		Help:    "Work sent to it within the fall time: what a cold node's budget is spent on.",
	},
}
