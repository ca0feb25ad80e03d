package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cinderroad/internal/system/control/api"
	"cinderroad/internal/system/control/status"
)

const (
	validSettings = `{"node":"core-1","ip":"10.0.0.1","free_ports":[7660,7675],"seed_nodes":["SEED"]}`
	validDocument = `{"version":3,"routes":[{"name":"r","host":"h","path_start":"/p/","type":"read_only",
"timeout_ms":1000,"target_ms":100,"rank":0,"service":"s","tries":2}],
"services":[{"name":"s","health_path":"/health","max_conns":4,"cold_for_s":0,"cold_rate_s":0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_wait_ms":3000,"idle_limit_ms":15000}}`
	unknownService = `{"version":3,"routes":[{"name":"r","host":"h","path_start":"/p/","type":"read_only",
"timeout_ms":0,"target_ms":100,"rank":0,"service":"other","tries":2}],
"services":[],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_wait_ms":3000,"idle_limit_ms":15000}}`
	validChange = `{"version":4,"remove":{"routes":["r"]}}`
)

// result is how a call of the program ended.
type result struct {
	status            int
	output, errOutput string
}

func call(arguments ...string) result {
	var output, problems bytes.Buffer
	status := run(context.Background(), arguments, &output, &problems, func(context.Context, time.Duration) {})
	return result{status, output.String(), problems.String()}
}

func writeFile(t *testing.T, name, body string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// expect checks an ended call: its status, and texts that its output or its problems hold.
func (r result) expect(t *testing.T, status int, texts ...string) {
	t.Helper()
	if r.status != status {
		t.Errorf("status %d, want %d; output %q, problems %q", r.status, status, r.output, r.errOutput)
	}
	for _, text := range texts {
		if !strings.Contains(r.output+r.errOutput, text) {
			t.Errorf("%q is missing in output %q, problems %q", text, r.output, r.errOutput)
		}
	}
}

func TestCheckValidFiles(t *testing.T) {
	document := writeFile(t, "c.json", validDocument)
	call("check", document, writeFile(t, "s.json", strings.ReplaceAll(validSettings, "SEED", "10.0.0.2:80")),
		writeFile(t, "d.json", validChange)).
		expect(t, exitOK, "version 3, 1 routes, 1 services", "valid settings", "change to version 4")
	call("check", "--on", document, writeFile(t, "d.json", validChange)).expect(t, exitOK, "version 4, 0 routes")
}

func TestCheckReportsAllProblems(t *testing.T) {
	bad := writeFile(t, "c.json", unknownService)
	call("check", bad).expect(t, exitRejected, "routes[0].timeout_ms", "routes[0].service", "1 of 1 files are invalid")
	misread := writeFile(t, "m.json", strings.Replace(validDocument, "1000", "true", 1))
	call("check", misread).expect(t, exitRejected, misread+":2:14: routes[0].timeout_ms: ")
	call("check", writeFile(t, "s.json", `{"node":"","free_ports":[3,1]}`)).expect(t, exitRejected, "node: ", "ip: ", "free_ports: ")
	call("check", writeFile(t, "x.json", "{")).expect(t, exitRejected, "is not JSON")
	var reports []fileReport
	got := call("--json", "check", bad)
	if err := json.Unmarshal([]byte(got.output), &reports); err != nil {
		t.Fatal(err, got.output)
	}
	if len(reports) != 1 || reports[0].Kind != kindConfiguration || len(reports[0].Problems) < 2 {
		t.Errorf("reports %+v", reports)
	}
}

func TestCheckMissingFile(t *testing.T) {
	call("check", filepath.Join(t.TempDir(), "none")).expect(t, exitFailed, "no such file")
}

func TestUsageErrors(t *testing.T) {
	for _, arguments := range [][]string{{}, {"none"}, {"check"}, {"drain", "begin"}, {"status", "--none"}} {
		call(arguments...).expect(t, exitFailed)
	}
	call("status", "--settings", "").expect(t, exitFailed, "--seed")
	call("--help").expect(t, exitOK, "drain begin")
}

func TestVersion(t *testing.T) {
	call("version").expect(t, exitOK, "cinderctl ")
	call("--json", "version").expect(t, exitOK, `"go"`)
}

// fakeControl is a stand-in for a control machine: it holds a version and takes orders on top of it.
type fakeControl struct {
	version string
	bodies  []string
	zones   []string
	status  status.Control
}

func (c *fakeControl) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch path := r.URL.Path; {
	case path == api.PathRead && c.version == "":
		w.WriteHeader(http.StatusNotFound)
	case path == api.PathRead:
		w.Header().Set(api.HeaderVersion, c.version)
		io.WriteString(w, `{"version":`+c.version+`}`)
	case path == api.PathReplace || path == api.PathChange:
		c.order(w, r)
	case strings.HasSuffix(path, "/unknown"):
		w.WriteHeader(http.StatusNotFound)
		io.WriteString(w, `{"error":{"code":"not_found","message":"there is no zone"}}`)
	case path == api.PathStatus:
		json.NewEncoder(w).Encode(&c.status)
	default:
		c.zones = append(c.zones, path)
		io.WriteString(w, `{"zone":"z","evacuated":true}`)
	}
}

func (c *fakeControl) order(w http.ResponseWriter, r *http.Request) {
	if based := r.Header.Get(api.HeaderBasedOn); based != c.version && based != "0" {
		w.WriteHeader(http.StatusPreconditionFailed)
		io.WriteString(w, `{"error":{"message":"another version is in force: `+c.version+`"}}`)
		return
	}
	body, _ := io.ReadAll(r.Body)
	c.bodies = append(c.bodies, string(body))
	var document struct{ Version json.Number }
	json.Unmarshal(body, &document)
	c.version = document.Version.String()
	io.WriteString(w, `{"version":`+c.version+`}`)
}

func (c *fakeControl) serve(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestConfigCommands(t *testing.T) {
	c := &fakeControl{}
	seed := "--seed=" + c.serve(t)
	call(seed, "config", "read").expect(t, exitRejected, "no configuration yet")
	call(seed, "config", "replace", writeFile(t, "c.json", validDocument)).expect(t, exitOK, "version 3 is acknowledged")
	call(seed, "config", "change", writeFile(t, "d.json", validChange)).expect(t, exitOK, "version 4 is acknowledged")
	if len(c.bodies) != 2 || c.bodies[0] != validDocument || c.bodies[1] != validChange {
		t.Errorf("orders %q", c.bodies)
	}
	call(seed, "config", "read").expect(t, exitOK, `{"version":4}`)
	call(seed, "--json", "config", "read").expect(t, exitOK, `"version": 4`, `"configuration": {`)
	call(seed, "config", "change", "--based-on", "3", writeFile(t, "d.json", validChange)).
		expect(t, exitRejected, "412", "another version is in force: 4")
}

func TestInvalidConfigurationIsNotSent(t *testing.T) {
	c := &fakeControl{}
	seed := "--seed=" + c.serve(t)
	bad := writeFile(t, "c.json", unknownService)
	call(seed, "config", "replace", bad).expect(t, exitRejected, "was not sent", "routes[0].service")
	if len(c.bodies) != 0 {
		t.Fatalf("orders %q", c.bodies)
	}
	call(seed, "config", "replace", "--no-check", bad).expect(t, exitOK)
}

func TestDrain(t *testing.T) {
	c := &fakeControl{}
	seed := "--seed=" + c.serve(t)
	call(seed, "drain", "begin", "z").expect(t, exitOK, "zone z is evacuated")
	call(seed, "--json", "drain", "finish", "z").expect(t, exitOK, `"evacuated": false`)
	call(seed, "drain", "begin", "unknown").expect(t, exitRejected, "there is no zone")
	if len(c.zones) != 2 || c.zones[0] != api.PathDrainBegin+"z" || c.zones[1] != api.PathDrainFinish+"z" {
		t.Errorf("calls %q", c.zones)
	}
}

func TestSeedsFromSettings(t *testing.T) {
	c := &fakeControl{version: "8"}
	file := writeFile(t, "s.json", strings.ReplaceAll(validSettings, "SEED", c.serve(t)))
	call("--settings", file, "config", "read").expect(t, exitOK, `{"version":8}`)
}

func TestNoMachineResponds(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	call("--within=1ms", "--seed="+strings.TrimPrefix(server.URL, "http://"), "status").expect(t, exitFailed, "no clear answer")
}

func TestStatusQueriesEachMachine(t *testing.T) {
	first, second := &fakeControl{status: newStatus("core-1", true)}, &fakeControl{status: newStatus("core-2", false)}
	port := serveBoth(t, first, second)
	seed := "--seed=127.0.1.1:" + port
	call(seed, "status").expect(t, exitOK, "core-1", "core-2", "holds it, list 120ms old", "voter", "leader",
		"127.0.1.3:"+port+" does not answer")
	call(seed, "status", "--members").expect(t, exitOK, "edge-1", "FOLLOWER", "suspect")
	var report statusReport
	got := call(seed, "--json", "status")
	if err := json.Unmarshal([]byte(got.output), &report); err != nil {
		t.Fatal(err, got.output)
	}
	if len(report.Machines) != 2 || len(report.Unreachable) != 1 || report.Machines[1].Node != "core-2" {
		t.Errorf("report %+v", report)
	}
	if got := call(seed, "status", "--one"); strings.Contains(got.output, "does not answer") {
		t.Errorf("others were asked: %q", got.output)
	}
}

// serveBoth has two machines serve one port at addresses of their own.
func serveBoth(t *testing.T, first, second http.Handler) (port string) {
	t.Helper()
	for range 100 {
		one, err := net.Listen("tcp4", "127.0.1.1:0")
		if err != nil {
			t.Fatal(err)
		}
		_, port, _ := net.SplitHostPort(one.Addr().String())
		two, err := net.Listen("tcp4", "127.0.1.2:"+port)
		if err != nil {
			one.Close()
			continue
		}
		go http.Serve(one, first)
		go http.Serve(two, second)
		t.Cleanup(func() { one.Close(); two.Close() })
		return port
	}
	t.Fatal("no port is free at both addresses")
	return ""
}

// Guards against a follower that went from one machine to another being held to be behind at the first.
func TestOutdatedFollowersAreDropped(t *testing.T) {
	first := &status.Control{Followers: []status.Follower{{Node: "a", Behind: true, SinceLastCallMS: 900}, {Node: "b", SinceLastCallMS: 5}}}
	second := &status.Control{Followers: []status.Follower{{Node: "a", SinceLastCallMS: 100}}}
	dropOutdatedFollowers([]*status.Control{first, second})
	if len(first.Followers) != 1 || first.Followers[0].Node != "b" || len(second.Followers) != 1 {
		t.Errorf("followers %+v and %+v", first.Followers, second.Followers)
	}
}

func newStatus(node string, leads bool) status.Control {
	partition := status.Partition{Replica: "0b", Role: "follower", Term: 5, Leader: "0a", CommitIndex: 9, AppliedIndex: 9, LastIndex: 9,
		Replicas: []status.Replica{{Replica: "0a", Node: "core-1", Zone: "a", Address: "127.0.1.1:7660", Voter: true},
			{Replica: "0b", Node: "core-2", Zone: "b", Address: "127.0.1.2:7660"}}}
	if leads {
		partition.Replica, partition.Role, partition.LeaseMS = "0a", "leader", 900
	}
	return status.Control{Node: node, Release: "abc", Version: 7, EvacuatedZones: []string{"a"}, ActiveProxies: 4, ReadyProxies: 3,
		Discovery:  status.Discovery{Holder: leads, ListReceived: leads, ListAgeMS: 120},
		Partitions: []status.Partition{partition},
		Followers:  []status.Follower{{Node: "edge-1", ConfigurationIndex: 9}, {Node: "edge-2", Behind: true}},
		Members: []status.Member{
			{Node: "core-1", Address: "127.0.1.1", State: "alive", Role: "control", Zone: "a"},
			{Node: "core-2", Address: "127.0.1.2", State: "alive", Role: "control", Zone: "b"},
			{Node: "core-3", Address: "127.0.1.3", State: "suspect", StateAgeMS: 12345, Role: "control", Zone: "c"},
			{Node: "edge-1", Address: "127.0.1.9", State: "alive", Role: "edge", Zone: "a", Serving: "serving"},
		}}
}
