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
	observer   processObserver // nil: none

	mu             sync.Mutex
	command        *exec.Cmd // of the present incarnation; after startProcess only supervise replaces it
	life           life
	restart        bool          // it is restarted when it ends
	restartAfter   time.Duration // from its end
	losesDisk      bool          // its disk is emptied before its next start
	done           chan struct{} // closed when it will not be restarted
	starts         int
	unexpectedEnds int   // without a signal
	restartError   error // why it was not started again; nil: it was
	peakKB         int64 // greatest resident memory of all samples
}

// life is what was done to an incarnation of a process. A time is zero if it has not come.
type life struct {
	started  time.Time
	reloaded time.Time // last SIGHUP
	stopped  time.Time // first SIGTERM
	killed   time.Time // first SIGKILL
	ended    time.Time
	status   *os.ProcessState
}

// processObserver is told of the lives of processes. Its methods must not call those of the process.
type processObserver interface {
	// signalled is called before a signal is sent; first says whether it is the first of its kind in the process's life.
	signalled(p *process, signal syscall.Signal, at time.Time, first bool)
	// lifeEnded is called once a process has ended.
	lifeEnded(p *process, ended life)
	// startedAgain is called once a process has started after the life that ended.
	startedAgain(p *process, ended life, at time.Time)
}

// startProcess starts a program on a machine. The observer may be nil.
func (d *deployment) startProcess(m *machine, p program, path string, observer processObserver) (*process, error) {
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
		observer:   observer,
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
	p.life = life{started: time.Now()}
	p.restartAfter = restartDelay
	return p.command.Start()
}

// supervise restarts the process whenever it ends. It is the owner of the log file.
func (p *process) supervise() {
	defer close(p.done)
	defer p.log.Close()
	for {
		// Only this goroutine replaces the command, so it may read it without the lock.
		p.command.Wait() //nolint:errcheck // its state says how it ended
		ended, wanted, pause := p.recordEnd()
		if p.observer != nil {
			p.observer.lifeEnded(p, ended)
		}
		if !wanted {
			return
		}
		time.Sleep(pause)
		if err := p.startAgain(); err != nil {
			fmt.Fprintf(p.log, "emulator: not started again: %v\n", err)
			p.mu.Lock()
			p.restartError = err
			p.mu.Unlock()
			return
		}
		if p.observer != nil {
			p.observer.startedAgain(p, ended, time.Now())
		}
	}
}

// recordEnd records the end of the present life. It returns that life, and whether and after what time another one follows.
func (p *process) recordEnd() (ended life, restarted bool, pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.life.ended = time.Now()
	p.life.status = p.command.ProcessState
	if p.restart && !p.life.endIsExpected() {
		p.unexpectedEnds++
	}
	return p.life, p.restart, p.restartAfter
}

// startAgain starts the next life, without what was on the disk if that is lost.
func (p *process) startAgain() error {
	p.mu.Lock()
	losesDisk := p.losesDisk
	p.losesDisk = false
	p.mu.Unlock()
	if losesDisk {
		if err := os.RemoveAll(p.deployment.diskOf(p.machine)); err != nil {
			return err
		}
	}
	return p.start()
}

// startTrouble is how long after its start a program may still end by the default action of a signal: it has not come to
// handle them.
const startTrouble = time.Second

// endIsExpected reports whether a signal explains the end of the life.
func (l *life) endIsExpected() bool {
	if !l.stopped.IsZero() || !l.killed.IsZero() {
		return true
	}
	return l.endedBy(syscall.SIGHUP) && l.reloaded.Sub(l.started) < startTrouble
}

// endedBy reports whether the default action of a signal ended the process.
func (l *life) endedBy(signal syscall.Signal) bool {
	status, ok := l.status.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == signal
}

// signal sends the process a signal. An end that follows SIGTERM or SIGKILL is expected.
func (p *process) signal(signal syscall.Signal) error {
	return p.signalThenRestart(signal, restartDelay, false)
}

// signalThenRestart sends the process a signal, and says how soon after its end it starts again, and whether it has lost its
// disk then. A process that has ended, and has not started again, gets no signal.
func (p *process) signalThenRestart(signal syscall.Signal, restartAfter time.Duration, losesDisk bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.life.ended.IsZero() {
		return nil
	}
	now := time.Now()
	first := true
	switch {
	case signal == syscall.SIGHUP:
		p.life.reloaded = now
	case signal == syscall.SIGTERM && p.life.stopped.IsZero():
		p.life.stopped = now
	case signal == syscall.SIGKILL && p.life.killed.IsZero():
		p.life.killed = now
	default:
		first = false
	}
	if signal != syscall.SIGHUP {
		p.restartAfter = restartAfter
	}
	p.losesDisk = p.losesDisk || losesDisk
	if p.observer != nil {
		p.observer.signalled(p, signal, now, first)
	}
	err := p.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// present returns the present life; its end is zero while it lasts.
func (p *process) present() life {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life
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

// startCount returns the number of incarnations so far.
func (p *process) startCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// pid returns the present incarnation's number.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.Process.Pid
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
