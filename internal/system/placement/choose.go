package placement

import (
	"math"
	"time"

	"cinderroad/internal/shared/capacity"
)

// The ranks of runners for a request: the ordinary path first.
const (
	rankRoomHere = iota // room, in the own region
	rankRoomAway        // room, in another one: the nearest first
	rankNoRoom          // the one least over its ceiling
	rankFull            // turned a request away just now
	rankSetAside        // set aside, or suspect
	rankTried           // an attempt of this request went there
	rankNone     = 1 << 10
)

// Place says which runner takes a request, or refuses it. A choice is booked only by Sent.
func (p *Placer) Place(now time.Duration, r *Request) (Choice, *Rejection) {
	p.begin(now)
	s := p.services[r.Service]
	if s == nil || len(s.runners) == 0 {
		return Choice{}, &Rejection{RetryAfter: p.backoff(now, r, 0), Reason: "no runner of the service is known"}
	}
	if r.repeats() && !s.budget.allows(now, p.retryRules()) {
		return Choice{}, &Rejection{RetryAfter: p.backoff(now, r, 0), Reason: "the retry budget is spent"}
	}
	s.aim(r)
	p.freshen(now, s)
	s.urgency.note(now, r)
	d := p.demandOf(s, r)
	best, rank := p.pick(now, s, r, &d)
	if best == nil {
		return Choice{}, &Rejection{RetryAfter: p.backoff(now, r, 0), Reason: "no runner may take the request"}
	}
	if wait := p.waitAt(s, best); (rank >= rankNoRoom || s.urgency.yields(now, r)) && p.hopeless(now, s, r, wait) {
		s.urgency.refuse(now, r)
		return Choice{}, &Rejection{RetryAfter: p.backoff(now, r, wait), Reason: "all runners are over their ceilings"}
	}
	return Choice{Runner: best.ID, Address: best.Address, Priority: priority(s, r)}, nil
}

// priority is the order in which an engine lets requests in: by the route's rank, and long prompts after short ones. A
// long one that is read first makes many short ones late; one that comes after them loses the little that they take.
func priority(s *service, r *Request) int {
	if !s.isEngine() || r.Route == nil {
		return -1
	}
	order := rankFirst + rankStep*max(r.Route.Rank, 0)
	if float64(r.InputTokens) > longPrompt*s.unit() {
		order += longAfter
	}
	return min(lowest, order)
}

// pick is the ordinary path: the serving runner with most room, own region first, then the nearest; if none has room,
// the one least over its ceiling. For a prompt with shared parts, room counts more where those are kept.
func (p *Placer) pick(now time.Duration, s *service, r *Request, d *demand) (*runner, int) {
	var choice capacity.Selection[*runner]
	owners := p.ownersOf(now, s, r, d)
	shared := s.sharedCause()
	for _, w := range s.runners {
		if !p.may(now, r, w) {
			continue
		}
		offer := capacity.Candidate{Rank: p.rank(now, r, w, d, &owners, shared)}
		if offer.Rank == rankRoomAway {
			offer.Distance = p.distance(w)
		}
		offer.SpareCapacity = w.room + p.preference(s, w, d, &owners)
		choice.Add(w, offer, &p.random)
	}
	if !choice.Found {
		return nil, rankNone
	}
	return choice.Best, choice.Candidate.Rank
}

// rank orders runners for a request.
func (p *Placer) rank(now time.Duration, r *Request, w *runner, d *demand, o *owners, shared bool) int {
	switch {
	case r.tried(w):
		return rankTried
	case w.standing.IsEjected(now.Seconds()) || !shared && w.doubtful(now):
		return rankSetAside
	case w.doubtful(now):
		return rankNoRoom // so many are suspect at once that those left could not bear the load alone
	case now < w.fullUntil:
		return rankFull
	case w.room < 1 || w.tokens < d.need(o.keeps(w)):
		return rankNoRoom
	case w.Region != p.options.Region && !(o.wide && o.keeps(w)):
		return rankRoomAway
	}
	return rankRoomHere
}

// need is the memory that a request takes, in tokens.
func (d *demand) need(kept bool) float64 {
	if kept {
		return d.own + d.out
	}
	return d.own + d.shared + d.out
}

// preference is added to a runner's room: a little for the own zone, since bytes between zones are priced, and for the
// runner that keeps the shared parts what reading them again costs.
func (p *Placer) preference(s *service, w *runner, d *demand, o *owners) (slots float64) {
	if w.Zone == p.options.Zone {
		slots += math.Max(zoneLeast, zoneShare*w.size)
	}
	if d.chain == 0 {
		return slots
	}
	whole := math.Max(keptPrice*d.shared/s.unit(), keptLeast)
	return slots + whole*o.share(w, s, d.chain)
}

// distance counts in eighths of the tightest target: regions that differ by less share the spill.
func (p *Placer) distance(w *runner) float64 {
	return math.Floor(p.regions[w.place].far * 8 / p.target)
}

// may says whether the rules allow this send. Every pick asks it, the fallback and repeats included.
func (p *Placer) may(now time.Duration, r *Request, w *runner) bool {
	switch {
	case !w.here || w.Draining || p.evac[w.Zone]:
		return false
	case w.TerminatesAt > 0 && now+p.expectedEnd(w, r) > w.TerminatesAt:
		return false
	case !isHome(r, w) || !w.serves(r.Model):
		return false
	case w.service.isEngine() && r.InputTokens+r.MaxOutputTokens > w.service.Backend.CacheTokens:
		return false
	case w.ownJobs >= p.connections(w):
		return false
	case w.isCold(now) && !p.coldRoom(now, w):
		return false
	}
	return true
}

// isHome says whether a runner stands in one of the regions that the route is bound to.
func isHome(r *Request, w *runner) bool {
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

// serves says whether a runner has a model; one that tells none has all.
func (w *runner) serves(model string) bool {
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

// connections is this proxy's share of the connections that a runner takes.
func (p *Placer) connections(w *runner) int {
	if w.service.MaxConnections <= 0 {
		return math.MaxInt
	}
	return max(1, int(connsShare*float64(w.service.MaxConnections)/(1+p.others())))
}

// expectedEnd is how long a request is likely to take at most.
func (p *Placer) expectedEnd(w *runner, r *Request) time.Duration {
	if r.Route == nil {
		return 0
	}
	stats := p.route(r.Route)
	return time.Duration((stats.took + 2*stats.spread + w.wait) * float64(time.Second))
}

// tried says whether an attempt of the request went to the runner.
func (r *Request) tried(w *runner) bool {
	for _, id := range r.TriedRunners {
		if id == w.ID {
			return true
		}
	}
	return false
}

// repeats says whether another attempt of the request would arrive after one that may have arrived.
func (r *Request) repeats() bool { return len(r.TriedRunners) > r.connectFailures }

// waitAt is how long a request would wait at a runner before its prompt is read, or its slot is free; seconds.
func (p *Placer) waitAt(s *service, w *runner) float64 {
	if s.isEngine() {
		return math.Max(w.wait, w.util*lateShare*s.target)
	}
	return math.Max(w.wait, (w.load-w.size)/w.size*s.took)
}

// hopeless says that even the best runner would answer too late, while the runners have hardly a place left.
func (p *Placer) hopeless(now time.Duration, s *service, r *Request, wait float64) bool {
	if wait <= s.urgency.bearable(now, r) {
		return false
	}
	taken, places := 0.0, 0.0
	for _, w := range s.runners {
		if p.may(now, r, w) {
			taken, places = taken+math.Min(w.taken, w.size), places+w.size
		}
	}
	return taken >= busyShare*places
}

// backoff is when a refused client should come back: once the wait has gone down to what is bearable.
func (p *Placer) backoff(now time.Duration, r *Request, wait float64) time.Duration {
	left := r.Deadline - now
	bearable := time.Duration(waitedShare * float64(left))
	after := time.Duration(wait*float64(time.Second)) - bearable
	after = max(after, leastBackoff, planPeriod)
	return min(after, mostBackoff, max(left/4, leastBackoff))
}
