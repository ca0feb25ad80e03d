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

// Budgets that all proxies of a run share, and limits of the runners.
const (
	retryRatio             = 0.2
	retryWindow            = 10 * time.Second
	retryAllowance         = 54
	slowStartFactor        = 1.5
	slowStartAllowance     = 5
	slowStartFailureFactor = 4                // a runner in slow start crashes at its rate times this
	drainTime              = 20 * time.Second // after the traffic, for pending calls
)

// Properties of the engines of all services, as the policies are told them.
const (
	cacheBytesPerToken = 327680
	linkMbps           = 370000
)

// seedStep is the distance between the seeds of the proxies' policies, which is greater than that between the runs.
const seedStep = 1_000_003

// simulation is a run. Everything in it happens in events of its queue, one after the other; the engines, the proxies'
// policies and the clients share its clock.
type simulation struct {
	scenario     *Scenario
	eventQueue   eventqueue.Queue
	now          time.Duration
	routes       map[string]*configuration.Route // by class
	services     []*configuration.Service
	runners      []*simulatedRunner
	incarnations int // number of runners that were started
	proxies      []*proxy
	proxyTurn    int // index of the proxy that nextProxyIn returned last, modulo their number
	calls        []*callState
	counters     counters
}

// proxy is a proxy with its policy.
type proxy struct {
	zone   string
	policy Policy
}

// Run plays a scenario with the policies that the factory makes.
func Run(scenario *Scenario, factory PolicyFactory, seed uint64) (*Result, error) {
	sim := &simulation{scenario: scenario, counters: newCounters()}
	if err := sim.build(factory, seed); err != nil {
		return nil, fmt.Errorf("policysim: %s: %w", factory.Name, err)
	}
	for _, call := range GenerateTraffic(scenario, seed) {
		state := &callState{call: call}
		sim.calls = append(sim.calls, state)
		sim.at(call.At, func() { sim.startClientAttempt(state) })
	}
	for _, crash := range scenario.Crashes {
		sim.at(crash.At, func() { sim.crashRunner(crash) })
	}
	sim.runUntil(scenario.Duration + drainTime)
	return sim.result(factory.Name), nil
}

// at schedules an event at a time, which must not be before now.
func (sim *simulation) at(at time.Duration, do func()) { sim.eventQueue.Schedule(at.Seconds(), do) }

func (sim *simulation) after(wait time.Duration, do func()) { sim.at(sim.now+wait, do) }

// runUntil plays the events up to a time.
func (sim *simulation) runUntil(until time.Duration) {
	for {
		at, do, due := sim.eventQueue.PopUntil(until.Seconds())
		if !due {
			return
		}
		sim.now = max(sim.now, secondsToDuration(at))
		do()
	}
}

// build starts the runners and proxies of the scenario.
func (sim *simulation) build(factory PolicyFactory, seed uint64) error {
	sim.buildConfiguration()
	if err := sim.startRunners(); err != nil {
		return err
	}
	if err := sim.startProxies(factory, seed); err != nil {
		return err
	}
	for _, p := range sim.proxies {
		p.policy.SetServices(0, sim.services)
		p.policy.SetProxyCount(0, len(sim.proxies))
		sim.tickPolicy(p)
	}
	sim.publishRunners()
	return nil
}

// startRunners starts the runners of all services.
func (sim *simulation) startRunners() error {
	for i := range sim.scenario.Services {
		service := &sim.scenario.Services[i]
		for _, zone := range sim.scenario.Zones {
			for range service.Runners[zone.Name] {
				if _, err := sim.startRunner(service, zone.Name); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// startProxies makes the policy of each proxy, with seeds that follow each other by seedStep.
func (sim *simulation) startProxies(factory PolicyFactory, seed uint64) error {
	zones := make(map[string]string)
	for _, zone := range sim.scenario.Zones {
		zones[zone.Name] = zone.Region
	}
	for _, zone := range sim.scenario.Zones {
		for range zone.Proxies {
			seed += seedStep
			policy, err := factory.New(placement.Options{
				Zone:               zone.Name,
				Region:             zone.Region,
				Zones:              zones,
				RetryRatio:         retryRatio,
				RetryWindow:        retryWindow,
				RetryAllowance:     retryAllowance,
				SlowStartFactor:    slowStartFactor,
				SlowStartAllowance: slowStartAllowance,
			}, seed)
			if err != nil {
				return err
			}
			sim.proxies = append(sim.proxies, &proxy{zone: zone.Name, policy: policy})
		}
	}
	return nil
}

// buildConfiguration makes a route for each class and the services.
func (sim *simulation) buildConfiguration() {
	sim.routes = make(map[string]*configuration.Route)
	for i := range sim.scenario.Classes {
		class := &sim.scenario.Classes[i]
		sim.routes[class.Name] = routeOf(class)
	}
	for i := range sim.scenario.Services {
		sim.services = append(sim.services, serviceOf(&sim.scenario.Services[i]))
	}
}

// routeOf returns the route of a class.
func routeOf(class *Class) *configuration.Route {
	return &configuration.Route{
		Name:           class.Name,
		Host:           "screening.example",
		PathPrefix:     "/" + class.Name + "/",
		Type:           class.Type,
		Rank:           class.Rank,
		Timeout:        class.Deadline,
		LatencyTarget:  class.LatencyTarget,
		EventGapTarget: class.EventGapTarget,
		Shares:         []configuration.Share{{Service: class.Service, Weight: 1}},
		MaxAttempts:    class.MaxAttempts,
		Resumable:      class.Resumable,
		PrefixAffinity: class.Type == configuration.Streaming,
		HomeRegions:    class.HomeRegions,
	}
}

// serviceOf returns a service as the policies know it.
func serviceOf(described *Service) *configuration.Service {
	service := &configuration.Service{
		Name:              described.Name,
		HealthPath:        "/health",
		MaxConnections:    described.MaxConnections,
		SlowStartDuration: described.SlowStartDuration,
		SlowStartRate:     described.SlowStartRate,
	}
	if described.Engine != nil {
		service.Backend = &configuration.Backend{
			Capacity:           described.Engine.MaxRunning,
			CacheTokens:        described.Engine.MemoryTokens,
			CacheBytesPerToken: cacheBytesPerToken,
			LinkMbps:           linkMbps,
			TokensPerEvent:     described.Engine.EventTokens,
			Models:             []string{modelName},
		}
	}
	return service
}

// tickPolicy ticks the policy of a proxy, and again whenever it asks for it.
func (sim *simulation) tickPolicy(p *proxy) {
	next := p.policy.Tick(sim.now)
	sim.at(max(next, sim.now+time.Millisecond), func() { sim.tickPolicy(p) })
}

// publishRunners sends the list of runners to all proxies.
func (sim *simulation) publishRunners() {
	var runners []placement.Runner
	for _, runner := range sim.runners {
		if runner.listed {
			runners = append(runners, runner.info)
		}
	}
	for _, p := range sim.proxies {
		p.policy.SetRunners(sim.now, runners)
	}
}

// runnerAddress returns the address of an incarnation, which no other one has.
func runnerAddress(incarnation int) netip.AddrPort {
	const port = 8080
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128, byte(incarnation >> 8), byte(incarnation)}), port)
}

// startRunner starts a new incarnation of a runner.
func (sim *simulation) startRunner(service *Service, zone string) (*simulatedRunner, error) {
	sim.incarnations++
	runner := &simulatedRunner{
		sim:      sim,
		up:       true,
		listed:   true,
		service:  service,
		attempts: make(map[*engine.Task]*attempt),
	}
	runner.slowStart = engine.SlowStart{
		Rate:          service.SlowStartRate,
		MaxMultiple:   slowStartFactor,
		Allowance:     slowStartAllowance,
		CrashMultiple: slowStartFailureFactor,
	}
	runner.info = placement.Runner{
		ID:       fmt.Sprintf("i-%04x", sim.incarnations),
		Service:  service.Name,
		Zone:     zone,
		Address:  runnerAddress(sim.incarnations),
		Region:   sim.scenario.regionOf(zone),
		Capacity: service.Slots,
	}
	var err error
	if service.Engine != nil {
		runner.info.Capacity = service.Engine.MaxRunning
		runner.info.Models = []string{modelName}
		runner.engine, err = engine.New(*service.Engine)
	} else {
		runner.engine, err = engine.NewWorkers(service.Slots, service.QueueLength)
	}
	sim.runners = append(sim.runners, runner)
	return runner, err
}

// crashRunner ends a runner. A new incarnation replaces it later, in slow start and with an empty cache.
func (sim *simulation) crashRunner(crash Crash) {
	var candidates []*simulatedRunner
	for _, runner := range sim.runners {
		if runner.service.Name == crash.Service && runner.up {
			candidates = append(candidates, runner)
		}
	}
	if crash.RunnerIndex >= len(candidates) {
		return
	}
	runner := candidates[crash.RunnerIndex]
	runner.stop(crash.Silent)
	sim.after(sim.scenario.DiscoveryLag, func() {
		runner.listed = false
		sim.publishRunners()
	})
	sim.after(crash.Downtime, func() { sim.restartRunner(runner) })
}

// restartRunner starts a new incarnation in place of one that has ended. The proxies learn of it later.
func (sim *simulation) restartRunner(old *simulatedRunner) {
	runner, err := sim.startRunner(old.service, old.info.Zone)
	if err != nil {
		panic(err) // its options were good before
	}
	runner.listed = false
	until := sim.now + old.service.SlowStartDuration
	runner.slowStart.Begin(until)
	sim.after(sim.scenario.DiscoveryLag, func() {
		runner.listed = true
		runner.info.SlowStartUntil = until
		sim.publishRunners()
	})
}
