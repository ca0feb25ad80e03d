package auditlog

import (
	"cmp"
	"slices"
	"sort"
)

// listEpoch is a line of descent of a source's lists: versions of one compare.
type listEpoch struct {
	source string
	number uint64
}

// interval is a time between two, by the own clock; to is +Inf where it has no end.
type interval struct{ from, to float64 }

// transition is a change at an entry.
type transition struct {
	entry   uint64
	at      float64
	blocked bool // gets nothing new from here on
}

// progress is a version reached at an entry.
type progress struct {
	at       float64
	epoch    listEpoch
	revision int64 // all up to it is known, by the own list or peers
	byPeer   bool  // by a peer's word
	entry    uint64
}

// timeline is what one process of a dispatcher has told, put together.
type timeline struct {
	dispatcher, generation string
	entries                []*Entry
	first                  float64
	last                   float64 // its last word, or answer
	ended                  bool
	gaps                   []gap
	blocked                map[string][]transition // what gets nothing new, by the own list and peers' words
	outOfService           []transition            // nothing is to be sent at all: out of the lease, or not looked again after a sleep
	pauses                 []interval
	discoverySilences      []interval
	progress               []progress
	newerKnown             []progress // that a version is there was heard, before it was known
	drains                 map[string][]progress
	lostLines              uint64
	clockLead              float64 // of its clock; times here are right, but those of entries and turns
}

// gap is entries that are not there.
type gap struct {
	from, to uint64   // numbers
	interval interval // the time about them
}

// replayState is what a life holds of workers while it is replayed.
type replayState struct {
	list      map[string]string // by the own list
	peerFacts map[string]Worker // by peers
	epoch     listEpoch
	revision  int64
	blocked   map[string]bool
}

func (l *timeline) replay() {
	slices.SortFunc(l.entries, func(x, y *Entry) int { return cmp.Compare(x.Number, y.Number) })
	l.entries = slices.CompactFunc(l.entries, func(x, y *Entry) bool { return x.Number == y.Number }) // files given twice
	l.blocked, l.drains = map[string][]transition{}, map[string][]progress{}
	l.first, l.last = l.entries[0].Time, max(l.last, l.entries[len(l.entries)-1].Time)
	next := uint64(1)
	before := l.first
	f := replayState{list: map[string]string{}, peerFacts: map[string]Worker{}, blocked: map[string]bool{}}
	leaseOut, sleeping := false, false
	for _, e := range l.entries {
		if e.Number != next {
			l.gaps = append(l.gaps, gap{from: next, to: e.Number - 1, interval: interval{before, e.Time}})
		}
		next, before = e.Number+1, e.Time
		l.lostLines = max(l.lostLines, e.LostLines)
		was := leaseOut || sleeping
		switch e.Kind {
		case ListApplied, FactsReceived, FactsDoubted, CaughtUp:
			f.apply(e)
			l.recordChanges(e, &f)
		case NewerKnown:
			l.newerKnown = append(l.newerKnown, progress{at: e.Time, epoch: listEpoch{e.Source, e.Epoch}, revision: e.Revision, entry: e.Number})
		case DiscoverySilent:
			l.discoverySilences = append(l.discoverySilences, interval{e.Time - e.LateSeconds, inf})
		case DiscoveryResumed:
			if k := len(l.discoverySilences); k > 0 {
				l.discoverySilences[k-1].to = e.Time
			}
		case LeaseChanged:
			leaseOut = e.Out
		case Paused:
			l.pauses = append(l.pauses, interval{e.Time - e.LateSeconds, inf})
			sleeping = true
		case Resumed:
			if k := len(l.pauses); k > 0 {
				l.pauses[k-1].to = e.Time
			}
			sleeping = false
		case Ended:
			l.ended = true
		}
		if is := leaseOut || sleeping; is != was {
			l.outOfService = append(l.outOfService, transition{e.Number, e.Time, is})
		}
	}
}

// apply brings what is held up to an entry.
func (f *replayState) apply(e *Entry) {
	switch e.Kind {
	case ListApplied:
		if is := (listEpoch{e.Source, e.Epoch}); is != f.epoch || e.Revision < f.revision {
			f.epoch = is
			clear(f.peerFacts)
		}
		f.revision = e.Revision
		for _, w := range e.Workers {
			f.list[w.Name] = w.State
		}
		for name, w := range f.peerFacts {
			if w.Revision <= f.revision {
				delete(f.peerFacts, name)
			}
		}
	case FactsReceived:
		if f.epoch != (listEpoch{e.Source, e.Epoch}) {
			return
		}
		for _, w := range e.Workers {
			if was, had := f.peerFacts[w.Name]; w.Revision > f.revision && (!had || w.Revision >= was.Revision) {
				f.peerFacts[w.Name] = w
			}
		}
	case FactsDoubted:
		for _, w := range e.Workers {
			delete(f.peerFacts, w.Name)
		}
	}
}

// isBlocked says whether a worker gets nothing new.
func (f *replayState) isBlocked(name string) bool {
	own, fact := f.list[name], f.peerFacts[name]
	return own == "draining" || own == "gone" || fact.Revision > f.revision && (fact.State == "draining" || fact.State == "gone")
}

// recordChanges keeps what an entry has changed.
func (l *timeline) recordChanges(e *Entry, f *replayState) {
	names := map[string]bool{}
	for name := range f.blocked {
		names[name] = true
	}
	for _, w := range e.Workers {
		names[w.Name] = true
		if w.State != "ready" && e.Kind != FactsDoubted {
			rev := cmp.Or(w.Revision, e.Revision)
			l.drains[w.Name] = append(l.drains[w.Name], progress{at: e.Time, epoch: listEpoch{e.Source, e.Epoch}, revision: rev, byPeer: e.Kind == FactsReceived, entry: e.Number})
		}
	}
	for name := range names {
		if off := f.isBlocked(name); off != f.blocked[name] {
			l.blocked[name] = append(l.blocked[name], transition{e.Number, e.Time, off})
			if f.blocked[name] = off; !off {
				delete(f.blocked, name)
			}
		}
	}
	if e.Kind == ListApplied && !e.Cached || e.Kind == CaughtUp {
		l.progress = append(l.progress, progress{at: e.Time, epoch: listEpoch{e.Source, e.Epoch}, revision: e.Revision, byPeer: e.Kind == CaughtUp, entry: e.Number})
	}
}

// transitionAt is the turn in force at a mark, and since when; false before the first.
func transitionAt(turns []transition, mark uint64) (since float64, off bool) {
	i := sort.Search(len(turns), func(i int) bool { return turns[i].entry > mark })
	if i == 0 {
		return 0, false
	}
	return turns[i-1].at, turns[i-1].blocked
}

// reached is when a version of a line was known here; a worker's news may be known before the version is.
func (l *timeline) reached(of listEpoch, rev int64) (r progress, ok bool) {
	for _, r := range l.progress {
		if r.epoch == of && r.revision >= rev {
			return r, true
		}
	}
	return progress{}, false
}

// drainedAt is when this life first held that a worker gets nothing new since a version.
func (l *timeline) drainedAt(of listEpoch, worker string, rev int64) (r progress, ok bool) {
	r, ok = l.reached(of, rev)
	for _, d := range l.drains[worker] {
		if d.epoch == of && d.revision >= rev && (!ok || d.at < r.at) {
			return d, true
		}
	}
	return r, ok
}

// inGap says whether an entry may be missing in a time.
func (l *timeline) inGap(from, to float64) bool {
	return slices.ContainsFunc(l.gaps, func(h gap) bool { return overlap(h.interval, from, to) >= 0 })
}

// overlap is how long a span lasts within a time; below 0 it is outside.
func overlap(s interval, from, to float64) float64 { return min(s.to, to) - max(s.from, from) }

func longestOverlap(spans []interval, from, to float64) (most float64) {
	for _, s := range spans {
		most = max(most, overlap(s, from, to))
	}
	return most
}
