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
func (p *Placer) Place(now time.Duration, r *Request) (Choice, *Rejection) {
	p.recordCall(now)
	s := p.services[r.Service]
	if s == nil || len(s.runners) == 0 {
		return Choice{}, &Rejection{RetryAfter: p.retryAfter(now, r, 0), Reason: "no runner of the service is known"}
	}
	if r.isRetry() && !s.retryBudget.allows(now, p.retryPolicy()) {
		return Choice{}, &Rejection{RetryAfter: p.retryAfter(now, r, 0), Reason: "the retry budget is spent"}
	}
	s.observeTarget(r)
	p.refreshPlan(now, s)
	s.shedding.recordArrival(now, r)
	d := p.demandOf(s, r)
	best, rank := p.selectRunner(now, s, r, &d)
	if best == nil {
		return Choice{}, &Rejection{RetryAfter: p.retryAfter(now, r, 0), Reason: "no runner may take the request"}
	}
	if wait := p.expectedWait(s, best); (rank >= rankNoSpare || s.shedding.mustYield(now, r)) && p.isHopeless(now, s, r, wait) {
		s.shedding.recordRejection(now, r)
		return Choice{}, &Rejection{RetryAfter: p.retryAfter(now, r, wait), Reason: "all runners are over their ceilings"}
	}
	return Choice{Runner: best.ID, Address: best.Address, Priority: priority(s, r)}, nil
}

// priority is the order in which an engine lets requests in: by the route's rank, and long prompts after short ones. A
// long one that is read first makes many short ones late; one that comes after them loses the little that they take.
func priority(s *serviceState, r *Request) int {
	if !s.isEngine() || r.Route == nil {
		return -1
	}
	order := firstPriority + priorityStep*max(r.Route.Rank, 0)
	if float64(r.InputTokens) > longPromptSlots*s.slotTokens() {
		order += longPromptPenalty
	}
	return min(lowestPriority, order)
}

// selectRunner is the ordinary path: the serving runner with most room, own region first, then the nearest; if none has room,
// the one least over its ceiling. For a prompt with shared parts, room counts more where those are kept.
func (p *Placer) selectRunner(now time.Duration, s *serviceState, r *Request, d *tokenDemand) (*runnerState, int) {
	var choice capacity.Selection[*runnerState]
	owners := p.ownersOf(now, s, r, d)
	shared := s.isSharedFault()
	for _, w := range s.runners {
		if !p.isEligible(now, r, w) {
			continue
		}
		offer := capacity.Candidate{Rank: p.rank(now, r, w, d, &owners, shared)}
		if offer.Rank == rankSpareRemote {
			offer.Distance = p.distance(w)
		}
		offer.SpareCapacity = w.spareSlots + p.preference(s, w, d, &owners)
		choice.Add(w, offer, &p.random)
	}
	if !choice.Found {
		return nil, rankNone
	}
	return choice.Best, choice.Candidate.Rank
}

// rank orders runners for a request.
func (p *Placer) rank(now time.Duration, r *Request, w *runnerState, d *tokenDemand, o *prefixOwners, shared bool) int {
	switch {
	case r.hasTried(w):
		return rankTried
	case w.ejection.IsEjected(now.Seconds()) || !shared && w.isAvoided(now):
		return rankAvoided
	case w.isAvoided(now):
		return rankNoSpare // so many are suspect at once that those left could not bear the load alone
	case now < w.saturatedUntil:
		return rankSaturated
	case w.spareSlots < 1 || w.spareTokens < d.memoryTokens(o.isOwner(w)):
		return rankNoSpare
	case w.Region != p.options.Region && !(o.global && o.isOwner(w)):
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
func (p *Placer) preference(s *serviceState, w *runnerState, d *tokenDemand, o *prefixOwners) (slots float64) {
	if w.Zone == p.options.Zone {
		slots += math.Max(minZonePreference, zonePreferenceShare*w.slots)
	}
	if d.prefix == 0 {
		return slots
	}
	whole := math.Max(prefixPrice*d.sharedTokens/s.slotTokens(), minPrefixPreference)
	return slots + whole*o.cachedShare(w, s, d.prefix)
}

// distance counts in eighths of the tightest target: regions that differ by less share the spill.
func (p *Placer) distance(w *runnerState) float64 {
	return math.Floor(p.regions[w.regionIndex].latency * 8 / p.latencyTarget)
}

// isEligible says whether the rules allow this send. Every pick asks it, the fallback and repeats included.
func (p *Placer) isEligible(now time.Duration, r *Request, w *runnerState) bool {
	switch {
	case !w.listed || w.Draining || p.evacuated[w.Zone]:
		return false
	case w.TerminatesAt > 0 && now+p.expectedDuration(w, r) > w.TerminatesAt:
		return false
	case !inHomeRegion(r, w) || !w.servesModel(r.Model):
		return false
	case w.service.isEngine() && r.InputTokens+r.MaxOutputTokens > w.service.Backend.CacheTokens:
		return false
	case w.ownAttempts >= p.connectionLimit(w):
		return false
	case w.inSlowStart(now) && !p.hasSlowStartBudget(now, w):
		return false
	}
	return true
}

// inHomeRegion says whether a runner stands in one of the regions that the route is bound to.
func inHomeRegion(r *Request, w *runnerState) bool {
	if r.Route == nil || len(r.Route.HomeRegions) == 0 {
		return true
	}
	for _, home := range r.Route.HomeRegions {
		if home == w.Region {
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
	for _, m := range w.Models {
		if m == model {
			return true
		}
	}
	return false
}

// connectionLimit is this proxy's share of the connections that a runner takes.
func (p *Placer) connectionLimit(w *runnerState) int {
	if w.service.MaxConnections <= 0 {
		return math.MaxInt
	}
	return max(1, int(connectionShare*float64(w.service.MaxConnections)/(1+p.otherProxies())))
}

// expectedDuration is how long a request is likely to take at most.
func (p *Placer) expectedDuration(w *runnerState, r *Request) time.Duration {
	if r.Route == nil {
		return 0
	}
	stats := p.statsOf(r.Route)
	return time.Duration((stats.meanDuration + 2*stats.deviation + w.excessWait) * float64(time.Second))
}

// hasTried says whether an attempt of the request went to the runner.
func (r *Request) hasTried(w *runnerState) bool {
	for _, id := range r.TriedRunners {
		if id == w.ID {
			return true
		}
	}
	return false
}

// isRetry says whether another attempt of the request would arrive after one that may have arrived.
func (r *Request) isRetry() bool { return len(r.TriedRunners) > r.connectFailures }

// expectedWait is how long a request would wait at a runner before its prompt is read, or its slot is free; seconds.
func (p *Placer) expectedWait(s *serviceState, w *runnerState) float64 {
	if s.isEngine() {
		return math.Max(w.excessWait, w.utilization*lateStartShare*s.latencyTarget)
	}
	return math.Max(w.excessWait, (w.load-w.slots)/w.slots*s.meanDuration)
}

// isHopeless says that even the best runner would answer too late, while the runners have hardly a place left.
func (p *Placer) isHopeless(now time.Duration, s *serviceState, r *Request, wait float64) bool {
	if wait <= s.shedding.maxWait(now, r) {
		return false
	}
	taken, places := 0.0, 0.0
	for _, w := range s.runners {
		if p.isEligible(now, r, w) {
			taken, places = taken+math.Min(w.occupiedSlots, w.slots), places+w.slots
		}
	}
	return taken >= minOccupiedShare*places
}

// retryAfter is when a refused client should come back: once the wait has gone down to what is bearable.
func (p *Placer) retryAfter(now time.Duration, r *Request, wait float64) time.Duration {
	left := r.Deadline - now
	bearable := time.Duration(maxWaitShare * float64(left))
	after := time.Duration(wait*float64(time.Second)) - bearable
	after = max(after, minRetryAfter, planPeriod)
	return min(after, maxRetryAfter, max(left/4, minRetryAfter))
}
