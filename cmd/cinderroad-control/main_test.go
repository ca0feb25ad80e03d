package main

import (
	"path/filepath"
	"syscall"
	"testing"

	"go.uber.org/zap"

	"cinderroad/internal/system/startup"
)

// TestSIGHUPDuringStart sends SIGHUP (settings have changed) while the process still reads its settings: the signal must not
// end it. Without a handler it would end this test's process.
func TestSIGHUPDuringStart(t *testing.T) {
	t.Setenv("CINDERROAD_SETTINGS", filepath.Join(t.TempDir(), "missing.json"))
	if err := run(&startup.Program{Name: "cinderroad-control"}, zap.NewNop()); err == nil {
		t.Error("run succeeded without settings")
	}
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}
