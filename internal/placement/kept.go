package placement

import (
	"time"

	"cinderroad/internal/capacity"
)

// Shared parts of prompts are read once and kept by the runner that read them, as long as all parts before are kept, too.
// Which runner that should be is drawn from the chain of parts and the runners' ids alone (rendezvous hashing), so all
// proxies send a chain to the same runner of a region without a word between them.

// chainOf is the hash of a prompt's shared parts in their order: all but the last, which is the request's own or its
// session's. A prompt of a single part is its own chain. 0: there are no parts.
func chainOf(parts []Part) uint64 {
	if len(parts) == 0 {
		return 0
	}
	last := max(len(parts)-1, 1)
	chain := uint64(0x9e3779b97f4a7c15)
	for _, part := range parts[:last] {
		chain = capacity.Scatter(chain ^ capacity.Scatter(part.ID))
	}
	return max(chain, 1)
}

// owners are the runners that a chain belongs to: in the own region, or else in the nearest that may serve.
type owners struct {
	first, second *runner // in the own region, or in that of the request's homes
	away, awayTwo *runner // among all others
}

// ownersOf draws the owners of a request's chain among the warm serving runners. It goes by what all proxies are told,
// not by this proxy's own opinion of a runner: else each would send the chain somewhere else.
func (p *Placer) ownersOf(now time.Duration, s *service, r *Request, d *demand) (o owners) {
	if d.chain == 0 {
		return o
	}
	var draws [4]uint64
	for _, w := range s.runners {
		if w.Draining || w.GoneAt > 0 || now < w.ColdUntil || p.evac[w.Zone] || !isHome(r, w) || !w.serves(r.Model) {
			continue
		}
		draw := capacity.Scatter(d.chain ^ w.key)
		if w.Region == p.options.Region {
			place(&o.first, &o.second, &draws[0], &draws[1], w, draw)
		} else {
			place(&o.away, &o.awayTwo, &draws[2], &draws[3], w, draw)
		}
	}
	return o
}

// place keeps the two runners with the highest draws.
func place(first, second **runner, highest, next *uint64, w *runner, draw uint64) {
	switch {
	case *first == nil || draw > *highest:
		*second, *next = *first, *highest
		*first, *highest = w, draw
	case *second == nil || draw > *next:
		*second, *next = w, draw
	}
}

// keeps says whether a runner is taken to keep the chain.
func (o *owners) keeps(w *runner) bool { return w == o.first || w == o.away }

// share is the part of the chain's price that is saved at a runner.
func (o *owners) share(w *runner, s *service, chain uint64) float64 {
	switch {
	case w == o.first || w == o.away:
		return 1
	case s.kept.has(chain, w.key):
		return 0.75
	case w == o.second || w == o.awayTwo:
		return 0.5
	}
	return 0
}

// keptMemory remembers which chains this proxy has lately sent to which runners. It is direct-mapped: a newer entry
// takes the place of an older one.
type keptMemory struct {
	entries []keptEntry
	now     time.Duration
}

type keptEntry struct {
	chain, runner uint64
	at            time.Duration
}

func (k *keptMemory) slot(chain, runner uint64) *keptEntry {
	return &k.entries[capacity.Scatter(chain^runner)%uint64(len(k.entries))]
}

// has says whether the chain was sent to the runner within keptSpan.
func (k *keptMemory) has(chain, runner uint64) bool {
	if len(k.entries) == 0 {
		return false
	}
	e := k.slot(chain, runner)
	return e.chain == chain && e.runner == runner && k.now-e.at < keptSpan
}

// note remembers a send.
func (k *keptMemory) note(now time.Duration, chain, runner uint64) {
	if chain == 0 {
		return
	}
	if k.entries == nil {
		k.entries = make([]keptEntry, keptEntries)
	}
	k.now = now
	*k.slot(chain, runner) = keptEntry{chain, runner, now}
}
