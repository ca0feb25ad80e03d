package startup

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/processconfig"
)

const testTimeout = 30 * time.Second

// testProcess forwards the settings that it is to reload.
type testProcess struct{ reloaded chan *processconfig.Settings }

func (p *testProcess) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (p *testProcess) Reload(settings *processconfig.Settings) { p.reloaded <- settings }

func writeSettings(t *testing.T, path, node string) {
	t.Helper()
	text := `{"node":"` + node + `","role":"r","ip":"10.1.0.12","zone":"a","region":"b","zones":{"a":"b"},"free_ports":[7660,7675]}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func signalSelf(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(syscall.Getpid(), signal); err != nil {
		t.Fatal(err)
	}
}

// A process receives changed settings, retains the earlier ones if they cannot be read, and ends on SIGTERM.
func TestRunReloadsAndStops(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.json")
	writeSettings(t, path, "first")
	t.Setenv(processconfig.PathVariable, path)
	process := &testProcess{reloaded: make(chan *processconfig.Settings)}
	started, ended := make(chan string, 1), make(chan error, 1)
	go func() {
		ended <- exampleProgram().Run(zap.NewNop(),
			func(_ context.Context, settings *processconfig.Settings, _ *zap.Logger) (Process, error) {
				started <- settings.Node
				return process, nil
			})
	}()
	if node := <-started; node != "first" {
		t.Errorf("started with the settings of %q", node)
	}
	writeSettings(t, path, "second")
	signalSelf(t, syscall.SIGHUP)
	select {
	case settings := <-process.reloaded:
		if settings.Node != "second" {
			t.Errorf("reloaded with the settings of %q", settings.Node)
		}
	case <-time.After(testTimeout):
		t.Fatal("changed settings are not handed on")
	}
	signalSelf(t, syscall.SIGTERM)
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("it does not end")
	}
}

func TestRunWithoutSettings(t *testing.T) {
	t.Setenv(processconfig.PathVariable, filepath.Join(t.TempDir(), "missing.json"))
	err := exampleProgram().Run(zap.NewNop(),
		func(context.Context, *processconfig.Settings, *zap.Logger) (Process, error) {
			t.Error("started without settings")
			return nil, nil
		})
	if err == nil {
		t.Error("no error")
	}
}
