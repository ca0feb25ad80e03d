package control

import (
	"strings"
	"testing"

	"cinderroad/internal/system/exposition"
)

func TestMetrics(t *testing.T) {
	cluster := newTestCluster(t, 1)
	cluster.mustAcknowledge("/-/Settings.Replace", "0", documentJSON(7, 1000))
	cluster.waitFor("the metrics describe the state and its partitions", func() bool {
		var page exposition.Page
		cluster.processes[0].writeMetrics(&page)
		text := string(page.Bytes())
		for _, want := range []string{
			"cinderroad_control_configuration_version 7\n",
			"cinderroad_control_stopping 0\n",
			"cinderroad_control_leads{partition=\"0\"} 1\n",
			"cinderroad_control_proxies{state=\"ready\"} 0\n",
		} {
			if !strings.Contains(text, want) {
				return false
			}
		}
		return true
	})
}
