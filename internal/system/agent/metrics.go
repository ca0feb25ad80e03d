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
	gauge("cinderroad_agent_stopping_seconds", "Time since the signal to stop; 0: none came.", a.stoppingFor().Seconds())
	gauge("cinderroad_agent_proxies", "Proxies that may be sending, as the members know; 0: not known.", float64(a.proxies()))
	gauge("cinderroad_agent_control_machines", "Control machines that the members know.", float64(len(a.candidates())))

	page.Family(exposition.Gauge, "cinderroad_agent_proxy_state", "What the members are told of the proxy; one of the states is 1.")
	published := a.proxyMonitor.state()
	for _, state := range proxystatus.States {
		page.Sample(exposition.BoolValue(state == published), exposition.Label{Name: "state", Value: state.String()})
	}
	partition := func(i int) exposition.Label { return exposition.Label{Name: "partition", Value: strconv.Itoa(i)} }
	page.Family(exposition.Gauge, "cinderroad_agent_feed_age_seconds", "Time since the control replicas' word was up to date.")
	for i := range 1 + feed.RunnerPartitionCount {
		if age := a.store.age(feed.Partition(i)); age != feed.AgeNever {
			page.Sample(age.Seconds(), partition(i))
		}
	}
	page.Family(exposition.Gauge, "cinderroad_agent_feed_index", "Index up to which the control replicas' changes are held.")
	for _, position := range a.store.positions() {
		page.Sample(float64(position.Index), partition(int(position.Partition)))
	}
}
