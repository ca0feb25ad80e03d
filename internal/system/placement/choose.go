package placement

import (
	"math"
	"time"

	"cinderroad/internal/shared/capacity"
)

// The ranks of runners for a request: the ordinary path first.
const (
	rankSpareLocal  = iota // room, in the own region
	rankSpareRemote        // room, in another one: the nearest first
	rankNoSpare            // the one least over its ceiling
	rankSaturated          // turned a request away just now
	rankAvoided            // set aside, or suspect
	rankTried              // an attempt of this request went there
	rankNone        = 1 << 10
)

// Place says which runner takes a request, or refuses it. A choice is booked only by Sent.
func (p *Placer) Place(now time.Duration, request *Request) (Choice, *Rejection) {
	p.recordCall(now)
	service := p.services[request.Service]
	if service == nil || len(service.runners) == 0 {
		return Choice{}, &Rejection{RetryAfter: p.retryAfter(now, request, 0), Reason: "no runner of the service is known"}
	}
	if request.isRetry() && !service.retryBudget.allows(now, p.retryPolicy()) {
		return Choice{}, &Rejection{RetryAfter: p.retryAfter(now, request, 0), Reason: "the retry budget is spent"}
	}
	service.observeTarget(request)
	p.refreshPlan(now, service)
	service.shedding.recordArrival(now, request)
	demand := p.demandOf(service, request)
	best, rank := p.selectRunner(now, service, request, &demand)
	if best == nil {
		return Choice{}, &Rejection{RetryAfter: p.retryAfter(now, request, 0), Reason: "no runner may take the request"}
	}
	if wait := p.expectedWait(service, best); (rank >= rankNoSpare || service.shedding.mustYield(now, request)) && p.isHopeless(now, service, request, wait) {
		service.shedding.recordRejection(now, request)
		return Choice{}, &Rejection{RetryAfter: p.retryAfter(now, request, wait), Reason: "all runners are over their ceilings"}
	}
	return Choice{Runner: best.ID, Address: best.Address, Priority: priority(service, request)}, nil
}

// priority is the order in which an engine lets requests in: by the route's rank, and long prompts after short ones. A
// long one that is read first makes many short ones late; one that comes after them loses the little that they take.
func priority(service *serviceState, request *Request) int {
	if !service.isEngine() || request.Route == nil {
		return -1
	}
	order := firstPriority + priorityStep*max(request.Route.Rank, 0)
	if float64(request.InputTokens) > longPromptSlots*service.slotTokens() {
		order += longPromptPenalty
	}
	return min(lowestPriority, order)
}

// selectRunner is the ordinary path: the serving runner with most room, own region first, then the nearest; if none has room,
// the one least over its ceiling. For a prompt with shared parts, room counts more where those are kept.
func (p *Placer) selectRunner(now time.Duration, service *serviceState, request *Request, demand *tokenDemand) (*runnerState, int) {
	var choice capacity.Selection[*runnerState]
	owners := p.ownersOf(now, service, request, demand)
	shared := service.isSharedFault()
	for _, runner := range service.runners {
		if !p.isEligible(now, request, runner) {
			continue
		}
		offer := capacity.Candidate{Rank: p.rank(now, request, runner, demand, &owners, shared)}
		if offer.Rank == rankSpareRemote {
			offer.Distance = p.distance(runner)
		}
		offer.SpareCapacity = runner.spareSlots + p.preference(service, runner, demand, &owners)
		choice.Add(runner, offer, &p.random)
	}
	if !choice.Found {
		return nil, rankNone
	}
	return choice.Best, choice.Candidate.Rank
}

// rank orders runners for a request.
func (p *Placer) rank(now time.Duration, request *Request, runner *runnerState, demand *tokenDemand, owners *prefixOwners, shared bool) int {
	switch {
	case request.hasTried(runner):
		return rankTried
	case runner.ejection.IsEjected(now.Seconds()) || !shared && runner.isAvoided(now):
		return rankAvoided
	case runner.isAvoided(now):
		return rankNoSpare // so many are suspect at once that those left could not bear the load alone
	case now < runner.saturatedUntil:
		return rankSaturated
	case runner.spareSlots < 1 || runner.spareTokens < demand.memoryTokens(owners.isOwner(runner)):
		return rankNoSpare
	case runner.Region != p.options.Region && !(owners.global && owners.isOwner(runner)):
		return rankSpareRemote
	}
	return rankSpareLocal
}

// memoryTokens is the memory that a request takes, in tokens.
func (d *tokenDemand) memoryTokens(kept bool) float64 {
	if kept {
		return d.uniqueTokens + d.outputTokens
	}
	return d.uniqueTokens + d.sharedTokens + d.outputTokens
}

// preference is added to a runner's room: a little for the own zone, since bytes between zones are priced, and for the
// runner that keeps the shared parts what reading them again costs.
func (p *Placer) preference(service *serviceState, runner *runnerState, demand *tokenDemand, owners *prefixOwners) (slots float64) {
	if runner.Zone == p.options.Zone {
		slots += math.Max(minZonePreference, zonePreferenceShare*runner.slots)
	}
	if demand.prefix == 0 {
		return slots
	}
	whole := math.Max(prefixPrice*demand.sharedTokens/service.slotTokens(), minPrefixPreference)
	return slots + whole*owners.cachedShare(runner, service, demand.prefix)
}

// distance counts in eighths of the tightest target: regions that differ by less share the spill.
func (p *Placer) distance(runner *runnerState) float64 {
	return math.Floor(p.regions[runner.regionIndex].latency * 8 / p.latencyTarget)
}

// isEligible says whether the rules allow this send. Every pick asks it, the fallback and repeats included.
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

// inHomeRegion says whether a runner stands in one of the regions that the route is bound to.
func inHomeRegion(request *Request, runner *runnerState) bool {
	if request.Route == nil || len(request.Route.HomeRegions) == 0 {
		return true
	}
	for _, home := range request.Route.HomeRegions {
		if home == runner.Region {
			return true
		}
	}
	return false
}

// servesModel says whether a runner has a model; one that tells none has all.
func (w *runnerState) servesModel(model string) bool {
	if model == "" || len(w.Models) == 0 {
		return true
	}
	for _, candidate := range w.Models {
		if candidate == model {
			return true
		}
	}
	return false
}

// connectionLimit is this proxy's share of the connections that a runner takes.
func (p *Placer) connectionLimit(runner *runnerState) int {
	if runner.service.MaxConnections <= 0 {
		return math.MaxInt
	}
	return max(1, int(connectionShare*float64(runner.service.MaxConnections)/(1+p.otherProxies())))
}

// expectedDuration is how long a request is likely to take at most.
func (p *Placer) expectedDuration(runner *runnerState, request *Request) time.Duration {
	if request.Route == nil {
		return 0
	}
	stats := p.statsOf(request.Route)
	return time.Duration((stats.meanDuration + 2*stats.deviation + runner.excessWait) * float64(time.Second))
}

// hasTried says whether an attempt of the request went to the runner.
func (r *Request) hasTried(runner *runnerState) bool {
	for _, id := range r.TriedRunners {
		if id == runner.ID {
			return true
		}
	}
	return false
}

// isRetry says whether another attempt of the request would arrive after one that may have arrived.
func (r *Request) isRetry() bool { return len(r.TriedRunners) > r.connectFailures }

// expectedWait is how long a request would wait at a runner before its prompt is read, or its slot is free; seconds.
func (p *Placer) expectedWait(service *serviceState, runner *runnerState) float64 {
	if service.isEngine() {
		return math.Max(runner.excessWait, runner.utilization*lateStartShare*service.latencyTarget)
	}
	return math.Max(runner.excessWait, (runner.load-runner.slots)/runner.slots*service.meanDuration)
}

// isHopeless says that even the best runner would answer too late, while the runners have hardly a place left.
func (p *Placer) isHopeless(now time.Duration, service *serviceState, request *Request, wait float64) bool {
	if wait <= service.shedding.maxWait(now, request) {
		return false
	}
	taken, places := 0.0, 0.0
	for _, runner := range service.runners {
		if p.isEligible(now, request, runner) {
			taken, places = taken+math.Min(runner.occupiedSlots, runner.slots), places+runner.slots
		}
	}
	return taken >= minOccupiedShare*places
}

// retryAfter is when a refused client should come back: once the wait has gone down to what is bearable.
func (p *Placer) retryAfter(now time.Duration, request *Request, wait float64) time.Duration {
	left := request.Deadline - now
	bearable := time.Duration(maxWaitShare * float64(left))
	after := time.Duration(wait*float64(time.Second)) - bearable
	after = max(after, minRetryAfter, planPeriod)
	return min(after, maxRetryAfter, max(left/4, minRetryAfter))
}
