package placement

import (
	"math"
	"time"

	"cinderroad/internal/shared/capacity"
)

// This file decides how much spare capacity each runner has: the plan of a monitoring period.

// The capacity plan.
const (
	planPeriod         = 100 * time.Millisecond // monitoring period
	usageWindow        = 1.5                    // seconds over which own loads are averaged to guess those of others; measured
	waitDecay          = 0.5                    // seconds in which a wait that was seen stops counting; measured
	lateStartShare     = 0.6                    // of an aim that a first answer may take before it is a sign of load
	maxWaitLoad        = 2.0                    // multiples of its size that waits may add to a runner's load
	plannedMemoryShare = 0.95                   // of an engine's memory that is planned with
	initialTarget      = 1.0                    // seconds; the aim of a service of which no route has been asked for
	initialTimeout     = 5.0                    // seconds; the longest time-out before a route is seen
	fleetLearningRate  = 0.1                    // weight of a sample in means over all runners, which get more of them
	targetForgetRate   = 0.002                  // with which the tightest aim of a service forgets
	maxRoutes          = 4096                   // whose answers are remembered
	speedWindowSize    = 64                     // prompts by which the speed of reading is known
	minSpeedSamples    = 4                      // of them that count for more than what an earlier life had learnt
	speedQuantile      = 0.8                    // the share of prompts that are read more slowly than the speed learnt
)

// usage is what attempts take of a runner.
type usage struct {
	slots   float64 // weights
	prefill float64 // the part of them that is prompts being read
	tokens  float64 // of memory
}

// smooth moves a running mean towards a sample.
func (u *usage) smooth(sample *usage, rate float64) {
	capacity.UpdateMean(&u.slots, sample.slots, rate)
	capacity.UpdateMean(&u.prefill, sample.prefill, rate)
	capacity.UpdateMean(&u.tokens, sample.tokens, rate)
}

// add adds a share of another usage.
func (u *usage) add(other *usage, share float64) {
	u.slots += other.slots * share
	u.prefill += other.prefill * share
	u.tokens += other.tokens * share
}

// Tick rebuilds the plan when its period is over and returns the time at which to call it again.
func (p *Placer) Tick(now time.Duration) (next time.Duration) {
	p.recordCall(now)
	p.applyProxyCount(now)
	if elapsed := now - p.plannedAt; elapsed >= planPeriod {
		p.rebuildPlan(now, elapsed.Seconds())
	}
	return p.plannedAt + planPeriod
}

// rebuildPlan makes the capacity plan of a period. Runners send no load reports: a load is this proxy's own requests, an
// estimate of the other proxies' requests, and what waits have shown.
func (p *Placer) rebuildPlan(now time.Duration, elapsed float64) {
	p.plannedAt = now
	p.adjustNoticeThreshold(elapsed)
	for _, service := range p.services {
		p.updateMeans(now, service, elapsed)
		p.planService(now, service)
	}
}

// refreshPlan replans a service before a choice if the plan is older than maxPlanAge. Only where other proxies announce
// their prompts does a plan change within a period: prompts that they announced are being prefilled meanwhile.
func (p *Placer) refreshPlan(now time.Duration, service *serviceState) {
	if p.notified && service.isEngine() && now-service.plannedAt >= maxPlanAge {
		p.planService(now, service)
	}
}

// updateMeans moves the running means of a service's runners.
func (p *Placer) updateMeans(now time.Duration, service *serviceState, elapsed float64) {
	rate, fade := 1-math.Exp(-elapsed/usageWindow), math.Exp(-elapsed/waitDecay)
	recovered := math.Min(elapsed/p.longestTimeout, 1)
	service.meanUsage = usage{}
	for _, runner := range service.runners {
		runner.meanUsage.smooth(&runner.ownUsage, rate)
		runner.excessWait *= fade
		if attempt := runner.pending.head; attempt != nil { // it has been waiting for longer than is usual: fresher news than any end
			runner.excessWait = math.Max(runner.excessWait, (now-attempt.sentAt).Seconds()-p.expectedFirstEvent(service, runner, attempt.prefillTokens))
		}
		runner.limits.Recover(runner.slots, recovered)
		service.meanUsage.add(&runner.meanUsage, 1/float64(len(service.runners)))
	}
}

// planService computes the spare capacity of a service's runners.
func (p *Placer) planService(now time.Duration, service *serviceState) {
	service.plannedAt = now
	sum, n := 0.0, 0.0
	for _, runner := range service.runners {
		p.deriveLoad(now, service, runner)
		if runner.ejection.Observed && !runner.Draining {
			sum, n = sum+runner.spareSlots, n+1
		}
	}
	for _, runner := range service.runners {
		if !runner.ejection.Observed && n > 0 { // not heard from yet: the mean room of the others
			runner.spareSlots = math.Min(runner.limits.Load*warmth(now, runner), sum/n) - runner.ownUsage.slots
		}
		if runner.utilization >= runner.limits.Utilization {
			runner.spareSlots = math.Min(runner.spareSlots, 0)
		}
	}
}

// deriveLoad computes a runner's load from this proxy's own requests there, the estimate of the others' and the waits
// seen; and the spare capacity that remains below its limits.
func (p *Placer) deriveLoad(now time.Duration, service *serviceState, runner *runnerState) {
	all, others := runner.ownUsage, p.otherProxies()
	all.add(&service.meanUsage, others)
	if p.hasRecentNotices(now) {
		guessed := all.prefill - runner.ownUsage.prefill
		known := math.Max(runner.backlog.remaining(now, service.prefillRate())-runner.ownUsage.prefill, 0)
		all.slots, all.prefill = all.slots+known-guessed, runner.ownUsage.prefill+known
	}
	waiting := service.waitLoad(runner)
	runner.occupiedSlots = all.slots - all.prefill
	runner.load = all.slots + math.Max(waiting-all.prefill, 0)
	runner.utilization = runner.load / runner.slots
	runner.spareTokens = math.Inf(1)
	if service.isEngine() {
		runner.utilization = service.prefillTime(math.Max(waiting, all.prefill)) / (lateStartShare * service.latencyTarget)
		runner.spareTokens = plannedMemoryShare*float64(service.Backend.CacheTokens) - all.tokens
	}
	runner.spareSlots = capacity.SpareCapacity(runner.limits.Load, warmth(now, runner), runner.load)
}

// waitLoad is the load that waits have shown, in slots.
func (s *serviceState) waitLoad(runner *runnerState) float64 {
	slots := 0.0
	switch {
	case runner.excessWait <= 0:
	case s.isEngine():
		slots = runner.excessWait * s.prefillSpeed / s.slotTokens()
	case s.meanDuration > 0:
		slots = runner.excessWait / s.meanDuration * runner.slots
	}
	return math.Min(slots, maxWaitLoad*runner.slots)
}

// prefillTime is how long an engine takes to prefill prompts of a weight in slots, in seconds; 0: its speed is not known.
func (s *serviceState) prefillTime(slots float64) float64 {
	if s.prefillSpeed <= 0 {
		return 0
	}
	return slots * s.slotTokens() / s.prefillSpeed
}

// prefillRate is how many slots of prompts an engine prefills in a second; 0: its speed is not known.
func (s *serviceState) prefillRate() float64 {
	if !s.isEngine() {
		return 0
	}
	return s.prefillSpeed / s.slotTokens()
}

// slotTokens is how many prompt tokens weigh as much as a slot: a share of an engine's memory divided by its slots. A
// prefill delays other requests, while an answer that is being decoded holds a slot and little else.
func (s *serviceState) slotTokens() float64 {
	if s.Backend == nil || s.Backend.Capacity <= 0 || s.Backend.CacheTokens <= 0 {
		return math.Inf(1)
	}
	return prefillSlotShare * float64(s.Backend.CacheTokens) / float64(s.Backend.Capacity)
}

// expectedFirstEvent is how long the first event of a runner without a backlog takes, in seconds.
func (p *Placer) expectedFirstEvent(service *serviceState, runner *runnerState, prefill float64) float64 {
	least := p.regions[runner.regionIndex].latency
	if service.prefillSpeed > 0 {
		return least + prefill/service.prefillSpeed
	}
	return least + service.latencyTarget*lateStartShare
}
