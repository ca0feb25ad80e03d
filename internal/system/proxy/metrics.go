package proxy

import "cinderroad/internal/system/exposition"

// writeMetrics writes the proxy's metrics. Names end in their unit: _total for counters since the start of the process,
// _seconds for times.
func (p *Proxy) writeMetrics(page *exposition.Page) {
	counters := &p.Counters
	counter := func(name, help string, value uint64) {
		page.Metric(exposition.Counter, name, help, float64(value))
	}
	gauge := func(name, help string, value float64) { page.Metric(exposition.Gauge, name, help, value) }

	counter("cinderroad_proxy_requests_total", "Requests whose header was read.", counters.Requests)
	page.Family(exposition.Counter, "cinderroad_proxy_answers_total", "Requests by outcome.")
	page.Sample(float64(counters.Served), exposition.Label{Name: "end", Value: "served"})
	page.Sample(float64(counters.Rejected), exposition.Label{Name: "end", Value: "refused"})
	page.Sample(float64(counters.Failed), exposition.Label{Name: "end", Value: "failed"})
	page.Sample(float64(counters.Aborted), exposition.Label{Name: "end", Value: "aborted"})
	counter("cinderroad_proxy_attempts_total", "Attempts sent to runners, retries included.", counters.Attempts)
	counter("cinderroad_proxy_resumed_total", "Streams resumed on another runner.", counters.Resumed)
	counter("cinderroad_proxy_runner_connections_total", "Connections opened to runners.", counters.Dials)
	counter("cinderroad_proxy_spoilt_total", "Connections to runners closed because they received bytes that belong to no request.",
		counters.InvalidResponses)

	page.Family(exposition.Counter, "cinderroad_proxy_notices_total",
		"Notices between proxies about prompts and runners: sent (told), received (heard) or suppressed (withheld).")
	page.Sample(float64(counters.NoticesSent), exposition.Label{Name: "way", Value: "told"})
	page.Sample(float64(counters.NoticesReceived), exposition.Label{Name: "way", Value: "heard"})
	page.Sample(float64(counters.NoticesSuppressed), exposition.Label{Name: "way", Value: "withheld"})

	gauge("cinderroad_proxy_exchanges", "Open requests: those without a complete response.", float64(p.openExchanges))
	gauge("cinderroad_proxy_client_connections", "Open connections of clients.", float64(p.sessions.count))
	gauge("cinderroad_proxy_buffered_bytes", "Bytes of request bodies buffered in memory.", float64(p.bufferedBodyBytes))
	gauge("cinderroad_proxy_ready", "Whether the proxy is ready to serve clients.", exposition.BoolValue(p.Ready()))
	gauge("cinderroad_proxy_configuration_version", "Version of the applied configuration; 0: none.", float64(p.control.version))
	gauge("cinderroad_proxy_proxies", "Proxies that may send requests, as reported by the agent.", float64(p.control.proxyCount))

	gauge("cinderroad_proxy_stopping_seconds", "Time since the stop signal; 0: none was received.", p.shutdown.elapsed(p.now()).Seconds())
	page.Family(exposition.Counter, "cinderroad_proxy_requests_while_stopping_total",
		"Requests whose header was read after the stop signal, by whether their connection was new or had carried a request (kept).")
	page.Sample(float64(counters.ShutdownOnNewConns), exposition.Label{Name: "connection", Value: "new"})
	page.Sample(float64(counters.ShutdownOnReusedConns), exposition.Label{Name: "connection", Value: "kept"})
	counter("cinderroad_proxy_turned_away_while_stopping_total",
		"Requests rejected during shutdown because they might outlast the process.",
		counters.ShutdownRejected)
}
