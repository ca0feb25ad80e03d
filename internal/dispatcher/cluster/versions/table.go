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

// Version is a version of the list. Versions of two sources, or of two lines of descent of one, do not compare.
type Version struct {
	Source   string `cbor:"1,keyasint" json:"source"`
	Epoch    uint64 `cbor:"2,keyasint,omitempty" json:"descent"` // how often its versions have gone back
	Revision int64  `cbor:"3,keyasint" json:"rev"`
}

// Lag says by how many versions a list is behind another one; ok is false where they do not compare.
func (l Version) Lag(other Version) (by int64, ok bool) {
	return other.Revision - l.Revision, l.Source == other.Source && l.Epoch == other.Epoch
}

// Peer is what another member holds.
type Peer struct {
	Version      Version
	VersionSince float64 // when it came to hold the list, as seen from here
	LastUpdate   float64 // when it last told a new word of discovery; 0: never
	DirectUpdate bool    // which was its own discovery's

	updateStamp            uint64  // its number
	clockLead, clockLeadAt float64 // of the own clock before its, by the quickest message; when that was heard
}

const (
	maxFacts           = 1024
	maxPeers           = 4096
	maxFactsPerPayload = 64
	maxSourceLength    = 64
	maxWorkerLength    = 256
	maxRevision        = 1 << 53

	maxTransmits        = 12   // that a fact goes out by itself: more than a fleet's logarithm
	payloadOverhead     = 130  // bytes of a ride without facts, orders and names
	maxReplySize        = 1090 // of an answer to one that asks
	maxReplyPages       = 4    // of them for one question
	requestInterval     = 1.0  // seconds between two questions of one that is behind
	sameZoneGrace       = 1.0  // seconds for which it waits for a member of its own zone to tell of more, before it asks any
	replyWindow         = 1.0  // seconds in which one answers so many questions at most: who gets no answer asks another
	maxRepliesPerWindow = 8
	expiredAge          = 1e6  // seconds by which all words are old to one that slept
	discoveryTimeout    = 5.0  // seconds without a word of the director after which it counts as silent
	confirmTimeout      = 30.0 // seconds for which a director that speaks may lag behind what peers tell; then that is no version of its
	factTTL             = 3600 // seconds
)

// Table is one member's.
type Table struct {
	OnChange    func() // what is withheld may have changed
	OnPeerState func() // a peer has told what it knows: nothing that is newer than the own list, or facts
	Log         func(line string)
	// OnOrder hears each order that is new here.
	OnOrder  func(o Order)
	SameZone func(member string) bool    // is of the own zone
	OnEvent  func(now float64, n *Event) // hears what is taken up
	Lease    *lease.Lease                // the own

	self               string
	version            Version
	versionSince       float64 // since when it has it
	hasVersion         bool
	workers            map[string]Entry // by the own list
	facts              map[string]*fact
	peers              map[string]Peer
	epochs             map[string]uint64 // the latest that was heard of, by source
	restrictions       map[string]Restriction
	nextRequestAt      float64
	cached             bool    // the own list is of an earlier life: nobody has told it in this one
	firstLiveAt        float64 // when the own source first told a list in this life
	epochStart         float64 // when the line of descent began; 0 is not known
	caughtUpAt         float64
	caughtUpTo         int64   // the version up to which a peer has told all that it knows
	lastDiscovery      float64 // the own director
	discoveryLiveSince float64 // since when it has been speaking without a gap
	replyCursor        int
	pendingFacts       int     // facts that still go out by themselves
	lastConfirmed      float64 // when a word of discovery last confirmed all that is known here
	updateStamp        uint64  // the newest
	directUpdate       bool    // the own discovery has said so
	orders             orders
	clockSentAt        float64 // when the own clock was last told
	newestKnown        int64   // version of the own line that was noted as newer
	newerSince         float64 // since when one is known
	replyWindowStart   float64 // when the time began for which answers are counted
	repliesInWindow    int
	discoverySilent    bool // that the own discovery is silent was noted
	Stats              Stats
}

// Stats are what a Board has counted.
type Stats struct{ FactsSent, FactsAccepted, Malformed, Requests, Replies, Doubted uint64 }

// New makes a Board.
func New(self string) *Table {
	return &Table{OnChange: func() {}, OnPeerState: func() {}, Log: func(string) {}, OnOrder: func(Order) {}, OnEvent: func(float64, *Event) {}, SameZone: func(string) bool { return true }, self: self, workers: map[string]Entry{},
		facts: map[string]*fact{}, peers: map[string]Peer{}, epochs: map[string]uint64{}, restrictions: map[string]Restriction{},
		Lease: &lease.Lease{ProbeInterval: 1, Term: lease.Term(discoveryTimeout, 1)}, orders: orders{byMember: map[string]*order{}}}
}

// Version is the version that the own list has; false before there is one.
func (t *Table) Version() (Version, bool) { return t.version, t.hasVersion }

// MaxLag is by how many versions the own list is behind the newest that somebody says it has.
func (t *Table) MaxLag() (most int64) {
	for _, p := range t.peers {
		if by, ok := t.version.Lag(p.Version); ok {
			most = max(most, by)
		}
	}
	return most
}

// VersionSince is when the own list came to have its version.
func (t *Table) VersionSince() float64 { return t.versionSince }

// NotReady are the workers that the own list names and does not call ready.
func (t *Table) NotReady() (all []Fact) {
	for _, name := range slices.Sorted(maps.Keys(t.workers)) {
		if e := t.workers[name]; e.State != Ready {
			all = append(all, Fact{e.Worker, e.State, e.Start, t.version.Revision})
		}
	}
	return all
}

// Peers are what the others hold, by name.
func (t *Table) Peers() map[string]Peer { return t.peers }

// Restrictions is what is withheld here on peers' words, by worker. It is not to be changed.
func (t *Table) Restrictions() map[string]Restriction { return t.restrictions }

// HandleDiscoveryContact tells that the own director has said something, if only that nothing has changed.
func (t *Table) HandleDiscoveryContact(now float64) {
	if now > t.lastDiscovery+discoveryTimeout {
		t.discoveryLiveSince = now
	}
	t.lastDiscovery = now
	if t.discoverySilent {
		t.discoverySilent = false
		t.OnEvent(now, &Event{Kind: DiscoveryResumed})
	}
	t.confirmByDiscovery(now)
}

// ApplyList takes a version of the own list: the entries that it changes, with those that it no longer names as gone. One that is cached
// is of an earlier life.
func (t *Table) ApplyList(now float64, source string, revision int64, cached bool, entries []Entry) {
	switch {
	case !t.hasVersion || source != t.version.Source:
		t.version = Version{Source: source, Epoch: t.epochs[source], Revision: revision}
		t.firstLiveAt, t.epochStart = 0, 0
		t.dropFacts()
	case revision < t.version.Revision && t.cached: // of an earlier life, perhaps of an earlier line: it says nothing
		t.version.Revision = revision
		t.dropFacts()
	case revision < t.version.Revision: // a new line of descent: others may have met it before
		t.version.Epoch = max(t.version.Epoch+1, t.epochs[source])
		t.version.Revision = revision
		t.epochStart = now
		t.dropFacts()
		t.Log(fmt.Sprintf("the list's version has gone back to %d: line of descent %d", revision, t.version.Epoch))
	default:
		t.version.Revision = revision
	}
	t.hasVersion, t.versionSince, t.cached = true, now, cached
	if !cached && t.firstLiveAt == 0 {
		t.firstLiveAt = now
	}
	t.epochs[source] = max(t.epochs[source], t.version.Epoch)
	if !cached {
		t.HandleDiscoveryContact(now)
	}
	var changed []Fact
	for _, e := range entries {
		before, known := t.workers[e.Worker]
		if e.State == Gone {
			delete(t.workers, e.Worker)
		} else {
			t.workers[e.Worker] = e
		}
		f := t.facts[e.Worker]
		isNews := e.State != Ready && (!known || before.State != e.State) || e.State == Ready && (known && (before.State != Ready || before.Start != e.Start) || f != nil)
		if isNews {
			changed = append(changed, Fact{e.Worker, e.State, e.Start, revision})
		}
		if f != nil && f.Revision > revision { // a peer's word is newer: nothing is ready meanwhile that it calls draining
			continue
		}
		if isNews && !cached {
			t.addFact(&fact{Fact: Fact{e.Worker, e.State, e.Start, revision}, receivedAt: now})
		}
	}
	t.OnEvent(now, &Event{Kind: ListApplied, Version: t.version, Cached: cached, Facts: changed})
	t.updateRestrictions()
}

// completeUpTo is the newest version of which all facts are known here.
func (t *Table) completeUpTo() int64 { return max(t.version.Revision, t.caughtUpTo) }

// dropFacts drops what compares with the own list no longer.
func (t *Table) dropFacts() {
	t.caughtUpTo, t.newestKnown = 0, 0
	clear(t.facts)
	t.pendingFacts = 0
}

// addFact keeps a fact in place of an older one; with no room the oldest goes.
func (t *Table) addFact(f *fact) {
	if t.facts[f.Worker] == nil && len(t.facts) >= maxFacts {
		var oldest *fact
		for _, name := range slices.Sorted(maps.Keys(t.facts)) {
			if o := t.facts[name]; oldest == nil || o.Revision < oldest.Revision {
				oldest = o
			}
		}
		if oldest.Revision >= f.Revision {
			return
		}
		delete(t.facts, oldest.Worker)
	}
	t.facts[f.Worker] = f
	t.pendingFacts++
}

// Tick drops what is old, and doubts what a director that speaks does not confirm.
func (t *Table) Tick(now float64) {
	if t.caughtUpTo > t.version.Revision && now > t.caughtUpAt+confirmTimeout { // it may have been said by one that knows nothing: ask again
		t.caughtUpTo = 0
	}
	t.checkDiscovery(now)
	live, issued := now <= t.lastDiscovery+discoveryTimeout, t.confirmedRevision()
	changed := false
	for _, name := range slices.Sorted(maps.Keys(t.facts)) {
		f := t.facts[name]
		switch {
		case now > f.receivedAt+factTTL && f.Revision <= t.version.Revision:
			delete(t.facts, name)
		case live && !f.doubted && f.from != "" && f.Revision > t.version.Revision && f.Revision > issued && now > max(f.receivedAt, t.discoveryLiveSince)+confirmTimeout:
			f.doubted, changed = true, true
			t.Stats.Doubted++
			t.OnEvent(now, &Event{Kind: FactDoubted, From: f.from, Version: t.version, Facts: []Fact{f.Fact}})
			t.Log(fmt.Sprintf("%s told that %s is %s at version %d, which discovery has not told for %.0f s: taken back", f.from, name, f.State, f.Revision, confirmTimeout))
		}
	}
	if changed {
		t.updateRestrictions()
	}
}

// updateRestrictions works out what is withheld.
func (t *Table) updateRestrictions() {
	held := map[string]Restriction{}
	for name, f := range t.facts {
		own, listed := t.workers[name]
		if f.Revision > t.version.Revision && !f.doubted && listed && (f.State > own.State || f.Start > own.Start) {
			held[name] = Restriction{f.State, max(f.Start, own.Start), f.from, f.Revision}
		}
	}
	if maps.Equal(held, t.restrictions) {
		return
	}
	t.restrictions = held
	t.OnChange()
}
