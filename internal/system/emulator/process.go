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

// settingsVariable is the environment variable with the path of a process's settings file.
const settingsVariable = "CINDERROAD_SETTINGS"

// restartDelay is how long the platform takes to restart a process.
const restartDelay = 300 * time.Millisecond

// process is one program on one machine. It is restarted whenever it ends, until it is stopped. Its methods may be called from
// any goroutine.
type process struct {
	deployment *deployment
	machine    *machine
	program    program
	path       string
	log        *os.File

	mu             sync.Mutex
	command        *exec.Cmd     // of the present incarnation; after startProcess only supervise replaces it
	restart        bool          // it is restarted when it ends
	endExpected    bool          // a signal was sent that ends it
	done           chan struct{} // closed when it will not be restarted
	starts         int
	unexpectedEnds int   // without a signal
	restartError   error // why it was not started again; nil: it was
	peakKB         int64 // greatest resident memory of all samples
}

// startProcess starts a program on a machine.
func (d *deployment) startProcess(m *machine, p program, path string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(d.workDir, m.name+"-"+string(p)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY,
		0o640)
	if err != nil {
		return nil, err
	}
	proc := &process{
		deployment: d,
		machine:    m,
		program:    p,
		path:       path,
		log:        log,
		restart:    true,
		done:       make(chan struct{}),
	}
	if err := proc.start(); err != nil {
		log.Close()
		return nil, fmt.Errorf("%s on %s: %w", p, m.name, err)
	}
	go proc.supervise()
	return proc, nil
}

// start writes the settings file of the next incarnation and starts it.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	file, err := p.deployment.writeSettings(p.machine, p.program, p.starts == 0)
	if err != nil {
		return err
	}
	p.command = exec.Command(p.path)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsVariable + "=" + file}
	p.command.Stdout, p.command.Stderr = p.log, p.log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no program outlives the emulator
	p.starts++
	p.endExpected = false
	return p.command.Start()
}

// supervise restarts the process whenever it ends. It is the owner of the log file.
func (p *process) supervise() {
	defer close(p.done)
	defer p.log.Close()
	for {
		// Only this goroutine replaces the command, so it may read it without the lock.
		p.command.Wait() //nolint:errcheck // how it ended does not matter: it is started again
		p.mu.Lock()
		wanted := p.restart
		if wanted && !p.endExpected {
			p.unexpectedEnds++
		}
		p.mu.Unlock()
		if !wanted {
			return
		}
		time.Sleep(restartDelay)
		if err := p.start(); err != nil {
			fmt.Fprintf(p.log, "emulator: not started again: %v\n", err)
			p.mu.Lock()
			p.restartError = err
			p.mu.Unlock()
			return
		}
	}
}

// signal sends the process a signal. An end that follows is expected.
func (p *process) signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endExpected = true
	err := p.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// stop ends the process for good: with SIGTERM, and with SIGKILL after the grace period. It returns once the process
// has ended.
func (p *process) stop(grace time.Duration) {
	p.mu.Lock()
	p.restart = false
	p.mu.Unlock()
	p.samplePeakMemory()
	p.signal(syscall.SIGTERM) //nolint:errcheck // SIGKILL follows if it is not heard
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-p.done:
		return
	case <-timer.C:
	}
	p.signal(syscall.SIGKILL) //nolint:errcheck // no process is left if it fails
	<-p.done
}

// samplePeakMemory reads the peak of resident memory of the present incarnation.
func (p *process) samplePeakMemory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return // it has ended
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes int64
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); n == 1 {
			p.peakKB = max(p.peakKB, kilobytes)
		}
	}
}

// peakMB returns the peak of resident memory of all incarnations.
func (p *process) peakMB() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	const kilobytes = 1024
	return float64(p.peakKB) / kilobytes
}

// findPrograms returns the paths of the programs in a directory.
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
