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
func prefixHash(parts []Chunk) uint64 {
	if len(parts) == 0 {
		return 0
	}
	last := max(len(parts)-1, 1)
	chain := uint64(0x9e3779b97f4a7c15)
	for _, part := range parts[:last] {
		chain = capacity.Hash(chain ^ capacity.Hash(part.ID))
	}
	return max(chain, 1)
}

// lastSharedTokens is the length of the last of a prompt's shared parts, in tokens.
func lastSharedTokens(parts []Chunk) float64 {
	if len(parts) < 2 {
		return 0
	}
	return float64(parts[len(parts)-2].Tokens)
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
func (p *Placer) ownersOf(now time.Duration, s *serviceState, r *Request, d *tokenDemand) (o prefixOwners) {
	if d.prefix == 0 {
		return o
	}
	o.global = p.isGlobal(r, d)
	for _, w := range s.runners {
		if w.Draining || w.TerminatesAt > 0 || now < w.SlowStartUntil || p.evacuated[w.Zone] || !inHomeRegion(r, w) || !w.servesModel(r.Model) {
			continue
		}
		draw := capacity.Hash(d.prefix ^ w.key)
		o.regions[w.regionIndex%maxRegions].consider(w, draw)
		if o.global {
			o.all.consider(w, draw)
		}
	}
	return o
}

// isGlobal says whether a chain has one owner for all regions: the few prompts that a region is likely to send while the
// parts are kept cost less on their way to another region than reading the chain's last part there, too. The first parts
// are shared by more chains and are likely to be read anyway. How often a chain comes is guessed from how many requests
// of the route repeat one that this proxy has lately sent, since each proxy sees few of a chain.
func (p *Placer) isGlobal(r *Request, d *tokenDemand) bool {
	if r.Route == nil || r.BodyBytes <= 0 || len(p.regions) < 2 {
		return false
	}
	own := -math.Log(1 - math.Min(p.statsOf(r.Route).prefixReuse, maxReuse))
	uses := own * math.Max(float64(p.proxyCount)/float64(len(p.regions)), 1)
	return uses*float64(r.BodyBytes) < bytesPerToken*d.lastSharedTokens
}

// consider keeps the two runners with the highest draws.
func (o *regionOwners) consider(w *runnerState, draw uint64) {
	switch {
	case o.first == nil || draw > o.firstScore:
		o.second, o.secondScore = o.first, o.firstScore
		o.first, o.firstScore = w, draw
	case o.second == nil || draw > o.secondScore:
		o.second, o.secondScore = w, draw
	}
}

// isOwner says whether a runner is taken to keep the chain.
func (o *prefixOwners) isOwner(w *runnerState) bool {
	if o.global {
		return o.all.first == w
	}
	return o.regions[w.regionIndex%maxRegions].first == w
}

// isSecondary says whether a runner comes after the owner: of those in its region.
func (o *prefixOwners) isSecondary(w *runnerState) bool {
	region := &o.regions[w.regionIndex%maxRegions]
	if o.global && o.all.first != region.first {
		return region.first == w
	}
	return region.second == w
}

// cachedShare is the part of the chain's price that is saved at a runner.
func (o *prefixOwners) cachedShare(w *runnerState, s *serviceState, chain uint64) float64 {
	switch {
	case o.isOwner(w):
		return 1
	case s.prefixHistory.sentRecently(chain, w.key):
		return recentPrefixShare
	case o.isSecondary(w):
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
func (k *prefixHistory) find(chain, runner uint64) *prefixRecord {
	at := 2 * (capacity.Hash(chain^runner) % uint64(len(k.entries)/2))
	first, second := &k.entries[at], &k.entries[at+1]
	if second.matches(chain, runner) || !first.matches(chain, runner) && second.sentAt < first.sentAt {
		return second
	}
	return first
}

func (e *prefixRecord) matches(chain, runner uint64) bool {
	return e.prefix == chain && e.runner == runner
}

// sentRecently says whether the chain was sent to the runner within prefixHistorySpan.
func (k *prefixHistory) sentRecently(chain, runner uint64) bool {
	if len(k.entries) == 0 {
		return false
	}
	e := k.find(chain, runner)
	return e.matches(chain, runner) && k.updatedAt-e.sentAt < prefixHistorySpan
}

// record remembers a send.
func (k *prefixHistory) record(now time.Duration, chain, runner uint64) {
	if k.entries == nil {
		k.entries = make([]prefixRecord, prefixHistorySize)
	}
	k.updatedAt = now
	*k.find(chain, runner) = prefixRecord{chain, runner, now}
}
