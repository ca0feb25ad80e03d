package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// call runs a command line and returns what it prints.
func call(args ...string) (string, error) {
	root := rootCommand()
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(normalizeFlags(root, args))
	err := root.Execute()
	return out.String(), err
}

// TestMetricsPage checks that the page of all series is what the program says of itself. To write it anew:
// cinderroad-dispatcher figures --page >docs/figures.md
func TestMetricsPage(t *testing.T) {
	want, err := os.ReadFile("../../docs/figures.md")
	if err != nil {
		t.Fatal(err)
	}
	got, err := call("figures", "--page")
	if d := cmp.Diff(string(want), got); err != nil || d != "" {
		t.Error(err, d)
	}
}

// TestSingleDashFlags checks that long flags may have one dash, as in the first releases.
func TestSingleDashFlags(t *testing.T) {
	root := rootCommand()
	args := []string{"serve", "-config", "x", "-log=debug", "--graphite", "a", "-metrics-every", "1", "-h", "-unknown"}
	want := []string{"serve", "--config", "x", "--log=debug", "--graphite", "a", "--metrics-every", "1", "-h", "-unknown"}
	if d := cmp.Diff(want, normalizeFlags(root, args)); d != "" {
		t.Error(d)
	}
}

// TestCheck checks what is printed of a valid configuration, and that errors say where an invalid one is wrong.
func TestCheck(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	example := "../../internal/dispatcher/server/example.json"
	operator := file("o.toml", "[graphite]\naddress = \"127.0.0.1:2003\"\n[request_log]\npath = \"r.log\"\n")
	out, err := call("check", "-config", example, "-operator", operator)
	for _, want := range []string{"dispatcher-1", "127.0.0.1:2003", filepath.Join(dir, "r.log"), "report, charge"} {
		if err != nil || !strings.Contains(out, want) {
			t.Errorf("%v: no %q in\n%s", err, want, out)
		}
	}
	for _, tc := range []struct {
		args []string
		says string
	}{
		{[]string{"check", "--config", ""}, "--config FILE"},
		{[]string{"check", "--config", ""}, `"categories"`},
		{[]string{"--config", ""}, "ROUTER_CONFIG"},
		{[]string{"check", "-config", file("none", "") + "x"}, "no such file"},
		{[]string{"check", "-config", file("bad.json", "{\n \"name\": 1x\n}")}, "bad.json:2"},
		{[]string{"check", "-config", file("kind.json", "{\n \"name\": 1\n}")}, "kind.json:2"},
		{
			[]string{"check", "-config", example, "-operator", file("p.toml", "[telemetry]\nevery = 1\n")},
			"p.toml:2: telemetry.every: unknown key",
		},
		{[]string{"check", "-config", example, "-graphite", "nowhere"}, "graphite"},
		{[]string{"serve", "-config", example, "-log", "loud"}, "loud"},
		{[]string{"sreve"}, "unknown command"},
	} {
		if out, err := call(tc.args...); err == nil || !strings.Contains(err.Error(), tc.says) {
			t.Errorf("%v: %v, want %q\n%s", tc.args, err, tc.says, out)
		}
	}
}

// auditCase is what a receiver has got of the answers in TestAudit's request log.
type auditCase struct {
	received []string
	says     string // empty: they agree
}

// auditCases are metrics that agree with the request log, differ from it or make no sense.
var auditCases = []auditCase{
	{received: []string{
		"c.n_0.classes.score.answers.in_time 1 10",
		"c.n_0.classes.score.answers.in_time 2 20",
		"c.n_0.classes.score.answers.refused 1 20",
		"c.n_0.reqs.open 5 20",
	}},
	{received: []string{ // again, out of order, and begun anew by a restart
		"c.n_0.classes.score.answers.in_time 1 20",
		"c.n_0.classes.score.answers.in_time 1 10",
		"c.n_0.classes.score.answers.in_time 1 10",
		"c.n_0.classes.score.answers.in_time 0 15",
		"c.n_0.classes.score.answers.refused 1 20",
	}},
	{received: []string{
		`PUTVAL "n_0/cinderroad/derive-classes_score_answers_in_time" interval=10 10.5:2`,
		`PUTVAL "n_0/cinderroad/derive-classes_score_answers_refused" interval=10 10.5:1`,
	}},
	{
		received: []string{"c.n_0.classes.score.answers.in_time 2 20"},
		says:     "1 answers differ",
	},
	{
		received: []string{
			"c.n_0.classes.score.answers.in_time 2 20",
			"c.n_0.classes.score.answers.refused 1 20",
			"c.n_0.classes.score.answers.gone 1 20",
		},
		says: "1 answers differ",
	},
	{
		received: []string{
			"c.n_0.classes.score.answers.in_time 2 20",
			"c.n_0.classes.score.answers.refused 1 20",
			"half a li",
		},
		says: "malformed records",
	},
}

// TestAudit checks the verdict on a request log and the received metrics.
func TestAudit(t *testing.T) {
	dir := t.TempDir()
	file := func(name string, lines ...string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	log := file("log",
		`{"by":"n.0","id":"1","class":"score","verdict":"in_time"}`,
		`{"by":"n.0","id":"2","class":"score","verdict":"in_time"}`,
		`{"by":"n.0","id":"3","class":"score","verdict":"refused"}`,
	)
	for _, tc := range auditCases {
		out, err := call("audit", "--log", log, "--received", file("received", tc.received...))
		if tc.says == "" && err != nil || tc.says != "" && (err == nil || !strings.Contains(err.Error(), tc.says)) {
			t.Errorf("%q: %v\n%s", tc.received, err, out)
		}
	}
	if _, err := call("audit", "--log", log); err == nil || !strings.Contains(err.Error(), "received") {
		t.Error(err)
	}
}

// TestVersionFlag checks that --version prints what the command version prints.
func TestVersionFlag(t *testing.T) {
	byCommand, err := call("version")
	if err != nil {
		t.Fatal(err)
	}
	byFlag, err := call("--version")
	if err != nil || byFlag != byCommand {
		t.Errorf("%q, want %q; %v", byFlag, byCommand, err)
	}
}
