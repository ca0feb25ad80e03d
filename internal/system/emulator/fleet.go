package emulator

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cinderroad/internal/system/policysim"
	"cinderroad/internal/testkit/checker"
	"cinderroad/internal/testkit/engine"
	"cinderroad/internal/testkit/fakeplatform"
	"cinderroad/internal/testkit/runner"
)

const (
	healthPath           = "/health"
	modelName            = "m"
	runnerIdleTimeout    = 10 * time.Second
	connectionCloseShare = 0.01
	reportLag            = 100 * time.Millisecond
	plainBodyBytes       = 800
	runnersPerSubnet     = 250             // last bytes of the runners' addresses are 1 to 250
	delistDelay          = 3 * time.Second // for which a crashed runner stays on the platform's list
	extraDrainTime       = time.Second     // for which a draining runner serves beyond the required time
	longExtraDrainTime   = 9 * time.Second // the same, of some runners
)

// runnerFleet is the runners of all services. It keeps the platform's list in step with them. The timers that it sets
// may fire after close; they start no runners then.
type runnerFleet struct {
	scenario *policysim.Scenario
	platform *fakeplatform.Platform
	checker  *checker.Checker
	zones    map[string]string

	mu           sync.Mutex
	count        int // runners that were started
	running      []*runner.Runner
	entries      map[string]fakeplatform.Entry // of the platform's list, by the runner's id
	services     map[string]*policysim.Service // by the runner's id
	stoppedStats []runner.Stats                // of runners that have ended
	failedStarts []error                       // of replacements
	closed       bool
}

// errFleetClosed says that the emulation has ended.
var errFleetClosed = errors.New("the runners have been closed")

// startFleet starts the runners of all services. If one does not start, it returns the fleet with the others, which the caller
// has to close, and the error.
func startFleet(scenario *policysim.Scenario, zones map[string]string, platform *fakeplatform.Platform,
	requestChecker *checker.Checker) (*runnerFleet, error) {
	f := &runnerFleet{
		scenario: scenario,
		platform: platform,
		checker:  requestChecker,
		zones:    zones,
		entries:  make(map[string]fakeplatform.Entry),
		services: make(map[string]*policysim.Service),
	}
	for i := range scenario.Services {
		for _, zone := range scenario.Zones {
			for range scenario.Services[i].Runners[zone.Name] {
				if _, err := f.startRunner(&scenario.Services[i], zone.Name, 0); err != nil {
					return f, err
				}
			}
		}
	}
	return f, nil
}

// startRunner starts a runner, which is in slow start for the given time.
func (f *runnerFleet) startRunner(service *policysim.Service, zone string,
	slowStart time.Duration) (*runner.Runner, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil, errFleetClosed
	}
	f.count++
	o, err := f.runnerOptions(service, zone)
	if err != nil {
		return nil, err
	}
	r, err := runner.Start(o)
	if err != nil {
		return nil, err
	}
	entry := fakeplatform.Entry{
		ID:       o.ID,
		Service:  service.Name,
		Address:  r.Address(),
		Zone:     zone,
		Capacity: service.Slots,
	}
	if service.Engine != nil {
		entry.Capacity = service.Engine.MaxRunning
		entry.Model = modelName
	}
	if slowStart > 0 {
		r.BeginSlowStart(slowStart)
		entry.SlowStartUntil = time.Now().Add(slowStart)
	}
	f.running = append(f.running, r)
	f.entries[o.ID] = entry
	f.services[o.ID] = service
	f.platform.Set(entry)
	return r, nil
}

// runnerOptions returns the options of the runner with the number f.count. Runners have addresses of their own, beside those
// of the machines. The mutex must be held.
func (f *runnerFleet) runnerOptions(s *policysim.Service, zone string) (o runner.Options, err error) {
	o = runner.Options{
		Runner: checker.Runner{
			ID:      fmt.Sprintf("i-%04x", f.count),
			Service: s.Name,
			Zone:    zone,
			Region:  f.zones[zone],
		},
		Address:     fmt.Sprintf("127.1.%d.%d:0", f.count/runnersPerSubnet, 1+f.count%runnersPerSubnet),
		HealthPath:  healthPath,
		MaxConns:    s.MaxConnections,
		IdleTimeout: runnerIdleTimeout,
		CloseShare:  connectionCloseShare,
		ReportDelay: reportLag,
		SlowStart:   defaultTiming.slowStart(s.SlowStartRate),
		Checker:     f.checker,
		Seed:        uint64(f.count),
		BodyBytes:   plainBodyBytes,
	}
	if s.Engine != nil {
		o.EventTokens = s.Engine.EventTokens
		o.Models = []runner.Model{{Name: modelName, Version: 1}}
		o.Engine, err = engine.New(*s.Engine)
		return o, err
	}
	o.Engine, err = engine.NewWorkers(s.Slots, s.QueueLength)
	o.ServiceTime = f.workSampler(s.Name)
	return o, err
}

// workSampler returns a function that draws the work of a request to a service without an engine.
func (f *runnerFleet) workSampler(service string) func(*rand.Rand) time.Duration {
	for i := range f.scenario.Classes {
		if c := &f.scenario.Classes[i]; c.Service == service {
			return func(random *rand.Rand) time.Duration {
				return time.Duration(math.Round(c.WorkMS.Sample(random) * float64(time.Millisecond)))
			}
		}
	}
	return nil
}

// pickRunner returns a running runner of a service that is not draining; nil if there is none.
func (f *runnerFleet) pickRunner(service string) *runner.Runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.running {
		if f.services[r.ID()].Name == service && !f.entries[r.ID()].Draining {
			return r
		}
	}
	return nil
}

// pickRunnerWithIndex returns one of the running runners that are not draining, the same for the same index and runners; nil
// if there is none.
func (f *runnerFleet) pickRunnerWithIndex(index int) *runner.Runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	serving := slices.DeleteFunc(slices.Clone(f.running), func(r *runner.Runner) bool { return f.entries[r.ID()].Draining })
	if len(serving) == 0 {
		return nil
	}
	return serving[index%len(serving)]
}

// drain ends a runner as the platform does: it announces the end, lets the runner serve on for the required time and some
// extra time, or for the given notice if that is above 0, and replaces it.
func (f *runnerFleet) drain(r *runner.Runner, notice, extra time.Duration) {
	f.mu.Lock()
	entry := f.entries[r.ID()]
	entry.Draining = true
	serves := time.Duration(defaultTiming.DrainWithinMS)*time.Millisecond + extra
	if notice > 0 {
		serves = notice
		entry.TerminatesAt = time.Now().Add(notice)
	}
	f.entries[r.ID()] = entry
	f.mu.Unlock()
	r.Drain()
	shown := f.platform.Set(entry)
	f.checker.RunnerDraining(r.ID(), shown)
	time.AfterFunc(time.Until(shown)+serves, func() {
		f.removeRunning(r)
		r.Close()
		f.platform.Remove(r.ID())
		f.startReplacement(r)
	})
}

// crash ends a runner abruptly, which resets its connections, and replaces it.
func (f *runnerFleet) crash(r *runner.Runner, downtime time.Duration) {
	f.removeRunning(r)
	r.Crash()
	f.replaceAfter(r, downtime)
}

// silence has a runner stop responding without closing its connections, and replaces it.
func (f *runnerFleet) silence(r *runner.Runner, downtime time.Duration) {
	f.removeRunning(r)
	r.Hang()
	f.replaceAfter(r, downtime)
}

// replaceAfter starts a replacement of a runner that has failed, after the downtime. The platform's list shows the failed one
// for delistDelay.
func (f *runnerFleet) replaceAfter(r *runner.Runner, downtime time.Duration) {
	time.AfterFunc(delistDelay, func() { f.platform.Remove(r.ID()) })
	time.AfterFunc(downtime, func() {
		r.Close()
		f.startReplacement(r)
	})
}

// corruptResponses has all runners corrupt some of their responses for a while.
func (f *runnerFleet) corruptResponses(faults runner.Faults, duration time.Duration) {
	f.setFaults(faults)
	time.AfterFunc(duration, func() { f.setFaults(runner.Faults{}) })
}

func (f *runnerFleet) setFaults(faults runner.Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.running {
		r.SetFaults(faults)
	}
}

// startReplacement starts another incarnation in place of a runner that has ended.
func (f *runnerFleet) startReplacement(r *runner.Runner) {
	f.mu.Lock()
	service := f.services[r.ID()]
	zone := f.entries[r.ID()].Zone
	f.mu.Unlock()
	_, err := f.startRunner(service, zone, service.SlowStartDuration)
	if err != nil && !errors.Is(err, errFleetClosed) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.failedStarts = append(f.failedStarts, err)
	}
}

// startErrors returns why replacements did not start.
func (f *runnerFleet) startErrors() []error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.failedStarts)
}

// removeRunning removes a runner from the running ones.
func (f *runnerFleet) removeRunning(r *runner.Runner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, other := range f.running {
		if other == r {
			f.running = append(f.running[:i], f.running[i+1:]...)
			f.stoppedStats = append(f.stoppedStats, r.Stats())
			return
		}
	}
}

// close ends all runners and returns the statistics of all that ever ran.
func (f *runnerFleet) close() []runner.Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	stats := f.stoppedStats
	for _, r := range f.running {
		stats = append(stats, r.Stats())
		r.Close()
	}
	f.running = nil
	f.stoppedStats = nil
	return stats
}
