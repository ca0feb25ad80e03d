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

	rig     *Cluster
	cmd     *exec.Cmd
	exited  chan struct{}
	path    string // of its files, without the ending
	logPath string
	out     atomic.Bool // clients do not come
	deaths  atomic.Int64
	runners []*receivers.TCPRelay // its ways to the runners
	list    *receivers.TCPRelay   // its way to discovery
	client  *http.Client
	socket  *os.File  // of the clients, where it is inherited
	before  *exec.Cmd // the process whose place this one's takes
	gone    chan struct{}
}

// AddMember adds a member that is not started yet.
func (r *Cluster) AddMember() *Member {
	i := len(r.Members)
	m := &Member{Name: fmt.Sprintf("d%02d", i), Index: i, rig: r, ListenAddress: r.freePort(), AdminAddress: r.freePort(), BindAddress: r.freePort(), ClusterName: r.ClusterName}
	m.path = filepath.Join(r.dir, m.Name)
	m.client = &http.Client{Timeout: 90 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	m.out.Store(true)
	var err error
	if r.InheritSocket {
		l, err := net.Listen("tcp", m.ListenAddress)
		r.must(err)
		m.socket, err = l.(*net.TCPListener).File()
		r.must(err)
		l.Close()
	}
	m.Relay, err = receivers.NewUDPRelay(m.Name, netip.MustParseAddrPort(m.BindAddress), r.Seed+uint64(i), r.Log)
	r.must(err)
	m.Relay.SenderOf = r.sender
	m.list, err = receivers.NewTCPRelay(m.Name+" -> discovery", "127.0.0.1:0", r.Discovery.listen(m), r.Log)
	r.must(err)
	for _, u := range r.Runners {
		m.reach(u)
	}
	r.Members = append(r.Members, m)
	return m
}

func (m *Member) reach(u *Runner) {
	s, err := receivers.NewTCPRelay(m.Name+" -> "+u.Name, "127.0.0.2:0", u.listen(m), m.rig.Log)
	m.rig.must(err)
	m.runners = append(m.runners, s)
}

// sender reads who sent a datagram, for the relays.
func (r *Cluster) sender(b []byte) string {
	for _, fleet := range []string{r.ClusterName, "other"} {
		if msg, err := membership.Decode(fleet, b); err == nil {
			return msg.From.Name
		}
	}
	return ""
}

// Seeds are where a member asks first: the first two that are not itself.
func (r *Cluster) seeds(m *Member) (seeds []string) {
	for _, o := range r.Members {
		if o != m && o.ClusterName == m.ClusterName && len(seeds) < 2 && !r.NoSeeds {
			seeds = append(seeds, o.Relay.Addr())
		}
	}
	return seeds
}

// OperatorConfig is the text of a member's operator's file.
func (m *Member) OperatorConfig() string {
	if m.rig.Standalone {
		return ""
	}
	return fmt.Sprintf("[fleet]\nname = %q\nbind = %q\nadvertise = %q\nseeds = [%s]\nperiod_s = %v\ndiscovery = \"rig\"\nlease_s = %v\n[request_log]\npath = %q\n", m.ClusterName, m.BindAddress, m.Relay.Addr(),
		quoted(m.rig.seeds(m)), m.rig.ProbeIntervalSeconds, LeaseSeconds, m.path+".requests")
}

// ChangeBindAddress gives the member another address to bind, with a relay of its own, and returns the text of the operator's file that
// names both.
func (m *Member) ChangeBindAddress() string {
	m.BindAddress = m.rig.freePort()
	m.Relay.Close()
	var err error
	m.Relay, err = receivers.NewUDPRelay(m.Name, netip.MustParseAddrPort(m.BindAddress), m.rig.Seed, m.rig.Log)
	m.rig.must(err)
	m.Relay.SenderOf = m.rig.sender
	return m.OperatorConfig()
}

func quoted(list []string) string {
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = fmt.Sprintf("%q", s)
	}
	return strings.Join(out, ", ")
}

// WriteConfig writes a member's files; operator is the text of the operator's file.
func (m *Member) WriteConfig(operator string) {
	r := m.rig
	settings := map[string]any{
		"categories": []map[string]any{
			{"name": "score", "deadlineS": 5, "objectiveS": 0.5, "repeat": "retryable", "windowS": 5, "worth": 3},
			{"name": "once", "deadlineS": 5, "objectiveS": 0.5, "repeat": "fragile", "worth": 10}},
		"failureDomains": []string{"milano", "torino"}, "kinds": []string{"two-core"},
		"familyInfo": map[string]any{"tellsStart": true, "reportX0": "free slots"},
		"guarantees": map[string]any{"answerSlackS": 0.016, "askWithinS": 10, "coldS": r.coldTime(), "coldShare": 0.34, "drainGraceS": 0.3,
			"fallMultiple": fallMultiple, "fallS": fallTime},
		"limits": map[string]any{"attemptsCap": 4, "connIdleS": 60, "connectTimeoutS": 0.25, "mayCancel": true, "mayProbe": true,
			"parallelTries": true, "retryAfter": true, "maxRetryAfterS": 2},
		"me": m.Index % r.InstanceCount, "nInstances": r.InstanceCount, "membershipMode": "pushed",
		"report": map[string]any{"fields": []string{"utilization", "backlog", "outstanding", "x0"}, "via": "piggyback"},
		"tickS":  0.004, "zone": m.Index % 2}
	config := map[string]any{"name": m.Name, "listen": m.ListenAddress, "console": m.AdminAddress, "discovery": m.list.Addr(),
		"seed": fmt.Sprintf("%x", 77+m.Index), "limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": 512},
		"known": map[string]any{"rev": 0, "all": true, "targets": []any{}}, "settings": settings}
	text, err := json.Marshal(config)
	r.must(err)
	r.must(os.WriteFile(m.path+".json", text, 0o600))
	r.must(os.WriteFile(m.path+".toml", []byte(operator), 0o600))
}

// Start starts the member's process, anew if there was one.
func (m *Member) Start() {
	m.WriteConfig(m.OperatorConfig())
	m.StartProcess()
}

// StartProcess starts the process with the files as they are.
func (m *Member) StartProcess() {
	r := m.rig
	m.logPath = m.path + ".log"
	log, err := os.OpenFile(m.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	r.must(err)
	cmd := exec.Command(r.Program, "--config", m.path+".json", "--operator", m.path+".toml", "--log", "debug")
	cmd.Stderr = log
	cmd.Env = append(os.Environ(), "TMPDIR="+r.dir, "ROUTER_CONFIG=", "ROUTER_CONSOLE=", "ROUTER_LISTEN=", "ROUTER_DISCOVERY=", "ROUTER_NAME=")
	if m.socket != nil {
		cmd.ExtraFiles = []*os.File{m.socket}
		cmd.Env = append(cmd.Env, "ROUTER_FD=3")
	}
	r.must(cmd.Start())
	log.Close()
	r.Log(fmt.Sprintf("%s: process %d", m.Name, cmd.Process.Pid))
	m.cmd, m.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(m.exited)
}

// WaitServing waits until the member serves, and has clients come to it.
func (m *Member) WaitServing() {
	m.rig.TB.Helper()
	m.rig.Eventually(m.Name+" serves", func() bool {
		answer, err := m.client.Get("http://" + m.ListenAddress + "/_health")
		if err != nil {
			return false
		}
		answer.Body.Close()
		return answer.StatusCode == 200
	})
	if m.out.CompareAndSwap(true, false) {
		m.rig.wait.Add(1)
		go m.handIn()
	}
}

// Upgrade starts another process that takes the place of the member's, waits until it has, and has the older one end. Between the
// start and the wait comes what is to happen meanwhile.
func (m *Member) Upgrade(meanwhile ...func()) {
	m.rig.TB.Helper()
	old, exited := m.cmd, m.exited
	m.before, m.gone = old, exited
	m.AdminAddress = m.rig.freePort()
	m.Start()
	for _, do := range meanwhile {
		do()
	}
	m.rig.Eventually(m.Name+": the next process has the clients", func() bool {
		code, _ := m.CallAdmin("GET", "/api/ready", "")
		return code == 200
	})
	if len(meanwhile) > 0 { // it may have failed, and the one before have gone on: then it ends as one that is stopped, without clients
		m.out.Store(true)
	}
	m.rig.must(old.Process.Signal(syscall.SIGTERM))
	select {
	case <-exited:
	case <-time.After(m.rig.Timeout):
		m.rig.TB.Fatalf("%s: the process before did not end", m.Name)
	}
	m.before = nil
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
		m.rig.Log(fmt.Sprintf("%s: %v", m.Name, s))
		m.rig.must(m.cmd.Process.Signal(s))
	}
}

func (m *Member) kill() {
	if m.before != nil {
		_ = m.before.Process.Kill()
		<-m.gone
	}
	if m.Running() {
		_ = m.cmd.Process.Signal(syscall.SIGCONT)
		_ = m.cmd.Process.Kill()
		<-m.exited
	}
}

// Kill ends the process without a word.
func (m *Member) Kill() {
	m.deaths.Add(1)
	m.out.Store(true)
	m.rig.Log(m.Name + ": killed")
	m.kill()
}

// Pause stops the process (SIGSTOP), Continue has it go on. Its clients wait, as they would.
func (m *Member) Pause() { m.deaths.Add(1); m.signal(syscall.SIGSTOP) }

// Continue has a process that was stopped go on. Jobs that came meanwhile count as those that were there: more may wait at the
// door than one address may have open.
func (m *Member) Continue() { m.deaths.Add(1); m.signal(syscall.SIGCONT) }

// Terminate takes the member from the clients, tells it to stop, and waits until it has ended.
func (m *Member) Terminate() {
	m.out.Store(true)
	m.signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(m.rig.Timeout):
		m.rig.TB.Fatalf("%s did not end", m.Name)
	}
}

// Reload has the member read its files again and waits for its word.
func (m *Member) Reload(word string) {
	m.rig.TB.Helper()
	before := strings.Count(m.LogText(), word)
	m.signal(syscall.SIGHUP)
	m.rig.Eventually(m.Name+": "+word, func() bool { return strings.Count(m.LogText(), word) > before })
}

// StopClients has the clients leave the member.
func (m *Member) StopClients() { m.out.Store(true) }

// PID is the number of the member's process.
func (m *Member) PID() int { return m.cmd.Process.Pid }

// LogText is the member's log.
func (m *Member) LogText() string {
	text, _ := os.ReadFile(m.logPath)
	return string(text)
}

// CallAdmin makes a call at the second address.
func (m *Member) CallAdmin(method, path, body string) (status int, text string) {
	q, err := http.NewRequest(method, "http://"+m.AdminAddress+path, strings.NewReader(body))
	m.rig.must(err)
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer a.Body.Close()
	var b strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := a.Body.Read(buf)
		b.Write(buf[:n])
		if err != nil {
			return a.StatusCode, b.String()
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
func (m *Member) RunnerLink(i int) *receivers.TCPRelay { return m.runners[i] }

// DiscoveryLink is the member's way to discovery.
func (m *Member) DiscoveryLink() *receivers.TCPRelay { return m.list }
