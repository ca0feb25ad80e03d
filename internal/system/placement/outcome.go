package placement

import (
	"math"
	"time"

	"cinderroad/internal/shared/capacity"
)

// StartAttempt books an attempt: room, tokens and budgets. A runner that has left meanwhile books nothing but the budgets.
func (p *Placer) StartAttempt(now time.Duration, r *Request, c Choice) *Attempt {
	p.recordCall(now)
	p.lastAttemptID++
	a := &Attempt{ID: p.lastAttemptID, Runner: c.Runner, Request: r}
	a.sentAt = now
	s := p.ensureService(r.Service)
	s.retryBudget.record(now, p.options.RetryWindow, r.isRetry())
	w := p.runners[c.Runner]
	if w == nil {
		a.ended = true
		return a
	}
	d := p.demandOf(s, r)
	a.runner = w
	p.sizeAttempt(now, s, a, &d)
	p.recordSlowStartSend(now, w)
	w.addAttempt(a)
	w.backlog.add(now, s.prefillRate(), a.prefillWeight)
	p.recordPrefix(now, s, r, &d, w)
	if w.suspect && w.probe == nil {
		w.probe = a
	}
	return a
}

// recordPrefix remembers where a chain was sent, and how often chains of the route come again.
func (p *Placer) recordPrefix(now time.Duration, s *serviceState, r *Request, d *tokenDemand, w *runnerState) {
	if d.prefix == 0 {
		return
	}
	s.prefixHistory.record(now, d.prefix, w.key)
	if r.isRetry() {
		return
	}
	seen := 0.0
	if s.prefixHistory.sentRecently(d.prefix, anyRunner) {
		seen = 1
	}
	capacity.UpdateMean(&p.statsOf(r.Route).prefixReuse, seen, reuseLearningRate)
	s.prefixHistory.record(now, d.prefix, anyRunner)
}

// sizeAttempt works out what an attempt takes of its runner.
func (p *Placer) sizeAttempt(now time.Duration, s *serviceState, a *Attempt, d *tokenDemand) {
	w := a.runner
	o := p.ownersOf(now, s, a.Request, d)
	kept := o.isOwner(w) || d.prefix != 0 && s.prefixHistory.sentRecently(d.prefix, w.key)
	a.weight = 1
	if s.isEngine() {
		a.tokens, a.prefillTokens = d.memoryTokens(kept), d.uniqueTokens
		if !kept {
			a.prefillTokens += d.sharedTokens
		}
		a.prefillWeight = a.prefillTokens / s.slotTokens()
		a.weight += a.prefillWeight
		a.announced = a.prefillWeight >= p.noticeThreshold
	}
	a.load = w.loadForLimits() + a.weight
}

// loadForLimits is a runner's load as its ceilings see it: near the utilization ceiling is as near as near the load ceiling.
func (w *runnerState) loadForLimits() float64 {
	return math.Max(w.load, w.utilization/w.limits.Utilization*w.limits.Load)
}

// addAttempt books an attempt on its runner.
func (w *runnerState) addAttempt(a *Attempt) {
	w.ownUsage.add(&usage{a.weight, a.prefillWeight, a.tokens}, 1)
	w.load, w.spareSlots, w.spareTokens = w.load+a.weight, w.spareSlots-a.weight, w.spareTokens-a.tokens
	w.ownAttempts++
	w.lastSentAt = a.sentAt
	w.pending.push(a)
}

// endPrefill takes the weight of reading off: the prompt has been read.
func (w *runnerState) endPrefill(a *Attempt) {
	w.ownUsage.add(&usage{a.prefillWeight, a.prefillWeight, 0}, -1)
	w.load, w.spareSlots = w.load-a.prefillWeight, w.spareSlots+a.prefillWeight
	a.weight -= a.prefillWeight
	a.prefillWeight = 0
	w.pending.remove(a)
}

// removeAttempt books the end of an attempt.
func (w *runnerState) removeAttempt(a *Attempt) {
	if !a.answered {
		w.endPrefill(a)
	}
	w.ownUsage.add(&usage{a.weight, 0, a.tokens}, -1)
	w.load, w.spareSlots, w.spareTokens = w.load-a.weight, w.spareSlots+a.weight, w.spareTokens+a.tokens
	w.ownAttempts--
	if w.ownAttempts == 0 {
		w.ownUsage = usage{} // whatever rounding has left
	}
	if w.probe == a {
		w.probe = nil
	}
}

// HandleFirstEvent takes the first event or byte of an answer: how long it took shows what waits there.
func (p *Placer) HandleFirstEvent(now time.Duration, a *Attempt) {
	if a.ended || a.answered {
		return
	}
	w := a.runner
	a.answered, a.recovered = true, w.suspect
	w.endPrefill(a)
	w.markAlive(now)
	p.learnFromFirstEvent(a, (now - a.sentAt).Seconds())
}

// HandleEvent takes another event of a stream.
func (p *Placer) HandleEvent(now time.Duration, a *Attempt) {}

// learnFromFirstEvent draws on the time to a first answer: how far the region is, how fast prompts are read, what waits.
func (p *Placer) learnFromFirstEvent(a *Attempt, took float64) {
	w, s := a.runner, a.runner.service
	far := &p.regions[w.regionIndex].latency
	if *far == 0 || took < *far {
		*far = took
	}
	excess := took - p.expectedFirstEvent(s, w, a.prefillTokens)
	capacity.UpdateMean(&w.excessWait, math.Max(excess, 0), 2*capacity.LearningRate)
	if s.isEngine() && a.prefillTokens > s.slotTokens()/16 && took > *far {
		s.learnPrefillSpeed(a.prefillTokens / (took - *far))
	}
	if a.Request.Route != nil && took > lateStartShare*a.Request.Route.LatencyTarget.Seconds() {
		w.limits.RecordOverload(a.load, w.slots) // a late start is the early warning of a late end
	}
}

// EndAttempt takes the end of an attempt.
func (p *Placer) EndAttempt(now time.Duration, a *Attempt, outcome Outcome, progress Progress) {
	if outcome == ConnectFailed {
		a.Request.connectFailures++
	}
	if a.ended {
		return
	}
	a.ended = true
	w := a.runner
	if !a.answered && outcome == Succeeded {
		p.inferFirstEvent(now, a, progress)
	}
	w.removeAttempt(a)
	p.learnFromOutcome(now, a, outcome, progress)
}

// inferFirstEvent takes the first answer where nobody told of it when it came.
func (p *Placer) inferFirstEvent(now time.Duration, a *Attempt, progress Progress) {
	after := progress.TimeToFirstEvent
	if after <= 0 {
		after = progress.Duration
	}
	a.answered = true
	a.runner.endPrefill(a)
	a.runner.markAlive(now)
	p.learnFromFirstEvent(a, after.Seconds())
}

// learnFromOutcome draws on an outcome.
func (p *Placer) learnFromOutcome(now time.Duration, a *Attempt, outcome Outcome, progress Progress) {
	w := a.runner
	switch outcome {
	case Succeeded:
		p.learnFromSuccess(now, a, progress)
		p.recordOutcome(now, w, 0)
	case Rejected:
		w.limits.RecordOverload(math.Max(a.load, w.limits.Load), w.slots)
		w.saturatedUntil = now + time.Duration(saturatedShare*w.service.latencyTarget*float64(time.Second))
	case Failed, Interrupted:
		w.limits.RecordOverload(a.load, w.slots)
		p.recordOutcome(now, w, 1)
	case TimedOut, ConnectFailed:
		w.limits.RecordOverload(a.load, w.slots)
		w.markSuspect(now)
		p.recordOutcome(now, w, 1)
	case Misdirected: // whoever has the address now is not the runner that was meant
		w.suspectDuration = maxSuspectDuration
		w.markSuspect(now)
	}
}

// learnFromSuccess draws on a whole answer.
func (p *Placer) learnFromSuccess(now time.Duration, a *Attempt, progress Progress) {
	w, r := a.runner, a.Request
	if r.Route == nil {
		return
	}
	stats, took := p.statsOf(r.Route), progress.Duration.Seconds()
	if took <= 0 {
		took = (now - a.sentAt).Seconds()
	}
	capacity.UpdateMean(&stats.deviation, math.Abs(took-stats.meanDuration), fleetLearningRate)
	capacity.UpdateMean(&stats.meanDuration, took, fleetLearningRate)
	capacity.UpdateMean(&w.service.meanDuration, took, fleetLearningRate)
	if s := w.service; s.isEngine() && r.MaxOutputTokens > 0 && progress.Events > 0 {
		out := float64(progress.Events*max(s.Backend.TokensPerEvent, 1)) / float64(r.MaxOutputTokens)
		capacity.UpdateMean(&stats.outputShare, math.Min(out, 1), fleetLearningRate)
	}
	if metTargets(r, progress) {
		w.limits.RecordSuccess(a.load, w.slots)
	} else {
		w.limits.RecordOverload(a.load, w.slots)
	}
}

// metTargets says whether an answer earns its full worth.
func metTargets(r *Request, progress Progress) bool {
	first := progress.TimeToFirstEvent
	if first <= 0 || r.Route.EventGapTarget == 0 {
		first = progress.Duration
	}
	return first <= r.Route.LatencyTarget && (r.Route.EventGapTarget == 0 || progress.LongestEventGap <= r.Route.EventGapTarget)
}

// recordOutcome counts a failure, 1, or a success, 0, and sets a runner aside whose attempts fail more than those of its peers.
func (p *Placer) recordOutcome(now time.Duration, w *runnerState, bad float64) {
	if w.ejection.RecordOutcome(bad, w.service.peerErrorRate(w)) {
		w.ejection.Eject(now.Seconds(), w.service.latencyTarget, p.longestTimeout)
	}
}

// peerErrorRate is the mean error share of the other runners that have been judged.
func (s *serviceState) peerErrorRate(w *runnerState) float64 {
	sum, n := 0.0, 0.0
	for _, peer := range s.runners {
		if peer != w && peer.ejection.Observed {
			sum, n = sum+peer.ejection.ErrorRate, n+1
		}
	}
	return sum / math.Max(n, 1)
}

// markSuspect notes that a connection or an answer never came.
func (w *runnerState) markSuspect(now time.Duration) {
	if w.suspect && now < w.suspectUntil {
		return
	}
	w.suspect = true
	w.suspectDuration = min(max(2*w.suspectDuration, minSuspectDuration), maxSuspectDuration)
	w.suspectUntil = now + w.suspectDuration
}

// markAlive notes that the runner answers. One that was silent may have become cold meanwhile.
func (w *runnerState) markAlive(now time.Duration) {
	if w.suspect {
		w.guardedUntil = now + slowStartGuard
	}
	w.suspect, w.suspectDuration, w.probe = false, 0, nil
}

// isAvoided says whether a runner is suspect and not to be tried now: once its span is over, a single request finds out
// whether it is back.
func (w *runnerState) isAvoided(now time.Duration) bool {
	return w.suspect && (now < w.suspectUntil || w.probe != nil)
}

// isSharedFault says that so many runners of the service are suspect at once that they are not to blame, or that those left
// could not bear the load.
func (s *serviceState) isSharedFault() bool {
	suspect := 0
	for _, w := range s.runners {
		if w.suspect {
			suspect++
		}
	}
	return suspect > 1 && float64(suspect) > sharedFaultShare*float64(len(s.runners))
}
