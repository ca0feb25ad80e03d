package startup

import (
	"context"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/processconfig"
)

// slowProcess takes until the test lets it end to shut down.
type slowProcess struct {
	testProcess
	stopping chan struct{} // closed when the shutdown begins
	mayEnd   chan struct{}
}

func (p *slowProcess) Run(ctx context.Context) error {
	<-ctx.Done()
	close(p.stopping)
	<-p.mayEnd
	return nil
}

// runSlowProcess runs a program around a slowProcess and returns both it and the channel of the program's end. begin runs
// while the process starts.
func runSlowProcess(t *testing.T, begin func()) (*slowProcess, <-chan error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "local.json")
	writeSettings(t, path, "n")
	t.Setenv(processconfig.PathVariable, path)
	process := &slowProcess{
		testProcess: testProcess{reloaded: make(chan *processconfig.Settings)},
		stopping:    make(chan struct{}),
		mayEnd:      make(chan struct{}),
	}
	started, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		ended <- exampleProgram().Run(zap.NewNop(),
			func(context.Context, *processconfig.Settings, *zap.Logger) (Process, error) {
				begin()
				close(started)
				return process, nil
			})
	}()
	<-started
	return process, ended
}

func expectWithin[T any](t *testing.T, from <-chan T, what string) {
	t.Helper()
	select {
	case <-from:
	case <-time.After(testTimeout):
		t.Fatal(what)
	}
}

// TestSignalsDuringShutdown guards against a shutdown that further signals cut short: the platform may repeat the signal to
// stop and announce changed settings meanwhile.
func TestSignalsDuringShutdown(t *testing.T) {
	process, ended := runSlowProcess(t, func() {})
	signalSelf(t, syscall.SIGTERM)
	expectWithin(t, process.stopping, "the signal to stop is not handled")
	signalSelf(t, syscall.SIGTERM)
	signalSelf(t, syscall.SIGHUP)
	expectWithin(t, process.reloaded, "settings that change during the shutdown are not handed on")
	select {
	case <-ended:
		t.Fatal("a further signal ends the shutdown")
	default:
	}
	close(process.mayEnd)
	expectWithin(t, ended, "the program does not end")
}

// TestStopDuringStart guards against a signal to stop that is lost, or ends the program at once, while the process starts.
func TestStopDuringStart(t *testing.T) {
	process, ended := runSlowProcess(t, func() { signalSelf(t, syscall.SIGTERM) })
	expectWithin(t, process.stopping, "a signal during the start is lost")
	close(process.mayEnd)
	expectWithin(t, ended, "the program does not end")
}
