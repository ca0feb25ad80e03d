package emulator

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// settingsVariable tells a process where its settings are.
const settingsVariable = "CINDERROAD_SETTINGS"

// restartAfter is how long the platform takes to start a process that has ended.
const restartAfter = 300 * time.Millisecond

// process is one program on one machine. It is started again whenever it ends, until it is stopped.
type process struct {
	deployment *deployment
	machine    *machine
	program    program
	path       string
	log        *os.File

	mutex   sync.Mutex
	command *exec.Cmd
	wanted  bool
	killed  bool          // the next end was asked for
	ended   chan struct{} // closed when it will not be started again
	starts  int
	ownEnds int   // that nobody asked for
	peak    int64 // kilobytes, as far as it was looked at
}

// startProcess starts a program on a machine.
func (d *deployment) startProcess(m *machine, p program, path string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(d.folder, m.name+"-"+string(p)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY,
		0o640)
	if err != nil {
		return nil, err
	}
	proc := &process{deployment: d, machine: m, program: p, path: path, log: log, wanted: true, ended: make(chan struct{})}
	if err := proc.start(); err != nil {
		log.Close()
		return nil, fmt.Errorf("%s on %s: %w", p, m.name, err)
	}
	go proc.watch()
	return proc, nil
}

func (p *process) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	file, err := p.deployment.writeSettings(p.machine, p.program, p.starts == 0)
	if err != nil {
		return err
	}
	p.command = exec.Command(p.path)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsVariable + "=" + file}
	p.command.Stdout, p.command.Stderr = p.log, p.log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.starts++
	p.killed = false
	return p.command.Start()
}

// watch starts the process again whenever it ends.
func (p *process) watch() {
	defer close(p.ended)
	defer p.log.Close()
	for {
		p.command.Wait() //nolint:errcheck // how it ended does not matter: it is started again
		p.mutex.Lock()
		wanted := p.wanted
		if wanted && !p.killed {
			p.ownEnds++
		}
		p.mutex.Unlock()
		if !wanted {
			return
		}
		time.Sleep(restartAfter)
		if err := p.start(); err != nil {
			fmt.Fprintf(p.log, "emulator: not started again: %v\n", err)
			return
		}
	}
}

// signal sends the process a signal; an end that follows was asked for.
func (p *process) signal(signal syscall.Signal) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.killed = true
	err := p.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// stop ends the process for good: with SIGTERM, and with SIGKILL after the grace period.
func (p *process) stop(grace time.Duration) {
	p.mutex.Lock()
	p.wanted = false
	p.mutex.Unlock()
	p.noteMemory()
	p.signal(syscall.SIGTERM) //nolint:errcheck // SIGKILL follows if it is not heard
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-p.ended:
		return
	case <-timer.C:
	}
	p.signal(syscall.SIGKILL) //nolint:errcheck // no process is left if it fails
	<-p.ended
}

// noteMemory looks at the most memory that the present life has taken.
func (p *process) noteMemory() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return // it has ended
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes int64
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); n == 1 {
			p.peak = max(p.peak, kilobytes)
		}
	}
}

// peakMB is the most memory that one of its lives took.
func (p *process) peakMB() float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	const kilobytes = 1024
	return float64(p.peak) / kilobytes
}

// findPrograms looks for the programs in a folder.
func findPrograms(folder string) (map[program]string, error) {
	paths := make(map[program]string)
	for _, p := range []program{proxy, agent, control} {
		path := filepath.Join(folder, string(p))
		if info, err := os.Stat(path); err != nil || info.IsDir() {
			return nil, fmt.Errorf("%s is not in %s: build it there, or name another folder", p, folder)
		}
		paths[p] = path
	}
	return paths, nil
}
