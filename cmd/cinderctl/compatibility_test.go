package main

import (
	"strings"
	"testing"

	"cinderroad/internal/compatibility"
)

// TestJSONOutputUnchanged compares the JSON output of each command, which scripts parse, with the recorded one.
func TestJSONOutputUnchanged(t *testing.T) {
	c := &fakeControl{status: newStatus("core-1", true)}
	address := c.serve(t)
	seed := "--seed=" + address
	document := writeFile(t, "c.json", validDocument)
	bad := writeFile(t, "bad.json", unknownService)
	change := writeFile(t, "d.json", validChange)
	for name, arguments := range map[string][]string{
		"check": {"check", document, bad},
		"on":    {"check", "--on", document, "--kind", "change", change},
	} {
		got := call(append([]string{"--json"}, arguments...)...)
		text := got.output
		for path, short := range map[string]string{document: "c.json", bad: "bad.json", change: "d.json"} {
			text = strings.ReplaceAll(text, path, short)
		}
		compatibility.PackageFolder.Check(t, name+".json", []byte(text))
	}
	for _, step := range []struct {
		name      string
		arguments []string
	}{
		{"replace", []string{"config", "replace", "--based-on", "0", document}},
		{"conflict", []string{"config", "change", "--no-check", "--based-on", "1", change}},
		{"change", []string{"config", "change", change}},
		{"read", []string{"config", "read"}},
		{"begin", []string{"drain", "begin", "z"}},
		{"finish", []string{"drain", "finish", "z"}},
		{"status", []string{"status", "--one", "--members"}},
	} {
		got := call(append([]string{seed, "--within=20s", "--json"}, step.arguments...)...)
		compatibility.PackageFolder.Check(t, step.name+".json", []byte(strings.ReplaceAll(got.output, address, "MACHINE")))
	}
}

// TestCounterJSONOutputUnchanged is TestJSONOutputUnchanged for the commands about counters.
func TestCounterJSONOutputUnchanged(t *testing.T) {
	c := &fakeCounters{script: []int{200, 409}}
	seed := c.serve(t)
	machine := &fakeControl{status: newStatus("core-1", true)}
	machine.status.Counters = newCounters()
	machine.status.Members = machine.status.Members[:1]
	for _, step := range []struct {
		name, seed string
		arguments  []string
	}{
		{"tally-read", seed, []string{"read", "visits"}},
		{"tally-change", seed, []string{"change", "visits", "-3", "--id", "a"}},
		{"tally-conflict", seed, []string{"change", "visits", "-4", "--id", "a"}},
		{"tally-status", "--seed=" + machine.serve(t), []string{"status"}},
	} {
		got := call(append([]string{step.seed, "--json", "tally"}, step.arguments...)...)
		text := strings.ReplaceAll(got.output, strings.TrimPrefix(step.seed, "--seed="), "MACHINE")
		compatibility.PackageFolder.Check(t, step.name+".json", []byte(text))
	}
}

// TestHelpUnchanged compares the help texts, which name all commands, arguments and flags, with the recorded ones.
func TestHelpUnchanged(t *testing.T) {
	t.Setenv("COLUMNS", "80") // the help is as wide as a terminal
	for _, command := range []string{
		"",
		"check",
		"status",
		"config",
		"config read",
		"config replace",
		"config change",
		"drain",
		"drain begin",
		"drain finish",
		"tally",
		"tally read",
		"tally change",
		"tally status",
		"version",
	} {
		got := call(append(strings.Fields(command), "--help")...)
		compatibility.PackageFolder.Check(t, "help-"+strings.ReplaceAll(command, " ", "-")+".txt", []byte(got.output))
	}
}
