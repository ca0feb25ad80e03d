package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
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

// result is how a run of the program ended.
type result struct {
	status            int
	output, errOutput string
}

// call runs the program.
func call(arguments ...string) result { return callUntil(math.MaxInt, arguments...) }

// callUntil runs the program, and interrupts it in its pause after a number of attempts.
func callUntil(attempts int, arguments ...string) result {
	ctx, interrupt := context.WithCancel(context.Background())
	defer interrupt()
	var output, problems bytes.Buffer
	status := run(ctx, arguments, &output, &problems, func(context.Context, time.Duration) {
		if attempts--; attempts == 0 {
			interrupt()
		}
	})
	return result{status, output.String(), problems.String()}
}

// writeFile writes a file that is removed when the test ends, and returns its path.
func writeFile(t *testing.T, name, body string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// expect checks the exit status, and texts that the output or the error output contains.
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

// fakeControl is a control machine that holds a version and accepts changes based on it.
type fakeControl struct {
	version    string   // in force; empty: none
	bodies     []string // of accepted changes
	drainPaths []string // of calls about zones
	status     status.Control
}

func (c *fakeControl) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch path := r.URL.Path; {
	case path == api.PathRead && c.version == "":
		w.WriteHeader(http.StatusNotFound)
		io.WriteString(w, `{"error":{"code":"not_found","message":"there is no configuration yet"}}`)
	case path == api.PathRead:
		w.Header().Set(api.HeaderVersion, c.version)
		io.WriteString(w, `{"version":`+c.version+`}`)
	case path == api.PathReplace || path == api.PathChange:
		c.handleChange(w, r)
	case strings.HasSuffix(path, "/unknown"):
		w.WriteHeader(http.StatusNotFound)
		io.WriteString(w, `{"error":{"code":"not_found","message":"there is no zone"}}`)
	case path == api.PathStatus:
		json.NewEncoder(w).Encode(&c.status)
	default:
		c.drainPaths = append(c.drainPaths, path)
		io.WriteString(w, `{"zone":"z","evacuated":true}`)
	}
}

func (c *fakeControl) handleChange(w http.ResponseWriter, r *http.Request) {
	if basedOn := r.Header.Get(api.HeaderBasedOn); basedOn != c.version && basedOn != "0" {
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

// serve returns the address of the machine, which runs until the test ends.
func (c *fakeControl) serve(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// serveBoth serves two machines on the same port at addresses of their own.
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
		t.Cleanup(func() {
			one.Close()
			two.Close()
		})
		return port
	}
	t.Fatal("no port is free at both addresses")
	return ""
}

func newStatus(node string, leads bool) status.Control {
	partition := status.Partition{
		Replica:      "0b",
		Role:         "follower",
		Term:         5,
		Leader:       "0a",
		CommitIndex:  9,
		AppliedIndex: 9,
		LastIndex:    9,
		Replicas: []status.Replica{
			{Replica: "0a", Node: "core-1", Zone: "a", Address: "127.0.1.1:7660", Voter: true},
			{Replica: "0b", Node: "core-2", Zone: "b", Address: "127.0.1.2:7660"},
		},
	}
	if leads {
		partition.Replica = "0a"
		partition.Role = "leader"
		partition.LeaseMS = 900
	}
	return status.Control{
		Node:           node,
		Release:        "abc",
		Version:        7,
		EvacuatedZones: []string{"a"},
		ActiveProxies:  4,
		ReadyProxies:   3,
		Discovery:      status.Discovery{Holder: leads, ListReceived: leads, ListAgeMS: 120},
		Partitions:     []status.Partition{partition},
		Followers:      []status.Follower{{Node: "edge-1", ConfigurationIndex: 9}, {Node: "edge-2", Behind: true}},
		Members: []status.Member{
			{Node: "core-1", Address: "127.0.1.1", State: "alive", Role: "control", Zone: "a"},
			{Node: "core-2", Address: "127.0.1.2", State: "alive", Role: "control", Zone: "b"},
			{Node: "core-3", Address: "127.0.1.3", State: "suspect", StateAgeMS: 12345, Role: "control", Zone: "c"},
			{Node: "edge-1", Address: "127.0.1.9", State: "alive", Role: "edge", Zone: "a", Serving: "serving"},
		},
	}
}
