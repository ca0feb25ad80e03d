package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/policysim"
	"cinderroad/internal/testkit/checker"
)

// newStormEmulation returns an emulation with a configuration in force, whose control machines are served by a handler.
func newStormEmulation(t *testing.T, handler http.Handler) *emulation {
	t.Helper()
	e := &emulation{
		deployment: newTestDeployment(t, 1),
		options:    Options{Scenario: policysim.Screening(), Out: &bytes.Buffer{}},
		machines:   checker.NewMachines(),
		storm:      &stormState{history: newConfigurationHistory(), zoneOrders: map[string]chan struct{}{"west-a": make(chan struct{}, 1)}},
	}
	e.checker = checker.New(checker.Limits{Machines: e.machines}, nil)
	e.inForce = configurationDocumentOf(e.options.Scenario, firstVersion)
	e.storm.history.sent(&e.inForce)
	e.storm.history.acknowledged(&e.inForce, time.Now())
	for _, address := range e.deployment.seedAddresses() {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: handler}
		go server.Serve(listener)
		t.Cleanup(func() { server.Close() })
	}
	return e
}

// acceptAll acknowledges all changes.
func acceptAll(http.ResponseWriter, *http.Request) {}

// refuseAll refuses all changes.
func refuseAll(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusPreconditionFailed) }

func TestOrdersAreSettled(t *testing.T) {
	change := func(e *emulation) error { return e.changeUntilClear(t.Context()) }
	race := func(e *emulation) error { return e.raceChanges(t.Context(), 1) }
	invalid := func(e *emulation) error { return e.sendInvalidChange(t.Context(), 0) }
	for _, test := range []struct {
		name     string
		order    func(*emulation) error
		handler  http.Handler
		violated int
		version  int // in force afterwards
	}{
		{"a change is acknowledged", change, &fakeControl{version: firstVersion}, 0, firstVersion + versionStep},
		{"a proper change is refused", change, http.HandlerFunc(refuseAll), 1, firstVersion},
		{"one of two changes is acknowledged", race, &fakeControl{version: firstVersion}, 0, 0},
		{"both changes of a version are acknowledged", race, http.HandlerFunc(acceptAll), 1, 0},
		{"both changes of a version are refused", race, http.HandlerFunc(refuseAll), 1, firstVersion},
		{"an invalid change is refused", invalid, http.HandlerFunc(refuseAll), 0, firstVersion},
		{"an invalid change is acknowledged", invalid, http.HandlerFunc(acceptAll), 1, firstVersion},
	} {
		e := newStormEmulation(t, test.handler)
		if err := test.order(e); err != nil {
			t.Errorf("%s: %v", test.name, err)
		}
		if found := e.checker.Violations(); len(found) != test.violated {
			t.Errorf("%s: %v", test.name, found)
		}
		if test.version != 0 && e.inForce.Version != test.version {
			t.Errorf("%s: version %d, want %d", test.name, e.inForce.Version, test.version)
		}
	}
}

// TestInvalidChangesAreInvalid: the system's own parser refuses each form.
func TestInvalidChangesAreInvalid(t *testing.T) {
	e := newStormEmulation(t, http.HandlerFunc(acceptAll))
	base, err := json.Marshal(e.inForce)
	if err != nil {
		t.Fatal(err)
	}
	document, err := configuration.ParseAndValidate(base, 0)
	if err != nil {
		t.Fatal(err)
	}
	for form := range invalidForms {
		change, _ := e.nextConfiguration(versionStep)
		makeInvalid(&change, e.inForce, form)
		body, err := json.Marshal(change)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := configuration.ApplyAndValidate(body, document); err == nil {
			t.Errorf("form %d is valid: %s", form, body)
		}
	}
}

func TestReadsAreChecked(t *testing.T) {
	now := time.Now()
	first := configurationDocumentOf(policysim.Screening(), firstVersion)
	withRoute := func(version int, name string) *configurationDocument {
		d := first
		d.Version = version
		d.Routes = append(d.Routes[:len(d.Routes):len(d.Routes)], routeDocument{Name: name})
		return &d
	}
	h := newConfigurationHistory()
	second, refused, unclear := withRoute(7, "a"), withRoute(7, "b"), withRoute(11, "c")
	for _, d := range []*configurationDocument{&first, second, refused, unclear} {
		h.sent(d)
	}
	h.acknowledged(&first, now.Add(-time.Minute))
	h.acknowledged(second, now)
	h.refused(refused)
	for _, test := range []struct {
		name   string
		read   *configurationDocument
		sentAt time.Time
		valid  bool
	}{
		{"the newest one", second, now.Add(time.Hour), true},
		{"an older one soon after", &first, now.Add(time.Second), true},
		{"an older one long after", &first, now.Add(3 * time.Second), false},
		{"one that was refused", refused, now, false},
		{"one without a clear outcome", unclear, now, true},
		{"one that was never sent", withRoute(15, "a"), now, false},
	} {
		if err := h.checkRead(test.read, test.sentAt, 2*time.Second); (err == nil) != test.valid {
			t.Errorf("%s: %v", test.name, err)
		}
	}
	if !h.routeRefused("b") || h.routeRefused("a") {
		t.Error("the wrong route counts as refused")
	}
	if at, known := h.routeAcknowledged("a"); !known || !at.Equal(now) {
		t.Errorf("route a was acknowledged at %v, %v", at, known)
	}
}

// TestEvacuationOrders: an evacuation counts from its acknowledgement, and no longer once its end is ordered.
func TestEvacuationOrders(t *testing.T) {
	var paths []string
	e := newStormEmulation(t, http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) { paths = append(paths, q.URL.Path) }))
	for _, begin := range []bool{true, false} {
		if err := e.orderEvacuation(t.Context(), "west-a", begin); err != nil {
			t.Error(err)
		}
	}
	if got := strings.Join(paths, " "); got != beginPath+"west-a "+finishPath+"west-a" {
		t.Errorf("orders: %s", got)
	}
}

// TestEndsOfProcesses: a process ends in time after SIGTERM, with status 0, and not by itself.
func TestEndsOfProcesses(t *testing.T) {
	const grace = 8 * time.Second
	second := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	succeeded, failed, terminated := exitStatus(t, "true"), exitStatus(t, "false"), terminatedStatus(t)
	for _, test := range []struct {
		name     string
		ended    life
		expected bool
		violated int
	}{
		{"in time", life{started: second(0), stopped: second(5), ended: second(12), status: succeeded}, true, 0},
		{"late", life{started: second(0), stopped: second(5), ended: second(13.5), status: succeeded}, true, 1},
		{"late on a squeezed machine", life{started: second(0), stopped: second(55), ended: second(63.5), status: succeeded}, true, 0},
		{"far too late on one", life{started: second(0), stopped: second(55), ended: second(66), status: succeeded}, true, 1},
		{"with another status", life{started: second(0), stopped: second(5), ended: second(6), status: failed}, true, 1},
		{"by the signal's default action", life{started: second(0), stopped: second(5), ended: second(5), status: terminated}, true, 1},
		{"the same while it starts", life{started: second(0), stopped: second(0.1), ended: second(0.1), status: terminated}, true, 0},
		{"killed", life{started: second(0), stopped: second(5), killed: second(6), ended: second(6), status: failed}, true, 0},
		{"killed since it did not end", life{started: second(0), stopped: second(5), killed: second(13), ended: second(13.5),
			status: succeeded}, true, 1},
		{"by itself", life{started: second(0), ended: second(6), status: succeeded}, false, 0},
		{"after SIGHUP", life{started: second(0), reloaded: second(5), ended: second(6), status: failed}, false, 0},
	} {
		e := &emulation{deployment: newTestDeployment(t, 1), machines: checker.NewMachines()}
		e.checker = checker.New(checker.Limits{Machines: e.machines}, nil)
		m := e.deployment.machinesOfClass(edgeClass)[0]
		address := e.deployment.addressOf(m)
		e.machines.Squeezed(address, second(62), second(62.5))
		lives := &lifeRecorder{deployment: e.deployment, checker: e.checker, machines: e.machines, gracePeriod: grace}
		lives.lifeEnded(&process{machine: m, program: proxy}, test.ended)
		lives.checkEnds()
		if found := e.checker.Violations(); len(found) != test.violated {
			t.Errorf("%s: %v", test.name, found)
		}
		if got := test.ended.endIsExpected(); got != test.expected {
			t.Errorf("%s: expected %v", test.name, got)
		}
		lives.startedAgain(&process{machine: m, program: proxy}, test.ended, test.ended.ended.Add(time.Second))
		if e.machines.InTouch(address, test.ended.ended, test.ended.ended.Add(time.Hour)) {
			t.Errorf("%s: the machine was in touch while it was down", test.name)
		}
	}
}

// exitStatus returns the state of a process that ran a program of the system to its end.
func exitStatus(t *testing.T, name string) *os.ProcessState {
	t.Helper()
	path, err := exec.LookPath(name)
	if err != nil {
		t.Skip("there is no program that ends at once")
	}
	command := exec.Command(path)
	command.Run()
	return command.ProcessState
}

// terminatedStatus returns the state of a process that SIGTERM ended by its default action.
func terminatedStatus(t *testing.T) *os.ProcessState {
	t.Helper()
	path, err := exec.LookPath("sleep")
	if err != nil {
		t.Skip("there is no program that waits")
	}
	command := exec.Command(path, "1000")
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	if err := command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	command.Wait()
	return command.ProcessState
}

func TestForbiddenLogLines(t *testing.T) {
	for text, want := range map[string]bool{
		"time=1 level=info msg=starting\n": false,
		"time=1 level=error msg=\"disk failure\" error=\"the disk has not finished a write\"\n": false,
		"time=1 level=error msg=\"replica failed\"\n":                                           true,
		"msg=starting\npanic: proxy: invariant broken: a connection\n":                          true,
		"panic: without a last newline":                                                         true,
	} {
		file := filepath.Join(t.TempDir(), "a.log")
		if err := os.WriteFile(file, []byte(text), 0o640); err != nil {
			t.Fatal(err)
		}
		line, err := findForbidden(file)
		if err != nil || (line != "") != want {
			t.Errorf("%q: %q, %v", text, line, err)
		}
	}
}

// TestSlowdownIsRecorded: a machine counts as slowed if a thread of its processes has waited for long, and all machines do if the
// monitor itself was late.
func TestSlowdownIsRecorded(t *testing.T) {
	d := newTestDeployment(t, 1)
	m := d.machinesOfClass(edgeClass)[0]
	command := exec.Command(os.Args[0])
	command.Process = &os.Process{Pid: os.Getpid()}
	p := &process{machine: m, program: proxy, command: command}
	for _, test := range []struct {
		name    string
		monitor time.Duration // by which it is late
		waited  time.Duration // since the last sample
		want    bool
	}{
		{"in time", 0, -time.Hour, false},
		{"the process waited", 0, 2 * maxWait, true},
		{"the monitor is late", 2 * maxTickDelay, 0, true},
	} {
		now := time.Now()
		s := &slowdownMonitor{
			deployment: d,
			machines:   checker.NewMachines(),
			waited:     make(map[string]time.Duration),
			sampledAt:  now.Add(-slowdownInterval - test.monitor),
			spans:      make(map[string][]slowSpan),
		}
		s.waits(os.Getpid(), s.waited)
		for thread := range s.waited {
			s.waited[thread] -= test.waited
		}
		s.sample([]*process{p}, now)
		if got := s.slowed(d.addressOf(m), now.Add(-time.Second), now); got != test.want {
			t.Errorf("%s: slowed %v", test.name, got)
		}
	}
}

// TestUnclearChangeMayBeInForce: a change that was taken without a clear response is no mismatch when it is read back.
func TestUnclearChangeMayBeInForce(t *testing.T) {
	taken := &changeDocument{}
	e := newStormEmulation(t, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.Method == http.MethodPost {
			json.NewDecoder(q.Body).Decode(taken)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		stored := configurationDocumentOf(policysim.Screening(), taken.Version)
		stored.Routes = append(stored.Routes, taken.Replace.Routes...)
		json.NewEncoder(w).Encode(stored)
	}))
	e.storm = nil
	e.operator = e.deployment.operator()
	class := policysim.Screening().Classes[0]
	class.Name = "added"
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := e.submitRoute(ctx, routeDocumentOf(&class)); err == nil {
		t.Error("the change was acknowledged")
	}
	e.verifyConfiguration(t.Context())
	if found := e.checker.Violations(); len(found) > 0 {
		t.Error(found)
	}
}
