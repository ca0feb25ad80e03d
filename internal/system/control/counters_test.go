package control

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"path/filepath"
	"testing"

	"cinderroad/internal/system/control/api"
	"cinderroad/internal/system/control/counterservice"
	"cinderroad/internal/system/control/status"
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

// mustAdd sends an addition to the counter "visits" to a machine until that acknowledges it.
func (c *testCluster) mustAdd(machine int, id string, amount int) {
	c.t.Helper()
	c.waitFor(fmt.Sprintf("machine %d acknowledges %s", machine, id), func() bool {
		body := fmt.Sprintf(`{"id":%q,"changed_by":%d}`, id, amount)
		status, text := c.call(machine, http.MethodPost, counterservice.PathAdd+"visits", "", body)
		if status >= 400 && status < 500 {
			c.t.Fatalf("adding %s: %d %s", id, status, text)
		}
		return status == http.StatusOK
	})
}

// waitForTotal waits until all running machines read a total of the counter "visits".
func (c *testCluster) waitForTotal(total int) {
	c.t.Helper()
	for machine, process := range c.processes {
		if process == nil {
			continue
		}
		c.waitFor(fmt.Sprintf("machine %d reads %d", machine, total), func() bool {
			status, text := c.call(machine, http.MethodGet, counterservice.PathRead+"visits", "", "")
			return status == http.StatusOK && text == fmt.Sprintf(`{"total":%d}`, total)
		})
	}
}

// addMachine starts a further machine, at an address of its own.
func (c *testCluster) addMachine() {
	c.t.Helper()
	machine := len(c.settings)
	settings := *c.settings[0]
	settings.Node = fmt.Sprint("core-", machine+1)
	settings.IP = address(machine)
	settings.StateDir = c.t.TempDir()
	settings.FirstBoot = false
	settings.ListenOn.Control = netip.AddrPortFrom(settings.IP, settings.ListenOn.Control.Port())
	settings.ListenOn.Directory = netip.AddrPortFrom(settings.IP, settings.ListenOn.Directory.Port())
	c.settings = append(c.settings, &settings)
	c.processes = append(c.processes, nil)
	c.cancels = append(c.cancels, nil)
	c.exits = append(c.exits, nil)
	c.start(machine)
}

// TestCountersOutliveMachines restarts a machine, wipes the disk of another one, and replaces a third by a machine at a new
// address.
func TestCountersOutliveMachines(t *testing.T) {
	cluster := newTestCluster(t, 3, "apart")
	cluster.mustAdd(0, "a", 1)
	cluster.stop(0)
	cluster.mustAdd(1, "a", 1) // again, elsewhere
	cluster.mustAdd(1, "b", 10)
	cluster.start(0)
	cluster.waitForTotal(11)

	cluster.stop(1)
	cluster.settings[1].StateDir = t.TempDir()
	cluster.start(1)
	cluster.mustAdd(1, "b", 10)
	cluster.mustAdd(1, "c", 100)
	cluster.waitForTotal(111)

	cluster.stop(2)
	cluster.addMachine()
	cluster.mustAdd(3, "c", 100)
	cluster.mustAdd(3, "d", 1000)
	cluster.waitForTotal(1111)
}

// TestCountersWithoutMajority: a machine that has lost all others goes on alone, and the others learn of it.
func TestCountersWithoutMajority(t *testing.T) {
	cluster := newTestCluster(t, 3, "apart")
	cluster.mustAdd(0, "a", 1)
	cluster.stop(1)
	cluster.stop(2)
	cluster.mustAdd(0, "b", 10)
	cluster.waitForTotal(11)
	cluster.start(1)
	cluster.start(2)
	cluster.waitForTotal(11)
}

// TestCountersInStatus checks that operators see the replica of counters and its peers.
func TestCountersInStatus(t *testing.T) {
	cluster := newTestCluster(t, 2, "apart")
	cluster.mustAdd(0, "a", 1)
	cluster.waitFor("the machine lists its peer as up to date", func() bool {
		var body status.Control
		code, text := cluster.call(0, http.MethodGet, api.PathStatus, "", "")
		if code != http.StatusOK || json.Unmarshal([]byte(text), &body) != nil || body.Counters == nil {
			t.Fatalf("status: %d %s", code, text)
		}
		counters := body.Counters
		return counters.Ready && counters.OperationCount == 1 && len(counters.Peers) == 1 &&
			counters.Peers[0].Reachable && counters.Peers[0].Origin != "" && counters.Peers[0].Lag == 0
	})
}

// TestCountersOnlyWithThePromise: without it there is neither a path nor a file.
func TestCountersOnlyWithThePromise(t *testing.T) {
	cluster := newTestCluster(t, 1, "base", "part")
	cluster.mustAcknowledge(api.PathReplace, "0", documentJSON(1, 1000))
	body := `{"id":"a","changed_by":1}`
	if status, text := cluster.call(0, http.MethodPost, counterservice.PathAdd+"visits", "", body); status != http.StatusNotFound {
		t.Errorf("add: %d %s", status, text)
	}
	if status, text := cluster.call(0, http.MethodGet, counterservice.PathRead+"visits", "", ""); status != http.StatusNotFound {
		t.Errorf("read: %d %s", status, text)
	}
	files, err := filepath.Glob(filepath.Join(cluster.settings[0].StateDir, "counters*"))
	if err != nil || len(files) != 0 {
		t.Errorf("files %q, %v", files, err)
	}
}
