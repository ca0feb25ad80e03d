package server

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"cinderroad/internal/compatibility"
	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/dispatcher/gearman"
	"cinderroad/internal/dispatcher/httpfront"
	"cinderroad/internal/dispatcher/telemetry"
	"cinderroad/loadbalancer"
)

// readsJSON checks that a value encodes to its recorded JSON and that this decodes to the value.
func readsJSON[T any](t *testing.T, name string, value T) {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	var read T
	if err := json.Unmarshal(compatibility.PackageFolder.Check(t, name, encoded), &read); err != nil {
		t.Fatal(name, err)
	}
	if d := cmp.Diff(value, read, cmpopts.IgnoreUnexported(httpfront.List{})); d != "" {
		t.Errorf("%s: %s", name, d)
	}
}

var (
	excluded = map[string]dispatch.Exclusion{"w-1": {ExcludedAt: 100, StartedAt: 90, IncludedAt: 120}, "w-2": {ExcludedAt: 101}}
	counted  = map[string]float64{"classes.score.answers.in_time": 40}
	measured = telemetry.Latencies{"classes.score.latency": {{1500, 3}, {2000, 1}}}
)

// TestHandoverCompatibility checks the message bodies of an upgrade, and the path of its socket.
func TestHandoverCompatibility(t *testing.T) {
	readsJSON(t, "hello.json", hello{TakesMetrics: true})
	list := httpfront.List{
		Revision: 12,
		Full:     true,
		Entries: []httpfront.Entry{{
			UID:         "u",
			Endpoint:    "10.0.0.1:80",
			Zone:        "m",
			Kind:        "k",
			Cell:        2,
			State:       "ready",
			Weight:      1.5,
			StartedAtMs: 1700000000000,
		}},
	}
	readsJSON(t, "state.json", handoverState{
		Discovery:      "10.0.0.9:8500",
		Membership:     list,
		Exclusions:     excluded,
		EvacuatedSince: 12.5,
		Balancer: loadbalancer.Snapshot{
			WorkByClass:   []float64{1},
			ZoneLatencies: []float64{2},
			Pace:          3,
			RunTime:       4,
			SlotsPerJob:   5,
			ReportPeriod:  6,
			PlannedAt:     7,
			Kinds:         map[int]loadbalancer.KindSnapshot{1: {Pace: 0.5, Slots: 8}},
			Workers:       map[loadbalancer.WorkerID]*loadbalancer.WorkerSnapshot{9: {StartedAt: 1}},
		},
		Gearman:       true,
		GearmanListen: "127.0.0.1:4730",
		SendsMetrics:  true,
	})
	readsJSON(t, "figures.json", metricsMessage{
		Complete:      true,
		Counts:        counted,
		Latencies:     measured,
		Slots:         []telemetry.SlotAssignment{{Location: "m.k.3", Slot: 1, Node: "node-1"}},
		LastTimestamp: 1_700_000_000_000,
		Series: []telemetry.Series{
			{Name: "classes.score.answers.in_time", Kind: telemetry.Counter},
			{Name: "reqs.open", Kind: telemetry.Gauge},
		},
		Periods: []undeliveredPeriod{{Timestamp: 1_699_999_990_000, Interval: 10, EncodedValues: []byte{2, 42, 0}}},
	})
	readsJSON(t, "figures-since.json", metricsMessage{Counts: counted, Latencies: measured})
	readsJSON(t, "order.json", operatorOrder{Action: "exclude", Member: "w-1", Exclusion: excluded["w-1"]})
	readsJSON(t, "order-bare.json", operatorOrder{Action: "evacuate"})

	c := &Config{tempDir: "/run/d", Name: "milano/1", Listen: "10.0.0.1:80"}
	files := []string{c.tempPath(".upgrade"), c.tempPath(".exclusions")}
	if d := cmp.Diff([]string{"/run/d/milano_1-10_0_0_1_80.upgrade", "/run/d/milano_1-10_0_0_1_80.exclusions"}, files); d != "" {
		t.Error(d)
	}
}

// TestExclusionsCompatibility checks the file of exclusions.
func TestExclusionsCompatibility(t *testing.T) {
	encoded, err := json.Marshal(savedExclusions{exclusionsVersion, excluded})
	if err != nil {
		t.Fatal(err)
	}
	read, err := parseExclusions(compatibility.PackageFolder.Check(t, "exclusions.json", encoded))
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(excluded, read.Exclusions); d != "" {
		t.Error(d)
	}
	if read.Version != 1 {
		t.Errorf("version %d", read.Version)
	}
}

// TestCountNamesUnchanged pins the names of the counts that are logged when a process ends.
func TestCountNamesUnchanged(t *testing.T) {
	readsJSON(t, "counts.json", dispatch.Counts{
		Requests:      1,
		Served:        2,
		Rejected:      3,
		Failed:        4,
		Disconnected:  5,
		Attempts:      6,
		Retries:       7,
		Cancellations: 8,
		Probes:        9,
		Results:       [8]uint64{10, 11, 12, 13, 14, 15, 16, 17},
		InvalidJobs:   18,
		Overdue:       19,
		OpenRequests:  20,
		OpenAttempts:  21,
	})
	readsJSON(t, "counts-gearman.json", gearman.Counts{
		Jobs:            1,
		Background:      2,
		Coalesced:       3,
		Served:          4,
		Rejected:        5,
		Failed:          6,
		Abandoned:       7,
		BackgroundEnded: 8,
		Requeued:        9,
		BadPackets:      10,
		StrayWork:       11,
		TimedOut:        12,
	})
}

// recordedConfig is a configuration file.
const recordedConfig = `{"name":"n0","listen":"10.0.0.1:80","discovery":"10.0.0.9:8500","console":"10.0.0.1:9000","seed":"ff",` +
	`"known":{"rev":3,"all":true,"targets":[` +
	`{"uid":"u","endpoint":"10.0.0.2:80","az":"x","model":"k","pod_group":1,"state":"ready"}]},` +
	`"limits":{"cores":0.5,"memory_mb":64,"sockets":2048},` +
	`"settings":{"categories":[{"name":"a","objectiveS":0.1,"deadlineS":5,"repeat":"retryable","worth":2}],` +
	`"failureDomains":["x","y"],"kinds":["k"],"zone":1,"nInstances":3,"membershipMode":"pushed","tickS":0.004,` +
	`"guarantees":{"answerSlackS":0.016,"askWithinS":10,"coldS":23,"coldShare":0.14,"fallMultiple":3,"fallS":1.5},` +
	`"limits":{"attemptsCap":6,"connIdleS":7,"connectTimeoutS":0.25},"report":{"fields":["outstanding"],"via":"piggyback"}}}`

// TestConfigCompatibility checks the configuration file, and the environment, which takes precedence.
func TestConfigCompatibility(t *testing.T) {
	path := filepath.Join(t.TempDir(), "router.json")
	if err := os.WriteFile(path, []byte(recordedConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		environment map[string]string
		want        []any // name, addresses, and descriptor
	}{
		{nil, []any{"n0", "10.0.0.1:80", "10.0.0.9:8500", "10.0.0.1:9000", 0, ""}},
		{
			map[string]string{
				"ROUTER_NAME":      "n1",
				"ROUTER_LISTEN":    "10.0.0.2:80",
				"ROUTER_DISCOVERY": "10.0.0.3:80",
				"ROUTER_CONSOLE":   "10.0.0.4:80",
				"ROUTER_FD":        "5",
				"TMPDIR":           "/run/d",
			},
			[]any{"n1", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80", 5, "/run/d"},
		},
	} {
		read, err := ReadConfig(path, func(name string) string { return c.environment[name] })
		if err != nil {
			t.Fatal(err)
		}
		got := []any{
			read.Name,
			read.listen.String(),
			read.discovery.String(),
			read.console.String(),
			read.inheritedFD,
			read.tempDir,
		}
		if d := cmp.Diff(c.want, got); d != "" {
			t.Error(d)
		}
		expectRecordedSettings(t, read)
	}
}

// expectRecordedSettings checks what no variable of the environment replaces.
func expectRecordedSettings(t *testing.T, read *Config) {
	t.Helper()
	numbers := []any{
		read.seed,
		read.Limits.Cores,
		read.Limits.MemoryMB,
		read.Limits.Sockets,
		read.Known.Revision,
		read.Known.Entries[0].UID,
		read.dispatcherSettings.Limits.ConnIdleS,
		read.dispatcherSettings.Limits.ConnectTimeoutS,
	}
	if d := cmp.Diff([]any{uint64(255), 0.5, 64, 2048, int64(3), "u", 7.0, 0.25}, numbers); d != "" {
		t.Error(d)
	}
	names := [][]string{
		read.classNames(),
		read.dispatcherSettings.FailureDomains,
		read.dispatcherSettings.Kinds,
		read.dispatcherSettings.Report.LoadFields,
	}
	if d := cmp.Diff([][]string{{"a"}, {"x", "y"}, {"k"}, {"outstanding"}}, names); d != "" {
		t.Error(d)
	}
}
