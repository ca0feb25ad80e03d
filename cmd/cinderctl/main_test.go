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
	status           int
	output, problems string
}

func call(arguments ...string) result {
	var output, problems bytes.Buffer
	status := run(context.Background(), arguments, &output, &problems, func(context.Context, time.Duration) {})
	return result{status, output.String(), problems.String()}
}

func write(t *testing.T, name, body string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// want checks an ended call: its status, and texts that its output or its problems hold.
func (r result) want(t *testing.T, status int, texts ...string) {
	t.Helper()
	if r.status != status {
		t.Errorf("status %d, want %d; output %q, problems %q", r.status, status, r.output, r.problems)
	}
	for _, text := range texts {
		if !strings.Contains(r.output+r.problems, text) {
			t.Errorf("%q is missing in output %q, problems %q", text, r.output, r.problems)
		}
	}
}

func TestCheckOfValidFiles(t *testing.T) {
	document := write(t, "c.json", validDocument)
	call("check", document, write(t, "s.json", strings.ReplaceAll(validSettings, "SEED", "10.0.0.2:80")),
		write(t, "d.json", validChange)).
		want(t, exitFine, "version 3, 1 routes, 1 services", "valid settings", "change to version 4")
	call("check", "--on", document, write(t, "d.json", validChange)).want(t, exitFine, "version 4, 0 routes")
}

func TestCheckReportsAllFindingsWithPlaces(t *testing.T) {
	bad := write(t, "c.json", unknownService)
	call("check", bad).want(t, exitRefused, "routes[0].timeout_ms", "routes[0].service", "1 of 1 files are invalid")
	misread := write(t, "m.json", strings.Replace(validDocument, "1000", "true", 1))
	call("check", misread).want(t, exitRefused, misread+":2:14: routes[0].timeout_ms: ")
	call("check", write(t, "s.json", `{"node":"","free_ports":[3,1]}`)).want(t, exitRefused, "node: ", "ip: ", "free_ports: ")
	call("check", write(t, "x.json", "{")).want(t, exitRefused, "is not JSON")
	var reports []fileReport
	got := call("--json", "check", bad)
	if err := json.Unmarshal([]byte(got.output), &reports); err != nil {
		t.Fatal(err, got.output)
	}
	if len(reports) != 1 || reports[0].Kind != kindConfiguration || len(reports[0].Findings) < 2 {
		t.Errorf("reports %+v", reports)
	}
}

func TestCheckOfAMissingFile(t *testing.T) {
	call("check", filepath.Join(t.TempDir(), "none")).want(t, exitFailed, "no such file")
}

func TestMistakesInUse(t *testing.T) {
	for _, arguments := range [][]string{{}, {"none"}, {"check"}, {"drain", "begin"}, {"status", "--none"}} {
		call(arguments...).want(t, exitFailed)
	}
	call("status", "--settings", "").want(t, exitFailed, "--seed")
	call("--help").want(t, exitFine, "drain begin")
}

func TestVersion(t *testing.T) {
	call("version").want(t, exitFine, "cinderctl ")
	call("--json", "version").want(t, exitFine, `"go"`)
}

// control is a stand-in for a control machine: it holds a version and takes orders on top of it.
type control struct {
	version string
	orders  []string
	zones   []string
	seen    status.Control
}

func (c *control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
		json.NewEncoder(w).Encode(&c.seen)
	default:
		c.zones = append(c.zones, path)
		io.WriteString(w, `{"zone":"z","evacuated":true}`)
	}
}

func (c *control) order(w http.ResponseWriter, r *http.Request) {
	if based := r.Header.Get(api.HeaderBasedOn); based != c.version && based != "0" {
		w.WriteHeader(http.StatusPreconditionFailed)
		io.WriteString(w, `{"error":{"message":"another version is in force: `+c.version+`"}}`)
		return
	}
	body, _ := io.ReadAll(r.Body)
	c.orders = append(c.orders, string(body))
	var document struct{ Version json.Number }
	json.Unmarshal(body, &document)
	c.version = document.Version.String()
	io.WriteString(w, `{"version":`+c.version+`}`)
}

func (c *control) serve(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestConfigurationIsReplacedChangedAndRead(t *testing.T) {
	c := &control{}
	seed := "--seed=" + c.serve(t)
	call(seed, "config", "read").want(t, exitRefused, "no configuration yet")
	call(seed, "config", "replace", write(t, "c.json", validDocument)).want(t, exitFine, "version 3 is acknowledged")
	call(seed, "config", "change", write(t, "d.json", validChange)).want(t, exitFine, "version 4 is acknowledged")
	if len(c.orders) != 2 || c.orders[0] != validDocument || c.orders[1] != validChange {
		t.Errorf("orders %q", c.orders)
	}
	call(seed, "config", "read").want(t, exitFine, `{"version":4}`)
	call(seed, "--json", "config", "read").want(t, exitFine, `"version": 4`, `"configuration": {`)
	call(seed, "config", "change", "--based-on", "3", write(t, "d.json", validChange)).
		want(t, exitRefused, "412", "another version is in force: 4")
}

func TestInvalidConfigurationIsNotSent(t *testing.T) {
	c := &control{}
	seed := "--seed=" + c.serve(t)
	bad := write(t, "c.json", unknownService)
	call(seed, "config", "replace", bad).want(t, exitRefused, "was not sent", "routes[0].service")
	if len(c.orders) != 0 {
		t.Fatalf("orders %q", c.orders)
	}
	call(seed, "config", "replace", "--no-check", bad).want(t, exitFine)
}

func TestDrain(t *testing.T) {
	c := &control{}
	seed := "--seed=" + c.serve(t)
	call(seed, "drain", "begin", "z").want(t, exitFine, "zone z is evacuated")
	call(seed, "--json", "drain", "finish", "z").want(t, exitFine, `"evacuated": false`)
	call(seed, "drain", "begin", "unknown").want(t, exitRefused, "there is no zone")
	if len(c.zones) != 2 || c.zones[0] != api.PathDrainBegin+"z" || c.zones[1] != api.PathDrainFinish+"z" {
		t.Errorf("calls %q", c.zones)
	}
}

func TestSeedsComeFromTheSettings(t *testing.T) {
	c := &control{version: "8"}
	file := write(t, "s.json", strings.ReplaceAll(validSettings, "SEED", c.serve(t)))
	call("--settings", file, "config", "read").want(t, exitFine, `{"version":8}`)
}

func TestNoMachineAnswers(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	call("--within=1ms", "--seed="+strings.TrimPrefix(server.URL, "http://"), "status").want(t, exitFailed, "no clear answer")
}

func TestStatusAsksEachControlMachine(t *testing.T) {
	first, second := &control{seen: seenBy("core-1", true)}, &control{seen: seenBy("core-2", false)}
	port := serveBoth(t, first, second)
	seed := "--seed=127.0.1.1:" + port
	call(seed, "status").want(t, exitFine, "core-1", "core-2", "holds it, list 120ms old", "voter", "leader",
		"127.0.1.3:"+port+" does not answer")
	call(seed, "status", "--members").want(t, exitFine, "edge-1", "FOLLOWER", "suspect")
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
func TestFollowerStandsWhereItAskedLast(t *testing.T) {
	first := &status.Control{Followers: []status.Follower{{Node: "a", Behind: true, AskedMS: 900}, {Node: "b", AskedMS: 5}}}
	second := &status.Control{Followers: []status.Follower{{Node: "a", AskedMS: 100}}}
	keepLatest([]*status.Control{first, second})
	if len(first.Followers) != 1 || first.Followers[0].Node != "b" || len(second.Followers) != 1 {
		t.Errorf("followers %+v and %+v", first.Followers, second.Followers)
	}
}

func seenBy(node string, leads bool) status.Control {
	partition := status.Partition{Replica: "0b", Role: "follower", Term: 5, Leader: "0a", Commit: 9, Applied: 9, Last: 9,
		Replicas: []status.Replica{{Replica: "0a", Node: "core-1", Zone: "a", Address: "127.0.1.1:7660", Voter: true},
			{Replica: "0b", Node: "core-2", Zone: "b", Address: "127.0.1.2:7660"}}}
	if leads {
		partition.Replica, partition.Role, partition.LeaseMS = "0a", "leader", 900
	}
	return status.Control{Node: node, Release: "abc", Version: 7, Evacuated: []string{"a"}, Proxies: 4, Ready: 3,
		Discovery:  status.Discovery{Holder: leads, Answered: leads, ListAgeMS: 120},
		Partitions: []status.Partition{partition},
		Followers:  []status.Follower{{Node: "edge-1", Configuration: 9}, {Node: "edge-2", Behind: true}},
		Members: []status.Member{
			{Node: "core-1", Address: "127.0.1.1", State: "alive", Role: "control", Zone: "a"},
			{Node: "core-2", Address: "127.0.1.2", State: "alive", Role: "control", Zone: "b"},
			{Node: "core-3", Address: "127.0.1.3", State: "suspect", SinceMS: 12345, Role: "control", Zone: "c"},
			{Node: "edge-1", Address: "127.0.1.9", State: "alive", Role: "edge", Zone: "a", Serving: "serving"},
		}}
}
