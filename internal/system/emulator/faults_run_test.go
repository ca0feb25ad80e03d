package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"cinderroad/internal/system/policysim"
)

// TestFaultsWithoutATarget: a fault that finds no runner and no process to hit is an error, not a crash of the emulator.
func TestFaultsWithoutATarget(t *testing.T) {
	fleet := newTestFleet(t)
	e := &emulation{options: Options{Scenario: policysim.Screening()}, runners: fleet}
	service := e.options.Scenario.Services[0].Name
	for picked := fleet.pickRunner(service); picked != nil; picked = fleet.pickRunner(service) {
		fleet.drain(picked, 0, extraDrainTime)
	}
	for fault, want := range map[Fault]error{
		DrainRunner:        errNoRunner,
		DrainAtShortNotice: errNoRunner,
		CrashRunner:        errNoRunner,
		SilenceRunner:      errNoRunner,
		KillControl:        errNoProcess,
		KillProxy:          errNoProcess,
		KillAgent:          errNoProcess,
		StopProxy:          errNoProcess,
	} {
		if err := e.injectFault(t.Context(), fault); !errors.Is(err, want) {
			t.Errorf("%s: %v, want %v", fault, err, want)
		}
	}
}

// fakeControl accepts changes that build on its version.
type fakeControl struct {
	mu       sync.Mutex
	version  int
	rejected int
}

func (c *fakeControl) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var change changeDocument
	err := json.NewDecoder(r.Body).Decode(&change)
	if err != nil || r.Header.Get(basedOnHeader) != fmt.Sprint(c.version) {
		c.rejected++
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	c.version = change.Version
}

// TestConcurrentChangesOfTheConfiguration: changes that are injected at the same time build on each other, and a route that
// is added again is replaced.
func TestConcurrentChangesOfTheConfiguration(t *testing.T) {
	e := &emulation{deployment: newTestDeployment(t, 1), options: Options{Out: &bytes.Buffer{}}}
	e.inForce = configurationDocumentOf(policysim.Screening(), firstVersion)
	fake := &fakeControl{version: firstVersion}
	for _, address := range e.deployment.seedAddresses() {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: fake}
		go server.Serve(listener)
		t.Cleanup(func() { server.Close() })
	}
	const changes = 8
	routes := len(e.inForce.Routes)
	class := policysim.Screening().Classes[0]
	class.Name = "added"
	var group sync.WaitGroup
	for range changes {
		group.Go(func() {
			if err := e.submitRoute(context.Background(), routeDocumentOf(&class)); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	if want := firstVersion + changes*versionStep; fake.version != want || e.inForce.Version != want || fake.rejected > 0 {
		t.Errorf("version %d, %d noted, %d changes rejected; want %d", fake.version, e.inForce.Version, fake.rejected, want)
	}
	if len(e.inForce.Routes) != routes+1 {
		t.Errorf("%d routes are noted, want %d", len(e.inForce.Routes), routes+1)
	}
}

// TestFailedRestartIsReported: a process that the platform could not start again fails the day, and the report says why.
func TestFailedRestartIsReported(t *testing.T) {
	d := newTestDeployment(t, 1)
	path := filepath.Join(t.TempDir(), "program")
	if err := os.Symlink(os.Args[0], path); err != nil {
		t.Fatal(err)
	}
	m := d.machinesOfClass(edgeClass)[0]
	p, err := d.startProcess(m, proxy, path, nil)
	if err != nil {
		t.Fatal(err)
	}
	up := filepath.Join(d.workDir, m.name+"-"+string(proxy)+".json.up")
	waitUntil(t, func() bool { return exists(up) })
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := p.signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	<-p.done
	report := &Report{Processes: []ProcessReport{{Machine: m.name, Program: string(proxy), RestartError: p.restartError}}}
	var text bytes.Buffer
	if err := report.Print(&text); err != nil {
		t.Fatal(err)
	}
	if !report.Failed() || !strings.Contains(text.String(), "proxy on "+m.name+" was not started again") {
		t.Errorf("failed: %v, the report says\n%s", report.Failed(), text.String())
	}
}
