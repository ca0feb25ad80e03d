package agent

import (
	"regexp"
	"strings"
	"testing"

	"cinderroad/internal/compatibility"
	"cinderroad/internal/system/exposition"
	"cinderroad/internal/system/feed"
)

// TestMetricNamesUnchanged compares names, types, labels and order of the metrics with the recorded ones.
func TestMetricNamesUnchanged(t *testing.T) {
	t.Parallel()
	if reportMethod.Name() != "Proxy.Report" {
		t.Errorf("the call is named %s", reportMethod.Name())
	}
	w := newTestCluster(t)
	replicas := w.newReplicas(1)
	configure(replicas, 1, "1")
	e := w.newEdge("edge-1")
	e.report(feed.ProxyReport{Ready: true, Front: "10.0.0.1:80"})
	var page exposition.Page
	e.waitFor("the feed has come", func() bool {
		page = exposition.Page{}
		e.agent.expose(&page)
		return strings.Contains(string(page.Bytes()), `cinderroad_agent_feed_age_seconds{partition="2"} `)
	})
	values := regexp.MustCompile(`(?m)^# HELP.*\n| [-+.0-9eInf]+$`)
	compatibility.PackageFolder.Check(t, "figures.txt", values.ReplaceAll(page.Bytes(), nil))
}
