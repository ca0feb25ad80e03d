package processcluster

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// Start writes the member's files and starts a process.
func (m *Member) Start() {
	m.WriteConfig(m.OperatorConfig())
	m.StartProcess()
}

// StartProcess starts a process with the files as they are.
func (m *Member) StartProcess() {
	c := m.cluster
	m.logPath = m.path + ".log"
	log, err := os.OpenFile(m.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.must(err)
	cmd := exec.Command(c.Program, "--config", m.path+".json", "--operator", m.path+".toml", "--log", "debug")
	cmd.Stderr = log
	cmd.Env = append(os.Environ(), "TMPDIR="+c.dir)
	for _, name := range []string{"CONFIG", "CONSOLE", "LISTEN", "DISCOVERY", "NAME"} { // the machine's must not apply
		cmd.Env = append(cmd.Env, "ROUTER_"+name+"=")
	}
	if m.inheritedSocket != nil {
		cmd.ExtraFiles = []*os.File{m.inheritedSocket}
		cmd.Env = append(cmd.Env, "ROUTER_FD=3")
	}
	c.must(cmd.Start())
	log.Close()
	c.Log(fmt.Sprintf("%s: process %d", m.Name, cmd.Process.Pid))
	exited := make(chan struct{})
	m.cmd = cmd
	m.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

// WaitServing waits until the member serves, and starts its clients.
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

// Upgrade starts another process that takes over from the member's, waits until it serves the admin address as ready,
// and terminates the old one. The functions in meanwhile run between the start and the wait.
func (m *Member) Upgrade(meanwhile ...func()) {
	m.cluster.TB.Helper()
	old := m.cmd
	exited := m.exited
	m.previousProcess = old
	m.previousExited = exited
	m.AdminAddress = m.cluster.freePort()
	m.Start()
	for _, do := range meanwhile {
		do()
	}
	m.cluster.Eventually(m.Name+": the next process has the clients", func() bool {
		code, _ := m.CallAdmin("GET", "/api/ready", "")
		return code == 200
	})
	if len(meanwhile) > 0 {
		// The new process may have failed and the old one continued, which is then terminated without clients.
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

// Running reports whether the process runs.
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

// Kill kills the process (SIGKILL).
func (m *Member) Kill() {
	m.interruptions.Add(1)
	m.clientsStopped.Store(true)
	m.cluster.Log(m.Name + ": killed")
	m.kill()
}

// Pause stops the process (SIGSTOP) until Continue. Its clients wait.
func (m *Member) Pause() {
	m.interruptions.Add(1)
	m.signal(syscall.SIGSTOP)
}

// Continue resumes a paused process (SIGCONT). The outcome of jobs that were submitted during the pause counts as
// unknown: there may be more of them than the admission limit allows for one address.
func (m *Member) Continue() {
	m.interruptions.Add(1)
	m.signal(syscall.SIGCONT)
}

// Terminate stops the clients, sends SIGTERM and waits for the process to end.
func (m *Member) Terminate() {
	m.clientsStopped.Store(true)
	m.signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(m.cluster.Timeout):
		m.cluster.TB.Fatalf("%s did not end", m.Name)
	}
}

// Reload sends SIGHUP and waits until the process logs a line that contains logLine.
func (m *Member) Reload(logLine string) {
	m.cluster.TB.Helper()
	before := strings.Count(m.LogText(), logLine)
	m.signal(syscall.SIGHUP)
	m.cluster.Eventually(m.Name+": "+logLine, func() bool { return strings.Count(m.LogText(), logLine) > before })
}

// StopClients stops the clients of the member.
func (m *Member) StopClients() { m.clientsStopped.Store(true) }

// PID returns the ID of the member's process.
func (m *Member) PID() int { return m.cmd.Process.Pid }
