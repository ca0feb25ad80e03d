package placement

import (
	"math"
	"time"
)

// This file decides which runners are avoided: ejected, since their attempts fail more than those of their peers, or
// suspect, since a connection or a response never came.

// Suspicion and shared faults.
const (
	minSuspectDuration = 300 * time.Millisecond // first suspicion of a runner; each further one doubles, up to
	maxSuspectDuration = 4 * time.Second
	sharedFaultShare   = 0.5 // share of a service's runners; if more are suspect at once, the fault is shared
)

// recordOutcome counts a failure, 1, or a success, 0, and ejects a runner whose attempts fail more than those of its peers.
func (p *Placer) recordOutcome(now time.Duration, runner *runnerState, failure float64) {
	if runner.ejection.RecordOutcome(failure, runner.service.peerErrorRate(runner)) {
		runner.ejection.Eject(now.Seconds(), runner.service.latencyTarget, p.longestTimeout)
	}
}

// peerErrorRate is the mean error rate of the other runners that have ended an attempt.
func (s *serviceState) peerErrorRate(runner *runnerState) float64 {
	sum, observed := 0.0, 0.0
	for _, peer := range s.runners {
		if peer != runner && peer.ejection.Observed {
			sum += peer.ejection.ErrorRate
			observed++
		}
	}
	return sum / math.Max(observed, 1)
}

// markSuspect records that a connection or a response never came. Each time the suspicion lasts longer.
func (r *runnerState) markSuspect(now time.Duration) {
	if r.suspect && now < r.suspectUntil {
		return
	}
	r.suspect = true
	r.suspectDuration = min(max(2*r.suspectDuration, minSuspectDuration), maxSuspectDuration)
	r.suspectUntil = now + r.suspectDuration
}

// markAlive records that the runner responds. One that was suspect may have restarted, and may be in slow start.
func (r *runnerState) markAlive(now time.Duration) {
	if r.suspect {
		r.slowStartGuardUntil = now + slowStartGuard
	}
	r.suspect = false
	r.suspectDuration = 0
	r.probe = nil
}

// isAvoided reports whether a runner is suspect and not to be tried now: once its suspicion has expired, a single request
// probes whether it is back.
func (r *runnerState) isAvoided(now time.Duration) bool {
	return r.suspect && (now < r.suspectUntil || r.probe != nil)
}

// isSharedFault reports whether so many runners of the service are suspect at once that the fault is not theirs, or that
// the remaining ones could not sustain the load.
func (s *serviceState) isSharedFault() bool {
	suspect := 0
	for _, runner := range s.runners {
		if runner.suspect {
			suspect++
		}
	}
	return suspect > 1 && float64(suspect) > sharedFaultShare*float64(len(s.runners))
}
