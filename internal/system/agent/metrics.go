package agent

import (
	"strconv"

	"cinderroad/internal/system/agent/proxystatus"
	"cinderroad/internal/system/exposition"
	"cinderroad/internal/system/feed"
)

// expose writes the agent's metrics.
func (a *Agent) expose(page *exposition.Page) {
	gauge := func(name, help string, value float64) { page.Metric(exposition.Gauge, name, help, value) }
	gauge("cinderroad_agent_stopping_seconds", "Time since the stop signal; 0: none was received.", a.stoppingFor().Seconds())
	gauge("cinderroad_agent_proxies", "Proxies that may send requests, as known from membership; 0: unknown.", float64(a.proxies()))
	gauge("cinderroad_agent_control_machines",
		"Control machines from which the feed can be requested; also other agents while this agent has no state.",
		float64(len(a.candidates())))

	page.Family(exposition.Gauge, "cinderroad_agent_proxy_state",
		"State of the proxy as published to the members: 1 for the current state, 0 for the others.")
	published := a.proxyMonitor.state()
	for _, state := range proxystatus.States {
		page.Sample(exposition.BoolValue(state == published), exposition.Label{Name: "state", Value: state.String()})
	}
	partition := func(i int) exposition.Label { return exposition.Label{Name: "partition", Value: strconv.Itoa(i)} }
	page.Family(exposition.Gauge, "cinderroad_agent_feed_age_seconds", "Time since the feed was last known to be up to date, by partition.")
	for i := range 1 + feed.RunnerPartitionCount {
		if age := a.store.age(feed.Partition(i)); age != feed.AgeNever {
			page.Sample(age.Seconds(), partition(i))
		}
	}
	page.Family(exposition.Gauge, "cinderroad_agent_feed_index",
		"Index up to which changes have been received from the feed, by partition.")
	for _, position := range a.store.positions() {
		page.Sample(float64(position.Index), partition(int(position.Partition)))
	}
}
