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
	add.counter("reqs.taken", "jobs", "Jobs that the core took.",
		counts(func(n *dispatch.Counts) uint64 { return n.Requests }))
	add.counter("reqs.served", "jobs", "Jobs served.",
		counts(func(n *dispatch.Counts) uint64 { return n.Served }))
	add.counter("reqs.refused", "jobs", "Jobs refused: they did not run.",
		counts(func(n *dispatch.Counts) uint64 { return n.Rejected }))
	add.counter("reqs.failed", "jobs", "Jobs failed.",
		counts(func(n *dispatch.Counts) uint64 { return n.Failed }))
	add.counter("reqs.client_gone", "jobs", "Jobs whose client left before an answer.",
		counts(func(n *dispatch.Counts) uint64 { return n.Disconnected }))
	add.counter("reqs.overdue", "jobs", "Jobs that the decisions had forgotten and the core failed: must stay 0.",
		counts(func(n *dispatch.Counts) uint64 { return n.Overdue }))
	add.counter("reqs.unusable", "jobs", "Jobs failed since two backends could do nothing with them.",
		counts(func(n *dispatch.Counts) uint64 { return n.InvalidJobs }))
	add.gauge("reqs.open", "jobs", "Jobs without an answer yet.",
		func() float64 { return float64(s.dispatcher.Counts().OpenRequests) })
	add.counter("fetches.sent", "attempts", "Attempts begun.",
		counts(func(n *dispatch.Counts) uint64 { return n.Attempts }))
	add.counter("fetches.repeats", "attempts", "Those that were not a job's first.",
		counts(func(n *dispatch.Counts) uint64 { return n.Retries }))
	add.counter("fetches.cancels", "attempts", "Attempts called off.",
		counts(func(n *dispatch.Counts) uint64 { return n.Cancellations }))
	add.gauge("fetches.open", "attempts", "Attempts that are out.",
		func() float64 { return float64(s.dispatcher.Counts().OpenAttempts) })
	for result, name := range telemetry.ResultNames {
		add.counter("fetches.end_"+name, "attempts", "Attempts that ended as "+name+".",
			counts(func(n *dispatch.Counts) uint64 { return n.Results[result] }))
	}
	add.counter("fetches.probes", "probes", "Nodes asked for health and load.",
		counts(func(n *dispatch.Counts) uint64 { return n.Probes }))
}

// addConnectionMetrics adds the metrics of connections to workers and clients.
func addConnectionMetrics(add metricAdder, s *Server) {
	add.counter("backends.connections_opened", "connections", "Connections opened to backends.",
		func() uint64 { return s.pool.Connects })
	add.counter("backends.worn_connections", "connections", "Connections that had rested and were found dead.",
		func() uint64 { return s.pool.StaleConnections })
	add.counter("backends.stray_news", "call-backs", "Call-backs that matched nothing that is out.",
		func() uint64 { return s.pool.StrayCallbacks })
	add.counter("backends.bad_news", "call-backs", "Call-backs that made no sense.",
		func() uint64 { return s.front.BadCallbacks })
	add.counter("clients.sessions_opened", "sessions", "Connections accepted from clients.",
		func() uint64 { return s.front.SessionsAccepted })
	add.counter("clients.malformed", "requests", "Requests answered 4xx.",
		func() uint64 { return s.front.Malformed })
	add.counter("clients.slow", "sessions", "Sessions closed since a request was not whole in time.",
		func() uint64 { return s.front.TimedOut })
	add.counter("clients.turned_away", "sessions", "Sessions turned away for want of room.",
		func() uint64 { return s.limiter.Rejected })
}

// addLifecycleMetrics adds the metrics of reloads, upgrades and orders of operators.
func addLifecycleMetrics(add metricAdder, s *Server) {
	add.counter("program.reloads", "reloads", "Reloads taken.",
		func() uint64 { return s.Reloads.Applied })
	add.counter("program.reloads_refused", "reloads", "Reloads refused, the old configuration kept.",
		func() uint64 { return s.Reloads.Rejected })
	add.gauge("program.started", "s", "Unix time of the start: where it changes, totals may begin anew.",
		func() float64 { return math.Floor(s.startedAt) })
	add.gauge("program.evacuated", "", "1 while the dispatcher is evacuated.",
		func() float64 { return oneIf(s.front.EvacuatedSince() > 0) })
	add.counter("upgrade.sessions_passed", "sessions", "Client sessions passed to the next process.",
		func() uint64 { return s.upgrade.SessionsPassed })
	add.counter("upgrade.sessions_adopted", "sessions", "Client sessions taken over from the process before.",
		func() uint64 { return s.upgrade.SessionsAdopted })
	add.counter("upgrade.news_asked", "call-backs", "Call-backs asked of the other process.",
		func() uint64 { return s.upgrade.CallbackQueries })
	add.gauge("members.excluded", "nodes", "Members taken out by hand.",
		func() float64 { return float64(s.dispatcher.ExcludedCount()) })
}

// addDiscoveryMetrics adds the metrics of the discovery client.
func addDiscoveryMetrics(add metricAdder, s *Server) {
	add.counter("director.watches", "watches", "Watches opened at discovery.",
		func() uint64 { return s.discovery.Watches })
	add.counter("director.refused", "watches", "Watches that a discovery without room refused.",
		func() uint64 { return s.discovery.Rejections })
	add.counter("director.bad_lines", "lines", "Lines of discovery that made no sense: the old list was kept.",
		func() uint64 { return s.discovery.BadLines })
	add.counter("director.bad_entries", "entries", "Entries of the list that made no sense: the rest was taken.",
		func() uint64 { return s.discovery.BadEntries })
	add.gauge("director.list_revision", "", "Version of the list held.",
		func() float64 { return float64(s.discovery.Revision()) })
	add.gauge("director.silent_s", "s", "Since discovery last said anything: its lag, at most. None before the first word.",
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
	add.gauge("sockets.limit", "sockets", "Sockets that may be open.", func() float64 { return float64(s.loop.SocketLimit()) })
	add.counter("loop.turns", "turns", "Turns of the loop.", func() uint64 {
		t := s.loop.TakeIterationStats()
		s.longestIteration = max(s.longestIteration, t.Longest)
		return t.Count
	})
	add.gauge("loop.longest_turn_ms", "ms", "The longest turn of the period: everybody waited for so long.", func() float64 {
		longest := s.longestIteration
		s.longestIteration = 0
		return 1000 * longest
	})
	memory := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	add.gauge("memory.bytes", "bytes", "Memory that the process holds, without the program itself.", func() float64 {
		metrics.Read(memory)
		return float64(memory[0].Value.Uint64() - memory[1].Value.Uint64())
	})
	add.counter("invariants.broken", "", "Things found that must never be: must stay 0.", invariant.Violations)
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
		add.optionalCounter(name, unit, help+" None without a second address.", present, get)
	}
	counter("console.calls", "calls", "Calls at the second address.",
		func() uint64 { return s.admin.Calls })
	counter("console.refused", "calls", "Those that were refused.",
		func() uint64 { return s.admin.Rejected })
	counter("console.gave_way", "calls", "Callers who gave way to newer ones.",
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
	counter("background", "jobs", "Those of them in the background.",
		func(n gearman.Counts) uint64 { return n.Background })
	counter("background_ended", "jobs", "Jobs in the background that have ended.",
		func(n gearman.Counts) uint64 { return n.BackgroundEnded })
	counter("coalesced", "submissions", "Submissions that joined a job.",
		func(n gearman.Counts) uint64 { return n.Coalesced })
	counter("served", "jobs", "Jobs served.",
		func(n gearman.Counts) uint64 { return n.Served })
	counter("refused", "jobs", "Jobs refused.",
		func(n gearman.Counts) uint64 { return n.Rejected })
	counter("returned", "refusals", "Refusals after which a job in the background came back.",
		func(n gearman.Counts) uint64 { return n.Requeued })
	counter("failed", "jobs", "Jobs failed.",
		func(n gearman.Counts) uint64 { return n.Failed })
	counter("gone", "jobs", "Jobs that nobody waited for any more.",
		func(n gearman.Counts) uint64 { return n.Abandoned })
	counter("bad_packets", "packets", "Packets that made no sense.",
		func(n gearman.Counts) uint64 { return n.BadPackets })
	counter("stray_work", "packets", "Results of jobs that are over.",
		func(n gearman.Counts) uint64 { return n.StrayWork })
	counter("slow", "peers", "Peers closed since a message was not whole in time.",
		func(n gearman.Counts) uint64 { return n.TimedOut })
}
