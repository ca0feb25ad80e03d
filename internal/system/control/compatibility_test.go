package control

import (
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
	values := regexp.MustCompile(`(?m)^# HELP.*\n| [-+.0-9eInf]+$`)
	compatibility.PackageFolder.Check(t, "figures.txt", values.ReplaceAll(page.Bytes(), nil))
}
