package auditlog

import (
	"cmp"
	"slices"
	"sort"
)

// listEpoch is an epoch of a source's lists. Versions of one epoch compare.
type listEpoch struct {
	source string
	number uint64
}

// interval is a time interval. to is +Inf if it has no end.
type interval struct{ from, to float64 }

// transition is a change of state at an entry.
type transition struct {
	entry   uint64
	at      float64
	blocked bool // no new work from this entry on
}

// progress is a version reached at an entry.
type progress struct {
	at       float64
	epoch    listEpoch
	revision int64 // all up to it is known, from the own list or from peers
	byPeer   bool  // from peers
	entry    uint64
}

// timeline is what one run of a dispatcher's process recorded, in order. Times are corrected by correctClock, except
// those of entries and transitions.
type timeline struct {
	dispatcher, generation string
	entries                []*Entry
	first                  float64
	last                   float64 // time of its last entry or answer
	ended                  bool
	gaps                   []gap
	blocked                map[string][]transition // workers that get no new work, by the own list and peers' facts
	outOfService           []transition            // no attempt may be made: the lease is out, or nothing was confirmed since a pause
	pauses                 []interval
	discoverySilences      []interval
	progress               []progress
	newerKnown             []progress // versions known to exist, before their facts were known
	drains                 map[string][]progress
	lostLines              uint64
	clockLead              float64 // seconds that its clock is ahead of the reference
}

// gap is a run of missing entries.
type gap struct {
	from, to uint64   // numbers of the first and the last missing entry
	interval interval // the time between the entries around
}

// replayState is what a dispatcher knows of workers during the replay.
type replayState struct {
	list      map[string]string // by the own list
	peerFacts map[string]Worker // by peers
	epoch     listEpoch
	revision  int64
	blocked   map[string]bool
}

// replay derives the timeline from its entries.
func (t *timeline) replay() {
	slices.SortFunc(t.entries, func(x, y *Entry) int { return cmp.Compare(x.Number, y.Number) })
	t.entries = slices.CompactFunc(t.entries, func(x, y *Entry) bool { return x.Number == y.Number }) // a file may be given twice
	t.blocked, t.drains = map[string][]transition{}, map[string][]progress{}
	t.first, t.last = t.entries[0].Time, max(t.last, t.entries[len(t.entries)-1].Time)
	next := uint64(1)
	before := t.first
	state := replayState{list: map[string]string{}, peerFacts: map[string]Worker{}, blocked: map[string]bool{}}
	leaseOut, paused := false, false
	for _, entry := range t.entries {
		if entry.Number != next {
			t.gaps = append(t.gaps, gap{from: next, to: entry.Number - 1, interval: interval{before, entry.Time}})
		}
		next, before = entry.Number+1, entry.Time
		t.lostLines = max(t.lostLines, entry.LostLines)
		wasOut := leaseOut || paused
		switch entry.Kind {
		case ListApplied, FactsReceived, FactsDoubted, CaughtUp:
			state.apply(entry)
			t.recordChanges(entry, &state)
		case NewerKnown:
			t.newerKnown = append(t.newerKnown, progress{at: entry.Time,
				epoch: listEpoch{entry.Source, entry.Epoch}, revision: entry.Revision, entry: entry.Number})
		case DiscoverySilent:
			t.discoverySilences = append(t.discoverySilences, interval{entry.Time - entry.LateSeconds, inf})
		case DiscoveryResumed:
			if k := len(t.discoverySilences); k > 0 {
				t.discoverySilences[k-1].to = entry.Time
			}
		case LeaseChanged:
			leaseOut = entry.Out
		case Paused:
			t.pauses = append(t.pauses, interval{entry.Time - entry.LateSeconds, inf})
			paused = true
		case Resumed:
			if k := len(t.pauses); k > 0 {
				t.pauses[k-1].to = entry.Time
			}
			paused = false
		case Ended:
			t.ended = true
		}
		if out := leaseOut || paused; out != wasOut {
			t.outOfService = append(t.outOfService, transition{entry: entry.Number, at: entry.Time, blocked: out})
		}
	}
}

// apply applies an entry.
func (s *replayState) apply(entry *Entry) {
	switch entry.Kind {
	case ListApplied:
		if is := (listEpoch{entry.Source, entry.Epoch}); is != s.epoch || entry.Revision < s.revision {
			s.epoch = is
			clear(s.peerFacts)
		}
		s.revision = entry.Revision
		for _, worker := range entry.Workers {
			s.list[worker.Name] = worker.State
		}
		for name, worker := range s.peerFacts {
			if worker.Revision <= s.revision {
				delete(s.peerFacts, name)
			}
		}
	case FactsReceived:
		if s.epoch != (listEpoch{entry.Source, entry.Epoch}) {
			return
		}
		for _, worker := range entry.Workers {
			if was, had := s.peerFacts[worker.Name]; worker.Revision > s.revision && (!had || worker.Revision >= was.Revision) {
				s.peerFacts[worker.Name] = worker
			}
		}
	case FactsDoubted:
		for _, worker := range entry.Workers {
			delete(s.peerFacts, worker.Name)
		}
	}
}

// isBlocked reports whether a worker gets no new work.
func (s *replayState) isBlocked(name string) bool {
	own, fact := s.list[name], s.peerFacts[name]
	return own == "draining" || own == "gone" || fact.Revision > s.revision && (fact.State == "draining" || fact.State == "gone")
}

// recordChanges records what an entry changed.
func (t *timeline) recordChanges(entry *Entry, state *replayState) {
	names := map[string]bool{}
	for name := range state.blocked {
		names[name] = true
	}
	for _, w := range entry.Workers {
		names[w.Name] = true
		if w.State != "ready" && entry.Kind != FactsDoubted {
			rev := cmp.Or(w.Revision, entry.Revision)
			t.drains[w.Name] = append(t.drains[w.Name], progress{at: entry.Time, epoch: listEpoch{entry.Source, entry.Epoch}, revision: rev, byPeer: entry.Kind == FactsReceived, entry: entry.Number})
		}
	}
	for name := range names {
		if off := state.isBlocked(name); off != state.blocked[name] {
			t.blocked[name] = append(t.blocked[name], transition{entry.Number, entry.Time, off})
			if state.blocked[name] = off; !off {
				delete(state.blocked, name)
			}
		}
	}
	if entry.Kind == ListApplied && !entry.Cached || entry.Kind == CaughtUp {
		t.progress = append(t.progress, progress{at: entry.Time, epoch: listEpoch{entry.Source, entry.Epoch}, revision: entry.Revision, byPeer: entry.Kind == CaughtUp, entry: entry.Number})
	}
}

// transitionAt returns the transition in force at a mark, and since when; false before the first.
func transitionAt(transitions []transition, mark uint64) (since float64, off bool) {
	i := sort.Search(len(transitions), func(i int) bool { return transitions[i].entry > mark })
	if i == 0 {
		return 0, false
	}
	return transitions[i-1].at, transitions[i-1].blocked
}

// reached returns when a revision of an epoch was known here.
func (t *timeline) reached(epoch listEpoch, revision int64) (r progress, ok bool) {
	for _, r := range t.progress {
		if r.epoch == epoch && r.revision >= revision {
			return r, true
		}
	}
	return progress{}, false
}

// drainedAt returns when this timeline first had a worker get no new work since a revision. A worker's fact may be
// known before the revision is complete.
func (t *timeline) drainedAt(epoch listEpoch, worker string, revision int64) (r progress, ok bool) {
	r, ok = t.reached(epoch, revision)
	for _, d := range t.drains[worker] {
		if d.epoch == epoch && d.revision >= revision && (!ok || d.at < r.at) {
			return d, true
		}
	}
	return r, ok
}

// inGap reports whether an entry may be missing in a time.
func (t *timeline) inGap(from, to float64) bool {
	return slices.ContainsFunc(t.gaps, func(h gap) bool { return overlap(h.interval, from, to) >= 0 })
}

// overlap returns the length of an interval's part within a time; below 0 it is outside.
func overlap(s interval, from, to float64) float64 { return min(s.to, to) - max(s.from, from) }

// longestOverlap returns the longest overlap of any interval with a time.
func longestOverlap(spans []interval, from, to float64) (most float64) {
	for _, s := range spans {
		most = max(most, overlap(s, from, to))
	}
	return most
}
