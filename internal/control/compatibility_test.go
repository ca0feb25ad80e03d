package control

import (
	"regexp"
	"testing"

	"cinderroad/internal/compatibility"
	"cinderroad/internal/control/following"
	"cinderroad/internal/exposition"
)

// TestFiguresKeepTheirNames: those of the page with their types and labels, in their order.
func TestFiguresKeepTheirNames(t *testing.T) {
	if following.Call.Name() != "Feed.Follow" {
		t.Errorf("the call is named %s", following.Call.Name())
	}
	s := newSystem(t, 1)
	s.insist("/-/Settings.Replace", "0", document(7, 1000))
	var page exposition.Page
	s.processes[0].expose(&page)
	values := regexp.MustCompile(`(?m)^# HELP.*\n| [-+.0-9eInf]+$`)
	compatibility.Elsewhere.Check(t, "figures.txt", values.ReplaceAll(page.Text(), nil))
}
