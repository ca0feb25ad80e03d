package placement

import (
	"math"
	"time"

	"cinderroad/internal/shared/capacity"
)

// A cold runner may get ColdRate*SlowStartFactor+SlowStartAllowance requests in any second from all proxies together. Each proxy has an
// even share, which it spends evenly spaced: so in no second it sends more than its share, whatever the others do. Where
// there are more proxies than the runner bears requests, only those use it that come first in an order drawn from the
// runner and the proxies' keys: whoever knows of more proxies than another comes no earlier.

// inSlowStart says whether a runner is cold, or may be: the list lags behind, and one that was silent may come back cold.
func (w *runnerState) inSlowStart(now time.Duration) bool {
	return now < w.SlowStartUntil || w.service.SlowStartDuration > 0 && (w.suspect || now < w.guardedUntil)
}

// hasSlowStartBudget says whether this proxy may send to a cold runner now.
func (p *Placer) hasSlowStartBudget(now time.Duration, runner *runnerState) bool {
	return now >= runner.slowStartNextAt && p.slowStartInterval(now, runner) > 0
}

// slowStartInterval is the time between two sends to a cold runner; 0: nothing may be sent.
func (p *Placer) slowStartInterval(now time.Duration, runner *runnerState) time.Duration {
	if p.proxyCount == 0 || now < p.countedFrom {
		return 0 // the others may not count this one yet, and its last life may have sent just now
	}
	bound := slowStartPlannedShare * (runner.service.SlowStartRate*p.options.SlowStartFactor + p.options.SlowStartAllowance)
	n := float64(p.proxyCount)
	share := math.Floor(math.Min(bound/(n+1), math.Max(runner.service.SlowStartRate/n, 1)))
	if share < 1 && p.holdsSlowStartShare(runner, int(bound)) {
		share = 1
	}
	if share < 1 {
		return 0
	}
	return time.Duration(slowStartWindow / share * float64(time.Second))
}

// holdsSlowStartShare says whether this proxy is one of the few that may use a cold runner.
func (p *Placer) holdsSlowStartShare(runner *runnerState, holders int) bool {
	if len(p.peers) == 0 {
		return false
	}
	mine, place := capacity.Hash(runner.key^p.selfKey), 0
	for _, peer := range p.peers {
		if capacity.Hash(runner.key^peer.key) < mine {
			place++
		}
	}
	return place < holders
}

// recordSlowStartSend books a send to a cold runner.
func (p *Placer) recordSlowStartSend(now time.Duration, runner *runnerState) {
	if runner.inSlowStart(now) {
		runner.slowStartNextAt = now + p.slowStartInterval(now, runner)
	}
}
