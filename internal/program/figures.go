package program

import (
	"math"

	"cinderroad/brain"
	"cinderroad/internal/invariant"
	"cinderroad/internal/metrics"
)

// resultNames are the ends of fetches as the figures name them.
var resultNames = [...]string{brain.OK: "ok", brain.Error: "error", brain.Full: "full", brain.Timeout: "timeout",
	brain.ConnectFailed: "connect_failed", brain.Reset: "reset", brain.Cancelled: "cancelled", brain.Moot: "moot"}

// figures are what the metrics tell.
func (p *Program) figures() []metrics.Value {
	var values []metrics.Value
	counter := func(name string, v uint64) {
		values = append(values, metrics.Value{Name: name, Counter: true, V: float64(v)})
	}
	gauge := func(name string, v int) { values = append(values, metrics.Value{Name: name, V: float64(v)}) }
	n := p.core.Counts()
	counter("reqs.taken", n.Reqs)
	counter("reqs.served", n.Served)
	counter("reqs.refused", n.Refused)
	counter("reqs.failed", n.Failed)
	counter("reqs.client_gone", n.Gone)
	counter("reqs.overdue", n.Overdue)
	counter("reqs.unusable", n.Unusable)
	gauge("reqs.open", n.OpenReqs)
	counter("fetches.sent", n.Fetches)
	counter("fetches.repeats", n.Repeats)
	counter("fetches.cancels", n.Cancels)
	gauge("fetches.open", n.OpenFetches)
	for result, name := range resultNames {
		counter("fetches.end_"+name, n.Results[result])
	}
	counter("backends.connections_opened", p.pool.Dialed)
	counter("backends.worn_connections", p.pool.Worn)
	counter("backends.stray_news", p.pool.StrayNews)
	counter("backends.bad_news", p.front.BadNews)
	counter("clients.sessions_opened", p.front.Sessions)
	counter("clients.malformed", p.front.Malformed)
	counter("clients.slow", p.front.Slow)
	counter("clients.turned_away", p.door.Turned)
	counter("program.reloads", p.Reloads.Taken)
	counter("program.reloads_refused", p.Reloads.Refused)
	counter("upgrade.sessions_passed", p.upgrade.Passed)
	counter("upgrade.sessions_adopted", p.upgrade.Adopted)
	counter("upgrade.news_asked", p.upgrade.Asks)
	gauge("program.evacuated", map[bool]int{true: 1}[p.front.Leaving() > 0])
	counter("director.refused", p.director.Refused)
	gauge("members.excluded", p.core.Excluded())
	counter("director.watches", p.director.Watches)
	counter("director.bad_lines", p.director.Rejected)
	gauge("sockets.open", p.loop.Open())
	counter("invariants.broken", invariant.Broken())
	if p.console != nil {
		counter("console.calls", p.console.Calls)
		counter("console.refused", p.console.Refused)
		counter("console.gave_way", p.console.GaveWay)
	}
	if p.gearman != nil {
		g := p.gearman.Counted()
		counter("gearman.jobs", g.Jobs)
		counter("gearman.background", g.Background)
		counter("gearman.background_ended", g.BackgroundEnded)
		counter("gearman.coalesced", g.Coalesced)
		counter("gearman.served", g.Served)
		counter("gearman.refused", g.Refused)
		counter("gearman.returned", g.Returned)
		counter("gearman.failed", g.Failed)
		counter("gearman.gone", g.Gone)
		counter("gearman.bad_packets", g.BadPackets)
		counter("gearman.stray_work", g.StrayWork)
		counter("gearman.slow", g.Slow)
	}
	return values
}

// startMetrics turns on the outputs that the flags name.
func (p *Program) startMetrics() {
	every := math.Max(0.1, p.config.MetricsEvery)
	if p.config.graphite.IsValid() {
		metrics.NewGraphite(p.loop, p.log, p.config.graphite, p.config.Name, every, p.figures)
	}
	if p.config.Collectd != "" {
		metrics.NewCollectd(p.loop, p.log, p.config.Collectd, p.config.Name, every, p.figures)
	}
}
