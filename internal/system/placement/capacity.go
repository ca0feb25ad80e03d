package placement

import (
	"math"
	"time"

	"cinderroad/internal/shared/capacity"
)

// This file decides how much spare capacity each runner has: the plan of a monitoring period.

// The capacity plan. For "kept" see the package comment.
const (
	planPeriod          = 100 * time.Millisecond // how often the plan is rebuilt
	usageWindow         = 1.5                    // seconds over which own loads are averaged to estimate the others'; kept
	waitDecay           = 0.5                    // time constant in seconds with which an observed wait decays; kept
	lateStartShare      = 0.6                    // share of a latency target; a first event that takes longer is a sign of overload
	maxWaitLoad         = 2.0                    // what waits may add to a runner's load, in multiples of its slots
	plannedMemoryShare  = 0.95                   // share of an engine's memory that is planned with
	clusterLearningRate = 0.1                    // weight of a sample in means over all runners, which get more samples
)

// usage is what attempts take of a runner.
type usage struct {
	slots   float64 // sum of the attempts' weights
	prefill float64 // the part of slots that is prompts in prefill
	tokens  float64 // of the engine's memory
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
	if p.receivesNotices && service.isEngine() && now-service.plannedAt >= maxPlanAge {
		p.planService(now, service)
	}
}

// updateMeans moves the running means of a service's runners.
func (p *Placer) updateMeans(now time.Duration, service *serviceState, elapsed float64) {
	rate := 1 - math.Exp(-elapsed/usageWindow)
	decay := math.Exp(-elapsed / waitDecay)
	recovered := math.Min(elapsed/p.longestTimeout, 1)
	service.meanUsage = usage{}
	for _, runner := range service.runners {
		runner.meanUsage.smooth(&runner.ownUsage, rate)
		runner.excessWait *= decay
		if attempt := runner.pending.First(); attempt != nil { // it still waits, which says more than attempts that ended earlier
			expected := p.expectedFirstEvent(service, runner, attempt.prefillTokens)
			runner.excessWait = math.Max(runner.excessWait, (now-attempt.sentAt).Seconds()-expected)
		}
		runner.limits.Recover(runner.slots, recovered)
		service.meanUsage.add(&runner.meanUsage, 1/float64(len(service.runners)))
	}
}

// planService computes the spare capacity of a service's runners.
func (p *Placer) planService(now time.Duration, service *serviceState) {
	service.plannedAt = now
	sum, observed := 0.0, 0.0
	for _, runner := range service.runners {
		p.deriveLoad(now, service, runner)
		if runner.ejection.Observed && !runner.Draining {
			sum += runner.spareSlots
			observed++
		}
	}
	for _, runner := range service.runners {
		if !runner.ejection.Observed && observed > 0 { // no attempt has ended yet: the mean of the others
			runner.spareSlots = math.Min(runner.limits.Load*warmth(now, runner), sum/observed) - runner.ownUsage.slots
		}
		if runner.utilization >= runner.limits.Utilization {
			runner.spareSlots = math.Min(runner.spareSlots, 0)
		}
	}
}

// deriveLoad computes a runner's load from this proxy's own requests there, the estimate of the others' and the waits
// seen; and the spare capacity that remains below its limits. Prompts in prefill that other proxies announced replace the
// estimate of theirs. A wait counts only as far as it exceeds the prefill that is known: both show the same backlog.
func (p *Placer) deriveLoad(now time.Duration, service *serviceState, runner *runnerState) {
	total := runner.ownUsage
	total.add(&service.meanUsage, p.otherProxies())
	if p.hasRecentNotices(now) {
		estimated := total.prefill - runner.ownUsage.prefill
		announced := math.Max(runner.backlog.remaining(now, service.prefillRate())-runner.ownUsage.prefill, 0)
		total.slots = total.slots + announced - estimated
		total.prefill = runner.ownUsage.prefill + announced
	}
	waiting := service.waitLoad(runner)
	runner.occupiedSlots = total.slots - total.prefill
	runner.load = total.slots + math.Max(waiting-total.prefill, 0)
	runner.utilization = runner.load / runner.slots
	runner.spareTokens = math.Inf(1)
	if service.isEngine() { // an engine is full when its backlog alone makes a first event late
		runner.utilization = service.prefillTime(math.Max(waiting, total.prefill)) / (lateStartShare * service.latencyTarget)
		runner.spareTokens = plannedMemoryShare*float64(service.Backend.CacheTokens) - total.tokens
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
// prefill delays other requests, while a response that is being decoded holds a slot and little else.
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
