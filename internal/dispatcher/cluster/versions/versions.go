// Package versions keeps who holds which version of discovery's list, and what peers know of workers that this dispatcher's own
// list is too old to know. It is pure.
//
// Peers' words only ever withhold (F2). What they tell of a worker binds here where it is newer than the own list, of the same
// source and line of descent: a worker that drains or has gone gets nothing new, and one that has started anew counts as cold. The
// next word of the own director that is as new wins over all of it. Nothing that is heard makes a worker ready that the own
// list does not call so, and a worker that the own list does not name stays unknown: addresses are never taken from a peer.
package versions

import (
	"fmt"
	"maps"
	"slices"

	"cinderroad/internal/shared/lease"
)

// List is a version of the list. Versions of two sources, or of two lines of descent of one, do not compare.
type List struct {
	Source  string `cbor:"1,keyasint" json:"source"`
	Descent uint64 `cbor:"2,keyasint,omitempty" json:"descent"` // how often its versions have gone back
	Rev     int64  `cbor:"3,keyasint" json:"rev"`
}

// Behind says by how many versions a list is behind another one; ok is false where they do not compare.
func (l List) Behind(o List) (by int64, ok bool) {
	return o.Rev - l.Rev, l.Source == o.Source && l.Descent == o.Descent
}

// Peer is what another member holds.
type Peer struct {
	List   List
	Since  float64 // when it came to hold the list, as seen from here
	Word   float64 // when it last told a new word of discovery; 0: never
	Direct bool    // which was its own discovery's

	word         uint64  // its number
	lead, leadAt float64 // of the own clock before its, by the quickest message; when that was heard
}

const (
	mostFacts  = 1024
	mostPeers  = 4096
	mostInRide = 64
	mostSource = 64
	mostWorker = 256
	mostRev    = 1 << 53

	tellTimes  = 12   // that a fact goes out by itself: more than a fleet's logarithm
	headRoom   = 130  // bytes of a ride without facts, orders and names
	pageBytes  = 1090 // of an answer to one that asks
	mostPages  = 4    // of them for one question
	askEvery   = 1.0  // seconds between two questions of one that is behind
	askFar     = 1.0  // seconds for which it waits for a member of its own zone to tell of more, before it asks any
	answersIn  = 1.0  // seconds in which one answers so many questions at most: who gets no answer asks another
	answersOf  = 8
	forgotten  = 1e6  // seconds by which all words are old to one that slept
	liveGap    = 5.0  // seconds without a word of the director after which it counts as silent
	doubtAfter = 30.0 // seconds for which a director that speaks may lag behind what peers tell; then that is no version of its
	keepFor    = 3600 // seconds
)

// Board is one member's.
type Board struct {
	Changed func() // what is withheld may have changed
	Heard   func() // a peer has told what it knows: nothing that is newer than the own list, or facts
	Log     func(line string)
	// Ordering hears each order that is new here.
	Ordering func(o Order)
	Near     func(member string) bool   // is of the own zone
	Note     func(now float64, n *Note) // hears what is taken up
	Lease    *lease.Lease               // the own

	me        string
	own       List
	ownAt     float64 // since when it has it
	has       bool
	states    map[string]Entry // by the own list
	facts     map[string]*fact
	peers     map[string]Peer
	descents  map[string]uint64 // the latest that was heard of, by source
	held      map[string]Held
	askAt     float64
	cached    bool    // the own list is of an earlier life: nobody has told it in this one
	liveAt    float64 // when the own source first told a list in this life
	beganAt   float64 // when the line of descent began; 0 is not known
	caughtAt  float64
	caught    int64   // the version up to which a peer has told all that it knows
	heardAt   float64 // the own director
	liveFrom  float64 // since when it has been speaking without a gap
	cursor    int
	eager     int     // facts that still go out by themselves
	wordAt    float64 // when a word of discovery last confirmed all that is known here
	word      uint64  // the newest
	direct    bool    // the own discovery has said so
	orders    orders
	clockAt   float64 // when the own clock was last told
	newest    int64   // version of the own line that was noted as newer
	newestAt  float64 // since when one is known
	answersAt float64 // when the time began for which answers are counted
	answers   int
	muted     bool // that the own discovery is silent was noted
	Counts    Counts
}

// Counts are what a Board has counted.
type Counts struct{ Told, Taken, Bad, Asked, Answered, Doubted uint64 }

// New makes a Board.
func New(me string) *Board {
	return &Board{Changed: func() {}, Heard: func() {}, Log: func(string) {}, Ordering: func(Order) {}, Note: func(float64, *Note) {}, Near: func(string) bool { return true }, me: me, states: map[string]Entry{},
		facts: map[string]*fact{}, peers: map[string]Peer{}, descents: map[string]uint64{}, held: map[string]Held{},
		Lease: &lease.Lease{ProbeInterval: 1, Term: lease.Term(liveGap, 1)}, orders: orders{by: map[string]*order{}}}
}

// List is the version that the own list has; false before there is one.
func (b *Board) List() (List, bool) { return b.own, b.has }

// BehindBy is by how many versions the own list is behind the newest that somebody says it has.
func (b *Board) BehindBy() (most int64) {
	for _, p := range b.peers {
		if by, ok := b.own.Behind(p.List); ok {
			most = max(most, by)
		}
	}
	return most
}

// OwnSince is when the own list came to have its version.
func (b *Board) OwnSince() float64 { return b.ownAt }

// Unready are the workers that the own list names and does not call ready.
func (b *Board) Unready() (all []Fact) {
	for _, name := range slices.Sorted(maps.Keys(b.states)) {
		if e := b.states[name]; e.State != Ready {
			all = append(all, Fact{e.Worker, e.State, e.Start, b.own.Rev})
		}
	}
	return all
}

// Peers are what the others hold, by name.
func (b *Board) Peers() map[string]Peer { return b.peers }

// Held is what is withheld here on peers' words, by worker. It is not to be changed.
func (b *Board) Held() map[string]Held { return b.held }

// Live tells that the own director has said something, if only that nothing has changed.
func (b *Board) Live(now float64) {
	if now > b.heardAt+liveGap {
		b.liveFrom = now
	}
	b.heardAt = now
	if b.muted {
		b.muted = false
		b.Note(now, &Note{Kind: SpeaksAgain})
	}
	b.speak(now)
}

// Own takes a version of the own list: the entries that it changes, with those that it no longer names as gone. One that is cached
// is of an earlier life.
func (b *Board) Own(now float64, source string, rev int64, cached bool, entries []Entry) {
	switch {
	case !b.has || source != b.own.Source:
		b.own = List{Source: source, Descent: b.descents[source], Rev: rev}
		b.liveAt, b.beganAt = 0, 0
		b.forget()
	case rev < b.own.Rev && b.cached: // of an earlier life, perhaps of an earlier line: it says nothing
		b.own.Rev = rev
		b.forget()
	case rev < b.own.Rev: // a new line of descent: others may have met it before
		b.own.Descent = max(b.own.Descent+1, b.descents[source])
		b.own.Rev = rev
		b.beganAt = now
		b.forget()
		b.Log(fmt.Sprintf("the list's version has gone back to %d: line of descent %d", rev, b.own.Descent))
	default:
		b.own.Rev = rev
	}
	b.has, b.ownAt, b.cached = true, now, cached
	if !cached && b.liveAt == 0 {
		b.liveAt = now
	}
	b.descents[source] = max(b.descents[source], b.own.Descent)
	if !cached {
		b.Live(now)
	}
	var changed []Fact
	for _, e := range entries {
		was, known := b.states[e.Worker]
		if e.State == Gone {
			delete(b.states, e.Worker)
		} else {
			b.states[e.Worker] = e
		}
		f := b.facts[e.Worker]
		news := e.State != Ready && (!known || was.State != e.State) || e.State == Ready && (known && (was.State != Ready || was.Start != e.Start) || f != nil)
		if news {
			changed = append(changed, Fact{e.Worker, e.State, e.Start, rev})
		}
		if f != nil && f.Rev > rev { // a peer's word is newer: nothing is ready meanwhile that it calls draining
			continue
		}
		if news && !cached {
			b.put(&fact{Fact: Fact{e.Worker, e.State, e.Start, rev}, at: now})
		}
	}
	b.Note(now, &Note{Kind: ListTaken, List: b.own, Cached: cached, Facts: changed})
	b.hold()
}

// knows is the newest version of which all facts are known here.
func (b *Board) knows() int64 { return max(b.own.Rev, b.caught) }

// forget drops what compares with the own list no longer.
func (b *Board) forget() {
	b.caught, b.newest = 0, 0
	clear(b.facts)
	b.eager = 0
}

// put keeps a fact in place of an older one; with no room the oldest goes.
func (b *Board) put(f *fact) {
	if b.facts[f.Worker] == nil && len(b.facts) >= mostFacts {
		var oldest *fact
		for _, name := range slices.Sorted(maps.Keys(b.facts)) {
			if o := b.facts[name]; oldest == nil || o.Rev < oldest.Rev {
				oldest = o
			}
		}
		if oldest.Rev >= f.Rev {
			return
		}
		delete(b.facts, oldest.Worker)
	}
	b.facts[f.Worker] = f
	b.eager++
}

// Tick drops what is old, and doubts what a director that speaks does not confirm.
func (b *Board) Tick(now float64) {
	if b.caught > b.own.Rev && now > b.caughtAt+doubtAfter { // it may have been said by one that knows nothing: ask again
		b.caught = 0
	}
	b.listen(now)
	live, issued := now <= b.heardAt+liveGap, b.issued()
	changed := false
	for _, name := range slices.Sorted(maps.Keys(b.facts)) {
		f := b.facts[name]
		switch {
		case now > f.at+keepFor && f.Rev <= b.own.Rev:
			delete(b.facts, name)
		case live && !f.doubt && f.from != "" && f.Rev > b.own.Rev && f.Rev > issued && now > max(f.at, b.liveFrom)+doubtAfter:
			f.doubt, changed = true, true
			b.Counts.Doubted++
			b.Note(now, &Note{Kind: FactDoubted, From: f.from, List: b.own, Facts: []Fact{f.Fact}})
			b.Log(fmt.Sprintf("%s told that %s is %s at version %d, which discovery has not told for %.0f s: taken back", f.from, name, f.State, f.Rev, doubtAfter))
		}
	}
	if changed {
		b.hold()
	}
}

// hold works out what is withheld.
func (b *Board) hold() {
	held := map[string]Held{}
	for name, f := range b.facts {
		own, listed := b.states[name]
		if f.Rev > b.own.Rev && !f.doubt && listed && (f.State > own.State || f.Start > own.Start) {
			held[name] = Held{f.State, max(f.Start, own.Start), f.from, f.Rev}
		}
	}
	if maps.Equal(held, b.held) {
		return
	}
	b.held = held
	b.Changed()
}
