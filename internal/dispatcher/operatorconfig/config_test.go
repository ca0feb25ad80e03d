package operatorconfig

import (
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// The shipped file must be valid as it is, with everything off, and with every key uncommented, with the defaults.
func TestShippedFileHasDefaults(t *testing.T) {
	path := filepath.Join("..", "..", "..", "deploy", "operator.toml")
	config, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	if config.Cluster != nil || len(config.Graphite)+len(config.Collectd) > 0 || config.RequestLog != nil || config.Telemetry.SpoolDir != "" {
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
	uncommented := regexp.MustCompile(`(?m)^# (\[.*|[a-z_]+ = .*)$`).ReplaceAllString(string(text), "$1")
	uncommented = regexp.MustCompile(`(?m)^(address = "127.0.0.1:25826"|security|username|password_file).*\n`).ReplaceAllString(uncommented, "")
	uncommented = strings.Replace(uncommented, `advertise = "127.0.0.1:7946"`, "", 1)
	config, err = Parse(filepath.Join(dir, "operator.toml"), uncommented)
	if err != nil {
		t.Fatal(err)
	}
	defaults := Default()
	if cluster := config.Cluster; cluster == nil || cluster.ProbeIntervalSeconds != DefaultProbeIntervalSeconds || cluster.RetentionSeconds != DefaultRetentionSeconds || !*cluster.Complete || cluster.ParsedAdvertise != cluster.ParsedBind || len(cluster.ParsedSeeds) != 1 {
		t.Errorf("fleet: %+v", config.Cluster)
	}
	if len(config.Graphite) != 1 || len(config.Collectd) != 1 || config.Telemetry.IntervalSeconds != defaults.Telemetry.IntervalSeconds || config.Telemetry.MemoryBytes != defaults.Telemetry.MemoryBytes ||
		config.Telemetry.SpoolBytes != defaults.Telemetry.SpoolBytes || *config.Telemetry.NodeSeries != *defaults.Telemetry.NodeSeries ||
		config.RequestLog.MaxBytes != DefaultLogBytes || *config.RequestLog.KeepFiles != DefaultLogKeepFiles || config.RequestLog.Path != filepath.Join(dir, "requests.log") ||
		config.Graphite[0].TimeoutSeconds != DefaultTimeoutSeconds {
		t.Errorf("%+v: not the defaults that apply without a file", config)
	}
}

// Valid files, and for each error its line, key and text. It is long for its table.
func TestParse(t *testing.T) {
	dir := t.TempDir()
	for name, perm := range map[string]os.FileMode{"good.key": 0o600, "open.key": 0o644, "empty.key": 0o600} {
		text := "geheim\n"
		if name == "empty.key" {
			text = "\n"
		}
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), perm); err != nil {
			t.Fatal(err)
		}
	}
	const signed = "[collectd]\naddress = \"127.0.0.1:1\"\nsecurity = \"sign\"\nusername = \"u\"\n"
	for _, test := range []struct{ text, line, key, says string }{
		{"", "", "", ""},
		{"[graphite]\naddress = \"127.0.0.1:2003\"\nform = \"pickle\"\n", "", "", ""},
		{"[[graphite]]\naddress = \"127.0.0.1:2003\"\n[[graphite]]\naddress = \"127.0.0.1:2004\"\n", "", "", ""},
		{"[fleet]\nname = \"f\"\nbind = \"127.0.0.1:7946\"\n", "", "", ""},
		{"[fleet]\nbind = \"127.0.0.1:7946\"\n", "", "fleet.name", "must be there"},
		{"[fleet]\nname = \"f\"\n", "", "fleet.bind", "must be there"},
		{"[fleet]\nname = \"f\"\nbind = \"here:7946\"\n", ":3", "fleet.bind", "no IP address and port"},
		{"[fleet]\nname = \"f\"\nbind = \"0.0.0.0:7946\"\n", ":3", "fleet.bind", "name one in advertise"},
		{"[fleet]\nname = \"f\"\nbind = \"0.0.0.0:7946\"\nadvertise = \"0.0.0.0:7946\"\n", ":4", "fleet.advertise", "no address that others can reach"},
		{"[fleet]\nname = \"f\"\nbind = \"0.0.0.0:7946\"\nadvertise = \"127.0.0.1:7946\"\n", "", "", ""},
		{"[fleet]\nname = \"f\"\nbind = \"127.0.0.1:7946\"\nseeds = [\"127.0.0.1:7947\", \"b\"]\n", ":4", "fleet.seeds", "\"b\" is no IP address"},
		{"[fleet]\nname = \"f\"\nbind = \"127.0.0.1:7946\"\nperiod_s = 0.01\n", ":4", "fleet.period_s", "not within 0.1 and 10"},
		{"[fleet]\nname = \"f\"\nbind = \"127.0.0.1:7946\"\nlease_s = 10\n", ":4", "fleet.lease_s", "not within 20 and 3600"},
		{"[fleet]\nname = \"f\"\nbind = \"127.0.0.1:7946\"\nperiod_s = 0.2\nlease_s = 6\n", "", "", ""},
		{"[fleet]\nname = \"f\"\nbind = \"127.0.0.1:7946\"\nperiod = 1\n", ":4", "fleet.period", "unknown key"},
		{signed + "password_file = \"good.key\"\n", "", "", ""},
		{"[graphite\n", ":", "", "table name"},
		{"\n[graphite]\naddress = 7\n", ":3", "graphite.address", "incompatible types"},
		{"[graphite]\naddress = \"127.0.0.1:2003\"\ncolour = \"red\"\n", ":3", "graphite.colour", "unknown key"},
		{"[grafite]\n", ":1", "grafite", "unknown key"},
		{"[[graphite]]\naddress = \"127.0.0.1:2003\"\n\n[[graphite]]\naddress = \"localhost\"\n", ":5", "graphite[1].address", "localhost"},
		{"[[graphite]]\naddress = \"127.0.0.1:1\"\n[[graphite]]\naddress = \"127.0.0.1:1\"\n", ":4", "graphite[1].address", "twice"},
		{"[graphite]\naddress = \"127.0.0.1:0\"\n", ":2", "graphite[0].address", "no port"},
		{"[graphite]\naddress = \"127.0.0.1:1\"\nform = \"json\"\n", ":3", "graphite[0].form", "plaintext, pickle"},
		{"[graphite]\naddress = \"127.0.0.1:1\"\nprefix = \"a b\"\n", ":3", "graphite[0].prefix", "letters"},
		{"[graphite]\naddress = \"127.0.0.1:1\"\npatience_s = nan\n", ":3", "graphite[0].patience_s", "not within"},
		{"[collectd]\n", "", "collectd[0].socket", "either"},
		{"[collectd]\nsocket = \"s\"\nsecurity = \"sign\"\n", ":3", "collectd[0].security", "unix socket"},
		{signed, "", "collectd[0].password_file", "must be there"},
		{signed + "password_file = \"open.key\"\n", ":5", "collectd[0].password_file", "rights for others"},
		{signed + "password_file = \"empty.key\"\n", ":5", "collectd[0].password_file", "one line"},
		{signed + "password_file = \"none.key\"\n", ":5", "collectd[0].password_file", "no such file"},
		{"[telemetry]\nevery_s = 0.5\n", ":2", "telemetry.every_s", "not within"},
		{"[graphite]\naddress = \"127.0.0.1:1\"\nevery_s = 5\n[telemetry]\nevery_s = 10\n", ":3", "graphite[0].every_s", "share one period"},
		{"[graphite]\naddress = \"127.0.0.1:1\"\nevery_s = 0.5\n", "", "telemetry.every_s", "not within"},
		{"[telemetry]\nnode_series = -1\n", ":2", "telemetry.node_series", "not within"},
		{"[telemetry]\nspool_bytes = 1\n", ":2", "telemetry.spool_bytes", "below"},
		{"[request_log]\nkeep = 3\n", "", "request_log.path", "must be there"},
		{"[request_log]\npath = \"x\"\nmax_bytes = 1\n", ":3", "request_log.max_bytes", "below"},
	} {
		path := filepath.Join(dir, "operator.toml")
		_, err := Parse(path, test.text)
		var configError *Error
		switch {
		case test.line == "" && test.key == "":
			if err != nil {
				t.Errorf("%q: %v", test.text, err)
			}
		case !errors.As(err, &configError):
			t.Errorf("%q: %v", test.text, err)
		case !strings.Contains(configError.Error(), path+test.line) || test.key != "" && configError.Key != test.key || !strings.Contains(configError.Error(), test.says):
			t.Errorf("%q: %v, want line %s, key %s and %q", test.text, configError, test.line, test.key, test.says)
		case strings.Contains(configError.Error(), "geheim"):
			t.Errorf("the error contains the password: %v", configError)
		}
	}
	if _, err := Read(filepath.Join(dir, "none.toml")); err == nil || !strings.Contains(err.Error(), "none.toml") {
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
