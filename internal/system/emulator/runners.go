package emulator

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"cinderroad/internal/system/policysim"
	"cinderroad/internal/testkit/checker"
	"cinderroad/internal/testkit/engine"
	"cinderroad/internal/testkit/fakeplatform"
	"cinderroad/internal/testkit/runner"
)

const (
	healthPath   = "/health"
	modelName    = "m"
	runnerIdle   = 10 * time.Second
	closeShare   = 0.01
	reportLag    = 100 * time.Millisecond
	plainBytes   = 800
	listedAfter  = 3 * time.Second // that a runner that has crashed stays on the list
	drainAndMore = time.Second     // that a draining runner serves for longer than it has to
)

// runners are the runners of all services, and the list that names them.
type runners struct {
	scenario *policysim.Scenario
	cloud    *fakeplatform.Cloud
	referee  *checker.Referee
	zones    map[string]string

	mutex   sync.Mutex
	started int
	up      []*runner.Runner
	entries map[string]fakeplatform.Entry
	service map[string]*policysim.Service // of a runner
	gone    []runner.Stats
	closed  bool
}

// errClosed says that the day is over.
var errClosed = errors.New("the runners have been closed")

// startRunners starts the runners of all services.
func startRunners(s *policysim.Scenario, zones map[string]string, c *fakeplatform.Cloud,
	r *checker.Referee) (*runners, error) {
	rs := &runners{scenario: s, cloud: c, referee: r, zones: zones, entries: make(map[string]fakeplatform.Entry),
		service: make(map[string]*policysim.Service)}
	for i := range s.Services {
		for _, zone := range s.Zones {
			for range s.Services[i].Runners[zone.Name] {
				if _, err := rs.start(&s.Services[i], zone.Name, 0); err != nil {
					return rs, err
				}
			}
		}
	}
	return rs, nil
}

// start starts a runner that is cold for a while.
func (rs *runners) start(s *policysim.Service, zone string, cold time.Duration) (*runner.Runner, error) {
	rs.mutex.Lock()
	defer rs.mutex.Unlock()
	if rs.closed {
		return nil, errClosed
	}
	rs.started++
	o, err := rs.options(s, zone)
	if err != nil {
		return nil, err
	}
	r, err := runner.Start(o)
	if err != nil {
		return nil, err
	}
	entry := fakeplatform.Entry{ID: o.ID, Service: s.Name, Address: r.Address(), Zone: zone, Capacity: s.Slots}
	if s.Engine != nil {
		entry.Capacity, entry.Model = s.Engine.Slots, modelName
	}
	if cold > 0 {
		r.Chill(cold)
		entry.ColdUntil = time.Now().Add(cold)
	}
	rs.up = append(rs.up, r)
	rs.entries[o.ID], rs.service[o.ID] = entry, s
	rs.cloud.Set(entry)
	return r, nil
}

// options describe the next runner; runners are at addresses of their own, beside those of machines.
func (rs *runners) options(s *policysim.Service, zone string) (o runner.Options, err error) {
	o = runner.Options{
		Runner:  checker.Runner{ID: fmt.Sprintf("i-%04x", rs.started), Service: s.Name, Zone: zone, Region: rs.zones[zone]},
		Address: fmt.Sprintf("127.1.%d.%d:0", rs.started/250, 1+rs.started%250), HealthPath: healthPath, MaxConns: s.MaxConnections,
		IdleFor: runnerIdle, CloseShare: closeShare, ReportLag: reportLag, Cold: defaultTiming.cold(s.SlowStartRate),
		Referee: rs.referee,
		Seed:    uint64(rs.started), BodyBytes: plainBytes,
	}
	if s.Engine != nil {
		o.Stride, o.Models = s.Engine.StrideTokens, []runner.Model{{Name: modelName, Version: 1}}
		o.Machine, err = engine.New(*s.Engine)
		return o, err
	}
	o.Machine, err = engine.NewWorkers(s.Slots, s.QueueLength)
	o.Work = rs.workOf(s.Name)
	return o, err
}

// workOf draws the work of a plain service's requests.
func (rs *runners) workOf(service string) func(*rand.Rand) time.Duration {
	for i := range rs.scenario.Classes {
		if c := &rs.scenario.Classes[i]; c.Service == service {
			return func(random *rand.Rand) time.Duration {
				return time.Duration(math.Round(c.WorkMS.Sample(random) * float64(time.Millisecond)))
			}
		}
	}
	return nil
}

// pick is a running runner of a service.
func (rs *runners) pick(service string) *runner.Runner {
	rs.mutex.Lock()
	defer rs.mutex.Unlock()
	for _, r := range rs.up {
		if rs.service[r.ID()].Name == service && !rs.entries[r.ID()].Draining {
			return r
		}
	}
	return nil
}

// drain lets a runner leave as the platform does: it says so first, serves on for a while, and is replaced.
func (rs *runners) drain(r *runner.Runner, short time.Duration) {
	rs.mutex.Lock()
	entry := rs.entries[r.ID()]
	entry.Draining = true
	serves := time.Duration(defaultTiming.DrainWithinMS)*time.Millisecond + drainAndMore
	if short > 0 {
		serves = short
		entry.GoneAt = time.Now().Add(short)
	}
	rs.entries[r.ID()] = entry
	rs.mutex.Unlock()
	r.Drain()
	shown := rs.cloud.Set(entry)
	rs.referee.Draining(r.ID(), shown)
	time.AfterFunc(time.Until(shown)+serves, func() {
		rs.remove(r)
		r.Close()
		rs.cloud.Remove(r.ID())
		rs.replace(r)
	})
}

// crash ends a runner without a word; the list shows it for some time.
func (rs *runners) crash(r *runner.Runner, dark bool, back time.Duration) {
	rs.remove(r)
	if dark {
		r.GoDark()
	} else {
		r.Crash()
	}
	time.AfterFunc(listedAfter, func() { rs.cloud.Remove(r.ID()) })
	time.AfterFunc(back, func() {
		r.Close()
		rs.replace(r)
	})
}

// spoil has all runners spoil some answers for a while, those of plain services and of engines alike.
func (rs *runners) spoil(f runner.Faults, span time.Duration) {
	rs.script(f)
	time.AfterFunc(span, func() { rs.script(runner.Faults{}) })
}

func (rs *runners) script(f runner.Faults) {
	rs.mutex.Lock()
	defer rs.mutex.Unlock()
	for _, r := range rs.up {
		r.Script(f)
	}
}

// replace starts another incarnation in place of one that is gone.
func (rs *runners) replace(r *runner.Runner) {
	rs.mutex.Lock()
	s, zone := rs.service[r.ID()], rs.entries[r.ID()].Zone
	rs.mutex.Unlock()
	_, _ = rs.start(s, zone, s.SlowStartDuration) // one that does not start is one that is missing
}

// remove takes a runner from those that run.
func (rs *runners) remove(r *runner.Runner) {
	rs.mutex.Lock()
	defer rs.mutex.Unlock()
	for i, other := range rs.up {
		if other == r {
			rs.up = append(rs.up[:i], rs.up[i+1:]...)
			rs.gone = append(rs.gone, r.Stats())
			return
		}
	}
}

// close ends all runners and returns what they counted.
func (rs *runners) close() []runner.Stats {
	rs.mutex.Lock()
	defer rs.mutex.Unlock()
	rs.closed = true
	stats := rs.gone
	for _, r := range rs.up {
		stats = append(stats, r.Stats())
		r.Close()
	}
	rs.up, rs.gone = nil, nil
	return stats
}
