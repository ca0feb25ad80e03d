package proxy

import (
	"regexp"
	"strings"
	"testing"

	"cinderroad/internal/compatibility"
	"cinderroad/internal/system/placement"
)

// TestNoticeFormatIsStable checks that the datagrams between proxies keep their recorded form.
func TestNoticeFormatIsStable(t *testing.T) {
	for name, notice := range map[string]placement.Notice{
		"reads":   {Kind: placement.NoticePrefill, RunnerKey: 0xfedcba9876543210, Tokens: 4000},
		"answers": {Kind: placement.NoticeRecovery, RunnerKey: 9},
	} {
		recorded := compatibility.PackageFolder.Check(t, name, appendNotice(nil, notice))
		if got, relayed, ok := parseNotice(recorded); !ok || relayed || got != notice {
			t.Errorf("%s: %+v, %v, %v", name, got, relayed, ok)
		}
		forwarded := append([]byte{recorded[0] | 0x80}, recorded[1:]...)
		if got, relayed, ok := parseNotice(forwarded); !ok || !relayed || got != notice {
			t.Errorf("%s to be forwarded: %+v, %v, %v", name, got, relayed, ok)
		}
	}
}

// TestMetricNamesAreStable checks the names of the metrics page with their types and labels, in their order.
func TestMetricNamesAreStable(t *testing.T) {
	page := newHarness(t, withMetrics).metricsPage()
	values := regexp.MustCompile(`(?m)^# HELP.*\n| [-+.0-9eInf]+$`)
	names := values.ReplaceAllString(page, "")
	if !strings.Contains(names, "cinderroad_proxy_ready gauge") {
		t.Fatal(page)
	}
	compatibility.PackageFolder.Check(t, "figures.txt", []byte(names))
}
