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
func (p *Placer) demandOf(s *serviceState, r *Request) (d tokenDemand) {
	if !s.isEngine() {
		return d
	}
	for i, part := range r.Chunks {
		if i < len(r.Chunks)-1 {
			d.sharedTokens += float64(part.Tokens)
		} else {
			d.uniqueTokens += float64(part.Tokens)
		}
	}
	if in := float64(r.InputTokens); in > d.uniqueTokens+d.sharedTokens {
		d.uniqueTokens = in - d.sharedTokens
	}
	if r.Route != nil && r.Route.PrefixAffinity {
		d.prefix, d.lastSharedTokens = prefixHash(r.Chunks), lastSharedTokens(r.Chunks)
	}
	if r.Route != nil {
		d.outputTokens = float64(r.MaxOutputTokens) * p.statsOf(r.Route).outputShare
	}
	return d
}

// observeTarget notes the aim of a request's route.
func (s *serviceState) observeTarget(r *Request) {
	if r.Route == nil || r.Route.LatencyTarget <= 0 {
		return
	}
	target := r.Route.LatencyTarget.Seconds()
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
	for _, s := range p.services {
		p.updateMeans(now, s, elapsed)
		p.planService(now, s)
	}
}

// refreshPlan makes the plan of a service anew where others tell of their prompts: what was told is read meanwhile.
func (p *Placer) refreshPlan(now time.Duration, s *serviceState) {
	if p.notified && s.isEngine() && now-s.plannedAt >= maxPlanAge {
		p.planService(now, s)
	}
}

// updateMeans moves the running means of a service's runners.
func (p *Placer) updateMeans(now time.Duration, s *serviceState, elapsed float64) {
	rate, fade := 1-math.Exp(-elapsed/usageWindow), math.Exp(-elapsed/waitDecay)
	recovered := math.Min(elapsed/p.longestTimeout, 1)
	s.meanUsage = usage{}
	for _, w := range s.runners {
		w.meanUsage.smooth(&w.ownUsage, rate)
		w.excessWait *= fade
		if a := w.pending.head; a != nil { // it has been waiting for longer than is usual: fresher news than any end
			w.excessWait = math.Max(w.excessWait, (now-a.sentAt).Seconds()-p.expectedFirstEvent(s, w, a.prefillTokens))
		}
		w.limits.Recover(w.slots, recovered)
		s.meanUsage.add(&w.meanUsage, 1/float64(len(s.runners)))
	}
}

// planService works out the room of a service's runners.
func (p *Placer) planService(now time.Duration, s *serviceState) {
	s.plannedAt = now
	sum, n := 0.0, 0.0
	for _, w := range s.runners {
		p.deriveLoad(now, s, w)
		if w.ejection.Observed && !w.Draining {
			sum, n = sum+w.spareSlots, n+1
		}
	}
	for _, w := range s.runners {
		if !w.ejection.Observed && n > 0 { // not heard from yet: the mean room of the others
			w.spareSlots = math.Min(w.limits.Load*warmth(now, w), sum/n) - w.ownUsage.slots
		}
		if w.utilization >= w.limits.Utilization {
			w.spareSlots = math.Min(w.spareSlots, 0)
		}
	}
}

// deriveLoad works out a runner's load from this proxy's own requests there, from what the others are likely to have there,
// and from the waits that were seen; and the room that is left of its ceiling.
func (p *Placer) deriveLoad(now time.Duration, s *serviceState, w *runnerState) {
	all, others := w.ownUsage, p.otherProxies()
	all.add(&s.meanUsage, others)
	if p.hasRecentNotices(now) {
		guessed := all.prefill - w.ownUsage.prefill
		known := math.Max(w.backlog.remaining(now, s.prefillRate())-w.ownUsage.prefill, 0)
		all.slots, all.prefill = all.slots+known-guessed, w.ownUsage.prefill+known
	}
	waiting := s.waitLoad(w)
	w.occupiedSlots = all.slots - all.prefill
	w.load = all.slots + math.Max(waiting-all.prefill, 0)
	w.utilization = w.load / w.slots
	w.spareTokens = math.Inf(1)
	if s.isEngine() {
		w.utilization = s.prefillTime(math.Max(waiting, all.prefill)) / (lateStartShare * s.latencyTarget)
		w.spareTokens = plannedMemoryShare*float64(s.Backend.CacheTokens) - all.tokens
	}
	w.spareSlots = capacity.SpareCapacity(w.limits.Load, warmth(now, w), w.load)
}

// waitLoad is the load that waits have shown, in slots.
func (s *serviceState) waitLoad(w *runnerState) float64 {
	slots := 0.0
	switch {
	case w.excessWait <= 0:
	case s.isEngine():
		slots = w.excessWait * s.prefillSpeed / s.slotTokens()
	case s.meanDuration > 0:
		slots = w.excessWait / s.meanDuration * w.slots
	}
	return math.Min(slots, maxWaitLoad*w.slots)
}

// prefillTime is how long an engine reads prompts of such a weight, in seconds; 0: its speed is not known.
func (s *serviceState) prefillTime(slots float64) float64 {
	if s.prefillSpeed <= 0 {
		return 0
	}
	return slots * s.slotTokens() / s.prefillSpeed
}

// warmth is the share of its ceiling that a runner is held to bear: it climbs while a runner that returned cold warms up.
func warmth(now time.Duration, w *runnerState) float64 {
	if !w.inSlowStart(now) {
		return 1
	}
	since := w.service.SlowStartDuration - max(w.SlowStartUntil-now, 0)
	if now >= w.SlowStartUntil || w.service.SlowStartDuration <= 0 {
		since = 0 // it may be cold, nobody knows since when
	}
	return capacity.Warmth(slowStartInitialShare, since.Seconds(), max(w.service.SlowStartDuration, time.Second).Seconds())
}

// expectedFirstEvent is how long a first answer of a runner without a backlog takes, in seconds.
func (p *Placer) expectedFirstEvent(s *serviceState, w *runnerState, prefill float64) float64 {
	least := p.regions[w.regionIndex].latency
	if s.prefillSpeed > 0 {
		return least + prefill/s.prefillSpeed
	}
	return least + s.latencyTarget*lateStartShare
}
