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
	"cinderroad/internal/system/control/directory"
	"cinderroad/internal/system/control/feedserver"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/gossip"
	"cinderroad/internal/system/processconfig"
	"cinderroad/internal/system/rpc"
)

const (
	testTimeout     = 60 * time.Second // that a state is waited for
	pollInterval    = 20 * time.Millisecond
	portsPerMachine = 4
)

// testCluster is a core of control processes on loopback, each at an address of its own, with a platform.
type testCluster struct {
	t         *testing.T
	platform  *platform
	settings  []*processconfig.Settings
	processes []*Process
	cancels   []context.CancelFunc
	exits     []chan error
}

// platform answers with a list of runners.
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

func newTestCluster(t *testing.T, machines int) *testCluster {
	s := &testCluster{t: t, platform: &platform{}}
	server := httptest.NewServer(s.platform)
	t.Cleanup(server.Close)
	first := freePorts(t, machines)
	zones := map[string]string{"a": "east", "b": "east", "c": "west"}
	names := []string{"a", "b", "c"}
	for i := range machines {
		ip := address(i)
		settings := &processconfig.Settings{
			Node: fmt.Sprint("core-", i+1), IP: ip, Zone: names[i%3], Region: zones[names[i%3]], Zones: zones,
			FreePorts: processconfig.PortRange{First: first, Last: first + portsPerMachine - 1},
			FirstBoot: true, CountsAsLoss: true, StateDir: t.TempDir(),
			SurvivableLosses: processconfig.SurvivableLosses{Machines: 1, Zones: 1},
			Timing:           processconfig.Timing{GracePeriod: 2 * time.Second, TTLMax: time.Second},
			CloudAPI:         processconfig.CloudAPI{Address: netip.MustParseAddrPort(server.Listener.Addr().String()), CallsPerSecond: 100},
		}
		settings.ListenOn.Control = netip.AddrPortFrom(ip, first+2)
		settings.ListenOn.Directory = netip.AddrPortFrom(ip, first+3)
		s.settings = append(s.settings, settings)
	}
	for _, settings := range s.settings {
		for _, other := range s.settings[:min(3, machines)] {
			settings.SeedNodes = append(settings.SeedNodes, other.ListenOn.Control)
		}
	}
	s.processes = make([]*Process, machines)
	s.cancels = make([]context.CancelFunc, machines)
	s.exits = make([]chan error, machines)
	for i := range machines {
		s.start(i)
	}
	t.Cleanup(func() {
		for i := range s.processes {
			s.stop(i)
		}
	})
	return s
}

func address(machine int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 1, byte(machine + 1)}) }

// freePorts returns the first of a few ports that are free on all machines, found by a port that the kernel picks.
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

func (s *testCluster) start(machine int) {
	s.t.Helper()
	process, err := Start(context.Background(),
		Options{Settings: s.settings[machine], Version: "test", Log: zap.NewNop()})
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- process.Run(ctx) }()
	s.processes[machine], s.cancels[machine], s.exits[machine] = process, stop, ended
}

// stop has a process end as by SIGTERM.
func (s *testCluster) stop(machine int) {
	if s.processes[machine] == nil {
		return
	}
	s.cancels[machine]()
	if err := <-s.exits[machine]; err != nil {
		s.t.Errorf("machine %d ended: %v", machine, err)
	}
	s.processes[machine] = nil
	s.settings[machine].FirstBoot = false
}

func (s *testCluster) waitFor(what string, holds func() bool) {
	s.t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); <-time.After(pollInterval) {
		if time.Now().After(end) {
			s.t.Fatalf("did not come about: %s", what)
		}
	}
}

func (s *testCluster) call(machine int, method, path, basedOn, body string) (int, string) {
	url := "http://" + s.settings[machine].ListenOn.Control.String() + path
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	if basedOn != "" {
		request.Header.Set(api.HeaderBasedOn, basedOn)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, string(text)
}

// mustAcknowledge sends an order to the machines in turn until one acknowledges it, as operators do.
func (s *testCluster) mustAcknowledge(path, basedOn, body string) {
	s.t.Helper()
	machine := 0
	s.waitFor("acknowledgement of "+path, func() bool {
		machine = (machine + 1) % len(s.processes)
		status, text := s.call(machine, http.MethodPost, path, basedOn, body)
		if status >= 400 && status < 500 {
			s.t.Fatalf("%s: %d %s", path, status, text)
		}
		return status == http.StatusOK
	})
}

func documentJSON(version, timeout int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h.example","path_start":"/r/","type":"writes",`+
		`"timeout_ms":%d,"target_ms":800,"rank":1,"service":"s","tries":1}],"services":[{"name":"s","health_path":"/h",`+
		`"max_conns":3,"cold_for_s":0,"cold_rate_s":0}]}`, version, timeout)
}

// versionAt is what a machine reads; 0: nothing.
func (s *testCluster) versionAt(machine int) int {
	status, text := s.call(machine, http.MethodGet, api.PathRead, "", "")
	var body struct{ Version int }
	if status == http.StatusOK && json.Unmarshal([]byte(text), &body) != nil {
		s.t.Fatalf("read: %s", text)
	}
	return body.Version
}

// follow asks a machine's feed for all that it has.
func (s *testCluster) follow(machine int) map[string]feed.Item {
	settings := s.settings[machine]
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

// TestCluster has three machines found a system, take orders, lose machines and start again.
func TestCluster(t *testing.T) {
	s := newTestCluster(t, 3)
	s.mustAcknowledge(api.PathReplace, "0", documentJSON(3, 1000))
	for machine := range 3 {
		s.waitFor(fmt.Sprintf("machine %d reads version 3", machine), func() bool { return s.versionAt(machine) == 3 })
	}
	s.mustAcknowledge(api.PathReplace, "0", documentJSON(3, 1000)) // again: at another machine
	s.mustAcknowledge(api.PathDrainBegin+"a", "", "")

	s.platform.set(runnerJSON("i-1", "serving"), runnerJSON("i-2", "serving"))
	for machine := range 3 {
		s.waitFor(fmt.Sprintf("machine %d feeds runners and configuration", machine), func() bool {
			items := s.follow(machine)
			_, one := items[feed.KeyPrefixRunner+"i-1"]
			_, two := items[feed.KeyPrefixRunner+"i-2"]
			_, evacuated := items[feed.KeyPrefixEvacuation+"a"]
			return one && two && evacuated && string(items[feed.KeyVersion].Value) == "3"
		})
	}

	s.stop(0)
	s.mustAcknowledge(api.PathReplace, "3", documentJSON(5, 2000))
	s.platform.set(runnerJSON("i-2", "draining"))
	s.waitFor("the others go on", func() bool {
		items := s.follow(1)
		_, gone := items[feed.KeyPrefixRunner+"i-1"]
		return !gone && s.versionAt(1) == 5 && s.versionAt(2) == 5
	})
	s.start(0)
	s.waitFor("the machine that was away has caught up", func() bool { return s.versionAt(0) == 5 })

	s.stop(1)
	s.stop(2)
	if status, text := s.call(0, http.MethodPost, api.PathReplace, "5", documentJSON(6, 3000)); status != 503 {
		t.Errorf("an order without a majority: %d %s", status, text)
	}
	if items := s.follow(0); string(items[feed.KeyVersion].Value) != "5" {
		t.Error("a machine without a majority does not feed what it knows")
	}
	s.start(1)
	s.start(2)
	for machine := range 3 {
		s.waitFor(fmt.Sprintf("machine %d still has it all", machine), func() bool { return s.versionAt(machine) >= 5 })
	}
	if !s.processes[0].configuration.Evacuation("a").Evacuated {
		t.Error("an evacuation that was acknowledged is gone")
	}
	if status, text := s.call(0, http.MethodGet, api.PathStatus, "", ""); status != 200 || !json.Valid([]byte(text)) {
		t.Errorf("status: %d %s", status, text)
	}
}

// TestSingleMachine holds that a core of one works, and that the directory tells of edges as they come and go.
func TestSingleMachine(t *testing.T) {
	s := newTestCluster(t, 1)
	s.mustAcknowledge(api.PathReplace, "0", documentJSON(1, 1000))
	edge, err := gossip.Start(gossip.Options{Node: "edge-1", Role: gossip.Edge, Zone: "a", Front: "10.0.0.7:80",
		Zones: s.settings[0].Zones, Listen: netip.AddrPortFrom(address(7), 0),
		Seeds: gossip.SeedAddresses(s.settings[0])})
	if err != nil {
		t.Fatal(err)
	}
	defer edge.Close()
	lookup := func() string {
		answer, err := http.Get("http://" + s.settings[0].ListenOn.Directory.String() + directory.Path + "?region=east&zone=a")
		if err != nil {
			t.Fatal(err)
		}
		defer answer.Body.Close()
		text, _ := io.ReadAll(answer.Body)
		return fmt.Sprint(answer.StatusCode, " ", strings.TrimSpace(string(text)))
	}
	if got := lookup(); !strings.HasPrefix(got, "503") && !strings.HasPrefix(got, "200") {
		t.Errorf("%s", got)
	}
	edge.SetServing(gossip.ServingNow)
	want := `200 {"addresses":["10.0.0.7:80"],"cache_ttl_s":1}`
	s.waitFor("the directory tells of the edge", func() bool { return lookup() == want })
	s.waitFor("the edge is counted", func() bool { return s.processes[0].gossip.ProxyCount() == 1 })
}
