package server

import (
	"net/http"
	"path/filepath"
	"testing"

	"cinderroad/internal/testkit/receivers"
)

// TestMetrics checks both outputs in all their forms, from a process that is configured by flags.
func TestMetrics(t *testing.T) {
	graphite, err := receivers.NewCarbon("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "collectd.sock")
	collectd, err := receivers.NewCollectd(path)
	if err != nil {
		t.Fatal(err)
	}
	var w *harness
	u := newRunner(t, "s-1", func(n int, rw http.ResponseWriter, r *http.Request) { w.replyWith("s-1", "ok")(n, rw, r) })
	args := []string{"-graphite", graphite.Addr(), "-collectd", path, "-metrics-every", "0.1"}
	w = startHarness(t, options{args: args}, u.target("ready", 1))
	if status, _, _ := w.requestJob("score", 4000); status != 200 {
		t.Fatal(status)
	}
	for _, tc := range []struct {
		of     *receivers.Store
		series string
	}{
		{&graphite.Store, "cinderroad.n0.reqs.served"},
		{&graphite.Store, "cinderroad.n0.classes.score.fetches.end_ok"},
		{&graphite.Store, "cinderroad.n0.nodes.milano.two-core.1.0.ok"},
		{&collectd.Store, "n0/cinderroad/derive-reqs_served"},
		{&collectd.Store, "n0/cinderroad/derive-nodes_milano_two-core_1_0_ok"},
	} {
		w.eventually(tc.series, func() bool {
			value, ok := tc.of.Last(tc.series)
			return ok && value == 1
		})
	}
	for _, s := range []*receivers.Store{&graphite.Store, &collectd.Store} {
		if bad := s.Malformed(); len(bad) > 0 {
			t.Error(bad)
		}
	}
}
