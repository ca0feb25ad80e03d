package control

import (
	"fmt"
	"net/http"
	"testing"
)

// TestTalliesOnAllMachines guards against tallies that are not served: callers got 404 for every add and every read.
func TestTalliesOnAllMachines(t *testing.T) {
	cluster := newTestCluster(t, 3, "apart")
	const path, body = "/-/Tallies.Change/visits", `{"id":"5c0e7a21d94b36f8","changed_by":4}`
	for machine := range 3 { // the same add at each machine counts once
		cluster.waitFor(fmt.Sprintf("machine %d acknowledges the add", machine), func() bool {
			status, text := cluster.call(machine, http.MethodPost, path, "", body)
			if status >= 400 && status < 500 {
				t.Fatalf("add: %d %s", status, text)
			}
			return status == http.StatusOK
		})
	}
	for machine := range 3 {
		cluster.waitFor(fmt.Sprintf("machine %d reads the total", machine), func() bool {
			status, text := cluster.call(machine, http.MethodGet, "/-/Tallies.Read/visits", "", "")
			return status == http.StatusOK && text == `{"total":4}`
		})
	}
}
