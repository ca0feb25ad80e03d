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
	Capacity       int // requests that it serves at a time; 0: the capacity of its service's engine, or 1
	Draining       bool
	SlowStartUntil time.Duration // end of slow start; 0: not in slow start
	TerminatesAt   time.Duration // announced end of the machine; 0: none announced
	Models         []string      // names; empty: all
}

// runnerState is a runner and what this proxy knows of it. Loads are in slots.
type runnerState struct {
	Runner
	service       *serviceState
	key           uint64 // hash of its id
	regionIndex   int    // index in Placer.regions
	listed        bool   // in the set that SetRunners got last
	slots         float64
	limits        capacity.Limits
	ejection      capacity.Ejection
	spareSlots    float64 // by the plan, lowered by each attempt since
	spareTokens   float64 // likewise; infinite for runners that are no engines
	load          float64 // of all proxies, in slots, as of the last plan
	utilization   float64 // of all proxies: 1 is a full runner; as of the last plan
	occupiedSlots float64 // slots in use by all proxies, prefill aside; as of the last plan

	ownUsage            usage // of this proxy's attempts in flight
	meanUsage           usage // mean of ownUsage over about usageWindow
	ownAttempts         int
	backlog             prefillBacklog
	excessWait          float64       // how much longer than expected first events recently took, in seconds
	saturatedUntil      time.Duration // until then it ranks behind the others, since it rejected an attempt
	slowStartGuardUntil time.Duration // until then it may be in slow start before the membership feed shows it

	pending         attemptList // attempts without a first event
	suspectUntil    time.Duration
	suspectDuration time.Duration
	suspect         bool     // a connection or a response never came; see isAvoided
	probe           *Attempt // while it is suspect: the attempt that finds out whether it is back; nil: none is in flight

	lastSentAt      time.Duration // of the last attempt
	slowStartNextAt time.Duration // earliest next attempt while it is in slow start
}

// SetRunners replaces the set of runners. Those that it no longer names get nothing from here on.
func (p *Placer) SetRunners(now time.Duration, runners []Runner) {
	p.recordCall(now)
	for _, runner := range p.runners {
		runner.listed = false
	}
	changed := false
	for i := range runners {
		changed = p.setRunner(&runners[i]) || changed
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
func (p *Placer) setRunner(update *Runner) bool {
	runner := p.runners[update.ID]
	isNew := runner == nil
	if isNew {
		runner = &runnerState{key: xxhash.Sum64String(update.ID)}
		p.runners[update.ID] = runner
		p.byKey[runner.key] = runner
	}
	moved := isNew || runner.Service != update.Service
	if update.SlowStartUntil > runner.SlowStartUntil && runner.lastSentAt > 0 {
		// The last attempt may already have met the new process.
		runner.slowStartNextAt = max(runner.slowStartNextAt, runner.lastSentAt+time.Duration(slowStartWindow*float64(time.Second)))
	}
	runner.Runner = *update
	runner.listed = true
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
		slices.SortFunc(service.runners, func(a, b *runnerState) int { return cmp.Compare(a.ID, b.ID) })
	}
	p.dropUnusedServices()
}

// updateSlots derives the slots of a runner; a change of them resets the learnt limits.
func (r *runnerState) updateSlots() {
	size := float64(r.Capacity)
	if size <= 0 && r.service.Backend != nil {
		size = float64(r.service.Backend.Capacity)
	}
	if size <= 0 {
		size = 1
	}
	if r.slots == size {
		return
	}
	r.slots = size
	r.limits = capacity.InitialLimits(size)
}

// SetEvacuatedZones replaces the set of zones whose runners get nothing.
func (p *Placer) SetEvacuatedZones(now time.Duration, zones map[string]bool) {
	p.recordCall(now)
	for _, runner := range p.runners {
		if p.evacuated[runner.Zone] && !zones[runner.Zone] { // it may have restarted meanwhile
			runner.slowStartGuardUntil = now + slowStartGuard
		}
	}
	clear(p.evacuated)
	for zone, evacuated := range zones {
		if evacuated {
			p.evacuated[zone] = true
		}
	}
}

// regionStats are what is known of a region.
type regionStats struct {
	name    string
	latency float64 // shortest time to a first event ever seen, in seconds, which never rises again; 0: none yet
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
