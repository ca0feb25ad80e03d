package placement

import (
	"math"
	"time"

	"cinderroad/internal/shared/capacity"
)

// This file decides what a runner in slow start gets. After a start it may get SlowStartRate*SlowStartFactor +
// SlowStartAllowance requests in any second from all proxies together. Each proxy has an even share, which it spends evenly
// spaced, so that it sends no more than its share in any second, whatever the others do. Where there are more proxies than
// the runner may get requests in a second, only the first in an order drawn from the runner's and the proxies' keys use it:
// a proxy that knows of more proxies than another never ranks earlier by that, so views that differ don't exceed the bound.

// Slow start.
const (
	slowStartPlannedShare = 0.8             // share of the slow start bound that is used
	slowStartWindow       = 1.05            // seconds over which a share is spaced; the bound is for one second
	slowStartInitialShare = 0.25            // share of its limit that a runner is planned with when it starts
	slowStartGuard        = 2 * time.Second // in which the membership feed comes to show that a runner restarted
)

// inSlowStart reports whether a runner is in slow start, or may be: the membership feed lags behind, and a runner that did
// not respond may have restarted.
func (r *runnerState) inSlowStart(now time.Duration) bool {
	return now < r.SlowStartUntil || r.service.SlowStartDuration > 0 && (r.suspect || now < r.slowStartGuardUntil)
}

// hasSlowStartBudget reports whether this proxy may send to a runner in slow start now.
func (p *Placer) hasSlowStartBudget(now time.Duration, runner *runnerState) bool {
	return now >= runner.slowStartNextAt && p.slowStartInterval(now, runner) > 0
}

// slowStartInterval is the time between two sends of this proxy to a runner in slow start; 0: nothing may be sent. The bound
// is divided by one more than the known proxies, which leaves room for one that this proxy does not count. The
// share also stays within an even part of the service's rate, or one request a second if that is more.
func (p *Placer) slowStartInterval(now time.Duration, runner *runnerState) time.Duration {
	if p.proxyCount == 0 || now < p.countedFrom {
		return 0 // the others may not count this one yet, and its last process may have sent just now
	}
	limit := runner.service.SlowStartRate*p.options.SlowStartFactor + p.options.SlowStartAllowance
	bound := slowStartPlannedShare * limit
	proxies := float64(p.proxyCount)
	share := math.Floor(math.Min(bound/(proxies+1), math.Max(runner.service.SlowStartRate/proxies, 1)))
	maxProxies := int(bound)
	if maxProxies == 0 && limit >= 1 {
		maxProxies = 1 // a part of a request can't be planned
	}
	if share < 1 && p.mayUseSlowStartShare(runner, maxProxies) {
		share = 1
	}
	if share < 1 {
		return 0
	}
	return time.Duration(slowStartWindow / share * float64(time.Second))
}

// mayUseSlowStartShare reports whether this proxy is one of the maxProxies that may use a runner in slow start.
func (p *Placer) mayUseSlowStartShare(runner *runnerState, maxProxies int) bool {
	if len(p.peers) == 0 {
		return false
	}
	mine := capacity.Hash(runner.key ^ p.selfKey)
	position := 0
	for _, peer := range p.peers {
		if capacity.Hash(runner.key^peer.key) < mine {
			position++
		}
	}
	return position < maxProxies
}

// recordSlowStartSend charges a send to a runner in slow start.
func (p *Placer) recordSlowStartSend(now time.Duration, runner *runnerState) {
	if runner.inSlowStart(now) {
		runner.slowStartNextAt = now + p.slowStartInterval(now, runner)
	}
}

// warmth is the share of its limit that a runner is planned with: it climbs during slow start.
func warmth(now time.Duration, runner *runnerState) float64 {
	if !runner.inSlowStart(now) {
		return 1
	}
	since := runner.service.SlowStartDuration - max(runner.SlowStartUntil-now, 0)
	if now >= runner.SlowStartUntil || runner.service.SlowStartDuration <= 0 {
		since = 0 // it may have restarted, at an unknown time
	}
	return capacity.Warmth(slowStartInitialShare, since.Seconds(), max(runner.service.SlowStartDuration, time.Second).Seconds())
}
