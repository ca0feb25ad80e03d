package server

import (
	"testing"
	"time"
)

const (
	discoveryOutage     = 7 * time.Second // longer than a watch may be silent
	maxWatchesPerOutage = 40              // a retry waits a second on average; without a wait there would be thousands
)

// TestDiscoveryOutage guards against jobs that are not served, and watches that are opened without a pause, while
// discovery fails for longer than a watch may be silent; and against jobs for a worker that was taken off the list
// meanwhile, once discovery has said so.
func TestDiscoveryOutage(t *testing.T) {
	for _, tc := range []struct {
		name string
		set  func(w *harness, failing bool)
	}{
		{"rejects", func(w *harness, failing bool) {
			w.retryAfter.Store(0)
			if failing {
				w.retryAfter.Store(1)
			}
		}},
		{"hangs", func(w *harness, failing bool) { w.unresponsive.Store(failing) }},
		{"resets", func(w *harness, failing bool) { w.resetting.Store(failing) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			var w *harness
			runners := newNamedRunners(t, 2, func() *harness { return w })
			w = startHarness(t, options{}, runners[0].target("ready", 0), runners[1].target("ready", 1))
			w.eventually("the first watch", func() bool { return w.watchCount() > 0 })
			tc.set(w, true)
			w.discovery.CloseClientConnections()
			w.serveThroughOutage()
			w.sendDiscoveryLine(`{"rev":41,"all":false,"targets":[` + runners[0].target("draining", 0) + `]}`)
			tc.set(w, false)
			w.awaitLog("the list after the outage", `"rev": 41`)
			for range 20 {
				if status, body, _ := w.requestJob("score", 4000); status != 200 || body != "s-1" {
					t.Errorf("after the outage: %d %q, want 200 from s-1", status, body)
				}
			}
		})
	}
}

// serveThroughOutage requests jobs for as long as the outage lasts and checks that all are served.
func (h *harness) serveThroughOutage() {
	h.t.Helper()
	watchesBefore := h.watchCount()
	servedBy := map[string]int{}
	for end := time.Now().Add(discoveryOutage); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		status, body, _ := h.requestJob("score", 4000)
		if status != 200 {
			h.t.Errorf("during the outage: %d %q", status, body)
		}
		servedBy[body]++
	}
	if servedBy["s-0"] == 0 || servedBy["s-1"] == 0 {
		h.t.Errorf("during the outage: jobs by worker %v, want both workers of the last list", servedBy)
	}
	if watches := h.watchCount() - watchesBefore; watches == 0 || watches > maxWatchesPerOutage {
		h.t.Errorf("%d watches during the outage, want 1 to %d", watches, maxWatchesPerOutage)
	}
}

// watchCount returns the number of watches that discovery got.
func (h *harness) watchCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.watches)
}
