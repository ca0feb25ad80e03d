package placement

import (
	"math"
	"time"

	"cinderroad/internal/shared/capacity"
)

// Shared parts of prompts are read once and kept by the runner that read them, as long as all parts before are kept, too.
// Which runner that should be is drawn from the chain of parts and the runners' ids alone (rendezvous hashing), so all
// proxies send a chain to the same runner of a region without a word between them.

// chainOf is the hash of a prompt's shared parts in their order: all but the last, which is the request's own or its
// session's. A prompt of a single part is its own chain. 0: there are no parts.
func chainOf(parts []Chunk) uint64 {
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

// lastShared is the length of the last of a prompt's shared parts, in tokens.
func lastShared(parts []Chunk) float64 {
	if len(parts) < 2 {
		return 0
	}
	return float64(parts[len(parts)-2].Tokens)
}

// owners are the runners that a chain belongs to: in each region, or one for all of them.
type owners struct {
	regions [mostRegions]regionOwners
	all     regionOwners // over all regions
	wide    bool         // the chain has one owner for all regions
}

// regionOwners are the runners that a chain belongs to: the first, and the second if that is full.
type regionOwners struct {
	first, second *runner
	highest, next uint64 // their draws
}

// ownersOf draws the owners of a request's chain among the warm serving runners. It goes by what all proxies are told,
// not by this proxy's own opinion of a runner: else each would send the chain somewhere else.
func (p *Placer) ownersOf(now time.Duration, s *service, r *Request, d *demand) (o owners) {
	if d.chain == 0 {
		return o
	}
	o.wide = p.isWide(r, d)
	for _, w := range s.runners {
		if w.Draining || w.TerminatesAt > 0 || now < w.SlowStartUntil || p.evac[w.Zone] || !isHome(r, w) || !w.serves(r.Model) {
			continue
		}
		draw := capacity.Hash(d.chain ^ w.key)
		o.regions[w.place%mostRegions].add(w, draw)
		if o.wide {
			o.all.add(w, draw)
		}
	}
	return o
}

// isWide says whether a chain has one owner for all regions: the few prompts that a region is likely to send while the
// parts are kept cost less on their way to another region than reading the chain's last part there, too. The first parts
// are shared by more chains and are likely to be read anyway. How often a chain comes is guessed from how many requests
// of the route repeat one that this proxy has lately sent, since each proxy sees few of a chain.
func (p *Placer) isWide(r *Request, d *demand) bool {
	if r.Route == nil || r.BodyBytes <= 0 || len(p.regions) < 2 {
		return false
	}
	own := -math.Log(1 - math.Min(p.route(r.Route).again, mostAgain))
	uses := own * math.Max(float64(p.proxies)/float64(len(p.regions)), 1)
	return uses*float64(r.BodyBytes) < farBytes*d.last
}

// add keeps the two runners with the highest draws.
func (o *regionOwners) add(w *runner, draw uint64) {
	switch {
	case o.first == nil || draw > o.highest:
		o.second, o.next = o.first, o.highest
		o.first, o.highest = w, draw
	case o.second == nil || draw > o.next:
		o.second, o.next = w, draw
	}
}

// keeps says whether a runner is taken to keep the chain.
func (o *owners) keeps(w *runner) bool {
	if o.wide {
		return o.all.first == w
	}
	return o.regions[w.place%mostRegions].first == w
}

// isNext says whether a runner comes after the owner: of those in its region.
func (o *owners) isNext(w *runner) bool {
	region := &o.regions[w.place%mostRegions]
	if o.wide && o.all.first != region.first {
		return region.first == w
	}
	return region.second == w
}

// share is the part of the chain's price that is saved at a runner.
func (o *owners) share(w *runner, s *service, chain uint64) float64 {
	switch {
	case o.keeps(w):
		return 1
	case s.kept.has(chain, w.key):
		return keptLately
	case o.isNext(w):
		return keptNext
	}
	return 0
}

// anyRunner is the key under which keptMemory notes that a chain was sent at all.
const anyRunner = 0

// keptMemory remembers which chains this proxy has lately sent to which runners. An entry has a choice of two places and
// takes that of the older one.
type keptMemory struct {
	entries []keptEntry
	now     time.Duration
}

type keptEntry struct {
	chain, runner uint64
	at            time.Duration
}

// slot is the entry of a chain and a runner, or the one whose place it would take.
func (k *keptMemory) slot(chain, runner uint64) *keptEntry {
	at := 2 * (capacity.Hash(chain^runner) % uint64(len(k.entries)/2))
	first, second := &k.entries[at], &k.entries[at+1]
	if second.is(chain, runner) || !first.is(chain, runner) && second.at < first.at {
		return second
	}
	return first
}

func (e *keptEntry) is(chain, runner uint64) bool { return e.chain == chain && e.runner == runner }

// has says whether the chain was sent to the runner within keptSpan.
func (k *keptMemory) has(chain, runner uint64) bool {
	if len(k.entries) == 0 {
		return false
	}
	e := k.slot(chain, runner)
	return e.is(chain, runner) && k.now-e.at < keptSpan
}

// note remembers a send.
func (k *keptMemory) note(now time.Duration, chain, runner uint64) {
	if k.entries == nil {
		k.entries = make([]keptEntry, keptEntries)
	}
	k.now = now
	*k.slot(chain, runner) = keptEntry{chain, runner, now}
}
