package compatibility_test

import (
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cinderroad/internal/dispatcher/gearman"
	"cinderroad/internal/dispatcher/operatorconfig"
	"cinderroad/internal/dispatcher/settings"
	"cinderroad/internal/system/processconfig"
	"cinderroad/loadbalancer"
)

// processSettings is a settings file as the platform writes it.
const processSettings = `{"node":"edge-1","role":"proxy","machine_class":"edge","serves_roles":["edge"],` +
	`"ip":"10.1.0.12","zone":"east-a","region":"east","zones":{"east-a":"east","west-a":"west"},` +
	`"listen_on":{"front":"10.1.0.12:80","ready":"10.1.0.12:81","control":"10.1.0.12:82","directory":"10.1.0.12:83"},` +
	`"free_ports":[7660,7675],"seed_nodes":["10.1.0.15:8146"],"first_boot":true,"counts_as_loss":true,` +
	`"limits":{"cpu_fraction":0.4,"ram_mb":284,"open_files":4100,"link_mbps":1000.0,"storage_mb":7},"state_dir":"/state",` +
	`"survive":{"machine_losses":1,"zones":2,"region_losses":3},` +
	`"timing":{"seed_lag_s":1,"reuse_after_s":2,"in_touch_ms":3,"ack_within_ms":4,"catch_up_ms":5,"drain_within_s":6,` +
	`"grace_period_s":7,"lost_slack_ms":8,"config_within_ms":9,"go_back_ms":10,"stretch_s":11,"evacuate_s":12,"recovery_s":13,` +
	`"pass_ms":14,"ttl_max_s":15,"retry_ratio":0.2,"retry_window_s":16,"retry_extra":17,` +
	`"cold_excess":1.5,"cold_slack":18},` +
	`"cloud_api":{"address":"10.200.0.4:8142","rate_per_s":42.0,"max_lag_ms":800}}`

// TestReadProcessSettings checks the settings file that the platform gives each program of the system.
func TestReadProcessSettings(t *testing.T) {
	const ms, s = time.Millisecond, time.Second
	got := must(processconfig.Parse([]byte(processSettings)))(t)
	expectEqual(t, "settings", *got, processconfig.Settings{
		Node:         "edge-1",
		Role:         "proxy",
		MachineClass: "edge",
		ServesRoles:  []string{"edge"},
		IP:           netip.MustParseAddr("10.1.0.12"),
		Zone:         "east-a",
		Region:       "east",
		Zones:        map[string]string{"east-a": "east", "west-a": "west"},
		ListenOn: processconfig.Listen{
			Front:     netip.MustParseAddrPort("10.1.0.12:80"),
			Ready:     netip.MustParseAddrPort("10.1.0.12:81"),
			Control:   netip.MustParseAddrPort("10.1.0.12:82"),
			Directory: netip.MustParseAddrPort("10.1.0.12:83"),
		},
		FreePorts:        processconfig.PortRange{First: 7660, Last: 7675},
		SeedNodes:        []netip.AddrPort{netip.MustParseAddrPort("10.1.0.15:8146")},
		FirstBoot:        true,
		CountsAsLoss:     true,
		StateDir:         "/state",
		Limits:           processconfig.Limits{CPUFraction: 0.4, RAMMB: 284, OpenFiles: 4100, LinkMbps: 1000, StorageMB: 7},
		SurvivableLosses: processconfig.SurvivableLosses{Machines: 1, Zones: 2, Regions: 3},
		Timing: processconfig.Timing{
			AckWithin:          4 * ms,
			CatchUp:            5 * ms,
			DrainWithin:        6 * s,
			GracePeriod:        7 * s,
			ConfigWithin:       9 * ms,
			Evacuate:           12 * s,
			TTLMax:             15 * s,
			RetryRatio:         0.2,
			RetryWindow:        16 * s,
			RetryAllowance:     17,
			SlowStartFactor:    1.5,
			SlowStartAllowance: 18,
		},
		CloudAPI: processconfig.CloudAPI{Address: netip.MustParseAddrPort("10.200.0.4:8142"), CallsPerSecond: 42, MaxLag: 800 * ms},
	})
	expectEqual(t, "variable", processconfig.PathVariable, "CINDERROAD_SETTINGS")
	expectEqual(t, "ports", []uint16{
		got.Port(processconfig.ControlRPCPort),
		got.Port(processconfig.GossipPort),
		got.Port(processconfig.AgentFeedPort),
		got.Port(processconfig.AgentRPCPort),
		got.Port(processconfig.ProxyPort),
	}, []uint16{7660, 7661, 7662, 7663, 7664})
}

// dispatcherSettings are settings of a dispatcher. One of their fields is not known.
const dispatcherSettings = `{"categories":[` +
	`{"name":"a","objectiveS":0.1,"deadlineS":5,"repeat":"retryable","worth":2,"lateShare":0.25,"unknownKey":[1]},` +
	`{"name":"b","objectiveS":0.6,"deadlineS":9,"repeat":"dedup","dedupScope":"cell","windowS":7,"worth":8,"aimStretch":3},` +
	`{"name":"c","objectiveS":0.7,"deadlineS":10,"repeat":"fragile","dedupScope":"zone","worth":9}],` +
	`"familyInfo":{"classKind":[-1,1],"classStretch":[2,2.5],"reportX0":"free slots","reportX1":"free memory","tellsStart":true},` +
	`"failureDomains":["x","y"],"zone":1,"nInstances":3,"me":2,"membershipMode":"on_request","tickS":0.004,"overShareWorth":0.5,` +
	`"guarantees":{"answerSlackS":0.016,"askWithinS":11,"coldS":23,"coldShare":0.14,"fallMultiple":4,"fallS":1.5},` +
	`"limits":{"attemptsCap":6,"mayCancel":true,"mayProbe":true,"parallelTries":true,"retryAfter":true,"maxRetryAfterS":12},` +
	`"report":{"fields":["outstanding","throughput","x0","x1","utilization","backlog"],"via":"pull"},` +
	`"tenants":[{"name":"t","quotaPerS":13}]}`

// dispatcherClasses are the classes of dispatcherSettings.
var dispatcherClasses = []loadbalancer.Class{
	{
		Name:           "a",
		Objective:      0.1,
		Stretch:        2,
		Deadline:       5,
		Value:          2,
		LateValueShare: 0.25,
		RetrySafety:    loadbalancer.RetrySafe,
		Kind:           -1,
	},
	{
		Name:        "b",
		Objective:   0.6,
		Stretch:     3,
		Deadline:    9,
		DedupWindow: 7,
		Value:       8,
		RetrySafety: loadbalancer.RetryDeduplicated,
		DedupScope:  loadbalancer.DedupCell,
		Kind:        1,
	},
	{
		Name:        "c",
		Objective:   0.7,
		Deadline:    10,
		Value:       9,
		RetrySafety: loadbalancer.RetryUnsafe,
		DedupScope:  loadbalancer.DedupZone,
		Kind:        -1,
	},
}

// TestReadDispatcherSettings checks the settings of the dispatcher and of the bench's decisions.
func TestReadDispatcherSettings(t *testing.T) {
	got := must(settings.Parse([]byte(dispatcherSettings)))(t)
	expectEqual(t, "settings", got, loadbalancer.Settings{
		Classes:   dispatcherClasses,
		Tenants:   []loadbalancer.Tenant{{Name: "t", QuotaPerSec: 13}},
		Zones:     2,
		Zone:      1,
		Instances: 3,
		Instance:  2,
		ReportFields: []loadbalancer.ReportField{
			loadbalancer.FieldInFlight,
			loadbalancer.FieldIgnored,
			loadbalancer.FieldFreeSlots,
			loadbalancer.FieldFreeMemory,
			loadbalancer.FieldUtilization,
			loadbalancer.FieldQueued,
		},
		ReportsByProbe:        true,
		ListOnRequest:         true,
		MayProbe:              true,
		MayCancel:             true,
		ParallelAttempts:      true,
		MayRetryAfter:         true,
		MaxAttempts:           6,
		MaxRetryAfter:         12,
		ReportsStart:          true,
		Tick:                  0.004,
		AnswerSlack:           0.016,
		ListRefreshInterval:   11,
		SlowStartDuration:     23,
		SlowStartInitialShare: 0.14,
		OverloadMultiple:      4,
		OverloadWindow:        1.5,
		OverQuotaValue:        0.5,
	})
}

// operatorConfig is an operator configuration file.
const operatorConfig = `
[[graphite]]
address = "127.0.0.1:2003"
form = "pickle"
prefix = "p"
confirm = "none"
patience_s = 21.0
[[collectd]]
socket = "/run/collectd.sock"
patience_s = 22.0
[[collectd]]
address = "127.0.0.1:25826"
security = "none"
[telemetry]
every_s = 11.0
memory_bytes = 1048577
spool_dir = "/spool"
spool_bytes = 67108865
node_series = 257
[request_log]
path = "/log"
max_bytes = 67108866
keep = 5
[fleet]
name = "f"
bind = "127.0.0.1:7946"
advertise = "127.0.0.1:7947"
seeds = ["127.0.0.1:7948"]
period_s = 1.5
forget_s = 3601.0
discovery = "d"
lease_s = 31.0
ledger = "/ledger"
whole = false
`

// TestReadOperatorConfigFiles checks each key of the operator's configuration file of a dispatcher.
func TestReadOperatorConfigFiles(t *testing.T) {
	got := must(operatorconfig.Parse("operator.toml", operatorConfig))(t)
	keep := 5
	series := 257
	whole := false
	address := netip.MustParseAddrPort
	expectEqual(t, "graphite", got.Graphite, []operatorconfig.Graphite{{
		Address:        "127.0.0.1:2003",
		Protocol:       "pickle",
		Prefix:         "p",
		Confirm:        "none",
		TimeoutSeconds: 21,
		ParsedAddress:  address("127.0.0.1:2003"),
	}})
	expectEqual(t, "collectd", got.Collectd, []operatorconfig.Collectd{
		{Socket: "/run/collectd.sock", Security: "none", TimeoutSeconds: 22},
		{
			Address:        "127.0.0.1:25826",
			Security:       "none",
			TimeoutSeconds: 20,
			ParsedAddress:  address("127.0.0.1:25826"),
		},
	})
	expectEqual(t, "telemetry", got.Telemetry, operatorconfig.Telemetry{
		IntervalSeconds: 11,
		MemoryBytes:     1048577,
		SpoolDir:        "/spool",
		SpoolBytes:      67108865,
		NodeSeries:      &series,
	})
	expectEqual(t, "request log", *got.RequestLog, operatorconfig.RequestLog{Path: "/log", MaxBytes: 67108866, KeepFiles: &keep})
	expectEqual(t, "fleet", *got.Cluster, operatorconfig.Cluster{
		Name:                 "f",
		Bind:                 "127.0.0.1:7946",
		Advertise:            "127.0.0.1:7947",
		Seeds:                []string{"127.0.0.1:7948"},
		ProbeIntervalSeconds: 1.5,
		RetentionSeconds:     3601,
		DiscoveryID:          "d",
		LeaseSeconds:         31,
		AuditLogPath:         "/ledger",
		Complete:             &whole,
		ParsedBind:           address("127.0.0.1:7946"),
		ParsedAdvertise:      address("127.0.0.1:7947"),
		ParsedSeeds:          []netip.AddrPort{address("127.0.0.1:7948")},
	})
}

// TestReadGearmanConfigFiles checks each key of the configuration file of the Gearman front.
func TestReadGearmanConfigFiles(t *testing.T) {
	const text = `
listen = "127.0.0.1:4730"
allow_shutdown = true
max_jobs = 10001
max_bytes = 33554433
[[function]]
name = "f"
class = "score"
deadline_s = 4.0
background_deadline_s = 61.0
[[worker]]
network = "127.0.0.0/8"
zone = "milano"
kind = "five-core"
cell = 1000
`
	path := filepath.Join(t.TempDir(), "gearman.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	got := must(gearman.ReadConfig(path, gearman.SettingsNames{
		Classes:   []string{"score"},
		Zones:     []string{"milano"},
		Kinds:     []string{"five-core"},
		Deadlines: []float64{5},
	}))(t)
	expectEqual(t, "front", []any{got.Listen, got.AllowShutdown, got.MaxJobs, got.MaxBytes}, []any{"127.0.0.1:4730", true, 10001, 33554433})
	function := got.Functions[0]
	worker := got.Workers[0]
	expectEqual(t, "function", []any{
		function.Name,
		function.Class,
		function.Deadline,
		function.BackgroundDeadline,
	}, []any{"f", "score", 4.0, 61.0})
	expectEqual(t, "place", []any{worker.Network, worker.Zone, worker.Kind, worker.Cell}, []any{"127.0.0.0/8", "milano", "five-core", 1000})
}
