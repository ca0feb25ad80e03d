package main

import (
	"encoding/json"
	"strings"
	"testing"

	"cinderroad/internal/system/control/status"
)

func TestStatusQueriesEachMachine(t *testing.T) {
	first, second := &fakeControl{status: newStatus("core-1", true)}, &fakeControl{status: newStatus("core-2", false)}
	port := serveBoth(t, first, second)
	seed := "--seed=127.0.1.1:" + port
	call(seed, "status").expect(t, exitOK, "core-1", "core-2", "active, list 120ms old", "voter", "leader",
		"127.0.1.3:"+port+" does not answer")
	call(seed, "status", "--members").expect(t, exitOK, "edge-1", "FOLLOWER", "suspect")
	var report statusReport
	got := call(seed, "--json", "status")
	if err := json.Unmarshal([]byte(got.output), &report); err != nil {
		t.Fatal(err, got.output)
	}
	if len(report.Machines) != 2 || len(report.Unreachable) != 1 || report.Machines[1].Node != "core-2" {
		t.Errorf("report %+v", report)
	}
	if got := call(seed, "status", "--one"); strings.Contains(got.output, "does not answer") {
		t.Errorf("other machines were called: %q", got.output)
	}
}

// TestOutdatedFollowersAreDropped guards against a follower that moved to another machine being shown as behind at the first.
func TestOutdatedFollowersAreDropped(t *testing.T) {
	first := &status.Control{Followers: []status.Follower{{Node: "a", Behind: true, SinceLastCallMS: 900}, {Node: "b", SinceLastCallMS: 5}}}
	second := &status.Control{Followers: []status.Follower{{Node: "a", SinceLastCallMS: 100}}}
	dropOutdatedFollowers([]*status.Control{first, second})
	if len(first.Followers) != 1 || first.Followers[0].Node != "b" || len(second.Followers) != 1 {
		t.Errorf("followers %+v and %+v", first.Followers, second.Followers)
	}
}
