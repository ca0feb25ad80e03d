package versions

import (
	"fmt"
	"maps"
	"slices"

	"cinderroad/internal/shared/lease"
)

// Version is a version of discovery's list. Versions of different sources, or of different epochs of one source, do not
// compare.
type Version struct {
	Source   string `cbor:"1,keyasint" json:"source"`
	Epoch    uint64 `cbor:"2,keyasint,omitempty" json:"descent"` // number of times that the source's revisions went back
	Revision int64  `cbor:"3,keyasint" json:"rev"`
}

// Lag returns by how many revisions a version is behind another one. ok is false if they do not compare.
func (v Version) Lag(other Version) (by int64, ok bool) {
	return other.Revision - v.Revision, v.Source == other.Source && v.Epoch == other.Epoch
}

// Peer is what another member has, by its payloads. Times are on this member's clock.
type Peer struct {
	Version      Version
	VersionSince float64 // time when it first sent this version
	LastUpdate   float64 // time when it last sent a new update of discovery; 0: never
	DirectUpdate bool    // the update came from its own discovery

	updateStamp uint64  // stamp of LastUpdate
	clockLead   float64 // seconds that the own clock is ahead of its at most, by the quickest message
	clockLeadAt float64 // time of that message
}

const (
	maxFacts           = 1024
	maxPeers           = 4096
	maxFactsPerPayload = 64
	maxSourceLength    = 64
	maxWorkerLength    = 256
	maxRevision        = 1 << 53

	maxTransmits        = 12   // transmissions of a fact without a request: more than the logarithm of the cluster size
	payloadOverhead     = 130  // bytes of a payload without facts, orders and names
	maxReplySize        = 1090 // bytes of a page of a reply
	maxReplyPages       = 4    // pages of a reply
	requestInterval     = 1.0  // seconds between requests of a member that lags
	sameZoneGrace       = 1.0  // seconds for which it waits for a member of its own zone that knows more
	replyWindow         = 1.0  // seconds in which maxRepliesPerWindow requests are answered; whoever gets no reply asks another member
	maxRepliesPerWindow = 8
	expiredAge          = 1e6  // seconds by which ExpireUpdates dates the last update back: longer than any lease
	discoveryTimeout    = 5.0  // seconds without contact after which discovery counts as silent
	confirmTimeout      = 30.0 // seconds for which a live discovery may lag behind a peer's fact before the fact is doubted
	factTTL             = 3600 // seconds
)

// Table is one member's table. The function fields may be replaced before use; all are called synchronously, and may
// read the Table but not change it.
type Table struct {
	OnChange    func()                          // Restrictions has changed
	OnPeerState func()                          // a peer sent facts, or has none that are newer than what is known here
	OnOrder     func(order Order)               // called for each order that is new here
	OnEvent     func(now float64, event *Event) // called for each event, for the audit log
	Log         func(line string)               // writes a line for operators
	SameZone    func(member string) bool        // reports whether a member is in the own zone
	Lease       *lease.Lease                    // of this member

	self               string
	version            Version
	versionSince       float64 // time when the own list got this version
	hasVersion         bool
	workers            map[string]Entry // by name, as the own list has them
	facts              map[string]*fact // by worker
	peers              map[string]Peer
	epochs             map[string]uint64 // latest epoch known, by source
	restrictions       map[string]Restriction
	nextRequestAt      float64
	cached             bool    // the own list was read from disk: discovery has not sent it since the start
	firstLiveAt        float64 // time when the own source first sent a list since the start
	epochStart         float64 // time when the epoch began; 0: not known
	caughtUpTo         int64   // revision up to which a peer has sent all facts that it knows; 0: none
	caughtUpAt         float64 // time when it had
	lastDiscovery      float64 // time of the last contact with the own discovery
	discoveryLiveSince float64 // time since when the contact has had no gap of discoveryTimeout
	replyCursor        int     // position at which the next reply starts
	pendingFacts       int     // at least the facts that are still to be transmitted without a request; Payload counts them anew
	lastConfirmed      float64 // time when an update of discovery last confirmed all that is known here
	updateStamp        uint64  // stamp of the newest update known
	directUpdate       bool    // the own discovery confirms all that is known here
	orders             orders
	clockSentAt        float64 // time when the own clock was last sent
	newestKnown        int64   // newest revision of the own epoch that a peer has announced
	newerSince         float64 // time since when a newer revision is known
	replyWindowStart   float64 // start of the current window of replies
	repliesInWindow    int
	discoverySilent    bool // DiscoverySilent was reported
	Stats              Stats
}

// Stats count events since the table was created.
type Stats struct {
	FactsSent     uint64
	FactsAccepted uint64
	Malformed     uint64 // payloads that were rejected
	Requests      uint64 // sent, for the facts that this member lacks
	Replies       uint64 // to the requests of others
	Doubted       uint64 // facts of peers that the own discovery did not confirm
}

// New returns an empty table of the member with the given name.
func New(self string) *Table {
	return &Table{
		OnChange:     func() {},
		OnPeerState:  func() {},
		Log:          func(string) {},
		OnOrder:      func(Order) {},
		OnEvent:      func(float64, *Event) {},
		SameZone:     func(string) bool { return true },
		self:         self,
		workers:      map[string]Entry{},
		facts:        map[string]*fact{},
		peers:        map[string]Peer{},
		epochs:       map[string]uint64{},
		restrictions: map[string]Restriction{},
		Lease:        &lease.Lease{ProbeInterval: 1, Term: lease.Term(discoveryTimeout, 1)},
		orders:       orders{byMember: map[string]*order{}},
	}
}

// Version returns the version of the own list; false if there is none yet.
func (t *Table) Version() (Version, bool) { return t.version, t.hasVersion }

// MaxLag returns by how many revisions the own list is behind the newest that a peer has.
func (t *Table) MaxLag() (maxLag int64) {
	for _, peer := range t.peers {
		if lag, ok := t.version.Lag(peer.Version); ok {
			maxLag = max(maxLag, lag)
		}
	}
	return maxLag
}

// VersionSince returns when the own list got its version.
func (t *Table) VersionSince() float64 { return t.versionSince }

// NotReady returns the workers of the own list that are not ready.
func (t *Table) NotReady() (all []Fact) {
	for _, name := range slices.Sorted(maps.Keys(t.workers)) {
		if e := t.workers[name]; e.State != Ready {
			all = append(all, Fact{e.Worker, e.State, e.Start, t.version.Revision})
		}
	}
	return all
}

// Peers returns what other members have, by name. The caller must not change it.
func (t *Table) Peers() map[string]Peer { return t.peers }

// Restrictions returns the restrictions on workers because of peers' facts, by worker. The caller must not change it.
func (t *Table) Restrictions() map[string]Restriction { return t.restrictions }

// Tick drops what has expired, and doubts facts that a live discovery has not confirmed in time.
func (t *Table) Tick(now float64) {
	if t.caughtUpTo > t.version.Revision && now > t.caughtUpAt+confirmTimeout { // the claim may have been false: request again
		t.caughtUpTo = 0
	}
	t.checkDiscovery(now)
	isLive := now <= t.lastDiscovery+discoveryTimeout
	confirmed := t.confirmedRevision()
	changed := false
	for _, name := range slices.Sorted(maps.Keys(t.facts)) {
		f := t.facts[name]
		isInOwnList := f.Revision <= t.version.Revision
		isUnconfirmed := f.from != "" && !isInOwnList && f.Revision > confirmed
		isOverdue := isLive && now > max(f.receivedAt, t.discoveryLiveSince)+confirmTimeout
		switch {
		case isInOwnList && now > f.receivedAt+factTTL:
			delete(t.facts, name)
		case isUnconfirmed && isOverdue && !f.doubted:
			f.doubted = true
			changed = true
			t.Stats.Doubted++
			t.OnEvent(now, &Event{Kind: FactDoubted, From: f.from, Version: t.version, Facts: []Fact{f.Fact}})
			t.Log(fmt.Sprintf("withdrew update of %s (%s is %s at revision %d): not confirmed by discovery for %.0f s",
				f.from, name, f.State, f.Revision, confirmTimeout))
		}
	}
	if changed {
		t.updateRestrictions()
	}
}

// updateRestrictions computes the restrictions.
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
