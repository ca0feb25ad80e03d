package server

import (
	"math"

	"cinderroad/internal/dispatcher/cluster"
	"cinderroad/internal/dispatcher/telemetry"
)

// addClusterMetrics adds the metrics of the cluster; they have no value without one.
func addClusterMetrics(add metricAdder, s *Server) {
	read := func(kind telemetry.Kind, name, unit, help string, get func(c *cluster.Cluster) float64) {
		add.set.AddFunc(telemetry.SeriesDoc{Pattern: "fleet." + name, Kind: kind, Unit: unit, Help: help + " None without a fleet."}, func() float64 {
			if s.cluster == nil {
				return math.NaN()
			}
			return get(s.cluster)
		})
	}
	gauge := func(name, unit, help string, get func(c *cluster.Cluster) float64) {
		read(telemetry.Gauge, name, unit, help, get)
	}
	counter := func(name, unit, help string, get func(c *cluster.Cluster) uint64) {
		past, last := 0.0, 0.0 // a cluster that is joined again counts from 0, and the series must not fall
		read(telemetry.Counter, name, unit, help, func(c *cluster.Cluster) float64 {
			v := float64(get(c))
			if v < last {
				past += last
			}
			last = v
			return past + v
		})
	}
	gauge("members_alive", "members", "Members held alive, this one among them.", func(c *cluster.Cluster) float64 { n, _, _ := c.CountByState(); return float64(n) })
	gauge("members_suspect", "members", "Members under suspicion.", func(c *cluster.Cluster) float64 { _, n, _ := c.CountByState(); return float64(n) })
	gauge("members_dead", "members", "Members held dead and not forgotten yet.", func(c *cluster.Cluster) float64 { _, _, n := c.CountByState(); return float64(n) })
	gauge("instances", "members", "Dispatchers among whom cold workers are shared.", func(c *cluster.Cluster) float64 { return float64(c.Share().Instances) })
	gauge("part", "", "Part of its share of cold workers that this one takes; below 1 while others may not count it.", func(c *cluster.Cluster) float64 { return c.Share().Fraction })
	gauge("settle_s", "s", "How long the view took to settle the last time.", (*cluster.Cluster).LastConvergence)
	counter("suspicions", "suspicions", "Members that came under suspicion.", func(c *cluster.Cluster) uint64 { return c.Stats().Suspicions })
	counter("suspicions_refuted", "suspicions", "Suspicions that were taken back.", func(c *cluster.Cluster) uint64 { return c.Stats().Refutations })
	counter("suspected", "suspicions", "Suspicions of this member that it answered.", func(c *cluster.Cluster) uint64 { return c.Stats().SelfRefutations })
	counter("deaths", "members", "Members found dead.", func(c *cluster.Cluster) uint64 { return c.Stats().Deaths })
	counter("probes", "questions", "Members asked whether they are there.", func(c *cluster.Cluster) uint64 { return c.Stats().Probes })
	counter("probes_unanswered", "questions", "Those that ended without an answer.", func(c *cluster.Cluster) uint64 { return c.Stats().FailedProbes })
	counter("slept", "", "Times that this process stood still.", func(c *cluster.Cluster) uint64 { return c.Stats().Pauses })
	counter("name_claims", "", "Times that another process was found under this name.", func(c *cluster.Cluster) uint64 { return c.Stats().NameClaims })
	gauge("list_behind", "versions", "Versions that the own list is behind the newest that a member says it has; none compares: 0.", func(*cluster.Cluster) float64 { return float64(s.versionTable.MaxLag()) })
	gauge("out_of_lease", "", "1 while this member is out of its lease and takes no new work.", func(c *cluster.Cluster) float64 { return oneIf(s.leaseExpired()) })
	gauge("word_age_s", "s", "Since a word of discovery last confirmed what is known here; -1: never.", func(c *cluster.Cluster) float64 { return c.ConfirmationAge() })
	gauge("workers_withheld", "nodes", "Workers that get less than the own list says, on peers' words.", func(*cluster.Cluster) float64 { return float64(s.dispatcher.RestrictedCount()) })
	counter("facts_taken", "facts", "What peers told of workers that the own list was too old to know.", func(*cluster.Cluster) uint64 { return s.versionTable.Stats.FactsAccepted })
	counter("facts_doubted", "facts", "Of it, what the own discovery did not tell in time: taken back.", func(*cluster.Cluster) uint64 { return s.versionTable.Stats.Doubted })
	counter("rides_bad", "", "What came along with members' messages and made no sense.", func(*cluster.Cluster) uint64 { return s.versionTable.Stats.Malformed })
	counter("datagrams_sent", "datagrams", "Datagrams sent.", func(c *cluster.Cluster) uint64 { return c.Sent })
	counter("datagrams_received", "datagrams", "Datagrams that came.", func(c *cluster.Cluster) uint64 { return c.Received })
	counter("datagrams_unsent", "datagrams", "Datagrams that the system did not take.", func(c *cluster.Cluster) uint64 { return c.Unsent })
	counter("bytes_sent", "bytes", "Bytes of the datagrams sent.", func(c *cluster.Cluster) uint64 { return c.BytesSent })
	for i, name := range cluster.DropNames {
		counter("dropped_"+name, "datagrams", "Datagrams dropped: "+name+".", func(c *cluster.Cluster) uint64 { return c.Drops[i] })
	}
	counter("dropped_repeated", "datagrams", "Datagrams dropped: heard before.", func(c *cluster.Cluster) uint64 { return c.Stats().Duplicates })
	counter("dropped_no_room", "names", "Names not taken in, since 4,096 are known.", func(c *cluster.Cluster) uint64 { return c.Stats().RejectedNames })
	counter("dropped_stale", "datagrams", "Datagrams dropped: of an earlier life.", func(c *cluster.Cluster) uint64 { return c.Stats().Stale })
}
