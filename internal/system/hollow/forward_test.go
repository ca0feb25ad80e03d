package hollow

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

var forwardWindow = flag.Duration("hollow.forward", 300*time.Millisecond, "how long each traffic of a proxy is measured")

// traffics differ in one respect each, so that costs of a request, an event, a session and a byte can be told apart.
func traffics() []Traffic {
	return []Traffic{
		{Name: "idle", Sessions: 1, Pause: time.Hour, Events: 1},
		{Name: "short answers", Sessions: 40, Pause: 200 * time.Millisecond, Events: 1},
		{Name: "bodies of 16 KiB", Sessions: 40, Pause: 200 * time.Millisecond, Events: 1, Body: 16 << 10},
		{Name: "streams", Sessions: 40, Pause: 100 * time.Millisecond, Events: 50, Gap: 20 * time.Millisecond},
		{Name: "many streams", Sessions: 200, Pause: 100 * time.Millisecond, Events: 50, Gap: 20 * time.Millisecond},
	}
}

// TestForwarding has the real proxy forward for clients and runners in this process, and prints what it takes.
func TestForwarding(t *testing.T) {
	program := filepath.Join(t.TempDir(), "cinderroad-proxy")
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", program, "../../../cmd/cinderroad-proxy")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	t.Setenv(roleVariable, roleControl)
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	s, err := Start(t.Context(), Options{Agents: 1, Zones: 1, Runners: *runners, Routes: *routes, Folder: t.TempDir(),
		Control: []string{self}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	settle(t, s)
	p, err := s.StartProxy(program)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	for deadline := time.Now().Add(settleWithin); !p.Serves(); <-time.After(lookEvery) {
		if time.Now().After(deadline) {
			t.Fatal("the proxy serves nothing")
		}
	}
	for _, traffic := range traffics() {
		cost, err := p.Measure(t.Context(), traffic, *forwardWindow)
		if err != nil {
			t.Fatal(err)
		}
		if cost.Anonymous == 0 {
			t.Errorf("not measured: %+v", cost)
		}
		t.Logf("%-17s %6.1f requests/s %8.1f events/s %3d failed | %.2f%% of a core, %.1f MB (%.1f resident)", traffic.Name,
			cost.Requests, cost.Events, cost.Failed, 100*cost.Processor, float64(cost.Anonymous)/1e6,
			float64(cost.Resident)/1e6)
	}
}
