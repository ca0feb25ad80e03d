package server

import (
	"math"
	"runtime/metrics"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/dispatcher/gearman"
	"cinderroad/internal/dispatcher/telemetry"
	"cinderroad/internal/shared/invariant"
)

// metricAdder registers metrics that are read when a period ends.
type metricAdder struct{ set *telemetry.Set }

// counter registers a counter.
func (add metricAdder) counter(name, unit, help string, get func() uint64) {
	doc := telemetry.SeriesDoc{Pattern: name, Kind: telemetry.Counter, Unit: unit, Help: help}
	add.set.AddFunc(doc, func() float64 { return float64(get()) })
}

// optionalCounter registers a counter of a part that a server may lack. It has no value while present is false.
func (add metricAdder) optionalCounter(name, unit, help string, present func() bool, get func() uint64) {
	doc := telemetry.SeriesDoc{Pattern: name, Kind: telemetry.Counter, Unit: unit, Help: help}
	add.set.AddFunc(doc, func() float64 {
		if !present() {
			return math.NaN()
		}
		return float64(get())
	})
}

// gauge registers a gauge.
func (add metricAdder) gauge(name, unit, help string, get func() float64) {
	doc := telemetry.SeriesDoc{Pattern: name, Kind: telemetry.Gauge, Unit: unit, Help: help}
	add.set.AddFunc(doc, get)
}

// addMetrics registers the metrics of all parts of the server; nothing reads s before the end of a period, so it may be nil
// where only the documentation is wanted. The order is that of docs/figures.md.
func addMetrics(s *Server, set *telemetry.Set) {
	add := metricAdder{set}
	addJobMetrics(add, s)
	addConnectionMetrics(add, s)
	addLifecycleMetrics(add, s)
	addDiscoveryMetrics(add, s)
	addRuntimeMetrics(add, s)
	addAdminMetrics(add, s)
	addClusterMetrics(set, s)
	addGearmanMetrics(add, s)
}

// addJobMetrics adds the metrics of jobs and their attempts.
func addJobMetrics(add metricAdder, s *Server) {
	counts := func(get func(*dispatch.Counts) uint64) func() uint64 {
		return func() uint64 {
			now := s.dispatcher.Counts()
			return get(&now)
		}
	}
	add.counter("reqs.taken", "jobs", "Jobs accepted by the dispatcher.",
		counts(func(n *dispatch.Counts) uint64 { return n.Requests }))
	add.counter("reqs.served", "jobs", "Jobs served.",
		counts(func(n *dispatch.Counts) uint64 { return n.Served }))
	add.counter("reqs.refused", "jobs", "Jobs rejected: they did not run.",
		counts(func(n *dispatch.Counts) uint64 { return n.Rejected }))
	add.counter("reqs.failed", "jobs", "Jobs failed.",
		counts(func(n *dispatch.Counts) uint64 { return n.Failed }))
	add.counter("reqs.client_gone", "jobs", "Jobs whose client left before an answer.",
		counts(func(n *dispatch.Counts) uint64 { return n.Disconnected }))
	add.counter("reqs.overdue", "jobs",
		"Jobs that the load balancer did not answer by their deadline, failed by the dispatcher: must stay 0.",
		counts(func(n *dispatch.Counts) uint64 { return n.Overdue }))
	add.counter("reqs.unusable", "jobs", "Jobs failed because two backends reported them as invalid.",
		counts(func(n *dispatch.Counts) uint64 { return n.InvalidJobs }))
	add.gauge("reqs.open", "jobs", "Jobs without an answer yet.",
		func() float64 { return float64(s.dispatcher.Counts().OpenRequests) })
	add.counter("fetches.sent", "attempts", "Attempts started.",
		counts(func(n *dispatch.Counts) uint64 { return n.Attempts }))
	add.counter("fetches.repeats", "attempts", "Attempts that were not the first of their job: retries and hedged requests.",
		counts(func(n *dispatch.Counts) uint64 { return n.Retries }))
	add.counter("fetches.cancels", "attempts", "Attempts cancelled by the dispatcher.",
		counts(func(n *dispatch.Counts) uint64 { return n.Cancellations }))
	add.gauge("fetches.open", "attempts", "Attempts in flight.",
		func() float64 { return float64(s.dispatcher.Counts().OpenAttempts) })
	for result, name := range telemetry.ResultNames {
		add.counter("fetches.end_"+name, "attempts", "Attempts that ended with result "+name+".",
			counts(func(n *dispatch.Counts) uint64 { return n.Results[result] }))
	}
	add.counter("fetches.probes", "probes", "Probes of nodes for health and load.",
		counts(func(n *dispatch.Counts) uint64 { return n.Probes }))
}

// addConnectionMetrics adds the metrics of connections to workers and clients.
func addConnectionMetrics(add metricAdder, s *Server) {
	add.counter("backends.connections_opened", "connections", "Connections opened to backends.",
		func() uint64 { return s.pool.Connects })
	add.counter("backends.worn_connections", "connections", "Idle connections that were found closed when used again.",
		func() uint64 { return s.pool.StaleConnections })
	add.counter("backends.stray_news", "callbacks", "Callbacks that matched no attempt in flight.",
		func() uint64 { return s.pool.StrayCallbacks })
	add.counter("backends.bad_news", "callbacks", "Invalid callbacks.",
		func() uint64 { return s.front.BadCallbacks })
	add.counter("clients.sessions_opened", "sessions", "Connections accepted from clients.",
		func() uint64 { return s.front.SessionsAccepted })
	add.counter("clients.malformed", "requests", "Requests answered 4xx.",
		func() uint64 { return s.front.Malformed })
	add.counter("clients.slow", "sessions", "Sessions closed because a request was not complete in time.",
		func() uint64 { return s.front.TimedOut })
	add.counter("clients.turned_away", "sessions", "Sessions rejected for lack of capacity.",
		func() uint64 { return s.limiter.Rejected })
}

// addLifecycleMetrics adds the metrics of reloads, upgrades and orders of operators.
func addLifecycleMetrics(add metricAdder, s *Server) {
	add.counter("program.reloads", "reloads", "Configuration reloads applied.",
		func() uint64 { return s.Reloads.Applied })
	add.counter("program.reloads_refused", "reloads", "Configuration reloads rejected; the current configuration stayed in force.",
		func() uint64 { return s.Reloads.Rejected })
	add.gauge("program.started", "s", "Unix time of the start of the process. When it changes, totals may restart at 0.",
		func() float64 { return math.Floor(s.startedAt) })
	add.gauge("program.evacuated", "", "1 while the dispatcher is evacuated.",
		func() float64 { return oneIf(s.front.EvacuatedSince() > 0) })
	add.counter("upgrade.sessions_passed", "sessions", "Client sessions handed over to the new process.",
		func() uint64 { return s.upgrade.SessionsPassed })
	add.counter("upgrade.sessions_adopted", "sessions", "Client sessions taken over from the previous process.",
		func() uint64 { return s.upgrade.SessionsAdopted })
	add.counter("upgrade.news_asked", "callbacks", "Callbacks forwarded to the other process of an upgrade.",
		func() uint64 { return s.upgrade.CallbackQueries })
	add.gauge("members.excluded", "nodes", "Nodes excluded by an operator.",
		func() float64 { return float64(s.dispatcher.ExcludedCount()) })
}

// addDiscoveryMetrics adds the metrics of the discovery client.
func addDiscoveryMetrics(add metricAdder, s *Server) {
	add.counter("director.watches", "watches", "Watches opened at discovery.",
		func() uint64 { return s.discovery.Watches })
	add.counter("director.refused", "watches", "Watches rejected by discovery because it was at its limit.",
		func() uint64 { return s.discovery.Rejections })
	add.counter("director.bad_lines", "lines", "Invalid updates of discovery; the current list was kept.",
		func() uint64 { return s.discovery.BadLines })
	add.counter("director.bad_entries", "entries", "Invalid entries of the list; the other entries were applied.",
		func() uint64 { return s.discovery.BadEntries })
	add.gauge("director.list_revision", "", "Revision of the list in force.",
		func() float64 { return float64(s.discovery.Revision()) })
	add.gauge("director.silent_s", "s", "Time since the last message of discovery: upper bound of its lag. None before the first message.",
		func() float64 {
			if s.discovery.LastContact() == 0 {
				return math.NaN()
			}
			return s.loop.Now() - s.discovery.LastContact()
		})
}

// addRuntimeMetrics adds the metrics of the event loop and the process.
func addRuntimeMetrics(add metricAdder, s *Server) {
	add.gauge("sockets.open", "sockets", "Sockets open.", func() float64 { return float64(s.loop.OpenSockets()) })
	add.gauge("sockets.limit", "sockets", "Limit of open sockets.", func() float64 { return float64(s.loop.SocketLimit()) })
	add.counter("loop.turns", "iterations", "Iterations of the event loop.", func() uint64 {
		t := s.loop.TakeIterationStats()
		s.longestIteration = max(s.longestIteration, t.Longest)
		return t.Count
	})
	add.gauge("loop.longest_turn_ms", "ms", "Longest iteration of the event loop in the period; all work waits for it.", func() float64 {
		longest := s.longestIteration
		s.longestIteration = 0
		return 1000 * longest
	})
	memory := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	add.gauge("memory.bytes", "bytes", "Memory held by the Go runtime, without the text of the program.", func() float64 {
		metrics.Read(memory)
		return float64(memory[0].Value.Uint64() - memory[1].Value.Uint64())
	})
	add.counter("invariants.broken", "", "Violated invariants: must stay 0.", invariant.Violations)
}

// oneIf returns a condition as the value of a gauge.
func oneIf(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// addAdminMetrics adds the metrics of the second address; they have no value without one.
func addAdminMetrics(add metricAdder, s *Server) {
	present := func() bool { return s.admin != nil }
	counter := func(name, unit, help string, get func() uint64) {
		add.optionalCounter(name, unit, help+" None without an admin server.", present, get)
	}
	counter("console.calls", "calls", "Calls of the admin server.",
		func() uint64 { return s.admin.Calls })
	counter("console.refused", "calls", "Calls that were rejected.",
		func() uint64 { return s.admin.Rejected })
	counter("console.gave_way", "calls", "Connections without a complete call that were closed in favour of newer ones.",
		func() uint64 { return s.admin.Evicted })
}

// addGearmanMetrics adds the metrics of the Gearman front; they have no value without one.
func addGearmanMetrics(add metricAdder, s *Server) {
	present := func() bool { return s.gearman != nil }
	counter := func(name, unit, help string, get func(gearman.Counts) uint64) {
		add.optionalCounter("gearman."+name, unit, help+" None without a Gearman front.", present,
			func() uint64 { return get(s.gearman.Totals()) })
	}
	counter("jobs", "jobs", "Jobs created.",
		func(n gearman.Counts) uint64 { return n.Jobs })
	counter("background", "jobs", "Background jobs created.",
		func(n gearman.Counts) uint64 { return n.Background })
	counter("background_ended", "jobs", "Background jobs that have ended.",
		func(n gearman.Counts) uint64 { return n.BackgroundEnded })
	counter("coalesced", "submissions", "Submissions coalesced with an existing job.",
		func(n gearman.Counts) uint64 { return n.Coalesced })
	counter("served", "jobs", "Jobs served.",
		func(n gearman.Counts) uint64 { return n.Served })
	counter("refused", "jobs", "Jobs rejected.",
		func(n gearman.Counts) uint64 { return n.Rejected })
	counter("returned", "rejections", "Rejections after which a background job was queued again.",
		func(n gearman.Counts) uint64 { return n.Requeued })
	counter("failed", "jobs", "Jobs failed.",
		func(n gearman.Counts) uint64 { return n.Failed })
	counter("gone", "jobs", "Jobs whose clients had all disconnected.",
		func(n gearman.Counts) uint64 { return n.Abandoned })
	counter("bad_packets", "packets", "Invalid packets.",
		func(n gearman.Counts) uint64 { return n.BadPackets })
	counter("stray_work", "packets", "Results received for jobs that had ended.",
		func(n gearman.Counts) uint64 { return n.StrayWork })
	counter("slow", "peers", "Connections closed because a message was not complete in time.",
		func(n gearman.Counts) uint64 { return n.TimedOut })
}
