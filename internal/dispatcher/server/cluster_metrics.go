package server

import (
	"math"

	"cinderroad/internal/dispatcher/cluster"
	"cinderroad/internal/dispatcher/telemetry"
	"cinderroad/internal/shared/membership"
)

// clusterMetricAdder registers metrics of the cluster. They have no value while the server is not a member of one.
type clusterMetricAdder struct {
	set    *telemetry.Set
	server *Server // nil where only the documentation is wanted
}

// series registers a series that get reads from the cluster.
func (add clusterMetricAdder) series(kind telemetry.Kind, name, unit, help string, get func(c *cluster.Cluster) float64) {
	doc := telemetry.SeriesDoc{
		Pattern: "fleet." + name,
		Kind:    kind,
		Unit:    unit,
		Help:    help + " None without a cluster.",
	}
	add.set.AddFunc(doc, func() float64 {
		if add.server.cluster == nil {
			return math.NaN()
		}
		return get(add.server.cluster)
	})
}

// gauge registers a gauge.
func (add clusterMetricAdder) gauge(name, unit, help string, get func(c *cluster.Cluster) float64) {
	add.series(telemetry.Gauge, name, unit, help, get)
}

// counter registers a counter. A cluster that is joined again counts from 0, and the series must not fall: it continues from
// what the clusters before have counted.
func (add clusterMetricAdder) counter(name, unit, help string, get func(c *cluster.Cluster) uint64) {
	earlier := 0.0 // counted by the clusters before this one
	last := 0.0    // as last read
	add.series(telemetry.Counter, name, unit, help, func(c *cluster.Cluster) float64 {
		current := float64(get(c))
		if current < last {
			earlier += last
		}
		last = current
		return earlier + current
	})
}

// addClusterMetrics adds the metrics of the cluster.
func addClusterMetrics(set *telemetry.Set, s *Server) {
	add := clusterMetricAdder{set: set, server: s}
	addMembershipMetrics(add)
	addListVersionMetrics(add)
	addDatagramMetrics(add)
}

// addMembershipMetrics adds the metrics of the members and of failure detection.
func addMembershipMetrics(add clusterMetricAdder) {
	stats := func(get func(membership.Stats) uint64) func(*cluster.Cluster) uint64 {
		return func(c *cluster.Cluster) uint64 { return get(c.Stats()) }
	}
	members := func(choose func(alive, suspect, dead int) int) func(*cluster.Cluster) float64 {
		return func(c *cluster.Cluster) float64 { return float64(choose(c.CountByState())) }
	}
	add.gauge("members_alive", "members", "Members in state alive, including this one.",
		members(func(alive, _, _ int) int { return alive }))
	add.gauge("members_suspect", "members", "Members in state suspect.",
		members(func(_, suspect, _ int) int { return suspect }))
	add.gauge("members_dead", "members", "Members in state dead that are not removed yet.",
		members(func(_, _, dead int) int { return dead }))
	add.gauge("instances", "members", "Dispatchers among which the slow-start quota is divided.",
		func(c *cluster.Cluster) float64 { return float64(c.Share().Instances) })
	add.gauge("part", "", "Fraction of its slow-start quota that this member uses; below 1 while others may not count it.",
		func(c *cluster.Cluster) float64 { return c.Share().Fraction })
	add.gauge("settle_s", "s", "Time the view took to converge after the last change.", (*cluster.Cluster).LastConvergence)
	add.counter("suspicions", "suspicions", "Changes of members to state suspect.",
		stats(func(n membership.Stats) uint64 { return n.Suspicions }))
	add.counter("suspicions_refuted", "suspicions", "Suspicions of members that were refuted.",
		stats(func(n membership.Stats) uint64 { return n.Refutations }))
	add.counter("suspected", "suspicions", "Suspicions of this member that it refuted.",
		stats(func(n membership.Stats) uint64 { return n.SelfRefutations }))
	add.counter("deaths", "members", "Changes of members to state dead.",
		stats(func(n membership.Stats) uint64 { return n.Deaths }))
	add.counter("probes", "probes", "Probes sent to members.",
		stats(func(n membership.Stats) uint64 { return n.Probes }))
	add.counter("probes_unanswered", "probes", "Probes without an acknowledgement, direct or indirect.",
		stats(func(n membership.Stats) uint64 { return n.FailedProbes }))
	add.counter("slept", "", "Pauses of this process that were detected.",
		stats(func(n membership.Stats) uint64 { return n.Pauses }))
	add.counter("name_claims", "", "Detections of another process under this name.",
		stats(func(n membership.Stats) uint64 { return n.NameClaims }))
}

// addListVersionMetrics adds the metrics of the lease and of the versions of discovery's list that members exchange.
func addListVersionMetrics(add clusterMetricAdder) {
	s := add.server
	add.gauge("list_behind", "versions",
		"Revisions by which the own list is behind the newest list of any member; 0 if none is comparable.",
		func(*cluster.Cluster) float64 { return float64(s.versionTable.MaxLag()) })
	add.gauge("out_of_lease", "", "1 while this member is out of its lease and takes no new work.",
		func(*cluster.Cluster) float64 { return oneIf(s.leaseExpired()) })
	add.gauge("word_age_s", "s", "Time since an update of discovery last confirmed all versions known here; -1: never.",
		func(c *cluster.Cluster) float64 { return c.ConfirmationAge() })
	add.gauge("workers_withheld", "nodes", "Workers restricted by updates of peers, beyond the own list.",
		func(*cluster.Cluster) float64 { return float64(s.dispatcher.RestrictedCount()) })
	add.counter("facts_taken", "facts", "Updates of workers received from peers that were newer than the own list.",
		func(*cluster.Cluster) uint64 { return s.versionTable.Stats.FactsAccepted })
	add.counter("facts_doubted", "facts", "Updates of peers withdrawn because the own discovery did not confirm them in time.",
		func(*cluster.Cluster) uint64 { return s.versionTable.Stats.Doubted })
	add.counter("rides_bad", "", "Invalid piggybacked payloads of members' messages.",
		func(*cluster.Cluster) uint64 { return s.versionTable.Stats.Malformed })
}

// addDatagramMetrics adds the metrics of the members' messages on the wire.
func addDatagramMetrics(add clusterMetricAdder) {
	add.counter("datagrams_sent", "datagrams", "Datagrams sent.",
		func(c *cluster.Cluster) uint64 { return c.Sent })
	add.counter("datagrams_received", "datagrams", "Datagrams received.",
		func(c *cluster.Cluster) uint64 { return c.Received })
	add.counter("datagrams_unsent", "datagrams", "Datagrams that could not be sent.",
		func(c *cluster.Cluster) uint64 { return c.Unsent })
	add.counter("bytes_sent", "bytes", "Bytes of the datagrams sent.",
		func(c *cluster.Cluster) uint64 { return c.BytesSent })
	for reason, name := range cluster.DropNames {
		add.counter("dropped_"+name, "datagrams", "Datagrams dropped: "+name+".",
			func(c *cluster.Cluster) uint64 { return c.Drops[reason] })
	}
	add.counter("dropped_repeated", "datagrams", "Datagrams dropped: duplicates.",
		func(c *cluster.Cluster) uint64 { return c.Stats().Duplicates })
	add.counter("dropped_no_room", "names", "Names of members rejected because 4,096 are known.",
		func(c *cluster.Cluster) uint64 { return c.Stats().RejectedNames })
	add.counter("dropped_stale", "datagrams", "Datagrams dropped: from an earlier generation of a process.",
		func(c *cluster.Cluster) uint64 { return c.Stats().Stale })
}
