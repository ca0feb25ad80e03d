package placement

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/shared/capacity"
	"cinderroad/internal/system/configuration"
)

// runnerState is what this proxy knows of one runner. Loads are in slots; see load.go for what a request weighs.
type runnerState struct {
	Runner
	service       *serviceState
	key           uint64 // of its id
	regionIndex   int    // of its region among those known
	listed        bool   // in the set that was told last
	slots         float64
	limits        capacity.Limits
	ejection      capacity.Ejection
	spareSlots    float64 // the plan: spare slots, lowered by each send until the next one
	spareTokens   float64 // the plan: free tokens, likewise; engines only
	load          float64 // derived load of all proxies, as of the last plan
	utilization   float64 // derived utilization, likewise
	occupiedSlots float64 // places that requests of all proxies are likely to take, likewise

	ownUsage       usage // of this proxy's attempts in flight
	meanUsage      usage // the same, over about usageWindow
	ownAttempts    int
	backlog        prefillBacklog
	excessWait     float64 // time beyond the expected that first answers have lately taken, in seconds
	saturatedUntil time.Duration
	guardedUntil   time.Duration // until then it may be cold, and the list may not show it yet

	pending         attemptList // sent, and nothing has come yet
	suspectUntil    time.Duration
	suspectDuration time.Duration
	suspect         bool // a connection or an answer never came: a single request may find out whether it is back
	probe           *Attempt

	lastSentAt      time.Duration // of the last send
	slowStartNextAt time.Duration // the earliest next send while it is cold
}

// serviceState is a group of runners and what is known of them together.
type serviceState struct {
	configuration.Service
	configured    bool           // the configuration names it
	runners       []*runnerState // in the order of their ids
	retryBudget   retryBudget
	prefillSpeed  float64 // prompt tokens read in a second by a runner that reads nothing else; 0: not seen yet
	latencyTarget float64 // the tightest aim of its routes, in seconds; one that is not asked for any more counts less and less
	meanDuration  float64 // running mean of the time that an answer takes, in seconds
	meanUsage     usage   // mean of the runners' means
	prefixHistory prefixHistory
	shedding      loadShedding
	plannedAt     time.Duration
	prefillSpeeds speedWindow
}

// routeStats are what answers of a route have shown.
type routeStats struct {
	meanDuration, deviation float64 // running mean of the time to the end, and of how far it is missed; seconds
	outputShare             float64 // of the most tokens out that a request names, what comes
	prefixReuse             float64 // share of requests whose chain this proxy has sent within prefixHistorySpan
}

// Placer decides which runner takes each request of a proxy.
type Placer struct {
	options   Options
	random    capacity.Random
	services  map[string]*serviceState
	runners   map[string]*runnerState
	byKey     map[uint64]*runnerState
	evacuated map[string]bool
	routes    map[string]*routeStats
	regions   []regionStats

	startedAt           time.Duration // when it first was told anything
	started             bool
	lastCallAt          time.Duration // when it was last asked or told anything
	countedFrom         time.Duration // from then on the others count this proxy
	proxyCount          int           // that may be sending; 0: not told yet
	pendingProxyCount   int           // the count that was told last, where it is lower
	pendingProxyCountAt time.Duration
	selfKey             uint64
	peers               []peer // empty: only their number was told
	plannedAt           time.Duration
	latencyTarget       float64 // tightest aim of a route seen, in seconds
	longestTimeout      float64 // longest time-out of a route seen
	lastAttemptID       uint64
	restored            map[string]runnerSnapshot
	restoredSpeeds      map[string]float64
	notified            bool          // another proxy has told of a prompt
	lastNoticeAt        time.Duration // when one did last
	noticeCount         int           // notices of prompts in this period
	noticeThreshold     float64       // slots that the reading of a prompt takes for the others to be told
}

// peer is another proxy, or this one, by its key.
type peer struct {
	key       uint64
	expiresAt time.Duration // it was left out of what was told last, and counts no longer from then on; 0: it was named
}

// regionStats are what is known of a region.
type regionStats struct {
	name    string
	latency float64 // least time to a first answer seen; 0: none yet
}

// New checks the options and returns a Placer that knows nothing yet.
func New(o Options, seed uint64) (*Placer, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	return &Placer{options: o, random: capacity.Random(seed), services: map[string]*serviceState{}, runners: map[string]*runnerState{}, byKey: map[uint64]*runnerState{},
		evacuated: map[string]bool{}, routes: map[string]*routeStats{}, latencyTarget: initialTarget, longestTimeout: initialTimeout,
		noticeThreshold: minNoticeThreshold}, nil
}

func (o *Options) validate() error {
	var findings []error
	bad := func(field string, v any) { findings = append(findings, fmt.Errorf("placement: bad %s: %v", field, v)) }
	if o.Zone == "" {
		bad("Zone", "empty")
	}
	if o.Region == "" {
		bad("Region", "empty")
	}
	for _, f := range []struct {
		name string
		v    float64
	}{{"RetryRatio", o.RetryRatio}, {"RetryExtra", o.RetryAllowance}, {"ColdExcess", o.SlowStartFactor}, {"ColdSlack", o.SlowStartAllowance}} {
		if math.IsNaN(f.v) || math.IsInf(f.v, 0) || f.v < 0 {
			bad(f.name, f.v)
		}
	}
	if o.RetryWindow <= 0 {
		bad("RetryWindow", o.RetryWindow)
	}
	return errors.Join(findings...)
}

// recordCall notes that the placer was told or asked something. After a start, and after a sleep, others may not count this
// proxy for a while.
func (p *Placer) recordCall(now time.Duration) {
	if !p.started {
		p.started, p.startedAt, p.plannedAt = true, now, now
		p.countedFrom = now + joinDelay
	} else if now-p.lastCallAt > sleepThreshold {
		p.countedFrom = now + joinDelay
	}
	p.lastCallAt = now
}

// ensureService finds a service, or makes one that the configuration has not named yet.
func (p *Placer) ensureService(name string) *serviceState {
	service := p.services[name]
	if service == nil {
		service = &serviceState{Service: configuration.Service{Name: name}, prefillSpeed: p.restoredSpeeds[name], latencyTarget: initialTarget}
		p.services[name] = service
	}
	return service
}

// SetServices takes the services of the configuration in force, the whole set.
func (p *Placer) SetServices(now time.Duration, services []*configuration.Service) {
	p.recordCall(now)
	for _, service := range p.services {
		service.configured = false
	}
	for _, services := range services {
		service := p.ensureService(services.Name)
		service.Service, service.configured = *services, true
		for _, runner := range service.runners {
			runner.updateSlots()
		}
		p.planService(now, service)
	}
	p.dropUnusedServices()
}

// dropUnusedServices drops services that neither the configuration nor a runner names.
func (p *Placer) dropUnusedServices() {
	for name, service := range p.services {
		if !service.configured && len(service.runners) == 0 {
			delete(p.services, name)
		}
	}
}

// SetRunners takes the whole set of runners. Those that are not named any more get nothing from here on.
func (p *Placer) SetRunners(now time.Duration, told []Runner) {
	p.recordCall(now)
	for _, runner := range p.runners {
		runner.listed = false
	}
	changed := false
	for i := range told {
		changed = p.setRunner(&told[i]) || changed
	}
	for id, runner := range p.runners {
		if !runner.listed {
			delete(p.runners, id)
			delete(p.byKey, runner.key)
			changed = true
		}
	}
	if changed {
		p.regroupRunners()
	}
	for _, service := range p.services {
		p.planService(now, service)
	}
}

// setRunner takes one runner and says whether the lists of the services change by it.
func (p *Placer) setRunner(told *Runner) bool {
	runner := p.runners[told.ID]
	isNew := runner == nil
	if isNew {
		runner = &runnerState{key: xxhash.Sum64String(told.ID)}
		p.runners[told.ID] = runner
		p.byKey[runner.key] = runner
	}
	moved := isNew || runner.Service != told.Service
	if told.SlowStartUntil > runner.SlowStartUntil && runner.lastSentAt > 0 { // what went there last may already have met it cold
		runner.slowStartNextAt = max(runner.slowStartNextAt, runner.lastSentAt+time.Duration(slowStartWindow*float64(time.Second)))
	}
	runner.Runner, runner.listed = *told, true
	if runner.Region == "" {
		runner.Region = p.options.Zones[runner.Zone]
	}
	runner.regionIndex = p.regionIndex(runner.Region)
	if moved {
		runner.service = p.ensureService(runner.Service)
	}
	runner.updateSlots()
	if isNew {
		p.restoreRunner(runner)
	}
	return moved
}

// regroupRunners lists the runners of each service again.
func (p *Placer) regroupRunners() {
	for _, service := range p.services {
		service.runners = service.runners[:0]
	}
	for _, runner := range p.runners {
		runner.service.runners = append(runner.service.runners, runner)
	}
	for _, service := range p.services {
		slices.SortFunc(service.runners, func(peer, y *runnerState) int { return cmp.Compare(peer.ID, y.ID) })
	}
	p.dropUnusedServices()
}

// updateSlots takes the slots of a runner; ceilings that were not learnt start from them.
func (w *runnerState) updateSlots() {
	size := float64(w.Capacity)
	if size <= 0 && w.service.Backend != nil {
		size = float64(w.service.Backend.Capacity)
	}
	if size <= 0 {
		size = 1
	}
	if w.slots == size {
		return
	}
	w.slots = size
	w.limits = capacity.InitialLimits(size)
}

// SetEvacuatedZones takes the zones whose runners get nothing, the whole set.
func (p *Placer) SetEvacuatedZones(now time.Duration, zones map[string]bool) {
	p.recordCall(now)
	for _, runner := range p.runners {
		if p.evacuated[runner.Zone] && !zones[runner.Zone] { // it may have become cold meanwhile
			runner.guardedUntil = now + slowStartGuard
		}
	}
	clear(p.evacuated)
	for zone, gone := range zones {
		if gone {
			p.evacuated[zone] = true
		}
	}
}

// SetProxyCount takes the number of proxies that may be sending, this one among them; shared budgets are divided by it. A
// lower number counts only after proxyRemovalDelay: one that is thought gone may have sends on their way.
func (p *Placer) SetProxyCount(now time.Duration, n int) {
	p.recordCall(now)
	p.peers = nil
	p.setProxyCount(now, n)
}

// SetPeers takes the keys of all proxies that may be sending, which says their number, too. With them cold runners can be
// shared among more proxies than a cold runner bears requests in a second.
func (p *Placer) SetPeers(now time.Duration, self uint64, peers []uint64) {
	p.recordCall(now)
	p.selfKey = self
	for i := range p.peers {
		if peer := &p.peers[i]; peer.expiresAt == 0 && !slices.Contains(peers, peer.key) {
			peer.expiresAt = now + proxyRemovalDelay
		}
	}
	p.addPeer(self)
	for _, key := range peers {
		p.addPeer(key)
	}
	p.proxyCount, p.pendingProxyCount = len(p.peers), 0
}

// addPeer counts a proxy that was named.
func (p *Placer) addPeer(key uint64) {
	for i := range p.peers {
		if p.peers[i].key == key {
			p.peers[i].expiresAt = 0
			return
		}
	}
	p.peers = append(p.peers, peer{key: key})
}

func (p *Placer) setProxyCount(now time.Duration, n int) {
	n = max(n, 0)
	if n >= p.proxyCount {
		p.proxyCount, p.pendingProxyCount = n, 0
		return
	}
	if p.pendingProxyCount == 0 {
		p.pendingProxyCountAt = now + proxyRemovalDelay
	}
	p.pendingProxyCount = max(n, 1)
}

// applyProxyCount lets a lower number of proxies count once it has held for long enough.
func (p *Placer) applyProxyCount(now time.Duration) {
	if p.pendingProxyCount > 0 && now >= p.pendingProxyCountAt {
		p.proxyCount, p.pendingProxyCount = p.pendingProxyCount, 0
	}
	if len(p.peers) > 0 {
		p.peers = slices.DeleteFunc(p.peers, func(peer peer) bool { return peer.expiresAt > 0 && now >= peer.expiresAt })
		p.proxyCount = len(p.peers)
	}
}

// otherProxies is the number of other proxies, as far as it is known.
func (p *Placer) otherProxies() float64 { return float64(max(p.proxyCount, 1) - 1) }

// regionIndex finds the place of a region among those known.
func (p *Placer) regionIndex(name string) int {
	for i := range p.regions {
		if p.regions[i].name == name {
			return i
		}
	}
	p.regions = append(p.regions, regionStats{name: name})
	return len(p.regions) - 1
}

// statsOf finds what is known of a route.
func (p *Placer) statsOf(request *configuration.Route) *routeStats {
	service := p.routes[request.Name]
	if service == nil {
		if len(p.routes) >= maxRoutes {
			clear(p.routes)
		}
		service = &routeStats{meanDuration: request.LatencyTarget.Seconds(), deviation: request.LatencyTarget.Seconds() / 2, outputShare: 0.5}
		p.routes[request.Name] = service
		if request.LatencyTarget > 0 {
			p.latencyTarget = math.Min(p.latencyTarget, request.LatencyTarget.Seconds())
		}
		p.longestTimeout = math.Max(p.longestTimeout, request.Timeout.Seconds())
	}
	return service
}
