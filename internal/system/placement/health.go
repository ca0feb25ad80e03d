package placement

import (
	"math"
	"time"
)

// This file decides which runners are avoided: ejected, since their attempts fail more than those of their peers, or
// suspect, since a connection or an answer never came.

// Suspicion.
const (
	minSuspectDuration = 300 * time.Millisecond // for which a silent runner gets nothing, longer each time
	maxSuspectDuration = 4 * time.Second
	sharedFaultShare   = 0.5 // of a service's runners that are suspect at once: the cause is shared
)

// recordOutcome counts a failure, 1, or a success, 0, and ejects a runner whose attempts fail more than those of its peers.
func (p *Placer) recordOutcome(now time.Duration, runner *runnerState, bad float64) {
	if runner.ejection.RecordOutcome(bad, runner.service.peerErrorRate(runner)) {
		runner.ejection.Eject(now.Seconds(), runner.service.latencyTarget, p.longestTimeout)
	}
}

// peerErrorRate is the mean error rate of the other runners that have ended an attempt.
func (s *serviceState) peerErrorRate(runner *runnerState) float64 {
	sum, n := 0.0, 0.0
	for _, peer := range s.runners {
		if peer != runner && peer.ejection.Observed {
			sum, n = sum+peer.ejection.ErrorRate, n+1
		}
	}
	return sum / math.Max(n, 1)
}

// markSuspect records that a connection or an answer never came. Each time the suspicion lasts longer.
func (w *runnerState) markSuspect(now time.Duration) {
	if w.suspect && now < w.suspectUntil {
		return
	}
	w.suspect = true
	w.suspectDuration = min(max(2*w.suspectDuration, minSuspectDuration), maxSuspectDuration)
	w.suspectUntil = now + w.suspectDuration
}

// markAlive records that the runner answers. One that was suspect may have restarted, and may be in slow start.
func (w *runnerState) markAlive(now time.Duration) {
	if w.suspect {
		w.guardedUntil = now + slowStartGuard
	}
	w.suspect, w.suspectDuration, w.probe = false, 0, nil
}

// isAvoided reports whether a runner is suspect and not to be tried now: once its suspicion has expired, a single request
// probes whether it is back.
func (w *runnerState) isAvoided(now time.Duration) bool {
	return w.suspect && (now < w.suspectUntil || w.probe != nil)
}

// isSharedFault reports whether so many runners of the service are suspect at once that the fault is not theirs, or that
// the remaining ones could not bear the load.
func (s *serviceState) isSharedFault() bool {
	suspect := 0
	for _, runner := range s.runners {
		if runner.suspect {
			suspect++
		}
	}
	return suspect > 1 && float64(suspect) > sharedFaultShare*float64(len(s.runners))
}
