package server

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cinderroad/internal/testkit/receivers"
)

// TestTotalsSurviveRestart: a restart continues the totals, a SIGKILL loses the open period alone, and the request log
// has what that was.
func TestTotalsSurviveRestart(t *testing.T) {
	s := newTelemetryHarness(t, false)
	c := newWorkerGroup(t, 2, "r")
	o := options{args: s.args("n0"), cold: 0.001, tempDir: t.TempDir()}
	c.harness = startHarness(t, o, c.targets()...)
	var tally [600]atomic.Int64
	c.requestJobs(50, 4, &tally)
	c.harness.eventually("50 answers", func() bool { return answers(&s.carbon.Store) == 50 })
	if err := <-c.harness.terminate(); err != nil {
		t.Fatal(err)
	}
	c.harness.start(o)
	c.requestJobs(50, 4, &tally)
	c.harness.eventually("100 answers", func() bool { return answers(&s.carbon.Store) == 100 })
	// Away while periods end and the process is killed: the next process delivers them.
	s.carbon.Stop()
	c.requestJobs(50, 4, &tally)
	c.harness.eventually("150 answers at the other receiver", func() bool { return answers(&s.collectd.Store) == 150 })
	// A line of the request log waits up to FlushIntervalSeconds for its write, and a kill loses those that wait.
	c.harness.eventually("150 lines in the request log", func() bool { return s.logLines("n0") == 150 })
	c.harness.kill()
	if err := s.carbon.Restart(); err != nil {
		t.Fatal(err)
	}
	c.harness.start(o)
	c.harness.eventually("150 answers after the kill", func() bool { return answers(&s.carbon.Store) == 150 })
	out, err := s.audit(&s.carbon.Store, s.log("n0"))
	if err != nil {
		t.Errorf("%v\n%s", err, out)
	}
	const series = "cinderroad.n0.classes.score.answers.in_time"
	if got, _ := s.carbon.Last(series); got != s.carbon.CounterIncrease(series) {
		t.Errorf("a total that fell: last %v, growth %v", got, s.carbon.CounterIncrease(series))
	}
}

// TestNoSpool: without a spool a restart begins at 0 and shows it, and the growth of the totals is right nevertheless.
func TestNoSpool(t *testing.T) {
	s := newTelemetryHarness(t, false)
	c := newWorkerGroup(t, 2, "r")
	o := options{args: []string{"-graphite", s.carbon.Addr(), "-metrics-every", "0.2"}, cold: 0.001, tempDir: t.TempDir()}
	c.harness = startHarness(t, o, c.targets()...)
	var tally [600]atomic.Int64
	for range 2 {
		c.requestJobs(30, 1, &tally)
		c.harness.eventually("30 answers", func() bool { return answers(&s.carbon.Store) == 30 })
		if err := <-c.harness.terminate(); err != nil {
			t.Fatal(err)
		}
		if len(s.carbon.Timestamps("cinderroad.n0.program.started")) == 0 {
			t.Error("no word of the start")
		}
		time.Sleep(1100 * time.Millisecond) // Graphite's stamps are seconds: the next process's must not meet this one's
		c.harness.start(o)
		c.harness.eventually("a new start", func() bool { return answers(&s.carbon.Store) == 0 })
		time.Sleep(1100 * time.Millisecond) // nor what it counts its own beginning
	}
	const answered = "cinderroad.n0.classes.score.answers."
	if got := s.carbon.CounterIncrease(answered+"in_time") + s.carbon.CounterIncrease(answered+"late"); got != 20 {
		t.Errorf("growth %v of 20 answers", got)
	}
}

// TestReloadReplacesReceiver: a reload replaces the receiver and the log, all or nothing. An invalid file changes
// nothing, and the error names the line.
func TestReloadReplacesReceiver(t *testing.T) {
	s := newTelemetryHarness(t, true)
	c := newWorkerGroup(t, 2, "r")
	path := s.file("n0")
	c.harness = startHarness(t, options{args: []string{"-operator", path, "-metrics-every", "0.2"}, cold: 0.001}, c.targets()...)
	var tally [600]atomic.Int64
	c.requestJobs(20, 2, &tally)
	c.harness.eventually("20 answers, pickled", func() bool { return answers(&s.carbon.Store) == 20 })
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(string(text) + "colour = \"red\"\n")
	c.harness.reload("reload rejected")
	if !strings.Contains(c.harness.log.String(), "request_log.colour: unknown key") {
		t.Error("no word of what was wrong")
	}
	s.carbon.Stop()
	c.requestJobs(20, 2, &tally)
	fresh, err := receivers.NewCarbon("127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fresh.Stop)
	moved := strings.ReplaceAll(strings.ReplaceAll(string(text), s.carbon.Addr(), fresh.Addr()), "n0.log", "moved.log")
	write(moved)
	c.harness.reload("server: configuration reloaded")
	c.requestJobs(20, 2, &tally)
	c.harness.eventually("60 answers at the new one", func() bool { return answers(&fresh.Store) == 60 })
	c.harness.eventually("lines in the new log", func() bool {
		_, err := os.Stat(s.log("moved"))
		return err == nil && len(s.lines("n0"))+len(s.lines("moved")) == 60 && len(s.lines("moved")) == 20
	})
	if out, err := s.audit(&fresh.Store, s.log("n0"), s.log("moved")); err != nil {
		t.Errorf("%v\n%s", err, out)
	}
	write(strings.Replace(moved, "[telemetry]", "[telemetry]\nnode_series = 3", 1))
	c.harness.reload("needs_restart\": [\"telemetry.node_series\"]")
}

// TestStalledDiskAndReceiver: a request log on a stalled disk and a stalled receiver cost no job anything. Rejections are sent
// again: this process, which is the clients and the runners, may get no processor for a while, and the dispatcher then
// takes the runners for full (TestRejectionsAfterAPause). Few jobs may meet that.
func TestStalledDiskAndReceiver(t *testing.T) {
	s := newTelemetryHarness(t, false)
	c := newWorkerGroup(t, 2, "r")
	path := s.file("n0")
	pipe := s.log("n0")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Skip(err)
	}
	c.harness = startHarness(t, options{args: []string{"-operator", path, "-metrics-every", "0.2"}, cold: 0.001}, c.targets()...)
	s.carbon.SetStalled(true)
	s.collectd.SetStalled(true)
	var tally [600]atomic.Int64
	const jobs = 2000
	rejections := c.requestJobsPatiently(t, jobs, 4, &tally)
	if got := tally[200].Load() + tally[500].Load(); got != jobs || tally[500].Load() == 0 {
		t.Errorf("%d of %d jobs answered, %d failed; jobs by status: %s", got, jobs, tally[500].Load(), byStatus(&tally))
	}
	if rejections > jobs/10 {
		t.Errorf("%d rejections", rejections)
	}
	f, err := os.Open(pipe)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	go io.Copy(io.Discard, f)
	s.carbon.SetStalled(false)
	s.collectd.SetStalled(false)
	expected := float64(jobs + rejections)
	c.harness.eventually("all answers", func() bool {
		return answers(&s.carbon.Store) == expected && answers(&s.collectd.Store) == expected
	})
}

// TestRejectionsAfterAPause places what a busy machine does to a test by chance: the runners answer nothing for a moment. The
// dispatcher takes them for full and may reject jobs, which then have run nowhere, and soon serves all again.
func TestRejectionsAfterAPause(t *testing.T) {
	c := newWorkerGroup(t, 2, "r")
	c.harness = startHarness(t, options{cold: 0.001}, c.targets()...)
	const jobs = 500
	for _, pause := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		var tally [600]atomic.Int64
		c.requestJobsPatiently(t, 50, 4, &tally)
		c.paused.Lock()
		time.AfterFunc(pause, c.paused.Unlock)
		rejections := c.requestJobsPatiently(t, jobs, 4, &tally)
		if got := tally[200].Load() + tally[500].Load(); got != 50+jobs {
			t.Errorf("pause of %v: %d of %d jobs answered, %d rejections; jobs by status: %s", pause, got, 50+jobs, rejections,
				byStatus(&tally))
		}
		t.Logf("pause of %v: %d rejections", pause, rejections)
	}
}

// TestUnusableDirectories: a spool that cannot be used is logged and costs only its own function; a log that cannot be
// opened is an error at the start.
func TestUnusableDirectories(t *testing.T) {
	s := newTelemetryHarness(t, false)
	c := newWorkerGroup(t, 1, "r")
	path := s.file("n0")
	if err := os.Remove(filepath.Join(s.dir, "n0.spool")); err != nil {
		t.Fatal(err)
	}
	c.harness = startHarness(t, options{args: []string{"-operator", path, "-metrics-every", "0.2"}, cold: 0.001}, c.targets()...)
	var tally [600]atomic.Int64
	c.requestJobs(10, 1, &tally)
	c.harness.eventually("10 answers", func() bool { return answers(&s.carbon.Store) == 10 })
	if !strings.Contains(c.harness.log.String(), "failed to open spool") {
		t.Error("no word of the spool")
	}
	bad := filepath.Join(s.dir, "bad.toml")
	if err := os.WriteFile(bad, []byte("[request_log]\npath = \"none/x.log\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command(program, "-config", c.harness.path, "-operator", bad).CombinedOutput()
	if err == nil || !strings.Contains(string(out), "request_log.path") {
		t.Errorf("%v: %s", err, out)
	}
}
