package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cinderroad/internal/dispatcher/cluster"
	list "cinderroad/internal/dispatcher/cluster/versions"
)

// fakeDispatcher stands in for the second address of a dispatcher.
func fakeDispatcher(t *testing.T, name, digest string, settled bool, members *[]cluster.Member) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		switch r.Method + " " + r.URL.Path {
		case "GET /api/fleet":
			_ = json.NewEncoder(rw).Encode(cluster.Status{
				Cluster:   "f",
				Self:      name,
				Digest:    digest,
				Converged: settled,
				Members:   *members,
				Share:     cluster.StatusShare{Instances: 3, Fraction: 1, Reason: "full"},
			})
		case "PUT /api/fleet/gone":
			rw.WriteHeader(409)
			fmt.Fprintln(rw, "membership: a is alive: only one that is dead can be declared gone")
		}
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// withListVersions gives members versions of the list in turn; below 0 is none.
func withListVersions(members []cluster.Member, revs ...int64) []cluster.Member {
	for i, rev := range revs {
		if rev >= 0 {
			members[i].ListVersion = &list.Version{Source: "here", Revision: rev}
		}
	}
	return members
}

// fleetCommandCase is one call of a command for clusters of dispatchers.
type fleetCommandCase struct {
	name    string
	members []cluster.Member // as all dispatchers hold them
	args    []string
	says    []string // parts of the output
	fails   string   // part of the error; empty: status 0
}

// fleetCommandCases are a table, JSON, and checks that name who disagrees, who does not answer and who cannot be asked. of
// returns members by their names.
func fleetCommandCases(of func(names ...string) []cluster.Member) []fleetCommandCase {
	return []fleetCommandCase{
		{
			name:    "table",
			members: of("a", "b"),
			args:    []string{"members"},
			says:    []string{"NAME", "a ", "b ", "2 alive", "settled", "milano", "shared among 3"},
		},
		{
			name:    "json",
			members: of("a", "b"),
			args:    []string{"members", "--json"},
			says:    []string{`"digest":"1"`, `"since_ms"`, `"version"`},
		},
		{
			name:    "versions",
			members: withListVersions(of("b", "a", "mute"), 7, 5, -1),
			args:    []string{"versions"},
			says:    []string{"mute  alive  -", "a     alive  here/5  2", "b     alive  here/7  0"},
		},
		{
			name:    "versions of two lines",
			members: withListVersions(of("a", "b"), 7, 5),
			args:    []string{"versions", "--json"},
			says:    []string{`"rev":5`},
		},
		{
			name:    "agree",
			members: of("a", "b"),
			args:    []string{"check"},
			says:    []string{"a ", "b ", "agrees"},
		},
		{
			name:    "disagree",
			members: of("a", "b", "c"),
			args:    []string{"check", "--patience", "10ms"},
			says:    []string{"disagrees: b is not known there"},
			fails:   "not all members have the same view",
		},
		{
			name:    "no answer",
			members: of("a", "gone"),
			args:    []string{"check", "--patience", "10ms"},
			says:    []string{"no answer"},
			fails:   "not all members have the same view",
		},
		{
			name:    "cannot be asked",
			members: of("a", "mute"),
			args:    []string{"check", "--patience", "10ms", "--json"},
			says:    []string{"no second address"},
			fails:   "not all members have the same view",
		},
		{
			name:    "not dead",
			members: of("a"),
			args:    []string{"gone", "a"},
			fails:   "only one that is dead",
		},
	}
}

// TestFleetCommands calls the commands for clusters at fake dispatchers: a and b hold the same view, c another one; gone does
// not answer, and mute has no second address.
func TestFleetCommands(t *testing.T) {
	var members, others []cluster.Member
	one := fakeDispatcher(t, "a", "1", true, &members)
	same := fakeDispatcher(t, "b", "1", true, &members)
	differs := fakeDispatcher(t, "c", "2", true, &others)
	consoles := map[string]string{"a": one, "b": same, "c": differs, "gone": "127.0.0.1:1", "mute": ""}
	of := func(names ...string) (list []cluster.Member) {
		for _, name := range names {
			list = append(list, cluster.Member{
				Name:    name,
				State:   "alive",
				Console: consoles[name],
				Address: "127.0.0.1:7946",
				Zone:    "milano",
			})
		}
		return list
	}
	others = of("a", "c")
	for _, tc := range fleetCommandCases(of) {
		members = tc.members
		out, err := call(append([]string{"fleet", "--console", one}, tc.args...)...)
		for _, want := range tc.says {
			if !strings.Contains(out, want) {
				t.Errorf("%s: no %q in\n%s", tc.name, want, out)
			}
		}
		if (err == nil) != (tc.fails == "") || err != nil && !strings.Contains(err.Error(), tc.fails) {
			t.Errorf("%s: %v\n%s", tc.name, err, out)
		}
	}
	if _, err := call("fleet", "members", "--console", ""); err == nil || !strings.Contains(err.Error(), "--console ADDRESS") {
		t.Error(err)
	}
}
