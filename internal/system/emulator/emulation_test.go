package emulator

import (
	"context"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"cinderroad/internal/system/policysim"
)

// testTimeout bounds operations that take little time.
const testTimeout = 60 * time.Second

// TestMain is also the program that the tests of processes start: if there is a settings file, it waits for SIGTERM.
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

// waitUntil fails the test if ok does not become true.
func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := poll(ctx, ok); err != nil {
		t.Fatal("the state did not come")
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

// TestRun runs the real programs: short traffic, during which a runner, a proxy and a control process end. Only rules
// without bounds in time are checked, so that a busy machine does not change the result.
func TestRun(t *testing.T) {
	if testing.Short() {
		t.Skip("the real programs take some seconds")
	}
	scenario := policysim.Screening()
	scenario.Duration = 6 * time.Second
	scenario.Load = 0.3
	report, err := Run(context.Background(), Options{
		Scenario:     scenario,
		EdgeMachines: 3,
		ProgramDir:   buildPrograms(t),
		WorkDir:      t.TempDir(),
		Faults:       []Fault{CrashRunner, KillProxy, KillControl},
		Seed:         1,
		Out:          io.Discard,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range report.Violations {
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
