package control

import (
	"strings"
	"testing"

	"cinderroad/internal/system/exposition"
)

func TestFigures(t *testing.T) {
	s := newSystem(t, 1)
	s.insist("/-/Settings.Replace", "0", document(7, 1000))
	s.wait("the figures tell of the state and its partitions", func() bool {
		var page exposition.Page
		s.processes[0].expose(&page)
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
