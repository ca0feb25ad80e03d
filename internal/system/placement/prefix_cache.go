package placement

import (
	"math"
	"time"

	"cinderroad/internal/shared/capacity"
)

// This file decides which runner caches a prefix. The shared chunks of prompts are prefilled once and cached by the runner
// that did, as long as all chunks before them are cached, too. The owner of a prefix is drawn from the prefix and the
// runners' ids alone (rendezvous hashing), so all proxies send a prefix to the same runner of a region without messages.

// The prefix cache. For "tried" and "kept" see the package comment.
const (
	prefixPrice          = 4.0              // weight of prefilling a prefix again relative to its time, since it is priced; tried
	minPrefixPreference  = 0.5              // slots by which the owner of a prefix is preferred at least; tried
	recentPrefixShare    = 0.75             // share of the owner's preference for a runner that this proxy recently sent it to; kept
	secondaryPrefixShare = 0.5              // and for the secondary owner; kept
	prefixHistorySpan    = 30 * time.Second // how long a prefix is assumed to stay cached
	prefixHistorySize    = 1024             // entries for each service, an even number
	maxRegions           = 16               // regions with prefix owners of their own; further ones share the owners of others
	reuseLearningRate    = 0.05             // weight of a request in routeStats.prefixReuse
	maxReuse             = 0.98             // upper bound of the reuse that is planned with: at most four uses by each proxy

	// bytesPerToken is how many bytes between regions cost as much as prefilling a token. 15 to 23 were measured for earlier
	// deployments, 13 for those of docs/decisions.md; 0, 9 and 30 were tried and earned the same.
	bytesPerToken = 18.0
)

// prefixHashSeed is the hash of no chunks.
const prefixHashSeed = 0x9e3779b97f4a7c15

// prefixHash is the hash of a prompt's shared chunks in their order: all but the last, which belongs to the request or its
// session. A prompt of a single chunk is its own prefix. 0: there are no chunks.
func prefixHash(chunks []Chunk) uint64 {
	if len(chunks) == 0 {
		return 0
	}
	last := max(len(chunks)-1, 1)
	prefix := uint64(prefixHashSeed)
	for _, chunk := range chunks[:last] {
		prefix = capacity.Hash(prefix ^ capacity.Hash(chunk.ID))
	}
	return max(prefix, 1)
}

// lastSharedTokens is the length of the last shared chunk, in tokens.
func lastSharedTokens(chunks []Chunk) float64 {
	if len(chunks) < 2 {
		return 0
	}
	return float64(chunks[len(chunks)-2].Tokens)
}

// prefixOwners are the owners of a prefix: one in each region, or one for all regions.
type prefixOwners struct {
	regions [maxRegions]regionOwners
	all     regionOwners // over all regions
	global  bool         // the prefix has one owner for all regions
}

// regionOwners are the owner of a prefix in a region and the secondary owner, which takes over when the first is full.
type regionOwners struct {
	first       *runnerState
	second      *runnerState
	firstScore  uint64 // rendezvous score of first
	secondScore uint64 // rendezvous score of second
}

// ownersOf draws the owners of a request's prefix among the serving runners that are not in slow start. It uses only what
// all proxies know, not this proxy's own observations: else each proxy would choose another owner.
func (p *Placer) ownersOf(now time.Duration, service *serviceState, request *Request,
	demand *tokenDemand) (owners prefixOwners) {
	if demand.prefix == 0 {
		return owners
	}
	owners.global = p.isGlobal(request, demand)
	for _, runner := range service.runners {
		if !p.mayOwnPrefix(now, request, runner) {
			continue
		}
		score := capacity.Hash(demand.prefix ^ runner.key)
		owners.regions[runner.regionIndex%maxRegions].consider(runner, score)
		if owners.global {
			owners.all.consider(runner, score)
		}
	}
	return owners
}

// mayOwnPrefix reports whether a runner may own the request's prefix.
func (p *Placer) mayOwnPrefix(now time.Duration, request *Request, runner *runnerState) bool {
	stays := !runner.Draining && runner.TerminatesAt <= 0 && !p.evacuated[runner.Zone]
	return stays && now >= runner.SlowStartUntil && inHomeRegion(request, runner) && runner.servesModel(request.Model)
}

// isGlobal reports whether a prefix has one owner for all regions. It has one if the bytes of the few prompts that a
// region is likely to send to the owner while the prefix is cached cost less than prefilling its last shared chunk in
// that region, too. Earlier chunks don't count: more prefixes share them, so they are likely to be prefilled anyway. How
// often a prefix comes is estimated from the share of the route's requests whose prefix this proxy sent recently, since
// each proxy sees few of them: if a proxy sends a prefix u times in prefixHistorySpan on average, at random times, the share
// that comes again is 1 - exp(-u).
func (p *Placer) isGlobal(request *Request, demand *tokenDemand) bool {
	if request.Route == nil || request.BodyBytes <= 0 || len(p.regions) < 2 {
		return false
	}
	perProxy := -math.Log(1 - math.Min(p.statsOf(request.Route).prefixReuse, maxReuse))
	uses := perProxy * math.Max(float64(p.proxyCount)/float64(len(p.regions)), 1)
	return uses*float64(request.BodyBytes) < bytesPerToken*demand.lastSharedTokens
}

// consider keeps the two runners with the highest scores.
func (o *regionOwners) consider(runner *runnerState, score uint64) {
	switch {
	case o.first == nil || score > o.firstScore:
		o.second, o.secondScore = o.first, o.firstScore
		o.first, o.firstScore = runner, score
	case o.second == nil || score > o.secondScore:
		o.second, o.secondScore = runner, score
	}
}

// isOwner reports whether a runner is assumed to have the prefix cached.
func (o *prefixOwners) isOwner(runner *runnerState) bool {
	if o.global {
		return o.all.first == runner
	}
	return o.regions[runner.regionIndex%maxRegions].first == runner
}

// isSecondary reports whether a runner comes next after the owner in its region.
func (o *prefixOwners) isSecondary(runner *runnerState) bool {
	region := &o.regions[runner.regionIndex%maxRegions]
	if o.global && o.all.first != region.first {
		return region.first == runner
	}
	return region.second == runner
}

// cachedShare is the share of the prefix's price that is saved at a runner.
func (o *prefixOwners) cachedShare(runner *runnerState, service *serviceState, prefix uint64) float64 {
	switch {
	case o.isOwner(runner):
		return 1
	case service.prefixHistory.sentRecently(prefix, runner.key):
		return recentPrefixShare
	case o.isSecondary(runner):
		return secondaryPrefixShare
	}
	return 0
}

// anyRunner is the key under which prefixHistory records that a prefix was sent at all.
const anyRunner = 0

// prefixHistory remembers which prefixes this proxy sent recently to which runners. It is a two-way associative table: a
// record has two slots and replaces the older one.
type prefixHistory struct {
	entries   []prefixRecord
	updatedAt time.Duration
}

// prefixRecord is one send.
type prefixRecord struct {
	prefix uint64 // its hash
	runner uint64 // runnerState.key, or anyRunner
	sentAt time.Duration
}

// find returns the record of a prefix and a runner, or the one that it would replace.
func (h *prefixHistory) find(prefix, runner uint64) *prefixRecord {
	at := 2 * (capacity.Hash(prefix^runner) % uint64(len(h.entries)/2))
	first, second := &h.entries[at], &h.entries[at+1]
	if second.matches(prefix, runner) || !first.matches(prefix, runner) && second.sentAt < first.sentAt {
		return second
	}
	return first
}

func (r *prefixRecord) matches(prefix, runner uint64) bool {
	return r.prefix == prefix && r.runner == runner
}

// sentRecently reports whether the prefix was sent to the runner within prefixHistorySpan.
func (h *prefixHistory) sentRecently(prefix, runner uint64) bool {
	if len(h.entries) == 0 {
		return false
	}
	record := h.find(prefix, runner)
	return record.matches(prefix, runner) && h.updatedAt-record.sentAt < prefixHistorySpan
}

// record records a send.
func (h *prefixHistory) record(now time.Duration, prefix, runner uint64) {
	if h.entries == nil {
		h.entries = make([]prefixRecord, prefixHistorySize)
	}
	h.updatedAt = now
	*h.find(prefix, runner) = prefixRecord{prefix, runner, now}
}

// recordPrefix records where a prefix was sent, and how often prefixes of the route come again.
func (p *Placer) recordPrefix(now time.Duration, service *serviceState, request *Request, demand *tokenDemand,
	runner *runnerState) {
	if demand.prefix == 0 {
		return
	}
	service.prefixHistory.record(now, demand.prefix, runner.key)
	if request.isRetry() {
		return
	}
	seen := 0.0
	if service.prefixHistory.sentRecently(demand.prefix, anyRunner) {
		seen = 1
	}
	capacity.UpdateMean(&p.statsOf(request.Route).prefixReuse, seen, reuseLearningRate)
	service.prefixHistory.record(now, demand.prefix, anyRunner)
}
