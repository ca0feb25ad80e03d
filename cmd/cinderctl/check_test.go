package main

import (
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"
)

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
