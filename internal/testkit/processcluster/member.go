package processcluster

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"cinderroad/internal/dispatcher/cluster"
	"cinderroad/internal/shared/membership"
	"cinderroad/internal/testkit/receivers"
)

// Member is one dispatcher and the ways that lead to it.
type Member struct {
	Name          string
	Index         int
	ListenAddress string
	AdminAddress  string
	BindAddress   string
	Relay         *receivers.UDPRelay // others' way to it
	ClusterName   string              // name of its fleet

	cluster         *Cluster
	cmd             *exec.Cmd
	exited          chan struct{}
	path            string // of its files, without the ending
	logPath         string
	clientsStopped  atomic.Bool // clients do not come
	interruptions   atomic.Int64
	runnerRelays    []*receivers.TCPRelay // its ways to the runners
	discoveryRelay  *receivers.TCPRelay   // its way to discovery
	client          *http.Client
	inheritedSocket *os.File  // of the clients, where it is inherited
	previousProcess *exec.Cmd // the process whose place this one's takes
	previousExited  chan struct{}
}

// AddMember adds a member that is not started yet.
func (c *Cluster) AddMember() *Member {
	i := len(c.Members)
	m := &Member{Name: fmt.Sprintf("d%02d", i), Index: i, cluster: c, ListenAddress: c.freePort(), AdminAddress: c.freePort(), BindAddress: c.freePort(), ClusterName: c.ClusterName}
	m.path = filepath.Join(c.dir, m.Name)
	m.client = &http.Client{Timeout: 90 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	m.clientsStopped.Store(true)
	var err error
	if c.InheritSocket {
		l, err := net.Listen("tcp", m.ListenAddress)
		c.must(err)
		m.inheritedSocket, err = l.(*net.TCPListener).File()
		c.must(err)
		l.Close()
	}
	m.Relay, err = receivers.NewUDPRelay(m.Name, netip.MustParseAddrPort(m.BindAddress), c.Seed+uint64(i), c.Log)
	c.must(err)
	m.Relay.SenderOf = c.senderName
	m.discoveryRelay, err = receivers.NewTCPRelay(m.Name+" -> discovery", "127.0.0.1:0", c.Discovery.listen(m), c.Log)
	c.must(err)
	for _, runner := range c.Runners {
		m.connectRunner(runner)
	}
	c.Members = append(c.Members, m)
	return m
}

func (m *Member) connectRunner(runner *Runner) {
	relay, err := receivers.NewTCPRelay(m.Name+" -> "+runner.Name, "127.0.0.2:0", runner.listen(m), m.cluster.Log)
	m.cluster.must(err)
	m.runnerRelays = append(m.runnerRelays, relay)
}

// senderName reads who sent a datagram, for the relays.
func (c *Cluster) senderName(b []byte) string {
	for _, fleet := range []string{c.ClusterName, "other"} {
		if msg, err := membership.Decode(fleet, b); err == nil {
			return msg.From.Name
		}
	}
	return ""
}

// LogText is the member's log.
func (m *Member) LogText() string {
	text, _ := os.ReadFile(m.logPath)
	return string(text)
}

// CallAdmin makes a call at the second address.
func (m *Member) CallAdmin(method, path, body string) (status int, text string) {
	request, err := http.NewRequest(method, "http://"+m.AdminAddress+path, strings.NewReader(body))
	m.cluster.must(err)
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	var content strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := answer.Body.Read(buf)
		content.Write(buf[:n])
		if err != nil {
			return answer.StatusCode, content.String()
		}
	}
}

// Status is what the member holds of the fleet; nil if it does not answer.
func (m *Member) Status() *cluster.Status {
	code, text := m.CallAdmin("GET", "/api/fleet", "")
	s := &cluster.Status{}
	if code != 200 || json.Unmarshal([]byte(text), s) != nil {
		return nil
	}
	return s
}

// StateOf is the state that this member holds another one to be in.
func (m *Member) StateOf(name string) string {
	if s := m.Status(); s != nil {
		for _, o := range s.Members {
			if o.Name == name {
				return o.State
			}
		}
	}
	return ""
}

// RunnerLink is a member's way to a runner, DiscoveryLink its way to discovery.
func (m *Member) RunnerLink(i int) *receivers.TCPRelay { return m.runnerRelays[i] }

// DiscoveryLink is the member's way to discovery.
func (m *Member) DiscoveryLink() *receivers.TCPRelay { return m.discoveryRelay }
