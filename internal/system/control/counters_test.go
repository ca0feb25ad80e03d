package control

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"path/filepath"
	"slices"
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

// countersOf returns what the status of a machine says of counters.
func (c *testCluster) countersOf(machine int) *status.Counters {
	c.t.Helper()
	code, text := c.call(machine, http.MethodGet, api.PathStatus, "", "")
	if code == 0 {
		return nil // not reached
	}
	var description status.Control
	if err := json.Unmarshal([]byte(text), &description); code != http.StatusOK || err != nil {
		c.t.Fatalf("status: %d %s, %v", code, text, err)
	}
	return description.Counters
}

// TestStatusDescribesCounters: the status shows the own log, and at each peer what it lacks and since when it is silent.
func TestStatusDescribesCounters(t *testing.T) {
	cluster := newTestCluster(t, 3, "apart")
	cluster.mustAdd(0, "a", 1)
	var counters *status.Counters
	cluster.waitFor("the peers hold the entry", func() bool {
		counters = cluster.countersOf(0)
		return counters != nil && len(counters.Peers) == 2 && counters.Peers[0].Lacks+counters.Peers[1].Lacks == 0 &&
			counters.Peers[0].Origin != "" && counters.Peers[1].Origin != ""
	})
	if !counters.Running || counters.CatchingUp || counters.DiskFault != "" || counters.Operations != 1 || counters.Entries != 1 ||
		counters.NeededMachines != 2 || counters.NeededZones != 2 || counters.Vector[counters.Origin] != 1 || counters.MaxEntries == 0 {
		t.Errorf("counters %+v", counters)
	}
	for _, peer := range counters.Peers {
		if !peer.Reachable || !peer.Replied || peer.Zone == "" || peer.Origin == counters.Origin {
			t.Errorf("peer %+v", peer)
		}
	}

	cluster.stop(2)
	cluster.mustAdd(0, "b", 1)
	address := netip.AddrPortFrom(cluster.settings[2].IP, cluster.settings[2].FreePorts.First).String()
	cluster.waitFor("the machine that was stopped is shown as unreachable", func() bool {
		counters = cluster.countersOf(0)
		at := slices.IndexFunc(counters.Peers, func(peer status.CounterPeer) bool { return peer.Address == address })
		if at < 0 {
			t.Fatalf("peers %+v, without %s", counters.Peers, address)
		}
		peer := &counters.Peers[at]
		return !peer.Reachable && peer.Lacks == 1 && peer.Lag[counters.Origin] == 1 && peer.SinceReplyMS > 0
	})
}

// TestStatusWithoutCounters: where none are served, nothing is said of them.
func TestStatusWithoutCounters(t *testing.T) {
	cluster := newTestCluster(t, 1)
	if counters := cluster.countersOf(0); counters != nil {
		t.Errorf("counters %+v", counters)
	}
}
