package control

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/control/api"
	"cinderroad/internal/system/control/feedserver"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/processconfig"
	"cinderroad/internal/system/rpc"
)

const (
	testTimeout     = 60 * time.Second // bounds waits for a state
	pollInterval    = 20 * time.Millisecond
	portsPerMachine = 4
)

// testCluster is a cluster of control processes on loopback, each at an address of its own, with a fake platform.
type testCluster struct {
	t        *testing.T
	platform *platform

	// By machine.
	settings  []*processconfig.Settings
	processes []*Process // nil: stopped
	cancels   []context.CancelFunc
	exits     []chan error
}

// platform serves a list of runners.
type platform struct {
	mutex   sync.Mutex
	runners []string
}

func (p *platform) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	fmt.Fprintf(w, `{"instances":[%s],"next_token":null}`, strings.Join(p.runners, ","))
}

func (p *platform) set(runners ...string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.runners = runners
}

func runnerJSON(id, state string) string {
	return fmt.Sprintf(`{"id":%q,"service":"s","address":"10.0.0.1:80","zone":"a","capacity":4,"state":%q}`, id, state)
}

// newTestCluster starts a cluster whose settings have the given promises; it is stopped when the test ends.
func newTestCluster(t *testing.T, machines int, promises ...string) *testCluster {
	t.Helper()
	cluster := &testCluster{t: t, platform: &platform{}}
	server := httptest.NewServer(cluster.platform)
	t.Cleanup(server.Close)
	first := freePorts(t, machines)
	zones := map[string]string{"a": "east", "b": "east", "c": "west"}
	names := []string{"a", "b", "c"}
	for i := range machines {
		ip := address(i)
		zone := names[i%3]
		settings := &processconfig.Settings{
			Node:             fmt.Sprint("core-", i+1),
			IP:               ip,
			Zone:             zone,
			Region:           zones[zone],
			Zones:            zones,
			FreePorts:        processconfig.PortRange{First: first, Last: first + portsPerMachine - 1},
			FirstBoot:        true,
			CountsAsLoss:     true,
			StateDir:         t.TempDir(),
			SurvivableLosses: processconfig.SurvivableLosses{Machines: 1, Zones: 1},
			Timing:           processconfig.Timing{GracePeriod: 2 * time.Second, TTLMax: time.Second},
			CloudAPI: processconfig.CloudAPI{
				Address:        netip.MustParseAddrPort(server.Listener.Addr().String()),
				CallsPerSecond: 100,
			},
		}
		settings.Promises = promises
		settings.ListenOn.Control = netip.AddrPortFrom(ip, first+2)
		settings.ListenOn.Directory = netip.AddrPortFrom(ip, first+3)
		cluster.settings = append(cluster.settings, settings)
	}
	for _, settings := range cluster.settings {
		for _, other := range cluster.settings[:min(3, machines)] {
			settings.SeedNodes = append(settings.SeedNodes, other.ListenOn.Control)
		}
	}
	cluster.processes = make([]*Process, machines)
	cluster.cancels = make([]context.CancelFunc, machines)
	cluster.exits = make([]chan error, machines)
	for i := range machines {
		cluster.start(i)
	}
	t.Cleanup(func() {
		for i := range cluster.processes {
			cluster.stop(i)
		}
	})
	return cluster
}

func address(machine int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 1, byte(machine + 1)}) }

// freePorts returns the first of portsPerMachine consecutive ports that are free on all machines.
func freePorts(t *testing.T, machines int) uint16 {
	t.Helper()
	for range 100 {
		listener, err := net.Listen("tcp4", netip.AddrPortFrom(address(0), 0).String())
		if err != nil {
			t.Fatal(err)
		}
		first := listener.Addr().(*net.TCPAddr).AddrPort().Port()
		listener.Close()
		if first < 1<<16-portsPerMachine && allFree(machines, first) {
			return first
		}
	}
	t.Fatal("no free ports")
	return 0
}

func allFree(machines int, first uint16) bool {
	for machine := range machines {
		for port := first; port < first+portsPerMachine; port++ {
			at := netip.AddrPortFrom(address(machine), port)
			listener, err := net.Listen("tcp4", at.String())
			if err != nil {
				return false
			}
			listener.Close()
			packets, err := net.ListenPacket("udp4", at.String())
			if err != nil {
				return false
			}
			packets.Close()
		}
	}
	return true
}

func (c *testCluster) start(machine int) {
	c.t.Helper()
	process, err := Start(context.Background(),
		Options{Settings: c.settings[machine], Version: "test", Log: zap.NewNop()})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- process.Run(ctx) }()
	c.processes[machine] = process
	c.cancels[machine] = stop
	c.exits[machine] = ended
}

// stop has a process shut down as after SIGTERM.
func (c *testCluster) stop(machine int) {
	if c.processes[machine] == nil {
		return
	}
	c.cancels[machine]()
	if err := <-c.exits[machine]; err != nil {
		c.t.Errorf("machine %d ended: %v", machine, err)
	}
	c.processes[machine] = nil
	c.settings[machine].FirstBoot = false
}

// waitFor polls a condition until it holds, and fails the test after testTimeout.
func (c *testCluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); <-time.After(pollInterval) {
		if time.Now().After(end) {
			c.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// call makes one call of the operator's API. The status is 0 and the text an error if there is no response.
func (c *testCluster) call(machine int, method, path, basedOn, body string) (int, string) {
	url := "http://" + c.settings[machine].ListenOn.Control.String() + path
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	if basedOn != "" {
		request.Header.Set(api.HeaderBasedOn, basedOn)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// mustAcknowledge sends a request to the machines in turn until one acknowledges it.
func (c *testCluster) mustAcknowledge(path, basedOn, body string) {
	c.t.Helper()
	machine := 0
	c.waitFor("acknowledgement of "+path, func() bool {
		machine = (machine + 1) % len(c.processes)
		status, text := c.call(machine, http.MethodPost, path, basedOn, body)
		if status >= 400 && status < 500 {
			c.t.Fatalf("%s: %d %s", path, status, text)
		}
		return status == http.StatusOK
	})
}

func documentJSON(version, timeout int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h.example","path_start":"/r/","type":"writes",`+
		`"timeout_ms":%d,"target_ms":800,"rank":1,"service":"s","tries":1}],"services":[{"name":"s","health_path":"/h",`+
		`"max_conns":3,"cold_for_s":0,"cold_rate_s":0}]}`, version, timeout)
}

// versionAt returns the version that a machine reads; 0: none.
func (c *testCluster) versionAt(machine int) int {
	status, text := c.call(machine, http.MethodGet, api.PathRead, "", "")
	var body struct{ Version int }
	if status == http.StatusOK && json.Unmarshal([]byte(text), &body) != nil {
		c.t.Fatalf("read: %s", text)
	}
	return body.Version
}

// follow returns all items of a machine's feed.
func (c *testCluster) follow(machine int) map[string]feed.Item {
	settings := c.settings[machine]
	client := rpc.NewClient(netip.AddrPortFrom(settings.IP, settings.Port(processconfig.ControlRPCPort)), rpc.ClientOptions{})
	defer client.Close()
	items := map[string]feed.Item{}
	reply, err := feedserver.FollowMethod.Invoke(context.Background(), client, &feed.FollowRequest{Node: "test"})
	if err != nil {
		return items
	}
	for _, batch := range reply.Batches {
		for _, item := range batch.Items {
			items[item.Key] = item
		}
	}
	return items
}
