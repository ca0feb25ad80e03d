package agent

import (
	"strings"
	"testing"

	"cinderroad/internal/system/exposition"
	"cinderroad/internal/system/feed"
)

func TestMetrics(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	replicas := cluster.newReplicas(1)
	configure(replicas, 1, "1")
	edge := cluster.newEdge("edge-1")
	edge.report(feed.ProxyReport{Ready: true, Front: "10.0.0.1:80"})
	edge.waitFor("the proxy has version 1", func() bool { return edge.version() == "1" })
	text := func() string {
		var page exposition.Page
		edge.agent.expose(&page)
		return string(page.Bytes())
	}
	edge.waitFor("the figures tell of the feed and the proxy", func() bool {
		page := text()
		return strings.Contains(page, "cinderroad_agent_stopping_seconds 0\n") &&
			strings.Contains(page, "cinderroad_agent_proxy_state{state=\"serving\"} 1\n") &&
			strings.Contains(page, "cinderroad_agent_proxy_state{state=\"stopping\"} 0\n") &&
			strings.Contains(page, "cinderroad_agent_feed_age_seconds{partition=\"0\"} ")
	})
}
