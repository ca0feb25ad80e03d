package placement

import (
	"math"
	"time"

	"cinderroad/internal/shared/capacity"
)

// reservation is what an attempt takes of its runner.
type reservation struct {
	runner        *runnerState
	sentAt        time.Duration
	load          float64 // of the runner when it was sent
	weight        float64 // slots: 1, and more while its prompt is read
	prefillWeight float64 // the part of weight that goes with the first event
	tokens        float64 // of the runner's memory
	prefillTokens float64 // tokens of its prompt that are likely to be read
	answered      bool    // something has come
	announced     bool    // its prompt is long enough to be told to other proxies
	recovered     bool    // it showed that a runner which had been silent answers
	ended         bool
	prev, next    *Attempt // among those of which nothing has come yet
}

// usage is what attempts take of a runner.
type usage struct {
	slots   float64 // weights
	prefill float64 // the part of them that is prompts being read
	tokens  float64 // of memory
}

// smooth moves a running mean.
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

// attemptList holds attempts in the order in which they were sent.
type attemptList struct{ head, tail *Attempt }

func (l *attemptList) push(a *Attempt) {
	a.prev, a.next = l.tail, nil
	if l.tail != nil {
		l.tail.next = a
	} else {
		l.head = a
	}
	l.tail = a
}

func (l *attemptList) remove(a *Attempt) {
	if a.prev != nil {
		a.prev.next = a.next
	} else {
		l.head = a.next
	}
	if a.next != nil {
		a.next.prev = a.prev
	} else {
		l.tail = a.prev
	}
	a.prev, a.next = nil, nil
}

// tokenDemand is what a request asks of a runner.
type tokenDemand struct {
	uniqueTokens     float64 // prompt tokens that no other request shares
	sharedTokens     float64 // prompt tokens that may be kept
	outputTokens     float64 // tokens that come
	prefix           uint64  // of the shared parts; 0: none
	lastSharedTokens float64 // prompt tokens of the last shared part
}

// slotTokens is how many prompt tokens weigh as much as a slot: a share of an engine's memory divided by its slots. Prompts being
// read hold others up, while an answer that is being written holds a slot and little else.
func (s *serviceState) slotTokens() float64 {
	if s.Backend == nil || s.Backend.Capacity <= 0 || s.Backend.CacheTokens <= 0 {
		return math.Inf(1)
	}
	return prefillSlotShare * float64(s.Backend.CacheTokens) / float64(s.Backend.Capacity)
}

// isEngine says whether the runners of the service have a memory of tokens.
func (s *serviceState) isEngine() bool { return s.Backend != nil && s.Backend.CacheTokens > 0 }

// demandOf works out what a request asks of a service's runners.
func (p *Placer) demandOf(service *serviceState, request *Request) (demand tokenDemand) {
	if !service.isEngine() {
		return demand
	}
	for i, part := range request.Chunks {
		if i < len(request.Chunks)-1 {
			demand.sharedTokens += float64(part.Tokens)
		} else {
			demand.uniqueTokens += float64(part.Tokens)
		}
	}
	if in := float64(request.InputTokens); in > demand.uniqueTokens+demand.sharedTokens {
		demand.uniqueTokens = in - demand.sharedTokens
	}
	if request.Route != nil && request.Route.PrefixAffinity {
		demand.prefix, demand.lastSharedTokens = prefixHash(request.Chunks), lastSharedTokens(request.Chunks)
	}
	if request.Route != nil {
		demand.outputTokens = float64(request.MaxOutputTokens) * p.statsOf(request.Route).outputShare
	}
	return demand
}

// observeTarget notes the aim of a request's route.
func (s *serviceState) observeTarget(request *Request) {
	if request.Route == nil || request.Route.LatencyTarget <= 0 {
		return
	}
	target := request.Route.LatencyTarget.Seconds()
	if target < s.latencyTarget {
		s.latencyTarget = target
	}
	capacity.UpdateMean(&s.latencyTarget, target, targetForgetRate)
}

// Tick rebuilds the plan of a monitoring period and says when it wants to be called again.
func (p *Placer) Tick(now time.Duration) (next time.Duration) {
	p.recordCall(now)
	p.applyProxyCount(now)
	if elapsed := now - p.plannedAt; elapsed >= planPeriod {
		p.rebuildPlan(now, elapsed.Seconds())
	}
	return p.plannedAt + planPeriod
}

// rebuildPlan makes the capacity plan of a period: spare room is the load ceiling less the derived load. There are no load
// reports: the load is this proxy's own, what the others are likely to have there, and what waits have shown.
func (p *Placer) rebuildPlan(now time.Duration, elapsed float64) {
	p.plannedAt = now
	p.adjustNoticeThreshold(elapsed)
	for _, service := range p.services {
		p.updateMeans(now, service, elapsed)
		p.planService(now, service)
	}
}

// refreshPlan makes the plan of a service anew where others tell of their prompts: what was told is read meanwhile.
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

// planService works out the room of a service's runners.
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

// deriveLoad works out a runner's load from this proxy's own requests there, from what the others are likely to have there,
// and from the waits that were seen; and the room that is left of its ceiling.
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

// prefillTime is how long an engine reads prompts of such a weight, in seconds; 0: its speed is not known.
func (s *serviceState) prefillTime(slots float64) float64 {
	if s.prefillSpeed <= 0 {
		return 0
	}
	return slots * s.slotTokens() / s.prefillSpeed
}

// warmth is the share of its ceiling that a runner is held to bear: it climbs while a runner that returned cold warms up.
func warmth(now time.Duration, runner *runnerState) float64 {
	if !runner.inSlowStart(now) {
		return 1
	}
	since := runner.service.SlowStartDuration - max(runner.SlowStartUntil-now, 0)
	if now >= runner.SlowStartUntil || runner.service.SlowStartDuration <= 0 {
		since = 0 // it may be cold, nobody knows since when
	}
	return capacity.Warmth(slowStartInitialShare, since.Seconds(), max(runner.service.SlowStartDuration, time.Second).Seconds())
}

// expectedFirstEvent is how long a first answer of a runner without a backlog takes, in seconds.
func (p *Placer) expectedFirstEvent(service *serviceState, runner *runnerState, prefill float64) float64 {
	least := p.regions[runner.regionIndex].latency
	if service.prefillSpeed > 0 {
		return least + prefill/service.prefillSpeed
	}
	return least + service.latencyTarget*lateStartShare
}
