package operatorconfig

import (
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"cinderroad/internal/dispatcher/configerror"
)

// The shipped file must be valid as it is, with everything off, and with every key uncommented, with the defaults.
func TestShippedFileHasDefaults(t *testing.T) {
	path := filepath.Join("..", "..", "..", "deploy", "operator.toml")
	config, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	isAnyOn := config.Cluster != nil ||
		len(config.Graphite) > 0 ||
		len(config.Collectd) > 0 ||
		config.RequestLog != nil ||
		config.Telemetry.SpoolDir != ""
	if isAnyOn {
		t.Error("a section of the shipped file is on")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "collectd.key"), []byte("geheim\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	commentedKey := regexp.MustCompile(`(?m)^# (\[.*|[a-z_]+ = .*)$`)
	networkKey := regexp.MustCompile(`(?m)^(address = "127.0.0.1:25826"|security|username|password_file).*\n`)
	uncommented := commentedKey.ReplaceAllString(string(text), "$1")
	uncommented = networkKey.ReplaceAllString(uncommented, "")
	uncommented = strings.Replace(uncommented, `advertise = "127.0.0.1:7946"`, "", 1)
	config, err = Parse(filepath.Join(dir, "operator.toml"), uncommented)
	if err != nil {
		t.Fatal(err)
	}
	if config.Cluster == nil || config.RequestLog == nil || len(config.Graphite) != 1 || len(config.Collectd) != 1 {
		t.Fatalf("%+v: not all sections are on", config)
	}
	cluster := config.Cluster
	telemetry := config.Telemetry
	defaults := Default().Telemetry
	for key, isDefault := range map[string]bool{
		"fleet.period_s":         cluster.ProbeIntervalSeconds == DefaultProbeIntervalSeconds,
		"fleet.forget_s":         cluster.RetentionSeconds == DefaultRetentionSeconds,
		"fleet.whole":            *cluster.Complete,
		"fleet.advertise":        cluster.ParsedAdvertise == cluster.ParsedBind,
		"fleet.seeds":            len(cluster.ParsedSeeds) == 1,
		"telemetry.every_s":      telemetry.IntervalSeconds == defaults.IntervalSeconds,
		"telemetry.memory_bytes": telemetry.MemoryBytes == defaults.MemoryBytes,
		"telemetry.spool_bytes":  telemetry.SpoolBytes == defaults.SpoolBytes,
		"telemetry.node_series":  *telemetry.NodeSeries == *defaults.NodeSeries,
		"request_log.max_bytes":  config.RequestLog.MaxBytes == DefaultLogBytes,
		"request_log.keep":       *config.RequestLog.KeepFiles == DefaultLogKeepFiles,
		"request_log.path":       config.RequestLog.Path == filepath.Join(dir, "requests.log"),
		"graphite.patience_s":    config.Graphite[0].TimeoutSeconds == DefaultTimeoutSeconds,
	} {
		if !isDefault {
			t.Errorf("%s: not the default that applies without a file: %+v", key, config)
		}
	}
}

// signedSection is a section [collectd] without its password file.
const signedSection = "[collectd]\naddress = \"127.0.0.1:1\"\nsecurity = \"sign\"\nusername = \"u\"\n"

// writePasswordFiles writes password files that are accepted (good.key), readable by others (open.key) and without a
// password (empty.key).
func writePasswordFiles(t *testing.T, dir string) {
	t.Helper()
	for name, perm := range map[string]os.FileMode{"good.key": 0o600, "open.key": 0o644, "empty.key": 0o600} {
		text := "geheim\n"
		if name == "empty.key" {
			text = "\n"
		}
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), perm); err != nil {
			t.Fatal(err)
		}
	}
}

func TestParseAcceptsValidFiles(t *testing.T) {
	dir := t.TempDir()
	writePasswordFiles(t, dir)
	for _, text := range []string{
		"",
		"[graphite]\naddress = \"127.0.0.1:2003\"\nform = \"pickle\"\n",
		"[[graphite]]\naddress = \"127.0.0.1:2003\"\n[[graphite]]\naddress = \"127.0.0.1:2004\"\n",
		"[fleet]\nname = \"f\"\nbind = \"127.0.0.1:7946\"\n",
		"[fleet]\nname = \"f\"\nbind = \"0.0.0.0:7946\"\nadvertise = \"127.0.0.1:7946\"\n",
		"[fleet]\nname = \"f\"\nbind = \"127.0.0.1:7946\"\nperiod_s = 0.2\nlease_s = 6\n",
		signedSection + "password_file = \"good.key\"\n",
	} {
		if _, err := Parse(filepath.Join(dir, "operator.toml"), text); err != nil {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// parseErrorCase is an invalid file, and what its error must say.
type parseErrorCase struct {
	text string
	line string // with a colon before it; empty: any
	key  string // empty: any
	says string
}

// check parses the file at a path, beside which the password files are.
func (test *parseErrorCase) check(t *testing.T, path string) {
	t.Helper()
	_, err := Parse(path, test.text)
	var configError *configerror.Error
	if !errors.As(err, &configError) {
		t.Errorf("%q: %v", test.text, err)
		return
	}
	message := configError.Error()
	hasLine := strings.Contains(message, path+test.line)
	hasKey := test.key == "" || configError.Key == test.key
	if !hasLine || !hasKey || !strings.Contains(message, test.says) {
		t.Errorf("%q: %v, want line %s, key %s and %q", test.text, configError, test.line, test.key, test.says)
	}
	if strings.Contains(message, "geheim") {
		t.Errorf("the error contains the password: %v", configError)
	}
}

// Each error names its line and key.
func TestParseErrors(t *testing.T) {
	dir := t.TempDir()
	writePasswordFiles(t, dir)
	for section, cases := range parseErrorCases {
		t.Run(section, func(t *testing.T) {
			for i := range cases {
				cases[i].check(t, filepath.Join(dir, "operator.toml"))
			}
		})
	}
}

var parseErrorCases = map[string][]parseErrorCase{
	"fleet": {
		{"[fleet]\nbind = \"127.0.0.1:7946\"\n", "", "fleet.name", "is required"},
		{"[fleet]\nname = \"f\"\n", "", "fleet.bind", "is required"},
		{"[fleet]\nname = \"f\"\nbind = \"here:7946\"\n", ":3", "fleet.bind", "no IP address and port"},
		{"[fleet]\nname = \"f\"\nbind = \"0.0.0.0:7946\"\n", ":3", "fleet.bind", "set advertise"},
		{
			text: "[fleet]\nname = \"f\"\nbind = \"0.0.0.0:7946\"\nadvertise = \"0.0.0.0:7946\"\n",
			line: ":4",
			key:  "fleet.advertise",
			says: "is not reachable by other members",
		},
		{
			text: "[fleet]\nname = \"f\"\nbind = \"127.0.0.1:7946\"\nseeds = [\"127.0.0.1:7947\", \"b\"]\n",
			line: ":4",
			key:  "fleet.seeds",
			says: "\"b\" is no IP address",
		},
		{"[fleet]\nname = \"f\"\nbind = \"127.0.0.1:7946\"\nperiod_s = 0.01\n", ":4", "fleet.period_s", "not within 0.1 and 10"},
		{"[fleet]\nname = \"f\"\nbind = \"127.0.0.1:7946\"\nlease_s = 10\n", ":4", "fleet.lease_s", "not within 20 and 3600"},
	},
	"graphite": {
		{"[[graphite]]\naddress = \"127.0.0.1:2003\"\n\n[[graphite]]\naddress = \"localhost\"\n", ":5", "graphite[1].address", "localhost"},
		{
			text: "[[graphite]]\naddress = \"127.0.0.1:1\"\n[[graphite]]\naddress = \"127.0.0.1:1\"\n",
			line: ":4",
			key:  "graphite[1].address",
			says: "duplicate receiver",
		},
		{"[graphite]\naddress = \"127.0.0.1:0\"\n", ":2", "graphite[0].address", "no port"},
		{"[graphite]\naddress = \"127.0.0.1:1\"\nform = \"json\"\n", ":3", "graphite[0].form", "plaintext, pickle"},
		{"[graphite]\naddress = \"127.0.0.1:1\"\nprefix = \"a b\"\n", ":3", "graphite[0].prefix", "letters"},
		{"[graphite]\naddress = \"127.0.0.1:1\"\npatience_s = nan\n", ":3", "graphite[0].patience_s", "not within"},
		{
			text: "[graphite]\naddress = \"127.0.0.1:1\"\nevery_s = 5\n[telemetry]\nevery_s = 10\n",
			line: ":3",
			key:  "graphite[0].every_s",
			says: "share one period",
		},
	},
	"collectd": {
		{"[collectd]\n", "", "collectd[0].socket", "either"},
		{"[collectd]\nsocket = \"s\"\nsecurity = \"sign\"\n", ":3", "collectd[0].security", "Unix socket"},
		{signedSection, "", "collectd[0].password_file", "is required"},
		{signedSection + "password_file = \"open.key\"\n", ":5", "collectd[0].password_file", "permissions for other users"},
		{signedSection + "password_file = \"empty.key\"\n", ":5", "collectd[0].password_file", "one line"},
		{signedSection + "password_file = \"none.key\"\n", ":5", "collectd[0].password_file", "no such file"},
	},
	"telemetry and request log": {
		{"[telemetry]\nevery_s = 0.5\n", ":2", "telemetry.every_s", "not within"},
		{"[graphite]\naddress = \"127.0.0.1:1\"\nevery_s = 0.5\n", "", "telemetry.every_s", "not within"},
		{"[telemetry]\nnode_series = -1\n", ":2", "telemetry.node_series", "not within"},
		{"[telemetry]\nspool_bytes = 1\n", ":2", "telemetry.spool_bytes", "below"},
		{"[request_log]\nkeep = 3\n", "", "request_log.path", "is required"},
		{"[request_log]\npath = \"x\"\nmax_bytes = 1\n", ":3", "request_log.max_bytes", "below"},
	},
	"syntax": {
		{"[fleet]\nname = \"f\"\nbind = \"127.0.0.1:7946\"\nperiod = 1\n", ":4", "fleet.period", "unknown key"},
		{"[graphite\n", ":", "", "table name"},
		{"\n[graphite]\naddress = 7\n", ":3", "graphite.address", "incompatible types"},
		{"[graphite]\naddress = \"127.0.0.1:2003\"\ncolour = \"red\"\n", ":3", "graphite.colour", "unknown key"},
		{"[grafite]\n", ":1", "grafite", "unknown key"},
	},
}

func TestReadNamesMissingFile(t *testing.T) {
	if _, err := Read(filepath.Join(t.TempDir(), "none.toml")); err == nil || !strings.Contains(err.Error(), "none.toml") {
		t.Error(err)
	}
}

// clusterSection is a minimal section [fleet].
const clusterSection = "[fleet]\nname = \"f\"\nbind = \"127.0.0.1:7946\"\n"

// The defaults of the audit log's path and of the lease.
func TestClusterDefaults(t *testing.T) {
	for text, want := range map[string]string{
		clusterSection: "",
		clusterSection + "[request_log]\npath = \"requests\"\n":                          "/etc/requests.ledger",
		clusterSection + "ledger = \"books\"\n":                                          "/etc/books",
		clusterSection + "ledger = \"/var/books\"\n[request_log]\npath = \"requests\"\n": "/var/books",
	} {
		config, err := Parse("/etc/operator.toml", text)
		if err != nil {
			t.Fatal(err)
		}
		if config.Cluster.AuditLogPath != want || config.Cluster.LeaseSeconds != 20 {
			t.Errorf("%q: ledger %q, lease %v", text, config.Cluster.AuditLogPath, config.Cluster.LeaseSeconds)
		}
	}
}

// Common must ignore comments and the keys that differ between members, and nothing else.
func TestCommon(t *testing.T) {
	x, errX := Parse("/etc/a.toml", clusterSection+"[request_log]\npath = \"x\" # here\n")
	y, errY := Parse("/etc/b.toml", "# another\n[fleet]\nname = \"f\"\nbind = \"127.0.0.1:7947\"\n\n[request_log]\npath = \"y\"\n")
	z, errZ := Parse("/etc/c.toml", clusterSection+"forget_s = 90\n[request_log]\npath = \"x\"\n")
	if errX != nil || errY != nil || errZ != nil || x.Common() != y.Common() || x.Common() == z.Common() {
		t.Errorf("%v %v %v:\n%s\n%s\n%s", errX, errY, errZ, x.Common(), y.Common(), z.Common())
	}
}
