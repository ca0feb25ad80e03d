package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestUsageErrors(t *testing.T) {
	for _, arguments := range [][]string{{}, {"none"}, {"check"}, {"drain", "begin"}, {"status", "--none"}} {
		call(arguments...).expect(t, exitFailed)
	}
	call("status", "--settings", "").expect(t, exitFailed, "--seed")
	call("--help").expect(t, exitOK, "drain begin")
}

func TestVersion(t *testing.T) {
	call("version").expect(t, exitOK, "cinderctl ")
	call("--version").expect(t, exitOK, "cinderctl ")
	call("--json", "version").expect(t, exitOK, `"go"`)
}

func TestSeedsFromSettings(t *testing.T) {
	c := &fakeControl{version: "8"}
	file := writeFile(t, "s.json", strings.ReplaceAll(validSettings, "SEED", c.serve(t)))
	call("--settings", file, "config", "read").expect(t, exitOK, `{"version":8}`)
}

func TestNoMachineResponds(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	call("--within=1ms", "--seed="+strings.TrimPrefix(server.URL, "http://"), "status").expect(t, exitFailed, "no definite response")
}
