package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/policysim"
	"cinderroad/internal/system/processconfig"
	"cinderroad/internal/testkit/checker"
)

// testTimeout bounds what should take little time.
const testTimeout = 60 * time.Second

// TestMain is also the program that tests of processes start: with settings it waits until it is told to end.
func TestMain(m *testing.M) {
	if file := os.Getenv(settingsVariable); file != "" {
		stopped := make(chan os.Signal, 1)
		signal.Notify(stopped, syscall.SIGTERM)
		os.WriteFile(file+".up", nil, 0o640)
		<-stopped
		return
	}
	os.Exit(m.Run())
}

func newTestDeployment(t *testing.T, edges int) *deployment {
	t.Helper()
	d, err := planDeployment(policysim.Screening(), edges, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	d.platformAddress = netip.MustParseAddrPort("127.2.0.1:8080")
	return d
}

func TestPlanDeploymentAddresses(t *testing.T) {
	d := newTestDeployment(t, 7)
	seen := make(map[netip.Addr]string)
	for _, m := range d.machines {
		if other := seen[m.ip]; other != "" {
			t.Errorf("%s and %s are both at %s", m.name, other, m.ip)
		}
		seen[m.ip] = m.name
	}
	if len(d.machinesOfClass(coreClass)) != coreMachineCount || len(d.machinesOfClass(edgeClass)) != 7 {
		t.Errorf("%d machines of the core and %d edges", len(d.machinesOfClass(coreClass)), len(d.machinesOfClass(edgeClass)))
	}
	near := d.directories("west-b")
	if len(near) != coreMachineCount || near[0].Addr() != d.machines[1].ip {
		t.Errorf("directories of west-b: %v, machines %+v", near, d.machines[1])
	}
}

func TestSettingsAreParsedBySystem(t *testing.T) {
	d := newTestDeployment(t, 2)
	for _, m := range d.machines {
		for _, p := range programsOf(m) {
			file, err := d.writeSettings(m, p, true)
			if err != nil {
				t.Fatal(err)
			}
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s, err := processconfig.Parse(text)
			if err != nil {
				t.Fatalf("%s on %s: %v", p, m.name, err)
			}
			if s.Node != m.name || s.IP != m.ip || s.Zone != m.zone || len(s.SeedNodes) != coreMachineCount || !s.FirstBoot ||
				s.Timing.ConfigWithin != 2500*time.Millisecond || s.CloudAPI.Address != d.platformAddress {
				t.Errorf("%s on %s reads %+v", p, m.name, s)
			}
			if (s.StateDir != "") != (p == control) || s.ListenOn.Front.IsValid() != (p == proxy) ||
				s.ListenOn.Control.IsValid() != (p == control) {
				t.Errorf("%s on %s has the disk %q and listens on %+v", p, m.name, s.StateDir, s.ListenOn)
			}
		}
	}
}

func TestConfigurationIsAcceptedBySystem(t *testing.T) {
	for _, scenario := range []*policysim.Scenario{policysim.Screening(), policysim.Parcels()} {
		body, err := json.Marshal(configurationDocumentOf(scenario, firstVersion))
		if err != nil {
			t.Fatal(err)
		}
		d, err := configuration.ParseAndValidate(body, 0)
		if err != nil {
			t.Fatalf("%s: %v", scenario.Name, err)
		}
		if d.Version() != firstVersion {
			t.Errorf("%s: version %d", scenario.Name, d.Version())
		}
		class := scenario.Classes[0]
		class.Name = "added"
		body, err = json.Marshal(changeDocument{Version: firstVersion + versionStep,
			Replace: changedItems{Routes: []routeDocument{routeDocumentOf(&class)}}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := configuration.ApplyAndValidate(body, d); err != nil {
			t.Errorf("%s: change: %v", scenario.Name, err)
		}
	}
}

// waitUntil waits for a state.
func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := poll(ctx, ok); err != nil {
		t.Fatal("the state did not come")
	}
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

func TestProcessIsRestarted(t *testing.T) {
	d := newTestDeployment(t, 1)
	m := d.machinesOfClass(edgeClass)[0]
	p, err := d.startProcess(m, proxy, os.Args[0])
	if err != nil {
		t.Fatal(err)
	}
	up := filepath.Join(d.workDir, m.name+"-"+string(proxy)+".json.up")
	waitUntil(t, func() bool { return exists(up) })
	os.Remove(up)
	if err := p.signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, func() bool { return exists(up) })
	text, err := os.ReadFile(strings.TrimSuffix(up, ".up"))
	if err != nil {
		t.Fatal(err)
	}
	if s, err := processconfig.Parse(text); err != nil || s.FirstBoot {
		t.Errorf("the settings of a second start: %v, first boot %v", err, s.FirstBoot)
	}
	p.stop(testTimeout)
	if p.starts != 2 || p.unexpectedEnds != 0 || p.peakMB() == 0 {
		t.Errorf("%d starts, %d own ends, %.1f MB", p.starts, p.unexpectedEnds, p.peakMB())
	}
}

func TestUnexpectedEndsAreCounted(t *testing.T) {
	d := newTestDeployment(t, 1)
	ends, err := exec.LookPath("false")
	if err != nil {
		t.Skip("there is no program that ends at once")
	}
	p, err := d.startProcess(d.machinesOfClass(edgeClass)[0], agent, ends)
	if err != nil {
		t.Fatal(err)
	}
	waitUntil(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.unexpectedEnds > 1
	})
	p.stop(testTimeout)
	report := Report{Processes: []ProcessReport{{UnexpectedEnds: p.unexpectedEnds}}}
	if !report.Failed() {
		t.Error("the day has not failed")
	}
}

func TestOperatorRetriesUntilFinalStatus(t *testing.T) {
	for _, test := range []struct {
		statuses []int
		calls    int32
		want     int // of the error; 0: none
	}{
		{[]int{200}, 1, 0},
		{[]int{503, 429, 200}, 3, 0},
		{[]int{500, 412}, 2, 412},
		{[]int{400}, 1, 400},
	} {
		var calls atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			n := calls.Add(1)
			if q.Header.Get(basedOnHeader) != "5" || q.URL.Path != replacePath {
				t.Errorf("%v %v", q.URL, q.Header)
			}
			w.WriteHeader(test.statuses[n-1])
		}))
		o := &operator{addresses: []string{strings.TrimPrefix(server.URL, "http://")}}
		err := o.replaceConfiguration(context.Background(), configurationDocument{}, 5)
		server.Close()
		var turnedDown *rejectedError
		if errors.As(err, &turnedDown) != (test.want != 0) || turnedDown != nil && turnedDown.Status != test.want {
			t.Errorf("%v: %v", test.statuses, err)
		}
		if calls.Load() != test.calls {
			t.Errorf("%v: %d calls", test.statuses, calls.Load())
		}
	}
}

func TestReportFailedOnBreach(t *testing.T) {
	r := &Report{Breaches: []checker.Breach{{Rule: checker.Twice, What: "try 1 ran 2 times"}}}
	if !r.Failed() || (&Report{}).Failed() {
		t.Error("a day fails by a breach, and only then")
	}
	var out bytes.Buffer
	if err := r.Print(&out); err != nil || !strings.Contains(out.String(), "rule=TWICE") {
		t.Errorf("%v: %s", err, out.String())
	}
}

func TestParseFault(t *testing.T) {
	for _, trouble := range Faults() {
		if got, err := ParseFault(string(trouble)); err != nil || got != trouble {
			t.Errorf("%s: %v", trouble, err)
		}
	}
	if _, err := ParseFault("rain"); err == nil {
		t.Error("a trouble that is none was read")
	}
}

// buildPrograms builds the system's programs.
func buildPrograms(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	command := exec.Command("go", "build", "-o", folder+"/", "cinderroad/cmd/cinderroad-proxy",
		"cinderroad/cmd/cinderroad-agent",
		"cinderroad/cmd/cinderroad-control")
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return folder
}

// TestRun runs the real programs: a short day, over which a runner, a proxy and a control process end. Only
// rules without bounds in time are at stake, so that a busy machine does not change the verdict.
func TestRun(t *testing.T) {
	if testing.Short() {
		t.Skip("the real programs take some seconds")
	}
	scenario := policysim.Screening()
	scenario.Duration, scenario.Load = 6*time.Second, 0.3
	report, err := Run(context.Background(), Options{Scenario: scenario, EdgeMachines: 3, ProgramDir: buildPrograms(t),
		WorkDir: t.TempDir(),
		Faults:  []Fault{CrashRunner, KillProxy, KillControl}, Seed: 1, Out: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range report.Breaches {
		t.Error(b)
	}
	if report.Clients.Served == 0 {
		t.Errorf("nothing was served: %s", report.Clients.String())
	}
	for _, p := range report.Processes {
		if p.UnexpectedEnds > 0 {
			t.Errorf("%s on %s ended by itself", p.Program, p.Machine)
		}
	}
}
