package control

import (
	"strconv"

	"cinderroad/internal/system/control/directory"
	"cinderroad/internal/system/exposition"
)

// writeMetrics writes the process's own metrics.
func (p *Process) writeMetrics(page *exposition.Page) {
	p.writeStateMetrics(page)
	p.writePartitionMetrics(page)
	p.writeDirectoryMetrics(page)
	if p.counters != nil {
		p.counters.WriteMetrics(page)
	}
}

func (p *Process) writeStateMetrics(page *exposition.Page) {
	gauge := func(name, help string, value float64) { page.Metric(exposition.Gauge, name, help, value) }
	gauge("cinderroad_control_configuration_version", "Version of the configuration on this replica; 0: none.",
		float64(p.configuration.Version()))
	gauge("cinderroad_control_stopping", "Whether the process has received a stop signal.", exposition.BoolValue(p.stopping.Load()))
	gauge("cinderroad_control_followers", "Members that follow this machine's feed.", float64(len(p.feedServer.Followers())))
	discovery := p.runnerSync.Status()
	gauge("cinderroad_control_discovery_holder", "Whether this machine has the role of polling the platform's runner list.",
		exposition.BoolValue(discovery.Holder))
	page.Metric(exposition.Counter, "cinderroad_control_discovery_calls_total",
		"Requests sent to the platform for its runner list.",
		float64(discovery.CallCount))
}

// writePartitionMetrics writes the metrics of each local replica.
func (p *Process) writePartitionMetrics(page *exposition.Page) {
	partitions := p.host.Status()
	label := func(i int) exposition.Label {
		return exposition.Label{Name: "partition", Value: strconv.Itoa(int(partitions[i].Partition))}
	}
	page.Family(exposition.Gauge, "cinderroad_control_leads", "Whether this machine is the leader of the partition and has a valid lease.")
	for i := range partitions {
		_, leads := p.host.LeaderLease(partitions[i].Partition)
		page.Sample(exposition.BoolValue(leads), label(i))
	}
	page.Family(exposition.Gauge, "cinderroad_control_fresh_seconds",
		"Time since this replica last had applied all that a leader with a majority had committed, by partition.")
	for i := range partitions {
		page.Sample(p.host.Staleness(partitions[i].Partition).Seconds(), label(i))
	}
	page.Family(exposition.Gauge, "cinderroad_control_term", "Raft term of the partition on this replica.")
	for i := range partitions {
		page.Sample(float64(partitions[i].Status.Term), label(i))
	}
	page.Family(exposition.Gauge, "cinderroad_control_applied_index", "Index of the last log entry applied on this replica, by partition.")
	for i := range partitions {
		page.Sample(float64(partitions[i].Status.Applied), label(i))
	}
}

// writeDirectoryMetrics writes the numbers of proxies by state, as the directory sees them.
func (p *Process) writeDirectoryMetrics(page *exposition.Page) {
	var usable, stopping, starting, lost int
	edges := p.Edges()
	for i := range edges {
		switch edge := &edges[i]; {
		case edge.Health == directory.Dead:
			lost++
		case edge.Stopping:
			stopping++
		case edge.Ready:
			usable++
		default:
			starting++
		}
	}
	page.Family(exposition.Gauge, "cinderroad_control_proxies", "Proxies by state in the directory of this machine.")
	state := func(name string) exposition.Label { return exposition.Label{Name: "state", Value: name} }
	page.Sample(float64(usable), state("ready"))
	page.Sample(float64(starting), state("starting"))
	page.Sample(float64(stopping), state("stopping"))
	page.Sample(float64(lost), state("dead"))
}
