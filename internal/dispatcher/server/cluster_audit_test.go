package server

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"cinderroad/internal/dispatcher/cluster/auditlog"
	"cinderroad/internal/testkit/processcluster"
	"cinderroad/internal/testkit/receivers"
)

// runAudit runs the operators' command on files.
func runAudit(t *testing.T, files ...string) (report *auditlog.Report, status int) {
	t.Helper()
	cmd := exec.Command(program, append([]string{"fleet", "audit", "--json"}, files...)...)
	var stderr strings.Builder
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	report = &auditlog.Report{}
	if err := json.Unmarshal(out, report); err != nil {
		t.Fatalf("%v: %s%s", err, out, stderr.String())
	}
	return report, cmd.ProcessState.ExitCode()
}

// readLines reads the lines of a log, each a JSON object.
func readLines(t *testing.T, path string) (lines []map[string]any) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		fields := map[string]any{}
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("%s: %v: %s", path, err, line)
		}
		lines = append(lines, fields)
	}
	return lines
}

// rewrite copies files line by line; change returns false to drop a line.
func rewrite(t *testing.T, files []string, change func(name string, line map[string]any) bool) (copies []string) {
	t.Helper()
	dir := t.TempDir()
	for _, name := range files {
		var out strings.Builder
		for _, fields := range readLines(t, name) {
			if change(filepath.Base(name), fields) {
				text, _ := json.Marshal(fields)
				out.Write(append(text, '\n'))
			}
		}
		copies = append(copies, filepath.Join(dir, filepath.Base(name)))
		if err := os.WriteFile(copies[len(copies)-1], []byte(out.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return copies
}

// TestFleetAudit audits the files of a cluster run. The audit finds no violation in them, also when one member's clock
// was two seconds behind and another's two seconds ahead. It finds exactly the faults that are planted: an attempt
// against what its sender knew, and entries that are removed.
// All audits are of the files of one run, and so it is one function.
func TestFleetAudit(t *testing.T) {
	r, drained := runWithDrains(t)
	files := r.AuditFiles()
	if len(files) != 2*len(r.Members) {
		t.Fatalf("%v", files)
	}
	clean, status := runAudit(t, files...)
	findings := len(clean.Violations) + len(clean.Gaps) + len(clean.Inconclusive)
	if status != 0 || findings > 0 || clean.Judged != clean.Attempts || clean.Judged == 0 {
		t.Errorf("status %d: %+v", status, clean)
	}
	shifted := shiftClocks(t, files, map[string]float64{"d00": -2, "d03": 2})
	checkShiftedClocks(t, shifted, clean)
	checkPlantedFaults(t, plantFaults(t, shifted, drained), drained)
}

// runWithDrains runs a cluster in which one runner is drained twice, while one member learns of it by its peers alone. It
// returns the cluster once all members know each other's clocks, and the name of that runner.
func runWithDrains(t *testing.T) (r *processcluster.Cluster, drained string) {
	t.Helper()
	r = fleetOf(t, processcluster.Options{JobsPerSecond: 40})
	r.WaitConverged(len(r.Members))
	slow, drains := r.Members[1], r.Runners[2]
	slow.DiscoveryLink().SetLink(receivers.Link{Blackhole: true}) // its peers inform it
	for _, state := range []string{"draining", "ready", "draining"} {
		drains.SetState(state)
		r.Discovery.Publish()
		r.Eventually("it is told by peers", func() bool { return withholds(slow, drains.Name) == (state == "draining") })
		time.Sleep(time.Second)
	}
	var clocks []auditlog.ClockOffset
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("clocks by the last audit of the running members: %+v", clocks)
		}
	})
	r.Eventually("all have heard each other's clocks", func() bool {
		clocks = r.Audit().Clocks
		return !slices.ContainsFunc(clocks, func(clock auditlog.ClockOffset) bool { return !clock.Known })
	})
	r.Check()
	return r, drains.Name
}

// shiftClocks copies files as if clocks of members had been off by the seconds given.
func shiftClocks(t *testing.T, files []string, seconds map[string]float64) []string {
	t.Helper()
	return rewrite(t, files, func(name string, line map[string]any) bool {
		line["time"] = line["time"].(float64) + seconds[name[:3]]
		if line["what"] == "clock" {
			line["theirs"] = line["theirs"].(float64) + seconds[line["from"].(string)]
		}
		return true
	})
}

// checkShiftedClocks checks that an audit of files in which the clocks of d00 and d03 are 4 s apart finds just that, and
// otherwise what it found with the clocks as they were.
func checkShiftedClocks(t *testing.T, files []string, clean *auditlog.Report) {
	t.Helper()
	report, status := runAudit(t, files...)
	findings := len(report.Violations) + len(report.Inconclusive)
	if status != 0 || findings > 0 || len(report.Stragglers) != len(clean.Stragglers) {
		t.Errorf("status %d, with clocks off: %+v", status, report)
	}
	ahead := map[string]float64{}
	for _, clock := range report.Clocks {
		ahead[clock.Dispatcher] = clock.Lead
	}
	if got := ahead["d03"] - ahead["d00"]; got < 3.9 || got > 4.1 {
		t.Errorf("the clocks of d00 and d03 are found to be %.3f s apart, which are 4", got)
	}
	t.Logf("clocks: %+v", report.Clocks)
}

// plantFaults copies files without one entry of d02, and with one attempt that d01 makes at a runner after it was told that
// this one is drained.
func plantFaults(t *testing.T, files []string, drained string) []string {
	t.Helper()
	const grace = 0.6 // seconds: more than the rules allow for
	planted := false
	entry, toldAt := 0.0, 0.0 // number and time of d01's last entry that tells of a drain
	faulty := rewrite(t, files, func(name string, line map[string]any) bool {
		switch {
		case name == "d02.requests.ledger" && line["n"].(float64) == 3:
			return false
		case name == "d01.requests.ledger":
			for _, worker := range asList(line["workers"]) {
				if worker["name"] == drained && worker["state"] == "draining" {
					entry, toldAt = line["n"].(float64), line["time"].(float64)
				}
			}
		case name == "d01.requests" && entry > 0:
			for _, attempt := range asList(line["tries"]) {
				mark, ok := attempt["mark"].(float64)
				// One attempt is changed, also of a request that was retried.
				if ok && mark >= entry && sentAt(line, attempt) > toldAt+grace && !planted {
					attempt["node"] = drained
					planted = true
				}
			}
		}
		return true
	})
	if !planted {
		t.Fatal("no send of d01 after the last drain to be changed")
	}
	return faulty
}

// checkPlantedFaults checks that an audit finds what plantFaults has done, and nothing else.
func checkPlantedFaults(t *testing.T, files []string, drained string) {
	t.Helper()
	report, status := runAudit(t, files...)
	text := fmt.Sprint(report.Violations, report.Gaps)
	if status != 1 || len(report.Violations) != 1 {
		t.Errorf("status %d: %s", status, text)
	} else if found := report.Violations[0]; found.Dispatcher != "d01" || found.Node != drained || found.Attempts != 1 {
		t.Errorf("status %d: %s", status, text)
	}
	removed := func(gap string) bool { return strings.HasPrefix(gap, "d02: entries 3 to 3") }
	if !slices.ContainsFunc(report.Gaps, removed) || len(report.Gaps) != 1 {
		t.Errorf("holes: %v", report.Gaps)
	}
}

// asList returns the objects of a JSON array; none if v is no array.
// loggedAttempt is an attempt of a request log, by the clock of its dispatcher.
type loggedAttempt struct {
	node           string
	sent, answered time.Time // answered: when its request was answered
}

// readAttempts reads the attempts of a request log.
func readAttempts(t *testing.T, path string) (attempts []loggedAttempt) {
	t.Helper()
	for _, line := range readLines(t, path) {
		for _, attempt := range asList(line["tries"]) {
			attempts = append(attempts, loggedAttempt{
				node:     attempt["node"].(string),
				sent:     unixTime(sentAt(line, attempt)),
				answered: unixTime(line["time"].(float64)),
			})
		}
	}
	return attempts
}

// sentAt returns when an attempt of a line of a request log was sent, in Unix seconds.
func sentAt(line, attempt map[string]any) float64 {
	return line["time"].(float64) + (attempt["sent_ms"].(float64)-line["took_ms"].(float64))/1000
}

func unixTime(seconds float64) time.Time { return time.UnixMicro(int64(seconds * 1e6)) }

func asList(v any) (all []map[string]any) {
	list, _ := v.([]any)
	for _, one := range list {
		if m, ok := one.(map[string]any); ok {
			all = append(all, m)
		}
	}
	return all
}
