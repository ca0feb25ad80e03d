package emulator

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cinderroad/internal/testkit/checker"
)

// slowdownMonitor finds machines whose processes wait for a processor of the machine that the emulation runs on. Such
// machines count as slowed: rules with a bound in time don't hold for them.
type slowdownMonitor struct {
	deployment *deployment
	machines   *checker.Machines
	waited     map[string]time.Duration // by thread, when it was sampled last
	sampledAt  time.Time

	mu    sync.Mutex
	spans map[string][]slowSpan // by the name of the machine
}

type slowSpan struct{ from, to time.Time }

const (
	slowdownInterval = 500 * time.Millisecond
	// maxWait is how long a thread of a process may wait for a processor within slowdownInterval.
	maxWait = slowdownInterval / 2
	// maxSqueeze is how long all threads of a process together may wait, and a thread of the monitor's own process, before signals
	// and timers count as possibly late.
	maxSqueeze = slowdownInterval / 5
	// maxTickDelay is by how much the monitor itself may be late; beyond it, all machines count as slowed.
	maxTickDelay = 200 * time.Millisecond
)

// run samples the processes until ended is closed.
func (s *slowdownMonitor) run(processes []*process, ended <-chan struct{}) {
	ticker := time.NewTicker(slowdownInterval)
	defer ticker.Stop()
	s.sampledAt = time.Now()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
		s.sample(processes, time.Now())
	}
}

// sample records the machines that were slowed since the last sample.
func (s *slowdownMonitor) sample(processes []*process, now time.Time) {
	allSlowed := now.Sub(s.sampledAt) > slowdownInterval+maxTickDelay
	slowed := make(map[string]bool)
	waited := make(map[string]time.Duration)
	own, _ := s.waits(os.Getpid(), waited)
	for _, p := range processes {
		longest, sum := s.waits(p.pid(), waited)
		for _, name := range s.deployment.namesOf(p.machine) {
			if longest > maxWait || allSlowed {
				slowed[name] = true
			}
			if sum > maxSqueeze || own > maxSqueeze {
				s.machines.Squeezed(name, s.sampledAt, now)
			}
		}
	}
	for address := range slowed {
		s.machines.Slowed(address, s.sampledAt, now)
		s.record(address, slowSpan{from: s.sampledAt, to: now})
	}
	s.waited = waited
	s.sampledAt = now
}

func (s *slowdownMonitor) record(address string, span slowSpan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spans[address] = append(s.spans[address], span)
}

// slowed reports whether a machine was slowed at some time between two.
func (s *slowdownMonitor) slowed(address string, from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, span := range s.spans[address] {
		if !span.from.After(to) && !span.to.Before(from) {
			return true
		}
	}
	return false
}

// count returns for how many samples some machine was slowed.
func (s *slowdownMonitor) count() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, spans := range s.spans {
		n += len(spans)
	}
	return n
}

// waits returns how long the threads of a process have waited for a processor since the last sample, the longest of all threads
// and the sum, and adds the times of all to waited.
func (s *slowdownMonitor) waits(pid int, waited map[string]time.Duration) (longest, sum time.Duration) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0, 0
	}
	for _, file := range files {
		waited[file] = waitTime(file)
		wait := waited[file] - s.waited[file]
		longest = max(longest, wait)
		sum += wait
	}
	return longest, sum
}

// waitTime returns how long a thread has waited for a processor; 0 if it has ended.
func waitTime(file string) time.Duration {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	var ran, waited int64
	if n, _ := fmt.Sscan(string(text), &ran, &waited); n != 2 {
		return 0
	}
	return time.Duration(waited)
}
