package auditlog

import (
	"cmp"
	"slices"
	"sort"
)

// line is a line of descent of a source's lists: versions of one compare.
type line struct {
	source  string
	descent uint64
}

// span is a time between two, by the own clock; to is +Inf where it has no end.
type span struct{ from, to float64 }

// turn is a change at an entry.
type turn struct {
	n   uint64
	at  float64
	off bool // gets nothing new from here on
}

// rise is a version reached at an entry.
type rise struct {
	at    float64
	line  line
	knows int64 // all up to it is known, by the own list or peers
	peer  bool  // by a peer's word
	n     uint64
}

// life is what one process of a dispatcher has told, put together.
type life struct {
	by, name string
	entries  []*Entry
	first    float64
	last     float64 // its last word, or answer
	ended    bool
	holes    []hole
	workers  map[string][]turn // what gets nothing new, by the own list and peers' words
	held     []turn            // nothing is to be sent at all: out of the lease, or not looked again after a sleep
	asleep   []span
	mute     []span
	rises    []rise
	behind   []rise // that a version is there was heard, before it was known
	drains   map[string][]rise
	lost     uint64
	ahead    float64 // of its clock; times here are right, but those of entries and turns
}

// hole is entries that are not there.
type hole struct {
	from, to uint64 // numbers
	span     span   // the time about them
}

// effect is what a life holds of workers while it is replayed.
type effect struct {
	own   map[string]string // by the own list
	facts map[string]Worker // by peers
	line  line
	rev   int64
	off   map[string]bool
}

func (l *life) replay() {
	slices.SortFunc(l.entries, func(x, y *Entry) int { return cmp.Compare(x.N, y.N) })
	l.entries = slices.CompactFunc(l.entries, func(x, y *Entry) bool { return x.N == y.N }) // files given twice
	l.workers, l.drains = map[string][]turn{}, map[string][]rise{}
	l.first, l.last = l.entries[0].Time, max(l.last, l.entries[len(l.entries)-1].Time)
	next := uint64(1)
	before := l.first
	f := effect{own: map[string]string{}, facts: map[string]Worker{}, off: map[string]bool{}}
	leaseOut, sleeping := false, false
	for _, e := range l.entries {
		if e.N != next {
			l.holes = append(l.holes, hole{from: next, to: e.N - 1, span: span{before, e.Time}})
		}
		next, before = e.N+1, e.Time
		l.lost = max(l.lost, e.Lost)
		was := leaseOut || sleeping
		switch e.What {
		case List, Told, Doubt, Knows:
			f.take(e)
			l.note(e, &f)
		case Behind:
			l.behind = append(l.behind, rise{at: e.Time, line: line{e.Source, e.Descent}, knows: e.Rev, n: e.N})
		case Mute:
			l.mute = append(l.mute, span{e.Time - e.Late, inf})
		case Speaks:
			if k := len(l.mute); k > 0 {
				l.mute[k-1].to = e.Time
			}
		case Lease:
			leaseOut = e.Out
		case Slept:
			l.asleep = append(l.asleep, span{e.Time - e.Late, inf})
			sleeping = true
		case Looked:
			if k := len(l.asleep); k > 0 {
				l.asleep[k-1].to = e.Time
			}
			sleeping = false
		case End:
			l.ended = true
		}
		if is := leaseOut || sleeping; is != was {
			l.held = append(l.held, turn{e.N, e.Time, is})
		}
	}
}

// take brings what is held up to an entry.
func (f *effect) take(e *Entry) {
	switch e.What {
	case List:
		if is := (line{e.Source, e.Descent}); is != f.line || e.Rev < f.rev {
			f.line = is
			clear(f.facts)
		}
		f.rev = e.Rev
		for _, w := range e.Workers {
			f.own[w.Name] = w.State
		}
		for name, w := range f.facts {
			if w.Rev <= f.rev {
				delete(f.facts, name)
			}
		}
	case Told:
		if f.line != (line{e.Source, e.Descent}) {
			return
		}
		for _, w := range e.Workers {
			if was, had := f.facts[w.Name]; w.Rev > f.rev && (!had || w.Rev >= was.Rev) {
				f.facts[w.Name] = w
			}
		}
	case Doubt:
		for _, w := range e.Workers {
			delete(f.facts, w.Name)
		}
	}
}

// isOff says whether a worker gets nothing new.
func (f *effect) isOff(name string) bool {
	own, fact := f.own[name], f.facts[name]
	return own == "draining" || own == "gone" || fact.Rev > f.rev && (fact.State == "draining" || fact.State == "gone")
}

// note keeps what an entry has changed.
func (l *life) note(e *Entry, f *effect) {
	names := map[string]bool{}
	for name := range f.off {
		names[name] = true
	}
	for _, w := range e.Workers {
		names[w.Name] = true
		if w.State != "ready" && e.What != Doubt {
			rev := cmp.Or(w.Rev, e.Rev)
			l.drains[w.Name] = append(l.drains[w.Name], rise{at: e.Time, line: line{e.Source, e.Descent}, knows: rev, peer: e.What == Told, n: e.N})
		}
	}
	for name := range names {
		if off := f.isOff(name); off != f.off[name] {
			l.workers[name] = append(l.workers[name], turn{e.N, e.Time, off})
			if f.off[name] = off; !off {
				delete(f.off, name)
			}
		}
	}
	if e.What == List && !e.Cached || e.What == Knows {
		l.rises = append(l.rises, rise{at: e.Time, line: line{e.Source, e.Descent}, knows: e.Rev, peer: e.What == Knows, n: e.N})
	}
}

// at is the turn in force at a mark, and since when; false before the first.
func at(turns []turn, mark uint64) (since float64, off bool) {
	i := sort.Search(len(turns), func(i int) bool { return turns[i].n > mark })
	if i == 0 {
		return 0, false
	}
	return turns[i-1].at, turns[i-1].off
}

// reached is when a version of a line was known here; a worker's news may be known before the version is.
func (l *life) reached(of line, rev int64) (r rise, ok bool) {
	for _, r := range l.rises {
		if r.line == of && r.knows >= rev {
			return r, true
		}
	}
	return rise{}, false
}

// drained is when this life first held that a worker gets nothing new since a version.
func (l *life) drained(of line, worker string, rev int64) (r rise, ok bool) {
	r, ok = l.reached(of, rev)
	for _, d := range l.drains[worker] {
		if d.line == of && d.knows >= rev && (!ok || d.at < r.at) {
			return d, true
		}
	}
	return r, ok
}

// inHole says whether an entry may be missing in a time.
func (l *life) inHole(from, to float64) bool {
	return slices.ContainsFunc(l.holes, func(h hole) bool { return overlap(h.span, from, to) >= 0 })
}

// overlap is how long a span lasts within a time; below 0 it is outside.
func overlap(s span, from, to float64) float64 { return min(s.to, to) - max(s.from, from) }

func longest(spans []span, from, to float64) (most float64) {
	for _, s := range spans {
		most = max(most, overlap(s, from, to))
	}
	return most
}
