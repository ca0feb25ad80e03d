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

// rewrite copies files line by line; change returns false to drop a line.
func rewrite(t *testing.T, files []string, change func(name string, line map[string]any) bool) (copies []string) {
	t.Helper()
	dir := t.TempDir()
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
			fields := map[string]any{}
			if err := json.Unmarshal([]byte(line), &fields); err != nil {
				t.Fatalf("%s: %v: %s", name, err, line)
			}
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
	r := fleetOf(t, processcluster.Options{JobsPerSecond: 40})
	n := len(r.Members)
	r.WaitConverged(n)
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
		return !slices.ContainsFunc(clocks, func(o auditlog.ClockOffset) bool { return !o.Known })
	})
	r.Check()
	files := r.AuditFiles()
	if len(files) != 2*n {
		t.Fatalf("%v", files)
	}
	clean, status := runAudit(t, files...)
	if status != 0 || len(clean.Violations)+len(clean.Gaps)+len(clean.Inconclusive) > 0 || clean.Judged != clean.Attempts || clean.Judged == 0 {
		t.Errorf("status %d: %+v", status, clean)
	}

	skews := map[string]float64{"d00": -2, "d03": 2}
	shifted := rewrite(t, files, func(name string, line map[string]any) bool {
		line["time"] = line["time"].(float64) + skews[name[:3]]
		if line["what"] == "clock" {
			line["theirs"] = line["theirs"].(float64) + skews[line["from"].(string)]
		}
		return true
	})
	skewed, status := runAudit(t, shifted...)
	if status != 0 || len(skewed.Violations) > 0 || len(skewed.Inconclusive) > 0 || len(skewed.Stragglers) != len(clean.Stragglers) {
		t.Errorf("status %d, with clocks off: %+v", status, skewed)
	}
	ahead := map[string]float64{}
	for _, o := range skewed.Clocks {
		ahead[o.Dispatcher] = o.Lead
	}
	if got := ahead["d03"] - ahead["d00"]; got < 3.9 || got > 4.1 {
		t.Errorf("the clocks of d00 and d03 are found to be %.3f s apart, which are 4", got)
	}
	t.Logf("clocks: %+v", skewed.Clocks)

	planted, last, at := false, 0.0, 0.0
	faulty := rewrite(t, shifted, func(name string, line map[string]any) bool {
		switch {
		case name == "d02.requests.ledger" && line["n"].(float64) == 3:
			return false
		case name == "d01.requests.ledger":
			for _, w := range asList(line["workers"]) {
				if w["name"] == drains.Name && w["state"] == "draining" {
					last, at = line["n"].(float64), line["time"].(float64)
				}
			}
		case name == "d01.requests" && !planted && last > 0 && line["time"].(float64) > at+0.6: // beyond the grace
			for _, try := range asList(line["tries"]) {
				if mark, ok := try["mark"].(float64); ok && mark >= last && !planted { // one attempt, also of a request that was retried
					try["node"], planted = drains.Name, true
				}
			}
		}
		return true
	})
	if !planted {
		t.Fatal("no send of d01 after the last drain to be changed")
	}
	report, status := runAudit(t, faulty...)
	text := fmt.Sprint(report.Violations, report.Gaps)
	if status != 1 || len(report.Violations) != 1 || report.Violations[0].Dispatcher != "d01" || report.Violations[0].Node != drains.Name || report.Violations[0].Attempts != 1 {
		t.Errorf("status %d: %s", status, text)
	}
	if !slices.ContainsFunc(report.Gaps, func(h string) bool { return strings.HasPrefix(h, "d02: entries 3 to 3") }) || len(report.Gaps) != 1 {
		t.Errorf("holes: %v", report.Gaps)
	}
}

func asList(v any) (all []map[string]any) {
	list, _ := v.([]any)
	for _, one := range list {
		if m, ok := one.(map[string]any); ok {
			all = append(all, m)
		}
	}
	return all
}
