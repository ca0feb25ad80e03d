package placement

import (
	"math"
	"time"

	"cinderroad/internal/shared/capacity"
)

// This file decides when a request is rejected, and when its client should come back. Under load lower ranks are rejected
// first: without that, a request with a long deadline would outlast more urgent ones.

// Rejections and load shedding.
const (
	maxWaitShare     = 0.5         // share of its remaining time that a request may wait
	yieldShare       = 0.8         // share of what a request of the next more urgent rank may wait
	yieldDuration    = time.Second // how long less urgent requests yield after a rejection
	maxRanks         = 8           // ranks with statistics of their own
	minOccupiedShare = 0.5         // share of the eligible runners' slots that must be in use before a request is rejected
	minRetryAfter    = 50 * time.Millisecond
	maxRetryAfter    = 2 * time.Second

	// retryAfterDivisor leaves a rejected client time for further attempts: it is told to come back after at most one part
	// in so many of the time that it has left.
	retryAfterDivisor = 4
)

// loadShedding holds, for each rank, how much time requests have and when one was last rejected.
type loadShedding [maxRanks]rankStats

// rankStats are the statistics of a rank.
type rankStats struct {
	remaining  float64       // mean of the time that they have left at arrival, in seconds; 0: none came yet
	rejectedAt time.Duration // when one was last rejected because of load
	rejected   bool          // rejectedAt is valid
}

// rankOf is the rank of a request, 0 the most urgent. A request without a route has the lowest.
func rankOf(request *Request) int {
	if request.Route == nil {
		return maxRanks - 1
	}
	return min(max(request.Route.Rank, 0), maxRanks-1)
}

// recordArrival records how much time a request has left.
func (s *loadShedding) recordArrival(now time.Duration, request *Request) {
	left := (request.Deadline - now).Seconds()
	if left <= 0 || request.Route == nil {
		return
	}
	rank := &s[rankOf(request)]
	if rank.remaining == 0 {
		rank.remaining = left
	}
	capacity.UpdateMean(&rank.remaining, left, clusterLearningRate)
}

// recordRejection records that a request was rejected because of load.
func (s *loadShedding) recordRejection(now time.Duration, request *Request) {
	rank := &s[rankOf(request)]
	rank.rejectedAt = now
	rank.rejected = true
}

// maxWait is how long a request may wait before it is rejected, in seconds: a share of the time that it has left, and less
// than requests of a more urgent rank may wait, while some of those are rejected.
func (s *loadShedding) maxWait(now time.Duration, request *Request) float64 {
	own := rankOf(request)
	wait := maxWaitShare * (request.Deadline - now).Seconds()
	for rank := range own {
		if stats := &s[rank]; stats.recentlyRejected(now) {
			wait = math.Min(wait, maxWaitShare*stats.remaining*math.Pow(yieldShare, float64(own-rank)))
		}
	}
	return wait
}

// mustYield reports whether requests of a more urgent rank are being rejected. Less urgent ones then yield, small ones too,
// although spare capacity may suffice for them.
func (s *loadShedding) mustYield(now time.Duration, request *Request) bool {
	for rank := range rankOf(request) {
		if s[rank].recentlyRejected(now) {
			return true
		}
	}
	return false
}

// recentlyRejected reports whether a request of the rank was rejected within yieldDuration.
func (s *rankStats) recentlyRejected(now time.Duration) bool {
	return s.rejected && now-s.rejectedAt <= yieldDuration
}

// expectedWait is how long a request would wait at a runner for its prefill, or for a free slot; seconds.
// The utilization of an engine is its prefill time as a share of lateStartShare of the target; this converts it back.
func (p *Placer) expectedWait(service *serviceState, runner *runnerState) float64 {
	if service.isEngine() {
		return math.Max(runner.excessWait, runner.utilization*lateStartShare*service.latencyTarget)
	}
	return math.Max(runner.excessWait, (runner.load-runner.slots)/runner.slots*service.meanDuration)
}

// isHopeless reports whether even the best runner would respond too late, while the eligible runners are busy. The second
// condition keeps a wrong estimate of the wait from rejecting requests while slots are free.
func (p *Placer) isHopeless(now time.Duration, service *serviceState, request *Request, wait float64) bool {
	if wait <= service.shedding.maxWait(now, request) {
		return false
	}
	occupied, slots := 0.0, 0.0
	for _, runner := range service.runners {
		if p.isEligible(now, request, runner) {
			occupied += math.Min(runner.occupiedSlots, runner.slots)
			slots += runner.slots
		}
	}
	return occupied >= minOccupiedShare*slots
}

// retryAfter is when a rejected client should come back: once the wait has fallen to what the request may wait.
func (p *Placer) retryAfter(now time.Duration, request *Request, wait float64) time.Duration {
	remaining := request.Deadline - now
	bearable := time.Duration(maxWaitShare * float64(remaining))
	after := time.Duration(wait*float64(time.Second)) - bearable
	after = max(after, minRetryAfter, planPeriod)
	return min(after, maxRetryAfter, max(remaining/retryAfterDivisor, minRetryAfter))
}
