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
	"syscall"
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

// Seeds are where a member asks first: the first two that are not itself.
func (c *Cluster) seedAddresses(m *Member) (seeds []string) {
	for _, o := range c.Members {
		if o != m && o.ClusterName == m.ClusterName && len(seeds) < 2 && !c.NoSeeds {
			seeds = append(seeds, o.Relay.Addr())
		}
	}
	return seeds
}

// OperatorConfig is the text of a member's operator's file.
func (m *Member) OperatorConfig() string {
	if m.cluster.Standalone {
		return ""
	}
	return fmt.Sprintf("[fleet]\nname = %q\nbind = %q\nadvertise = %q\nseeds = [%s]\nperiod_s = %v\ndiscovery = \"rig\"\nlease_s = %v\n[request_log]\npath = %q\n", m.ClusterName, m.BindAddress, m.Relay.Addr(),
		quoteAll(m.cluster.seedAddresses(m)), m.cluster.ProbeIntervalSeconds, LeaseSeconds, m.path+".requests")
}

// ChangeBindAddress gives the member another address to bind, with a relay of its own, and returns the text of the operator's file that
// names both.
func (m *Member) ChangeBindAddress() string {
	m.BindAddress = m.cluster.freePort()
	m.Relay.Close()
	var err error
	m.Relay, err = receivers.NewUDPRelay(m.Name, netip.MustParseAddrPort(m.BindAddress), m.cluster.Seed, m.cluster.Log)
	m.cluster.must(err)
	m.Relay.SenderOf = m.cluster.senderName
	return m.OperatorConfig()
}

func quoteAll(list []string) string {
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = fmt.Sprintf("%q", s)
	}
	return strings.Join(out, ", ")
}

// WriteConfig writes a member's files; operator is the text of the operator's file.
func (m *Member) WriteConfig(operator string) {
	c := m.cluster
	settings := map[string]any{
		"categories": []map[string]any{
			{"name": "score", "deadlineS": 5, "objectiveS": 0.5, "repeat": "retryable", "windowS": 5, "worth": 3},
			{"name": "once", "deadlineS": 5, "objectiveS": 0.5, "repeat": "fragile", "worth": 10}},
		"failureDomains": []string{"milano", "torino"}, "kinds": []string{"two-core"},
		"familyInfo": map[string]any{"tellsStart": true, "reportX0": "free slots"},
		"guarantees": map[string]any{"answerSlackS": 0.016, "askWithinS": 10, "coldS": c.slowStartSeconds(), "coldShare": 0.34, "drainGraceS": 0.3,
			"fallMultiple": overloadMultiple, "fallS": overloadWindowSeconds},
		"limits": map[string]any{"attemptsCap": 4, "connIdleS": 60, "connectTimeoutS": 0.25, "mayCancel": true, "mayProbe": true,
			"parallelTries": true, "retryAfter": true, "maxRetryAfterS": 2},
		"me": m.Index % c.InstanceCount, "nInstances": c.InstanceCount, "membershipMode": "pushed",
		"report": map[string]any{"fields": []string{"utilization", "backlog", "outstanding", "x0"}, "via": "piggyback"},
		"tickS":  0.004, "zone": m.Index % 2}
	config := map[string]any{"name": m.Name, "listen": m.ListenAddress, "console": m.AdminAddress, "discovery": m.discoveryRelay.Addr(),
		"seed": fmt.Sprintf("%x", 77+m.Index), "limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": 512},
		"known": map[string]any{"rev": 0, "all": true, "targets": []any{}}, "settings": settings}
	text, err := json.Marshal(config)
	c.must(err)
	c.must(os.WriteFile(m.path+".json", text, 0o600))
	c.must(os.WriteFile(m.path+".toml", []byte(operator), 0o600))
}

// Start starts the member's process, anew if there was one.
func (m *Member) Start() {
	m.WriteConfig(m.OperatorConfig())
	m.StartProcess()
}

// StartProcess starts the process with the files as they are.
func (m *Member) StartProcess() {
	c := m.cluster
	m.logPath = m.path + ".log"
	log, err := os.OpenFile(m.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.must(err)
	cmd := exec.Command(c.Program, "--config", m.path+".json", "--operator", m.path+".toml", "--log", "debug")
	cmd.Stderr = log
	cmd.Env = append(os.Environ(), "TMPDIR="+c.dir, "ROUTER_CONFIG=", "ROUTER_CONSOLE=", "ROUTER_LISTEN=", "ROUTER_DISCOVERY=", "ROUTER_NAME=")
	if m.inheritedSocket != nil {
		cmd.ExtraFiles = []*os.File{m.inheritedSocket}
		cmd.Env = append(cmd.Env, "ROUTER_FD=3")
	}
	c.must(cmd.Start())
	log.Close()
	c.Log(fmt.Sprintf("%s: process %d", m.Name, cmd.Process.Pid))
	m.cmd, m.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(m.exited)
}

// WaitServing waits until the member serves, and has clients come to it.
func (m *Member) WaitServing() {
	m.cluster.TB.Helper()
	m.cluster.Eventually(m.Name+" serves", func() bool {
		answer, err := m.client.Get("http://" + m.ListenAddress + "/_health")
		if err != nil {
			return false
		}
		answer.Body.Close()
		return answer.StatusCode == 200
	})
	if m.clientsStopped.CompareAndSwap(true, false) {
		m.cluster.submitters.Add(1)
		go m.submitJobs()
	}
}

// Upgrade starts another process that takes the place of the member's, waits until it has, and has the older one end. Between the
// start and the wait comes what is to happen meanwhile.
func (m *Member) Upgrade(meanwhile ...func()) {
	m.cluster.TB.Helper()
	old, exited := m.cmd, m.exited
	m.previousProcess, m.previousExited = old, exited
	m.AdminAddress = m.cluster.freePort()
	m.Start()
	for _, do := range meanwhile {
		do()
	}
	m.cluster.Eventually(m.Name+": the next process has the clients", func() bool {
		code, _ := m.CallAdmin("GET", "/api/ready", "")
		return code == 200
	})
	if len(meanwhile) > 0 { // it may have failed, and the one before have gone on: then it ends as one that is stopped, without clients
		m.clientsStopped.Store(true)
	}
	m.cluster.must(old.Process.Signal(syscall.SIGTERM))
	select {
	case <-exited:
	case <-time.After(m.cluster.Timeout):
		m.cluster.TB.Fatalf("%s: the process before did not end", m.Name)
	}
	m.previousProcess = nil
	if len(meanwhile) > 0 {
		m.WaitServing()
	}
}

// Running says whether the process runs.
func (m *Member) Running() bool {
	if m.cmd == nil {
		return false
	}
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

func (m *Member) signal(s syscall.Signal) {
	if m.Running() {
		m.cluster.Log(fmt.Sprintf("%s: %v", m.Name, s))
		m.cluster.must(m.cmd.Process.Signal(s))
	}
}

func (m *Member) kill() {
	if m.previousProcess != nil {
		_ = m.previousProcess.Process.Kill()
		<-m.previousExited
	}
	if m.Running() {
		_ = m.cmd.Process.Signal(syscall.SIGCONT)
		_ = m.cmd.Process.Kill()
		<-m.exited
	}
}

// Kill ends the process without a word.
func (m *Member) Kill() {
	m.interruptions.Add(1)
	m.clientsStopped.Store(true)
	m.cluster.Log(m.Name + ": killed")
	m.kill()
}

// Pause stops the process (SIGSTOP), Continue has it go on. Its clients wait, as they would.
func (m *Member) Pause() { m.interruptions.Add(1); m.signal(syscall.SIGSTOP) }

// Continue has a process that was stopped go on. Jobs that came meanwhile count as those that were there: more may wait at the
// door than one address may have open.
func (m *Member) Continue() { m.interruptions.Add(1); m.signal(syscall.SIGCONT) }

// Terminate takes the member from the clients, tells it to stop, and waits until it has ended.
func (m *Member) Terminate() {
	m.clientsStopped.Store(true)
	m.signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(m.cluster.Timeout):
		m.cluster.TB.Fatalf("%s did not end", m.Name)
	}
}

// Reload has the member read its files again and waits for its word.
func (m *Member) Reload(logLine string) {
	m.cluster.TB.Helper()
	before := strings.Count(m.LogText(), logLine)
	m.signal(syscall.SIGHUP)
	m.cluster.Eventually(m.Name+": "+logLine, func() bool { return strings.Count(m.LogText(), logLine) > before })
}

// StopClients has the clients leave the member.
func (m *Member) StopClients() { m.clientsStopped.Store(true) }

// PID is the number of the member's process.
func (m *Member) PID() int { return m.cmd.Process.Pid }

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
