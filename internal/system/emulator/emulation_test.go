package emulator

import (
	"context"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"cinderroad/internal/system/policysim"
	"cinderroad/internal/testkit/racedetector"
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

// buildPrograms builds the system's programs with the given build tags.
func buildPrograms(t *testing.T, tags string) string {
	t.Helper()
	folder := t.TempDir()
	args := append([]string{"build", "-tags", tags, "-o", folder + "/"}, racedetector.BuildFlags()...)
	args = append(args,
		"cinderroad/cmd/cinderroad-proxy",
		"cinderroad/cmd/cinderroad-agent",
		"cinderroad/cmd/cinderroad-control")
	command := exec.Command("go", args...)
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return folder
}

// checkNoRaces fails the test if a file below a folder names a race of a program that was built for the race detector.
func checkNoRaces(t *testing.T, folder string) {
	t.Helper()
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() {
			return err
		}
		text, err := os.ReadFile(path)
		if racedetector.FoundIn(string(text)) {
			t.Errorf("the race detector found a race: %s", text)
		}
		return err
	})
	if err != nil {
		t.Error(err)
	}
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
	workDir := t.TempDir()
	report, err := Run(context.Background(), Options{
		Scenario:     scenario,
		EdgeMachines: 3,
		ProgramDir:   buildPrograms(t, ""),
		WorkDir:      workDir,
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
	if racedetector.Enabled {
		checkNoRaces(t, workDir)
	}
}
