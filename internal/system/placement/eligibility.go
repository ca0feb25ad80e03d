package placement

import (
	"math"
	"slices"
	"time"
)

// isEligible reports whether the rules allow a send. Every selection passes it, the fallback and retries included.
func (p *Placer) isEligible(now time.Duration, request *Request, runner *runnerState) bool {
	switch {
	case !runner.listed || runner.Draining || p.evacuated[runner.Zone]:
		return false
	case runner.TerminatesAt > 0 && now+p.expectedDuration(runner, request) > runner.TerminatesAt:
		return false
	case !inHomeRegion(request, runner) || !runner.servesModel(request.Model):
		return false
	case runner.service.isEngine() && request.InputTokens+request.MaxOutputTokens > runner.service.Backend.CacheTokens:
		return false
	case runner.ownAttempts >= p.connectionLimit(runner):
		return false
	case runner.inSlowStart(now) && !p.hasSlowStartBudget(now, runner):
		return false
	}
	return true
}

// inHomeRegion reports whether a runner is in one of the regions that the route is bound to.
func inHomeRegion(request *Request, runner *runnerState) bool {
	if request.Route == nil || len(request.Route.HomeRegions) == 0 {
		return true
	}
	return slices.Contains(request.Route.HomeRegions, runner.Region)
}

// servesModel reports whether a runner has a model; one that reports no models has all.
func (r *runnerState) servesModel(model string) bool {
	return model == "" || len(r.Models) == 0 || slices.Contains(r.Models, model)
}

// connectionLimit is this proxy's share of the connections that a runner accepts.
func (p *Placer) connectionLimit(runner *runnerState) int {
	if runner.service.MaxConnections <= 0 {
		return math.MaxInt
	}
	return max(1, int(connectionShare*float64(runner.service.MaxConnections)/float64(p.connectionSharers())))
}

// expectedDuration is an upper estimate of how long a request takes at a runner: the mean and two mean deviations of its
// route, and the wait last seen at the runner. 0: the request has no route.
func (p *Placer) expectedDuration(runner *runnerState, request *Request) time.Duration {
	if request.Route == nil {
		return 0
	}
	stats := p.statsOf(request.Route)
	return time.Duration((stats.meanDuration + 2*stats.deviation + runner.excessWait) * float64(time.Second))
}
