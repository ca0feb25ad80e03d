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

// runner is what this proxy knows of one runner. Loads are in slots; see load.go for what a request weighs.
type runner struct {
	Runner
	service  *service
	key      uint64 // of its id
	place    int    // of its region among those known
	here     bool   // in the set that was told last
	size     float64
	ceilings capacity.Limits
	standing capacity.Ejection
	room     float64 // the plan: spare slots, lowered by each send until the next one
	tokens   float64 // the plan: free tokens, likewise; engines only
	load     float64 // derived load of all proxies, as of the last plan
	util     float64 // derived utilization, likewise
	taken    float64 // places that requests of all proxies are likely to take, likewise

	own       usage // of this proxy's attempts in flight
	mean      usage // the same, over about meanSpan
	ownJobs   int
	unread    unread
	wait      float64 // time beyond the expected that first answers have lately taken, in seconds
	fullUntil time.Duration
	guarded   time.Duration // until then it may be cold, and the list may not show it yet

	pending      attemptList // sent, and nothing has come yet
	suspectUntil time.Duration
	suspectFor   time.Duration
	suspect      bool // a connection or an answer never came: a single request may find out whether it is back
	probing      *Attempt

	sentAt   time.Duration // of the last send
	coldNext time.Duration // the earliest next send while it is cold
}

// service is a group of runners and what is known of them together.
type service struct {
	configuration.Service
	known     bool      // the configuration names it
	runners   []*runner // in the order of their ids
	budget    retryBudget
	speed     float64 // prompt tokens read in a second by a runner that reads nothing else; 0: not seen yet
	target    float64 // the tightest aim of its routes, in seconds; one that is not asked for any more counts less and less
	took      float64 // running mean of the time that an answer takes, in seconds
	mean      usage   // mean of the runners' means
	kept      keptMemory
	urgency   urgency
	plannedAt time.Duration
	speeds    speedWindow
}

// routeStats are what answers of a route have shown.
type routeStats struct {
	took, spread float64 // running mean of the time to the end, and of how far it is missed; seconds
	outShare     float64 // of the most tokens out that a request names, what comes
	again        float64 // share of requests whose chain this proxy has sent within keptSpan
}

// Placer decides which runner takes each request of a proxy.
type Placer struct {
	options  Options
	random   capacity.Random
	services map[string]*service
	runners  map[string]*runner
	byKey    map[uint64]*runner
	evac     map[string]bool
	routes   map[string]*routeStats
	regions  []regionStats

	started    time.Duration // when it first was told anything
	begun      bool
	awakeAt    time.Duration // when it was last asked or told anything
	joined     time.Duration // from then on the others count this proxy
	proxies    int           // that may be sending; 0: not told yet
	fewer      int           // the count that was told last, where it is lower
	fewerAt    time.Duration
	self       uint64
	peers      []peer // empty: only their number was told
	planAt     time.Duration
	target     float64 // tightest aim of a route seen, in seconds
	longest    float64 // longest time-out of a route seen
	attempts   uint64
	recalled   map[string]learntRunner
	speeds     map[string]float64
	heard      bool          // another proxy has told of a prompt
	heardAt    time.Duration // when one did last
	heardCount int           // notices of prompts in this period
	tellFrom   float64       // slots that the reading of a prompt takes for the others to be told
}

// peer is another proxy, or this one, by its key.
type peer struct {
	key   uint64
	until time.Duration // it was left out of what was told last, and counts no longer from then on; 0: it was named
}

// regionStats are what is known of a region.
type regionStats struct {
	name string
	far  float64 // least time to a first answer seen; 0: none yet
}

// New checks the options and returns a Placer that knows nothing yet.
func New(o Options, seed uint64) (*Placer, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	return &Placer{options: o, random: capacity.Random(seed), services: map[string]*service{}, runners: map[string]*runner{}, byKey: map[uint64]*runner{},
		evac: map[string]bool{}, routes: map[string]*routeStats{}, target: firstTarget, longest: firstTimeout,
		tellFrom: tellLeast}, nil
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

// begin notes that the placer was told or asked something. After a start, and after a sleep, others may not count this
// proxy for a while.
func (p *Placer) begin(now time.Duration) {
	if !p.begun {
		p.begun, p.started, p.planAt = true, now, now
		p.joined = now + joinHold
	} else if now-p.awakeAt > asleepAfter {
		p.joined = now + joinHold
	}
	p.awakeAt = now
}

// serviceOf finds a service, or makes one that the configuration has not named yet.
func (p *Placer) serviceOf(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{Service: configuration.Service{Name: name}, speed: p.speeds[name], target: firstTarget}
		p.services[name] = s
	}
	return s
}

// SetServices takes the services of the configuration in force, the whole set.
func (p *Placer) SetServices(now time.Duration, services []*configuration.Service) {
	p.begin(now)
	for _, s := range p.services {
		s.known = false
	}
	for _, told := range services {
		s := p.serviceOf(told.Name)
		s.Service, s.known = *told, true
		for _, w := range s.runners {
			w.resize()
		}
		p.plan(now, s)
	}
	p.forget()
}

// forget drops services that neither the configuration nor a runner names.
func (p *Placer) forget() {
	for name, s := range p.services {
		if !s.known && len(s.runners) == 0 {
			delete(p.services, name)
		}
	}
}

// SetRunners takes the whole set of runners. Those that are not named any more get nothing from here on.
func (p *Placer) SetRunners(now time.Duration, told []Runner) {
	p.begin(now)
	for _, w := range p.runners {
		w.here = false
	}
	changed := false
	for i := range told {
		changed = p.setRunner(&told[i]) || changed
	}
	for id, w := range p.runners {
		if !w.here {
			delete(p.runners, id)
			delete(p.byKey, w.key)
			changed = true
		}
	}
	if changed {
		p.rejoin()
	}
	for _, s := range p.services {
		p.plan(now, s)
	}
}

// setRunner takes one runner and says whether the lists of the services change by it.
func (p *Placer) setRunner(told *Runner) bool {
	w := p.runners[told.ID]
	isNew := w == nil
	if isNew {
		w = &runner{key: xxhash.Sum64String(told.ID)}
		p.runners[told.ID] = w
		p.byKey[w.key] = w
	}
	moved := isNew || w.Service != told.Service
	if told.SlowStartUntil > w.SlowStartUntil && w.sentAt > 0 { // what went there last may already have met it cold
		w.coldNext = max(w.coldNext, w.sentAt+time.Duration(coldSpan*float64(time.Second)))
	}
	w.Runner, w.here = *told, true
	if w.Region == "" {
		w.Region = p.options.Zones[w.Zone]
	}
	w.place = p.region(w.Region)
	if moved {
		w.service = p.serviceOf(w.Service)
	}
	w.resize()
	if isNew {
		p.recall(w)
	}
	return moved
}

// rejoin lists the runners of each service again.
func (p *Placer) rejoin() {
	for _, s := range p.services {
		s.runners = s.runners[:0]
	}
	for _, w := range p.runners {
		w.service.runners = append(w.service.runners, w)
	}
	for _, s := range p.services {
		slices.SortFunc(s.runners, func(x, y *runner) int { return cmp.Compare(x.ID, y.ID) })
	}
	p.forget()
}

// resize takes the slots of a runner; ceilings that were not learnt start from them.
func (w *runner) resize() {
	size := float64(w.Capacity)
	if size <= 0 && w.service.Backend != nil {
		size = float64(w.service.Backend.Capacity)
	}
	if size <= 0 {
		size = 1
	}
	if w.size == size {
		return
	}
	w.size = size
	w.ceilings = capacity.InitialLimits(size)
}

// SetEvacuatedZones takes the zones whose runners get nothing, the whole set.
func (p *Placer) SetEvacuatedZones(now time.Duration, zones map[string]bool) {
	p.begin(now)
	for _, w := range p.runners {
		if p.evac[w.Zone] && !zones[w.Zone] { // it may have become cold meanwhile
			w.guarded = now + guardSpan
		}
	}
	clear(p.evac)
	for zone, gone := range zones {
		if gone {
			p.evac[zone] = true
		}
	}
}

// SetProxyCount takes the number of proxies that may be sending, this one among them; shared budgets are divided by it. A
// lower number counts only after fewerHold: one that is thought gone may have sends on their way.
func (p *Placer) SetProxyCount(now time.Duration, n int) {
	p.begin(now)
	p.peers = nil
	p.count(now, n)
}

// SetPeers takes the keys of all proxies that may be sending, which says their number, too. With them cold runners can be
// shared among more proxies than a cold runner bears requests in a second.
func (p *Placer) SetPeers(now time.Duration, self uint64, peers []uint64) {
	p.begin(now)
	p.self = self
	for i := range p.peers {
		if x := &p.peers[i]; x.until == 0 && !slices.Contains(peers, x.key) {
			x.until = now + fewerHold
		}
	}
	p.name(self)
	for _, key := range peers {
		p.name(key)
	}
	p.proxies, p.fewer = len(p.peers), 0
}

// name counts a proxy that was named.
func (p *Placer) name(key uint64) {
	for i := range p.peers {
		if p.peers[i].key == key {
			p.peers[i].until = 0
			return
		}
	}
	p.peers = append(p.peers, peer{key: key})
}

func (p *Placer) count(now time.Duration, n int) {
	n = max(n, 0)
	if n >= p.proxies {
		p.proxies, p.fewer = n, 0
		return
	}
	if p.fewer == 0 {
		p.fewerAt = now + fewerHold
	}
	p.fewer = max(n, 1)
}

// settle lets a lower number of proxies count once it has held for long enough.
func (p *Placer) settle(now time.Duration) {
	if p.fewer > 0 && now >= p.fewerAt {
		p.proxies, p.fewer = p.fewer, 0
	}
	if len(p.peers) > 0 {
		p.peers = slices.DeleteFunc(p.peers, func(x peer) bool { return x.until > 0 && now >= x.until })
		p.proxies = len(p.peers)
	}
}

// others is the number of other proxies, as far as it is known.
func (p *Placer) others() float64 { return float64(max(p.proxies, 1) - 1) }

// region finds the place of a region among those known.
func (p *Placer) region(name string) int {
	for i := range p.regions {
		if p.regions[i].name == name {
			return i
		}
	}
	p.regions = append(p.regions, regionStats{name: name})
	return len(p.regions) - 1
}

// route finds what is known of a route.
func (p *Placer) route(r *configuration.Route) *routeStats {
	s := p.routes[r.Name]
	if s == nil {
		if len(p.routes) >= mostRoutes {
			clear(p.routes)
		}
		s = &routeStats{took: r.LatencyTarget.Seconds(), spread: r.LatencyTarget.Seconds() / 2, outShare: 0.5}
		p.routes[r.Name] = s
		if r.LatencyTarget > 0 {
			p.target = math.Min(p.target, r.LatencyTarget.Seconds())
		}
		p.longest = math.Max(p.longest, r.Timeout.Seconds())
	}
	return s
}
