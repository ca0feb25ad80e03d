package control

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"cinderroad/internal/system/control/api"
	"cinderroad/internal/system/control/directory"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/gossip"
)

// TestCluster has three machines form a cluster, accept requests, lose machines and start again.
func TestCluster(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.mustAcknowledge(api.PathReplace, "0", documentJSON(3, 1000))
	for machine := range 3 {
		cluster.waitFor(fmt.Sprintf("machine %d reads version 3", machine), func() bool { return cluster.versionAt(machine) == 3 })
	}
	cluster.mustAcknowledge(api.PathReplace, "0", documentJSON(3, 1000)) // repeated, at another machine
	cluster.mustAcknowledge(api.PathDrainBegin+"a", "", "")

	cluster.platform.set(runnerJSON("i-1", "serving"), runnerJSON("i-2", "serving"))
	for machine := range 3 {
		cluster.waitFor(fmt.Sprintf("machine %d feeds runners and configuration", machine), func() bool {
			items := cluster.follow(machine)
			_, one := items[feed.KeyPrefixRunner+"i-1"]
			_, two := items[feed.KeyPrefixRunner+"i-2"]
			_, evacuated := items[feed.KeyPrefixEvacuation+"a"]
			return one && two && evacuated && string(items[feed.KeyVersion].Value) == "3"
		})
	}

	cluster.stop(0)
	cluster.mustAcknowledge(api.PathReplace, "3", documentJSON(5, 2000))
	cluster.platform.set(runnerJSON("i-2", "draining"))
	cluster.waitFor("the others go on", func() bool {
		items := cluster.follow(1)
		_, exists := items[feed.KeyPrefixRunner+"i-1"]
		return !exists && cluster.versionAt(1) == 5 && cluster.versionAt(2) == 5
	})
	cluster.start(0)
	cluster.waitFor("the machine that was stopped has caught up", func() bool { return cluster.versionAt(0) == 5 })

	cluster.stop(1)
	cluster.stop(2)
	if status, text := cluster.call(0, http.MethodPost, api.PathReplace, "5", documentJSON(6, 3000)); status != 503 {
		t.Errorf("a request without a majority: %d %s", status, text)
	}
	if items := cluster.follow(0); string(items[feed.KeyVersion].Value) != "5" {
		t.Error("a machine without a majority does not feed what it knows")
	}
	cluster.start(1)
	cluster.start(2)
	for machine := range 3 {
		expectation := fmt.Sprintf("machine %d still has the configuration", machine)
		cluster.waitFor(expectation, func() bool { return cluster.versionAt(machine) >= 5 })
	}
	if !cluster.processes[0].configuration.Evacuation("a").Evacuated {
		t.Error("an acknowledged evacuation is lost")
	}
	if status, text := cluster.call(0, http.MethodGet, api.PathStatus, "", ""); status != 200 || !json.Valid([]byte(text)) {
		t.Errorf("status: %d %s", status, text)
	}
}

// TestSingleMachine checks that a cluster of one works, and that the directory follows the membership of proxies.
func TestSingleMachine(t *testing.T) {
	cluster := newTestCluster(t, 1)
	cluster.mustAcknowledge(api.PathReplace, "0", documentJSON(1, 1000))
	edge, err := gossip.Start(gossip.Options{
		Node:   "edge-1",
		Role:   gossip.Edge,
		Zone:   "a",
		Front:  "10.0.0.7:80",
		Zones:  cluster.settings[0].Zones,
		Listen: netip.AddrPortFrom(address(7), 0),
		Seeds:  gossip.SeedAddresses(cluster.settings[0]),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer edge.Close()
	lookup := func() string {
		response, err := http.Get("http://" + cluster.settings[0].ListenOn.Directory.String() + directory.Path + "?region=east&zone=a")
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		text, _ := io.ReadAll(response.Body)
		return fmt.Sprint(response.StatusCode, " ", strings.TrimSpace(string(text)))
	}
	if got := lookup(); !strings.HasPrefix(got, "503") && !strings.HasPrefix(got, "200") {
		t.Errorf("%s", got)
	}
	edge.SetServing(gossip.ServingNow)
	want := `200 {"addresses":["10.0.0.7:80"],"cache_ttl_s":1}`
	cluster.waitFor("the directory returns the edge", func() bool { return lookup() == want })
	cluster.waitFor("the edge is counted", func() bool { return cluster.processes[0].gossip.ProxyCount() == 1 })
}
