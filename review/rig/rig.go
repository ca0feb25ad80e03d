// Package rig runs a small deployment of the project's own programs on loopback for the cases of the review: control
// machines, edge machines with an agent and a proxy each, the platform's list, and an operator. Programs are started by the
// run lines of deploy/system.toml.
package rig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cinderroad/internal/testkit/fakeplatform"
)

// Offsets of the ports from the first one; those that the programs use among themselves come last.
const (
	portFront = iota
	portReady
	portControl
	portDirectory
	portFirstFree
	portCount = portFirstFree + 8
)

// Machine is one machine of the deployment, with an address of its own on loopback.
type Machine struct {
	Name, Class, Zone, Region, IP string

	rig       *Rig
	processes map[string]*exec.Cmd // by role
	disks     int                  // that were lost
}

// Options configure a rig.
type Options struct {
	Core, Edges int      // number of machines
	LinkMbps    float64  // of each machine; 0: 1000
	Promises    []string // beside the usual ones
}

// Rig is the deployment and the record of what it did.
type Rig struct {
	Core, Edges []*Machine
	Platform    *fakeplatform.Platform

	options Options
	root    string // of the repository
	folder  string // temporary
	base    int    // first port
	started time.Time

	mutex  sync.Mutex
	record *os.File
}

// zones maps each zone of the deployment to its region.
var zones = map[string]string{"a": "north", "b": "north", "c": "south"}

// New prepares a deployment in a temporary folder. The environment names the repository's root and the record's path.
func New(options Options) (*Rig, error) {
	r := &Rig{options: options, root: os.Getenv("REVIEW_ROOT"), started: time.Now()}
	var err error
	if r.record, err = os.Create(os.Getenv("REVIEW_RECORD")); err != nil {
		return nil, err
	}
	if r.folder, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	net := 2 + rand.IntN(200)
	for i := range options.Core {
		r.Core = append(r.Core, r.newMachine("core", i, fmt.Sprintf("127.%d.1.%d", net, 1+i)))
	}
	for i := range options.Edges {
		r.Edges = append(r.Edges, r.newMachine("edge", i, fmt.Sprintf("127.%d.2.%d", net, 1+i)))
	}
	if err := r.choosePorts(); err != nil {
		return nil, err
	}
	r.Platform, err = fakeplatform.Start(fakeplatform.Options{
		Address:          fmt.Sprintf("127.%d.3.1:0", net),
		PropagationDelay: 300 * time.Millisecond,
		PageSize:         50,
		CallsPerSecond:   42,
	})
	return r, err
}

func (r *Rig) newMachine(class string, i int, ip string) *Machine {
	zone := []string{"a", "b", "c"}[i%3]
	name := fmt.Sprintf("%s-%s-%d", class, zone, i+1)
	return &Machine{Name: name, Class: class, Zone: zone, Region: zones[zone], IP: ip, rig: r, processes: map[string]*exec.Cmd{}}
}

// choosePorts chooses consecutive ports that are free on all machines.
func (r *Rig) choosePorts() error {
	for range 200 {
		r.base = 12000 + rand.IntN(19000)
		if r.portsAreFree() {
			return nil
		}
	}
	return errors.New("no free ports on loopback")
}

func (r *Rig) portsAreFree() bool {
	for _, m := range append(append([]*Machine{}, r.Core...), r.Edges...) {
		for port := range portCount {
			l, err := net.Listen("tcp", m.address(port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (m *Machine) address(port int) string { return fmt.Sprintf("%s:%d", m.IP, m.rig.base+port) }

// Front returns the address for clients.
func (m *Machine) Front() string { return m.address(portFront) }

// Ready returns the address of the readiness check.
func (m *Machine) Ready() string { return m.address(portReady) }

// Control returns the address of the operator's API.
func (m *Machine) Control() string { return m.address(portControl) }

// Log writes a line to the record, with the time since the start.
func (r *Rig) Log(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
	_, _ = io.WriteString(r.record, line)
}

// StartAll starts all machines and waits until the proxies are ready for a configuration, which it sends.
func (r *Rig) StartAll(configuration any) error {
	for _, m := range r.Core {
		if err := m.Start("control", true); err != nil {
			return err
		}
	}
	for _, m := range r.Edges {
		for _, role := range []string{"agent", "proxy"} {
			if err := m.Start(role, true); err != nil {
				return err
			}
		}
	}
	if err := r.Replace(0, configuration); err != nil {
		return err
	}
	for _, m := range r.Edges {
		if err := m.AwaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady waits until the machine's proxy is ready.
func (m *Machine) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if m.IsReady() {
			return nil
		}
	}
	return fmt.Errorf("%s does not become ready", m.Name)
}

// IsReady asks the machine's proxy whether it is ready.
func (m *Machine) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.Ready() + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Replace sends a whole configuration, again and again until it is taken.
func (r *Rig) Replace(basedOn int, configuration any) error {
	body, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	var status int
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		status, err = r.Core[rand.IntN(len(r.Core))].Post("/-/Settings.Replace", basedOn, body, time.Second)
		if err == nil && status == http.StatusOK {
			r.Log("operator: configuration acknowledged")
			return nil
		}
	}
	return fmt.Errorf("the configuration is not taken: %d, %w", status, err)
}

// Post sends an order to the machine's operator's API.
func (m *Machine) Post(path string, basedOn int, body []byte, timeout time.Duration) (status int, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+m.Control()+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("X-Based-On", fmt.Sprint(basedOn))
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// NewDisk has the machine start with an empty disk from now on.
func (m *Machine) NewDisk() { m.disks++ }

// Total reads the total of a counter at the machine.
func (m *Machine) Total(path string) (total, status int, err error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.Control() + path)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Total int `json:"total"`
	}
	if response.StatusCode == http.StatusOK {
		err = json.NewDecoder(response.Body).Decode(&body)
	}
	return body.Total, response.StatusCode, err
}

// runLine returns the command of a role in deploy/system.toml, split at spaces.
func (r *Rig) runLine(role string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(r.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	_, section, found := strings.Cut(string(text), "[roles."+role+"]")
	_, rest, hasRun := strings.Cut(section, "run = \"")
	line, _, ends := strings.Cut(rest, "\"")
	if !found || !hasRun || !ends {
		return nil, fmt.Errorf("deploy/system.toml has no run line of %s", role)
	}
	return strings.Fields(line), nil
}

// Start starts the process of a role on the machine.
func (m *Machine) Start(role string, firstBoot bool) error {
	r := m.rig
	command, err := r.runLine(role)
	if err != nil {
		return err
	}
	settings, err := m.writeSettings(role, firstBoot)
	if err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(r.folder, m.Name+"-"+role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(filepath.Join(r.root, command[0]), command[1:]...)
	process.Dir = r.root
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CINDERROAD_SETTINGS=" + settings}
	process.Stdout, process.Stderr = output, output
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // nothing outlives the case
	m.processes[role] = process
	return process.Start()
}

// Signal sends a signal to the process of a role.
func (m *Machine) Signal(role string, signal syscall.Signal) error {
	m.rig.Log("%s of %s gets %v", role, m.Name, signal)
	return m.processes[role].Process.Signal(signal)
}

// SignalAll sends a signal to all processes of the machine.
func (m *Machine) SignalAll(signal syscall.Signal) error {
	for role := range m.processes {
		if err := m.Signal(role, signal); err != nil {
			return err
		}
	}
	return nil
}

// Order sends an order without a body to the core machines in turn until it is acknowledged.
func (r *Rig) Order(path string) error {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, m := range r.Core {
			status, err := m.Post(path, 0, nil, time.Second)
			if err == nil && status == http.StatusOK {
				r.Log("operator: %s is acknowledged", path)
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not acknowledged", path)
}

// Wait waits until the process of a role has ended, and returns how.
func (m *Machine) Wait(role string) string {
	_ = m.processes[role].Wait()
	state := m.processes[role].ProcessState.String()
	m.rig.Log("%s of %s has ended: %s", role, m.Name, state)
	return state
}

// Close ends all processes and removes the temporary folder, which it keeps if REVIEW_KEEP is set.
func (r *Rig) Close() {
	for _, m := range append(append([]*Machine{}, r.Core...), r.Edges...) {
		for _, process := range m.processes {
			if process.ProcessState == nil {
				_ = process.Process.Signal(syscall.SIGCONT)
				_ = process.Process.Kill()
				_ = process.Wait()
			}
		}
	}
	if r.Platform != nil {
		r.Platform.Close()
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(r.folder)
	} else {
		r.Log("kept: %s", r.folder)
	}
	_ = r.record.Close()
}
