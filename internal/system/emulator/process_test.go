package emulator

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"cinderroad/internal/system/processconfig"
)

func TestProcessIsRestarted(t *testing.T) {
	d := newTestDeployment(t, 1)
	m := d.machinesOfClass(edgeClass)[0]
	p, err := d.startProcess(m, proxy, os.Args[0], nil)
	if err != nil {
		t.Fatal(err)
	}
	up := filepath.Join(d.workDir, m.name+"-"+string(proxy)+".json.up")
	waitUntil(t, func() bool { return exists(up) })
	os.Remove(up)
	if err := p.signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, func() bool { return exists(up) })
	text, err := os.ReadFile(strings.TrimSuffix(up, ".up"))
	if err != nil {
		t.Fatal(err)
	}
	if s, err := processconfig.Parse(text); err != nil || s.FirstBoot {
		t.Errorf("the settings of a second start: %v, first boot %v", err, s.FirstBoot)
	}
	p.stop(testTimeout)
	if p.starts != 2 || p.unexpectedEnds != 0 || p.peakMB() == 0 {
		t.Errorf("%d starts, %d own ends, %.1f MB", p.starts, p.unexpectedEnds, p.peakMB())
	}
}

func TestUnexpectedEndsAreCounted(t *testing.T) {
	d := newTestDeployment(t, 1)
	ends, err := exec.LookPath("false")
	if err != nil {
		t.Skip("there is no program that ends at once")
	}
	p, err := d.startProcess(d.machinesOfClass(edgeClass)[0], agent, ends, nil)
	if err != nil {
		t.Fatal(err)
	}
	waitUntil(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.unexpectedEnds > 1
	})
	p.stop(testTimeout)
	report := Report{Processes: []ProcessReport{{UnexpectedEnds: p.unexpectedEnds}}}
	if !report.Failed() {
		t.Error("the day has not failed")
	}
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}
