package placement

import (
	"math"
	"time"

	"cinderroad/internal/shared/capacity"
)

// StartAttempt books an attempt: room, tokens and budgets. A runner that has left meanwhile books nothing but the budgets.
func (p *Placer) StartAttempt(now time.Duration, request *Request, choice Choice) *Attempt {
	p.recordCall(now)
	p.lastAttemptID++
	attempt := &Attempt{ID: p.lastAttemptID, Runner: choice.Runner, Request: request}
	attempt.sentAt = now
	service := p.ensureService(request.Service)
	service.retryBudget.record(now, p.options.RetryWindow, request.isRetry())
	runner := p.runners[choice.Runner]
	if runner == nil {
		attempt.ended = true
		return attempt
	}
	demand := p.demandOf(service, request)
	attempt.runner = runner
	p.sizeAttempt(now, service, attempt, &demand)
	p.recordSlowStartSend(now, runner)
	runner.addAttempt(attempt)
	runner.backlog.add(now, service.prefillRate(), attempt.prefillWeight)
	p.recordPrefix(now, service, request, &demand, runner)
	if runner.suspect && runner.probe == nil {
		runner.probe = attempt
	}
	return attempt
}

// recordPrefix remembers where a chain was sent, and how often chains of the route come again.
func (p *Placer) recordPrefix(now time.Duration, service *serviceState, request *Request, demand *tokenDemand, runner *runnerState) {
	if demand.prefix == 0 {
		return
	}
	service.prefixHistory.record(now, demand.prefix, runner.key)
	if request.isRetry() {
		return
	}
	seen := 0.0
	if service.prefixHistory.sentRecently(demand.prefix, anyRunner) {
		seen = 1
	}
	capacity.UpdateMean(&p.statsOf(request.Route).prefixReuse, seen, reuseLearningRate)
	service.prefixHistory.record(now, demand.prefix, anyRunner)
}

// sizeAttempt works out what an attempt takes of its runner.
func (p *Placer) sizeAttempt(now time.Duration, service *serviceState, attempt *Attempt, demand *tokenDemand) {
	runner := attempt.runner
	owners := p.ownersOf(now, service, attempt.Request, demand)
	kept := owners.isOwner(runner) || demand.prefix != 0 && service.prefixHistory.sentRecently(demand.prefix, runner.key)
	attempt.weight = 1
	if service.isEngine() {
		attempt.tokens, attempt.prefillTokens = demand.memoryTokens(kept), demand.uniqueTokens
		if !kept {
			attempt.prefillTokens += demand.sharedTokens
		}
		attempt.prefillWeight = attempt.prefillTokens / service.slotTokens()
		attempt.weight += attempt.prefillWeight
		attempt.announced = attempt.prefillWeight >= p.noticeThreshold
	}
	attempt.load = runner.loadForLimits() + attempt.weight
}

// loadForLimits is a runner's load as its ceilings see it: near the utilization ceiling is as near as near the load ceiling.
func (w *runnerState) loadForLimits() float64 {
	return math.Max(w.load, w.utilization/w.limits.Utilization*w.limits.Load)
}

// addAttempt books an attempt on its runner.
func (w *runnerState) addAttempt(attempt *Attempt) {
	w.ownUsage.add(&usage{attempt.weight, attempt.prefillWeight, attempt.tokens}, 1)
	w.load, w.spareSlots, w.spareTokens = w.load+attempt.weight, w.spareSlots-attempt.weight, w.spareTokens-attempt.tokens
	w.ownAttempts++
	w.lastSentAt = attempt.sentAt
	w.pending.push(attempt)
}

// endPrefill takes the weight of reading off: the prompt has been read.
func (w *runnerState) endPrefill(attempt *Attempt) {
	w.ownUsage.add(&usage{attempt.prefillWeight, attempt.prefillWeight, 0}, -1)
	w.load, w.spareSlots = w.load-attempt.prefillWeight, w.spareSlots+attempt.prefillWeight
	attempt.weight -= attempt.prefillWeight
	attempt.prefillWeight = 0
	w.pending.remove(attempt)
}

// removeAttempt books the end of an attempt.
func (w *runnerState) removeAttempt(attempt *Attempt) {
	if !attempt.answered {
		w.endPrefill(attempt)
	}
	w.ownUsage.add(&usage{attempt.weight, 0, attempt.tokens}, -1)
	w.load, w.spareSlots, w.spareTokens = w.load-attempt.weight, w.spareSlots+attempt.weight, w.spareTokens+attempt.tokens
	w.ownAttempts--
	if w.ownAttempts == 0 {
		w.ownUsage = usage{} // whatever rounding has left
	}
	if w.probe == attempt {
		w.probe = nil
	}
}

// HandleFirstEvent takes the first event or byte of an answer: how long it took shows what waits there.
func (p *Placer) HandleFirstEvent(now time.Duration, attempt *Attempt) {
	if attempt.ended || attempt.answered {
		return
	}
	runner := attempt.runner
	attempt.answered, attempt.recovered = true, runner.suspect
	runner.endPrefill(attempt)
	runner.markAlive(now)
	p.learnFromFirstEvent(attempt, (now - attempt.sentAt).Seconds())
}

// HandleEvent takes another event of a stream.
func (p *Placer) HandleEvent(now time.Duration, attempt *Attempt) {}

// learnFromFirstEvent draws on the time to a first answer: how far the region is, how fast prompts are read, what waits.
func (p *Placer) learnFromFirstEvent(attempt *Attempt, took float64) {
	runner, service := attempt.runner, attempt.runner.service
	far := &p.regions[runner.regionIndex].latency
	if *far == 0 || took < *far {
		*far = took
	}
	excess := took - p.expectedFirstEvent(service, runner, attempt.prefillTokens)
	capacity.UpdateMean(&runner.excessWait, math.Max(excess, 0), 2*capacity.LearningRate)
	if service.isEngine() && attempt.prefillTokens > service.slotTokens()/16 && took > *far {
		service.learnPrefillSpeed(attempt.prefillTokens / (took - *far))
	}
	if attempt.Request.Route != nil && took > lateStartShare*attempt.Request.Route.LatencyTarget.Seconds() {
		runner.limits.RecordOverload(attempt.load, runner.slots) // a late start is the early warning of a late end
	}
}

// EndAttempt takes the end of an attempt.
func (p *Placer) EndAttempt(now time.Duration, attempt *Attempt, outcome Outcome, progress Progress) {
	if outcome == ConnectFailed {
		attempt.Request.connectFailures++
	}
	if attempt.ended {
		return
	}
	attempt.ended = true
	runner := attempt.runner
	if !attempt.answered && outcome == Succeeded {
		p.inferFirstEvent(now, attempt, progress)
	}
	runner.removeAttempt(attempt)
	p.learnFromOutcome(now, attempt, outcome, progress)
}

// inferFirstEvent takes the first answer where nobody told of it when it came.
func (p *Placer) inferFirstEvent(now time.Duration, attempt *Attempt, progress Progress) {
	after := progress.TimeToFirstEvent
	if after <= 0 {
		after = progress.Duration
	}
	attempt.answered = true
	attempt.runner.endPrefill(attempt)
	attempt.runner.markAlive(now)
	p.learnFromFirstEvent(attempt, after.Seconds())
}

// learnFromOutcome draws on an outcome.
func (p *Placer) learnFromOutcome(now time.Duration, attempt *Attempt, outcome Outcome, progress Progress) {
	runner := attempt.runner
	switch outcome {
	case Succeeded:
		p.learnFromSuccess(now, attempt, progress)
		p.recordOutcome(now, runner, 0)
	case Rejected:
		runner.limits.RecordOverload(math.Max(attempt.load, runner.limits.Load), runner.slots)
		runner.saturatedUntil = now + time.Duration(saturatedShare*runner.service.latencyTarget*float64(time.Second))
	case Failed, Interrupted:
		runner.limits.RecordOverload(attempt.load, runner.slots)
		p.recordOutcome(now, runner, 1)
	case TimedOut, ConnectFailed:
		runner.limits.RecordOverload(attempt.load, runner.slots)
		runner.markSuspect(now)
		p.recordOutcome(now, runner, 1)
	case Misdirected: // whoever has the address now is not the runner that was meant
		runner.suspectDuration = maxSuspectDuration
		runner.markSuspect(now)
	}
}

// learnFromSuccess draws on a whole answer.
func (p *Placer) learnFromSuccess(now time.Duration, attempt *Attempt, progress Progress) {
	runner, request := attempt.runner, attempt.Request
	if request.Route == nil {
		return
	}
	stats, took := p.statsOf(request.Route), progress.Duration.Seconds()
	if took <= 0 {
		took = (now - attempt.sentAt).Seconds()
	}
	capacity.UpdateMean(&stats.deviation, math.Abs(took-stats.meanDuration), fleetLearningRate)
	capacity.UpdateMean(&stats.meanDuration, took, fleetLearningRate)
	capacity.UpdateMean(&runner.service.meanDuration, took, fleetLearningRate)
	if service := runner.service; service.isEngine() && request.MaxOutputTokens > 0 && progress.Events > 0 {
		out := float64(progress.Events*max(service.Backend.TokensPerEvent, 1)) / float64(request.MaxOutputTokens)
		capacity.UpdateMean(&stats.outputShare, math.Min(out, 1), fleetLearningRate)
	}
	if metTargets(request, progress) {
		runner.limits.RecordSuccess(attempt.load, runner.slots)
	} else {
		runner.limits.RecordOverload(attempt.load, runner.slots)
	}
}

// metTargets says whether an answer earns its full worth.
func metTargets(request *Request, progress Progress) bool {
	first := progress.TimeToFirstEvent
	if first <= 0 || request.Route.EventGapTarget == 0 {
		first = progress.Duration
	}
	return first <= request.Route.LatencyTarget && (request.Route.EventGapTarget == 0 || progress.LongestEventGap <= request.Route.EventGapTarget)
}

// recordOutcome counts a failure, 1, or a success, 0, and sets a runner aside whose attempts fail more than those of its peers.
func (p *Placer) recordOutcome(now time.Duration, runner *runnerState, bad float64) {
	if runner.ejection.RecordOutcome(bad, runner.service.peerErrorRate(runner)) {
		runner.ejection.Eject(now.Seconds(), runner.service.latencyTarget, p.longestTimeout)
	}
}

// peerErrorRate is the mean error share of the other runners that have been judged.
func (s *serviceState) peerErrorRate(runner *runnerState) float64 {
	sum, n := 0.0, 0.0
	for _, peer := range s.runners {
		if peer != runner && peer.ejection.Observed {
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
	for _, runner := range s.runners {
		if runner.suspect {
			suspect++
		}
	}
	return suspect > 1 && float64(suspect) > sharedFaultShare*float64(len(s.runners))
}
