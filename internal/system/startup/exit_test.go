package startup

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"go.uber.org/zap"

	"cinderroad/internal/system/processconfig"
)

// exitVariable makes TestSecondStopSignalDuringExit run as the program that it starts.
const exitVariable = "STARTUP_TEST_EXITS"

// A second stop signal that comes while the program exits does not end it by its default action, which is no clean end.
func TestSecondStopSignalDuringExit(t *testing.T) {
	if os.Getenv(exitVariable) != "" {
		runAndSignalTwice(t)
		return
	}
	path := filepath.Join(t.TempDir(), "local.json")
	writeSettings(t, path, "first")
	command := exec.Command(os.Args[0], "-test.run=^TestSecondStopSignalDuringExit$")
	command.Env = append(os.Environ(), exitVariable+"=1", processconfig.PathVariable+"="+path)
	if out, err := command.CombinedOutput(); err != nil {
		t.Errorf("%v: %s", err, out)
	}
}

// runAndSignalTwice is asked to stop once while it runs, and once after that.
func runAndSignalTwice(t *testing.T) {
	process := &testProcess{reloaded: make(chan *processconfig.Settings, 1)}
	err := exampleProgram().Run(zap.NewNop(), func(context.Context, *processconfig.Settings, *zap.Logger) (Process, error) {
		signalSelf(t, syscall.SIGTERM)
		return process, nil
	})
	if err != nil {
		t.Error(err)
	}
	signalSelf(t, syscall.SIGTERM)
}
