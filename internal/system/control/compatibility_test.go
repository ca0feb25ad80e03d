package control

import (
	"bytes"
	"regexp"
	"testing"

	"cinderroad/internal/compatibility"
	"cinderroad/internal/system/control/feedserver"
	"cinderroad/internal/system/exposition"
)

// TestMetricNamesUnchanged compares names, types, labels and order of the metrics with the recorded ones.
func TestMetricNamesUnchanged(t *testing.T) {
	if feedserver.FollowMethod.Name() != "Feed.Follow" {
		t.Errorf("the call is named %s", feedserver.FollowMethod.Name())
	}
	cluster := newTestCluster(t, 1)
	cluster.mustAcknowledge("/-/Settings.Replace", "0", documentJSON(7, 1000))
	var page exposition.Page
	cluster.processes[0].writeMetrics(&page)
	compatibility.PackageFolder.Check(t, "figures.txt", metricNames(&page))
}

// metricNames returns a page without help texts and values.
func metricNames(page *exposition.Page) []byte {
	values := regexp.MustCompile(`(?m)^# HELP.*\n| [-+.0-9eInf]+$`)
	return values.ReplaceAll(page.Bytes(), nil)
}

// TestCounterMetricNamesUnchanged is TestMetricNamesUnchanged for the metrics of counters, with one peer.
func TestCounterMetricNamesUnchanged(t *testing.T) {
	cluster := newTestCluster(t, 2, "apart")
	cluster.waitFor("the machines know each other", func() bool {
		var page exposition.Page
		cluster.processes[0].counters.WriteMetrics(&page)
		return bytes.Contains(page.Bytes(), []byte(`peer="`))
	})
	var page exposition.Page
	cluster.processes[0].counters.WriteMetrics(&page)
	peer := regexp.MustCompile(`peer="[^"]*"`)
	compatibility.PackageFolder.Check(t, "counter-metrics.txt", peer.ReplaceAll(metricNames(&page), []byte(`peer="ADDRESS"`)))
}
