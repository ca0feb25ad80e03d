package placement

import (
	"math"
	"time"

	"cinderroad/internal/shared/capacity"
)

// Shared parts of prompts are read once and kept by the runner that read them, as long as all parts before are kept, too.
// Which runner that should be is drawn from the chain of parts and the runners' ids alone (rendezvous hashing), so all
// proxies send a chain to the same runner of a region without a word between them.

// prefixHash is the hash of a prompt's shared parts in their order: all but the last, which is the request's own or its
// session's. A prompt of a single part is its own chain. 0: there are no parts.
func prefixHash(chunks []Chunk) uint64 {
	if len(chunks) == 0 {
		return 0
	}
	last := max(len(chunks)-1, 1)
	chain := uint64(0x9e3779b97f4a7c15)
	for _, chunk := range chunks[:last] {
		chain = capacity.Hash(chain ^ capacity.Hash(chunk.ID))
	}
	return max(chain, 1)
}

// lastSharedTokens is the length of the last of a prompt's shared parts, in tokens.
func lastSharedTokens(chunks []Chunk) float64 {
	if len(chunks) < 2 {
		return 0
	}
	return float64(chunks[len(chunks)-2].Tokens)
}

// prefixOwners are the runners that a chain belongs to: in each region, or one for all of them.
type prefixOwners struct {
	regions [maxRegions]regionOwners
	all     regionOwners // over all regions
	global  bool         // the chain has one owner for all regions
}

// regionOwners are the runners that a chain belongs to: the first, and the second if that is full.
type regionOwners struct {
	first, second           *runnerState
	firstScore, secondScore uint64 // their draws
}

// ownersOf draws the owners of a request's chain among the warm serving runners. It goes by what all proxies are told,
// not by this proxy's own opinion of a runner: else each would send the chain somewhere else.
func (p *Placer) ownersOf(now time.Duration, service *serviceState, request *Request, demand *tokenDemand) (owners prefixOwners) {
	if demand.prefix == 0 {
		return owners
	}
	owners.global = p.isGlobal(request, demand)
	for _, runner := range service.runners {
		if runner.Draining || runner.TerminatesAt > 0 || now < runner.SlowStartUntil || p.evacuated[runner.Zone] || !inHomeRegion(request, runner) || !runner.servesModel(request.Model) {
			continue
		}
		draw := capacity.Hash(demand.prefix ^ runner.key)
		owners.regions[runner.regionIndex%maxRegions].consider(runner, draw)
		if owners.global {
			owners.all.consider(runner, draw)
		}
	}
	return owners
}

// isGlobal says whether a chain has one owner for all regions: the few prompts that a region is likely to send while the
// parts are kept cost less on their way to another region than reading the chain's last part there, too. The first parts
// are shared by more chains and are likely to be read anyway. How often a chain comes is guessed from how many requests
// of the route repeat one that this proxy has lately sent, since each proxy sees few of a chain.
func (p *Placer) isGlobal(request *Request, demand *tokenDemand) bool {
	if request.Route == nil || request.BodyBytes <= 0 || len(p.regions) < 2 {
		return false
	}
	own := -math.Log(1 - math.Min(p.statsOf(request.Route).prefixReuse, maxReuse))
	uses := own * math.Max(float64(p.proxyCount)/float64(len(p.regions)), 1)
	return uses*float64(request.BodyBytes) < bytesPerToken*demand.lastSharedTokens
}

// consider keeps the two runners with the highest draws.
func (o *regionOwners) consider(runner *runnerState, score uint64) {
	switch {
	case o.first == nil || score > o.firstScore:
		o.second, o.secondScore = o.first, o.firstScore
		o.first, o.firstScore = runner, score
	case o.second == nil || score > o.secondScore:
		o.second, o.secondScore = runner, score
	}
}

// isOwner says whether a runner is taken to keep the chain.
func (o *prefixOwners) isOwner(runner *runnerState) bool {
	if o.global {
		return o.all.first == runner
	}
	return o.regions[runner.regionIndex%maxRegions].first == runner
}

// isSecondary says whether a runner comes after the owner: of those in its region.
func (o *prefixOwners) isSecondary(runner *runnerState) bool {
	region := &o.regions[runner.regionIndex%maxRegions]
	if o.global && o.all.first != region.first {
		return region.first == runner
	}
	return region.second == runner
}

// cachedShare is the part of the chain's price that is saved at a runner.
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

// anyRunner is the key under which prefixHistory notes that a chain was sent at all.
const anyRunner = 0

// prefixHistory remembers which chains this proxy has lately sent to which runners. An entry has a choice of two places and
// takes that of the older one.
type prefixHistory struct {
	entries   []prefixRecord
	updatedAt time.Duration
}

type prefixRecord struct {
	prefix, runner uint64
	sentAt         time.Duration
}

// find is the entry of a chain and a runner, or the one whose place it would take.
func (k *prefixHistory) find(prefix, runner uint64) *prefixRecord {
	at := 2 * (capacity.Hash(prefix^runner) % uint64(len(k.entries)/2))
	first, second := &k.entries[at], &k.entries[at+1]
	if second.matches(prefix, runner) || !first.matches(prefix, runner) && second.sentAt < first.sentAt {
		return second
	}
	return first
}

func (e *prefixRecord) matches(prefix, runner uint64) bool {
	return e.prefix == prefix && e.runner == runner
}

// sentRecently says whether the chain was sent to the runner within prefixHistorySpan.
func (k *prefixHistory) sentRecently(prefix, runner uint64) bool {
	if len(k.entries) == 0 {
		return false
	}
	e := k.find(prefix, runner)
	return e.matches(prefix, runner) && k.updatedAt-e.sentAt < prefixHistorySpan
}

// record remembers a send.
func (k *prefixHistory) record(now time.Duration, prefix, runner uint64) {
	if k.entries == nil {
		k.entries = make([]prefixRecord, prefixHistorySize)
	}
	k.updatedAt = now
	*k.find(prefix, runner) = prefixRecord{prefix, runner, now}
}
