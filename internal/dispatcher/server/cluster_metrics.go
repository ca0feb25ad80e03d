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
		Help:    help + " None without a fleet.",
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
	add.gauge("members_alive", "members", "Members held alive, this one among them.", func(c *cluster.Cluster) float64 {
		alive, _, _ := c.CountByState()
		return float64(alive)
	})
	add.gauge("members_suspect", "members", "Members under suspicion.", func(c *cluster.Cluster) float64 {
		_, suspect, _ := c.CountByState()
		return float64(suspect)
	})
	add.gauge("members_dead", "members", "Members held dead and not forgotten yet.", func(c *cluster.Cluster) float64 {
		_, _, dead := c.CountByState()
		return float64(dead)
	})
	add.gauge("instances", "members", "Dispatchers among whom cold workers are shared.",
		func(c *cluster.Cluster) float64 { return float64(c.Share().Instances) })
	add.gauge("part", "", "Part of its share of cold workers that this one takes; below 1 while others may not count it.",
		func(c *cluster.Cluster) float64 { return c.Share().Fraction })
	add.gauge("settle_s", "s", "How long the view took to settle the last time.", (*cluster.Cluster).LastConvergence)
	add.counter("suspicions", "suspicions", "Members that came under suspicion.",
		stats(func(n membership.Stats) uint64 { return n.Suspicions }))
	add.counter("suspicions_refuted", "suspicions", "Suspicions that were taken back.",
		stats(func(n membership.Stats) uint64 { return n.Refutations }))
	add.counter("suspected", "suspicions", "Suspicions of this member that it answered.",
		stats(func(n membership.Stats) uint64 { return n.SelfRefutations }))
	add.counter("deaths", "members", "Members found dead.",
		stats(func(n membership.Stats) uint64 { return n.Deaths }))
	add.counter("probes", "questions", "Members asked whether they are there.",
		stats(func(n membership.Stats) uint64 { return n.Probes }))
	add.counter("probes_unanswered", "questions", "Those that ended without an answer.",
		stats(func(n membership.Stats) uint64 { return n.FailedProbes }))
	add.counter("slept", "", "Times that this process stood still.",
		stats(func(n membership.Stats) uint64 { return n.Pauses }))
	add.counter("name_claims", "", "Times that another process was found under this name.",
		stats(func(n membership.Stats) uint64 { return n.NameClaims }))
}

// addListVersionMetrics adds the metrics of the lease and of the versions of discovery's list that members exchange.
func addListVersionMetrics(add clusterMetricAdder) {
	s := add.server
	add.gauge("list_behind", "versions",
		"Versions that the own list is behind the newest that a member says it has; none compares: 0.",
		func(*cluster.Cluster) float64 { return float64(s.versionTable.MaxLag()) })
	add.gauge("out_of_lease", "", "1 while this member is out of its lease and takes no new work.",
		func(*cluster.Cluster) float64 { return oneIf(s.leaseExpired()) })
	add.gauge("word_age_s", "s", "Since a word of discovery last confirmed what is known here; -1: never.",
		func(c *cluster.Cluster) float64 { return c.ConfirmationAge() })
	add.gauge("workers_withheld", "nodes", "Workers that get less than the own list says, on peers' words.",
		func(*cluster.Cluster) float64 { return float64(s.dispatcher.RestrictedCount()) })
	add.counter("facts_taken", "facts", "What peers told of workers that the own list was too old to know.",
		func(*cluster.Cluster) uint64 { return s.versionTable.Stats.FactsAccepted })
	add.counter("facts_doubted", "facts", "Of it, what the own discovery did not tell in time: taken back.",
		func(*cluster.Cluster) uint64 { return s.versionTable.Stats.Doubted })
	add.counter("rides_bad", "", "What came along with members' messages and made no sense.",
		func(*cluster.Cluster) uint64 { return s.versionTable.Stats.Malformed })
}

// addDatagramMetrics adds the metrics of the members' messages on the wire.
func addDatagramMetrics(add clusterMetricAdder) {
	add.counter("datagrams_sent", "datagrams", "Datagrams sent.",
		func(c *cluster.Cluster) uint64 { return c.Sent })
	add.counter("datagrams_received", "datagrams", "Datagrams that came.",
		func(c *cluster.Cluster) uint64 { return c.Received })
	add.counter("datagrams_unsent", "datagrams", "Datagrams that the system did not take.",
		func(c *cluster.Cluster) uint64 { return c.Unsent })
	add.counter("bytes_sent", "bytes", "Bytes of the datagrams sent.",
		func(c *cluster.Cluster) uint64 { return c.BytesSent })
	for reason, name := range cluster.DropNames {
		add.counter("dropped_"+name, "datagrams", "Datagrams dropped: "+name+".",
			func(c *cluster.Cluster) uint64 { return c.Drops[reason] })
	}
	add.counter("dropped_repeated", "datagrams", "Datagrams dropped: heard before.",
		func(c *cluster.Cluster) uint64 { return c.Stats().Duplicates })
	add.counter("dropped_no_room", "names", "Names not taken in, since 4,096 are known.",
		func(c *cluster.Cluster) uint64 { return c.Stats().RejectedNames })
	add.counter("dropped_stale", "datagrams", "Datagrams dropped: of an earlier life.",
		func(c *cluster.Cluster) uint64 { return c.Stats().Stale })
}
