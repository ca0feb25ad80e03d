package main

import (
	"path/filepath"
	"syscall"
	"testing"

	"go.uber.org/zap"

	"cinderroad/internal/system/startup"
)

// TestSignalDuringStartup sends SIGHUP, which announces changed settings, while the process still reads them. The signal
// must not end the process; without a handler it would end the test.
func TestSignalDuringStartup(t *testing.T) {
	t.Setenv("CINDERROAD_SETTINGS", filepath.Join(t.TempDir(), "missing.json"))
	if err := run(&startup.Program{Name: "cinderroad-proxy"}, zap.NewNop()); err == nil {
		t.Error("it ran without settings")
	}
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}
