package placement

import (
	"math"
	"time"

	"cinderroad/internal/shared/capacity"
)

// This file decides which runner takes a request.

// The ranks of runners for a request; the lowest is selected.
const (
	rankSpareLocal  = iota // spare capacity in the own region
	rankSpareRemote        // spare capacity in another region: the nearest first
	rankNoSpare            // no spare capacity: the least overloaded first
	rankSaturated          // rejected a request just now
	rankAvoided            // ejected, or suspect
	rankTried              // an attempt of this request went there; see rank
	rankNone        = 1 << 10
)

// The reasons of rejections, as logged.
const (
	reasonUnknownService   = "no runner of the service is known"
	reasonRetryBudgetSpent = "the retry budget is spent"
	reasonNoneEligible     = "no runner may take the request"
	reasonOverloaded       = "all runners are over their concurrency limits"
)

// The selection. For "tried" and "kept" see the package comment.
const (
	distanceSteps       = 8      // steps of latency in the tightest latency target that tell regions apart
	zonePreferenceShare = 0.0125 // share of its slots by which a runner in the own zone is preferred; kept
	minZonePreference   = 0.5    // slots; lower bound of that preference
	saturatedShare      = 0.25   // share of its service's latency target for which a runner that rejected is passed over
	connectionShare     = 0.9    // share of a runner's connections that the proxies divide
	firstPriority       = 3      // priority of rank 0; engines take 5 for requests without one
	priorityStep        = 2      // between two ranks
	longPromptSlots     = 1.0    // prefill weight in slots above which a prompt is long; tried
	longPromptPenalty   = 4      // added for a long prompt: it comes with the short ones two ranks below; tried against none
	lowestPriority      = 9      // the last that engines know
)

// Place selects the runner that takes a request, or rejects it. The choice reserves nothing before StartAttempt.
func (p *Placer) Place(now time.Duration, request *Request) (Choice, *Rejection) {
	p.recordCall(now)
	service := p.services[request.Service]
	if service == nil || len(service.runners) == 0 {
		return Choice{}, &Rejection{RetryAfter: p.retryAfter(now, request, 0), Reason: reasonUnknownService}
	}
	if request.isRetry() && !service.retryBudget.allows(now, p.retryPolicy()) {
		return Choice{}, &Rejection{RetryAfter: p.retryAfter(now, request, 0), Reason: reasonRetryBudgetSpent}
	}
	service.observeTarget(request)
	p.refreshPlan(now, service)
	service.shedding.recordArrival(now, request)
	demand := p.demandOf(service, request)
	best, rank := p.selectRunner(now, service, request, &demand)
	if best == nil {
		return Choice{}, &Rejection{RetryAfter: p.retryAfter(now, request, 0), Reason: reasonNoneEligible}
	}
	wait := p.expectedWait(service, best)
	mayReject := rank >= rankNoSpare || service.shedding.mustYield(now, request)
	if mayReject && p.isHopeless(now, service, request, wait) {
		service.shedding.recordRejection(now, request)
		return Choice{}, &Rejection{
			RetryAfter: p.retryAfter(now, request, wait),
			Reason:     reasonOverloaded,
		}
	}
	return Choice{Runner: best.ID, Address: best.Address, Priority: priority(service, request)}, nil
}

// priority is the order in which an engine admits requests, 0 first; -1 where runners know none. It goes by the route's
// rank, and long prompts come after short ones: a long one that is prefilled first makes many short ones late, while one
// that comes after them is delayed only by the little that they take.
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

// selectRunner selects the eligible runner with the most spare capacity, in the own region first, then in the nearest; if
// none has any, the one least over its limit. For a prompt with a shared prefix, capacity counts more where that is cached.
// It returns nil and rankNone if no runner is eligible.
func (p *Placer) selectRunner(now time.Duration, service *serviceState, request *Request,
	demand *tokenDemand) (*runnerState, int) {
	var choice capacity.Selection[*runnerState]
	owners := p.ownersOf(now, service, request, demand)
	sharedFault := service.isSharedFault()
	for _, runner := range service.runners {
		if !p.isEligible(now, request, runner) {
			continue
		}
		candidate := capacity.Candidate{Rank: p.rank(now, request, runner, demand, &owners, sharedFault)}
		if candidate.Rank == rankSpareRemote {
			candidate.Distance = p.distance(runner)
		}
		candidate.SpareCapacity = runner.spareSlots + p.preference(service, runner, demand, &owners)
		choice.Add(runner, candidate, &p.random)
	}
	if !choice.Found {
		return nil, rankNone
	}
	return choice.Best, choice.Candidate.Rank
}

// rank orders runners for a request. With a shared fault suspect runners are no longer avoided. A runner that was tried is
// chosen again if no other may take the request: what ended the first attempt may be over, and where a route has one
// runner in its home regions there is no other. Rejecting instead was measured and makes no difference
// (docs/decisions.md).
func (p *Placer) rank(now time.Duration, request *Request, runner *runnerState, demand *tokenDemand, owners *prefixOwners,
	sharedFault bool) int {
	switch {
	case request.hasTried(runner):
		return rankTried
	case runner.ejection.IsEjected(now.Seconds()) || !sharedFault && runner.isAvoided(now):
		return rankAvoided
	case runner.isAvoided(now):
		return rankNoSpare // so many are suspect that the others could not sustain the load
	case now < runner.saturatedUntil:
		return rankSaturated
	case runner.spareSlots < 1 || runner.spareTokens < demand.memoryTokens(owners.isOwner(runner)):
		return rankNoSpare
	case runner.Region != p.options.Region && !(owners.global && owners.isOwner(runner)):
		return rankSpareRemote
	}
	return rankSpareLocal
}

// preference is added to a runner's spare slots: a little in the own zone, since bytes between zones are priced, and where
// the prefix is cached, what prefilling it again would cost.
func (p *Placer) preference(service *serviceState, runner *runnerState, demand *tokenDemand,
	owners *prefixOwners) (slots float64) {
	if runner.Zone == p.options.Zone {
		slots += math.Max(minZonePreference, zonePreferenceShare*runner.slots)
	}
	if demand.prefix == 0 {
		return slots
	}
	saved := math.Max(prefixPrice*demand.sharedTokens/service.slotTokens(), minPrefixPreference)
	return slots + saved*owners.cachedShare(runner, service, demand.prefix)
}

// distance is the latency of a runner's region in steps of an eighth of the tightest latency target: regions that differ
// by less share what overflows.
func (p *Placer) distance(runner *runnerState) float64 {
	return math.Floor(p.regions[runner.regionIndex].latency * distanceSteps / p.latencyTarget)
}
