package policysim

import (
	"fmt"
	"net/netip"
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/placement"
	"cinderroad/internal/testkit/engine"
	"cinderroad/internal/testkit/eventqueue"
)

// The shared budgets of a run.
const (
	retryRatio             = 0.2
	retryWindow            = 10 * time.Second
	retryAllowance         = 54
	slowStartFactor        = 1.5
	slowStartAllowance     = 5
	slowStartFailureFactor = 4 // multiple of its rate at which a cold runner falls over
	drainTime              = 20 * time.Second
)

// simulation is a run.
type simulation struct {
	scenario     *Scenario
	eventQueue   eventqueue.Agenda
	now          time.Duration
	routes       map[string]*configuration.Route // by class
	services     []*configuration.Service
	runners      []*simulatedRunner
	incarnations int // incarnations
	proxies      []*proxy
	proxyTurn    int
	calls        []*callState
	counters     counters
}

// proxy is one that serves clients, with its policy.
type proxy struct {
	zone   string
	policy Policy
}

// Run plays a scenario with a contestant's policies.
func Run(s *Scenario, c PolicyFactory, seed uint64) (*Result, error) {
	w := &simulation{scenario: s, counters: newCounters()}
	if err := w.build(c, seed); err != nil {
		return nil, fmt.Errorf("experiment: %s: %w", c.Name, err)
	}
	for _, call := range GenerateTraffic(s, seed) {
		v := &callState{call: call}
		w.calls = append(w.calls, v)
		w.at(call.At, func() { w.startClientAttempt(v) })
	}
	for _, crash := range s.Crashes {
		w.at(crash.At, func() { w.crashRunner(crash) })
	}
	w.runUntil(s.Duration + drainTime)
	return w.result(c.Name), nil
}

func (w *simulation) at(at time.Duration, do func()) { w.eventQueue.At(at.Seconds(), do) }

func (w *simulation) after(wait time.Duration, do func()) { w.at(w.now+wait, do) }

func (w *simulation) runUntil(until time.Duration) {
	for {
		at, do, is := w.eventQueue.Next(until.Seconds())
		if !is {
			return
		}
		w.now = max(w.now, secondsToDuration(at))
		do()
	}
}

func (w *simulation) build(c PolicyFactory, seed uint64) error {
	w.buildConfiguration()
	for i := range w.scenario.Services {
		service := &w.scenario.Services[i]
		for _, zone := range w.scenario.Zones {
			for range service.Runners[zone.Name] {
				if _, err := w.startRunner(service, zone.Name); err != nil {
					return err
				}
			}
		}
	}
	zones := make(map[string]string)
	for _, zone := range w.scenario.Zones {
		zones[zone.Name] = zone.Region
	}
	for _, zone := range w.scenario.Zones {
		for range zone.Proxies {
			seed += 1_000_003
			policy, err := c.New(placement.Options{Zone: zone.Name, Region: zone.Region, Zones: zones, RetryRatio: retryRatio,
				RetryWindow: retryWindow, RetryAllowance: retryAllowance, SlowStartFactor: slowStartFactor, SlowStartAllowance: slowStartAllowance}, seed)
			if err != nil {
				return err
			}
			w.proxies = append(w.proxies, &proxy{zone: zone.Name, policy: policy})
		}
	}
	for _, p := range w.proxies {
		p.policy.SetServices(0, w.services)
		p.policy.SetProxyCount(0, len(w.proxies))
		w.tickPolicy(p)
	}
	w.publishRunners()
	return nil
}

func (w *simulation) buildConfiguration() {
	w.routes = make(map[string]*configuration.Route)
	for i := range w.scenario.Classes {
		c := &w.scenario.Classes[i]
		w.routes[c.Name] = &configuration.Route{Name: c.Name, Host: "screening.example", PathPrefix: "/" + c.Name + "/",
			Type:    c.Type,
			Timeout: c.Deadline, LatencyTarget: c.LatencyTarget, EventGapTarget: c.EventGapTarget, Rank: c.Rank, MaxAttempts: c.MaxAttempts, Resumable: c.Resumable,
			Shares: []configuration.Share{{Service: c.Service, Weight: 1}}, PrefixAffinity: c.Type == configuration.Streaming,
			HomeRegions: c.HomeRegions}
	}
	for i := range w.scenario.Services {
		s := &w.scenario.Services[i]
		service := &configuration.Service{Name: s.Name, HealthPath: "/health", MaxConnections: s.MaxConnections, SlowStartDuration: s.SlowStartDuration,
			SlowStartRate: s.SlowStartRate}
		if s.Engine != nil {
			service.Backend = &configuration.Backend{Capacity: s.Engine.Slots, CacheTokens: s.Engine.MemoryTokens,
				CacheBytesPerToken: 327680, LinkMbps: 370000, TokensPerEvent: s.Engine.StrideTokens, Models: []string{modelName}}
		}
		w.services = append(w.services, service)
	}
}

func (w *simulation) tickPolicy(p *proxy) {
	next := p.policy.Tick(w.now)
	w.at(max(next, w.now+time.Millisecond), func() { w.tickPolicy(p) })
}

// publishRunners tells all proxies of the runners that are up.
func (w *simulation) publishRunners() {
	var runners []placement.Runner
	for _, h := range w.runners {
		if h.listed {
			runners = append(runners, h.info)
		}
	}
	for _, p := range w.proxies {
		p.policy.SetRunners(w.now, runners)
	}
}

// startRunner starts a new incarnation of a runner.
func (w *simulation) startRunner(service *Service, zone string) (*simulatedRunner, error) {
	w.incarnations++
	h := &simulatedRunner{sim: w, up: true, listed: true, service: service, attempts: make(map[*engine.Task]*attempt)}
	h.slowStart = engine.Cold{Rate: service.SlowStartRate, Excess: slowStartFactor, Slack: slowStartAllowance, Falls: slowStartFailureFactor}
	h.info = placement.Runner{ID: fmt.Sprintf("i-%04x", w.incarnations), Service: service.Name, Zone: zone,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128, byte(w.incarnations >> 8), byte(w.incarnations)}), 8080),
		Region:  w.scenario.regionOf(zone), Capacity: service.Slots}
	var err error
	if service.Engine != nil {
		h.info.Capacity, h.info.Models = service.Engine.Slots, []string{modelName}
		h.engine, err = engine.New(*service.Engine)
	} else {
		h.engine, err = engine.NewWorkers(service.Slots, service.QueueLength)
	}
	w.runners = append(w.runners, h)
	return h, err
}

// crashRunner ends a runner; a new incarnation takes its place later, cold and with nothing kept.
func (w *simulation) crashRunner(c Crash) {
	var of []*simulatedRunner
	for _, h := range w.runners {
		if h.service.Name == c.Service && h.up {
			of = append(of, h)
		}
	}
	if c.RunnerIndex >= len(of) {
		return
	}
	h := of[c.RunnerIndex]
	h.stop(c.Silent)
	w.after(w.scenario.DiscoveryLag, func() {
		h.listed = false
		w.publishRunners()
	})
	w.after(c.Downtime, func() { w.restartRunner(h) })
}

func (w *simulation) restartRunner(old *simulatedRunner) {
	h, err := w.startRunner(old.service, old.info.Zone)
	if err != nil {
		panic(err) // its options were good before
	}
	h.listed = false
	until := w.now + old.service.SlowStartDuration
	h.slowStart.Begin(until)
	w.after(w.scenario.DiscoveryLag, func() {
		h.listed = true
		h.info.SlowStartUntil = until
		w.publishRunners()
	})
}
