package main

import (
	"path/filepath"
	"syscall"
	"testing"

	"go.uber.org/zap"

	"cinderroad/internal/system/startup"
)

// TestSignalDuringStartup has the platform say that the settings have changed while the process still reads them: the
// signal must not end it. Without a handler it ends this test's process.
func TestSignalDuringStartup(t *testing.T) {
	t.Setenv("CINDERROAD_SETTINGS", filepath.Join(t.TempDir(), "missing.json"))
	if err := run(&startup.Program{Name: "cinderroad-proxy"}, zap.NewNop()); err == nil {
		t.Error("it ran without settings")
	}
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}
