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

// Member is one dispatcher and the relays around it.
type Member struct {
	Name          string
	Index         int
	ListenAddress string
	AdminAddress  string
	BindAddress   string
	Relay         *receivers.UDPRelay // receives the datagrams of the other members
	ClusterName   string

	cluster         *Cluster
	cmd             *exec.Cmd
	exited          chan struct{}
	path            string // of its files, without extension
	logPath         string
	clientsStopped  atomic.Bool           // clients submit nothing
	interruptions   atomic.Int64          // kills, pauses and continuations of the process
	runnerRelays    []*receivers.TCPRelay // by index in Cluster.Runners
	discoveryRelay  *receivers.TCPRelay
	client          *http.Client
	inheritedSocket *os.File  // listening socket, with InheritSocket
	previousProcess *exec.Cmd // the process that Upgrade replaces
	previousExited  chan struct{}
}

// AddMember adds a member without starting it.
func (c *Cluster) AddMember() *Member {
	index := len(c.Members)
	member := &Member{
		Name:          fmt.Sprintf("d%02d", index),
		Index:         index,
		ListenAddress: c.freePort(),
		AdminAddress:  c.freePort(),
		BindAddress:   c.freePort(),
		ClusterName:   c.ClusterName,
		cluster:       c,
		client:        &http.Client{Timeout: 90 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	member.path = filepath.Join(c.dir, member.Name)
	member.clientsStopped.Store(true)
	var err error
	if c.InheritSocket {
		l, err := net.Listen("tcp", member.ListenAddress)
		c.must(err)
		member.inheritedSocket, err = l.(*net.TCPListener).File()
		c.must(err)
		l.Close()
	}
	bindAddress := netip.MustParseAddrPort(member.BindAddress)
	member.Relay, err = receivers.NewUDPRelay(member.Name, bindAddress, c.Seed+uint64(index), c.senderName, c.Log)
	c.must(err)
	member.discoveryRelay, err = receivers.NewTCPRelay(member.Name+" -> discovery", "127.0.0.1:0", c.Discovery.listen(member), c.Log)
	c.must(err)
	for _, runner := range c.Runners {
		member.connectRunner(runner)
	}
	c.Members = append(c.Members, member)
	return member
}

func (m *Member) connectRunner(runner *Runner) {
	relay, err := receivers.NewTCPRelay(m.Name+" -> "+runner.Name, "127.0.0.2:0", runner.listen(m), m.cluster.Log)
	m.cluster.must(err)
	m.runnerRelays = append(m.runnerRelays, relay)
}

// senderName identifies the sender of a datagram, for the relays.
func (c *Cluster) senderName(b []byte) string {
	for _, clusterName := range []string{c.ClusterName, "other"} { // tests call a second cluster "other"
		if message, err := membership.Decode(clusterName, b); err == nil {
			return message.From.Name
		}
	}
	return ""
}

// LogText returns the member's log so far.
func (m *Member) LogText() string {
	text, _ := os.ReadFile(m.logPath)
	return string(text)
}

// CallAdmin makes a request to the member's admin address. Status 0 stands for an error, whose text is returned.
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
	buffer := make([]byte, 4096)
	for {
		n, err := answer.Body.Read(buffer)
		content.Write(buffer[:n])
		if err != nil {
			return answer.StatusCode, content.String()
		}
	}
}

// Status returns the member's view of the cluster; nil if it doesn't answer.
func (m *Member) Status() *cluster.Status {
	code, text := m.CallAdmin("GET", "/api/fleet", "")
	s := &cluster.Status{}
	if code != 200 || json.Unmarshal([]byte(text), s) != nil {
		return nil
	}
	return s
}

// StateOf returns the state that this member has for another one; empty if it doesn't know it.
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

// RunnerLink returns the relay from the member to the runner with index i.
func (m *Member) RunnerLink(i int) *receivers.TCPRelay { return m.runnerRelays[i] }

// DiscoveryLink returns the relay from the member to discovery.
func (m *Member) DiscoveryLink() *receivers.TCPRelay { return m.discoveryRelay }
