package server

import (
	"os"
	"syscall"
	"testing"
)

// exclusionsPath returns the path of a dispatcher's file of exclusions.
func exclusionsPath(o options) string {
	return (&Config{tempDir: o.tempDir, Name: "n0", Listen: o.listen}).tempPath(".exclusions")
}

// TestStalledDiskHoldsUpNoJob guards against an order that stops the dispatcher for as long as its disk stalls, and against
// one that is answered 200 before it is on disk. The disk is a pipe that nobody reads.
func TestStalledDiskHoldsUpNoJob(t *testing.T) {
	var w *harness
	runners := newNamedRunners(t, 2, func() *harness { return w })
	o := options{console: true, tempDir: t.TempDir()}
	o.listen, o.inherit = inheritedListener(t)
	w = startHarness(t, o, runners[0].target("ready", 0), runners[1].target("ready", 1))
	pipe := newExclusionsPath(exclusionsPath(o), w.cmd.Process.Pid)
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Skip(err)
	}
	if status, reason := w.operator("PUT", "/api/exclude", `{"member":"s-0"}`); status != 503 || reason != errOrderNotWritten.Error() {
		t.Errorf("an order that is not on disk: %d %q", status, reason)
	}
	for range 20 {
		if status, _, _ := w.requestJob("score", 4000); status != 200 {
			t.Fatalf("a job was answered %d while the disk stalls", status)
		}
	}
	file, err := os.Open(pipe)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	w.giveOrder("/api/exclude", `{"member":"s-0"}`)
	before := runners[0].jobs()
	for range 20 {
		if status, body, _ := w.requestJob("score", 4000); status != 200 || body != "s-1" {
			t.Errorf("answered %d by %s", status, body)
		}
	}
	if runners[0].jobs() != before {
		t.Error("a worker that is out got a job")
	}
}
