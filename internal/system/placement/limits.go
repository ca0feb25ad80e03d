package placement

import (
	"math"
	"time"

	"cinderroad/internal/shared/capacity"
)

// This file decides the concurrency limits of runners: what the ends of attempts teach about them.

// excessWaitRate is the weight of a first event in runnerState.excessWait: twice that of an outcome in the error rate, so
// that fewer of them count.
const excessWaitRate = 2 * capacity.LearningRate

// loadForLimits is a runner's load as its limits see it: being near the utilization limit counts like being as near to the
// load limit.
func (r *runnerState) loadForLimits() float64 {
	return math.Max(r.load, r.utilization/r.limits.Utilization*r.limits.Load)
}

// learnFromFirstEvent learns from the time to a first event: the latency of the region, the prefill speed, the wait.
func (p *Placer) learnFromFirstEvent(attempt *Attempt, elapsed float64) {
	runner := attempt.runner
	service := runner.service
	latency := &p.regions[runner.regionIndex].latency
	if *latency == 0 || elapsed < *latency {
		*latency = elapsed
	}
	excess := elapsed - p.expectedFirstEvent(service, runner, attempt.prefillTokens)
	capacity.UpdateMean(&runner.excessWait, math.Max(excess, 0), excessWaitRate)
	if service.isEngine() && attempt.prefillTokens > service.slotTokens()/speedSampleDivisor && elapsed > *latency {
		service.learnPrefillSpeed(attempt.prefillTokens / (elapsed - *latency))
	}
	if attempt.Request.Route != nil && elapsed > lateStartShare*attempt.Request.Route.LatencyTarget.Seconds() {
		runner.limits.RecordOverload(attempt.load, runner.slots) // a late start precedes a late end
	}
}

// learnFromOutcome updates limits, ejection and suspicion of a runner. Nothing is learnt from Cancelled.
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
	case Misdirected:
		// Another runner has the address. Until the membership feed says so, no request gets through: suspect it for the
		// longest time at once.
		runner.suspectDuration = maxSuspectDuration
		runner.markSuspect(now)
	}
}

// learnFromSuccess learns from a complete response.
func (p *Placer) learnFromSuccess(now time.Duration, attempt *Attempt, progress Progress) {
	runner, request := attempt.runner, attempt.Request
	if request.Route == nil {
		return
	}
	stats := p.statsOf(request.Route)
	elapsed := progress.Duration.Seconds()
	if elapsed <= 0 {
		elapsed = (now - attempt.sentAt).Seconds()
	}
	capacity.UpdateMean(&stats.deviation, math.Abs(elapsed-stats.meanDuration), clusterLearningRate)
	capacity.UpdateMean(&stats.meanDuration, elapsed, clusterLearningRate)
	capacity.UpdateMean(&runner.service.meanDuration, elapsed, clusterLearningRate)
	if service := runner.service; service.isEngine() && request.MaxOutputTokens > 0 && progress.Events > 0 {
		share := float64(progress.Events*max(service.Backend.TokensPerEvent, 1)) / float64(request.MaxOutputTokens)
		capacity.UpdateMean(&stats.outputShare, math.Min(share, 1), clusterLearningRate)
	}
	if metTargets(request, progress) {
		runner.limits.RecordSuccess(attempt.load, runner.slots)
	} else {
		runner.limits.RecordOverload(attempt.load, runner.slots)
	}
}

// metTargets reports whether a response earns its full value.
func metTargets(request *Request, progress Progress) bool {
	route := request.Route
	first := progress.TimeToFirstEvent
	if first <= 0 || route.EventGapTarget == 0 {
		first = progress.Duration
	}
	return first <= route.LatencyTarget &&
		(route.EventGapTarget == 0 || progress.LongestEventGap <= route.EventGapTarget)
}
