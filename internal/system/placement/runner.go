package placement

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/shared/capacity"
)

// Runner is a runner as the membership feed reports it.
type Runner struct {
	ID             string
	Service        string
	Address        netip.AddrPort
	Zone           string
	Region         string
	Capacity       int
	Draining       bool
	SlowStartUntil time.Duration // 0: warm
	TerminatesAt   time.Duration // of a short notice; 0: not told
	Models         []string
}

// runnerState is a runner and what this proxy knows of it. Loads are in slots.
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

// SetRunners replaces the set of runners. Those that it no longer names get nothing from here on.
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

// setRunner adds or updates one runner and reports whether the runners of a service change by it.
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

// regroupRunners rebuilds the list of runners of each service.
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

// updateSlots derives the slots of a runner; a change of them resets the learnt limits.
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

// SetEvacuatedZones replaces the set of zones whose runners get nothing.
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

// regionStats are what is known of a region.
type regionStats struct {
	name    string
	latency float64 // least time to a first answer seen; 0: none yet
}

// regionIndex returns the index of a region among those known; a new one is added.
func (p *Placer) regionIndex(name string) int {
	for i := range p.regions {
		if p.regions[i].name == name {
			return i
		}
	}
	p.regions = append(p.regions, regionStats{name: name})
	return len(p.regions) - 1
}
