// Package lease decides whether this dispatcher may take new work, by what it knows of discovery and of the other
// members. It is pure: Lease.Update computes the state from an Input.
//
// A member renews its lease by a fresh update of discovery: its own, or one that a peer forwards and that confirms all
// that is known here. A member without one takes no new work, but only if others do have a fresh update, and never more
// than a third of the members at once (MaxOut).
//
// A member that cannot tell the two cases apart assumes a general fault and keeps its lease, as it would alone: if nobody has a
// fresh update; if it never had peers; and if it lost discovery and all peers at the same time, unless it is among the
// third, chosen by Member.Key, that takes this for its own isolation.
package lease

import (
	"cmp"
	"math"
	"slices"
)

// State is the state of a lease. It is sent between members.
type State uint8

// The states of a lease.
const (
	Held   State = iota
	Lapsed       // no fresh update, although others have one; still takes work, and waits to learn who else is
	Out          // takes no new work
	states
)

// String returns the name of the state, as logs and /api/fleet show it.
func (s State) String() string {
	if s >= states {
		return "unknown"
	}
	return [...]string{"held", "lapsed", "out"}[s]
}

const (
	watchTimeoutMultiple    = 3.0  // terms last at least so many timeouts of the watch of discovery
	probeMultiple           = 20.0 // and so many probe intervals: an update reaches all members in a few, also under loss
	lapsedWaitProbes        = 6.0  // probe intervals that a lapsed member waits to learn of the others that are lapsed
	isolationProbes         = 2.0  // probe intervals within which the loss of discovery and of all peers counts as one event
	discoveryUpdateInterval = 6.0  // seconds within which a working discovery sends an update
	watchMargin             = 1.0  // seconds by which the shortest term is longer than the timeout of the watch
	minFreshMembers         = 2    // members that must have a fresh update: one alone may be wrong
)

// Term returns the default term in seconds: how long a lease lasts without a fresh update. watchTimeout is the
// timeout of the watch of discovery, probeInterval that of the membership, both in seconds.
func Term(watchTimeout, probeInterval float64) float64 {
	return math.Max(watchTimeoutMultiple*watchTimeout, probeMultiple*probeInterval)
}

// MinTerm returns the shortest allowed term in seconds, from the arguments of Term. It must outlast the pauses of
// discovery and the time that an update takes to all members.
func MinTerm(watchTimeout, probeInterval float64) float64 {
	return math.Max(watchTimeout+watchMargin, probeMultiple*probeInterval)
}

// Member is a member as this one knows it. Times are on this member's clock, in seconds.
type Member struct {
	Name         string
	Key          uint64  // hash of the name; no member can choose it
	LastContact  float64 // time of its last message; 0: never
	LastUpdate   float64 // time when it last sent a new update of the same list as this member's; 0: never
	DirectUpdate bool    // the update came from its own discovery
	// UpdateLead is the seconds by which the update is newer than this member's, by the clocks of those that received
	// them from discovery.
	UpdateLead float64
	State      State   // of its lease, as it states itself
	Excluded   bool    // excluded by an operator's order
	DeadSince  float64 // time when it was declared dead; 0: it is not. It may be isolated, and hence out
}

// Input is what a member knows at a time. Times are on its own clock, in seconds.
type Input struct {
	Now           float64
	Self          Member   // LastContact is not used; LastUpdate is the last that confirmed all that is known here
	LastDiscovery float64  // time of the last update of the own discovery; 0: never
	Others        []Member // all other members that may be sending
}

// Lease is one member's lease. The zero state is Held. ProbeInterval and Term must be set before Update. A Lease is not safe
// for concurrent use.
type Lease struct {
	ProbeInterval float64 // of the membership, in seconds
	Term          float64 // seconds; see Term and MinTerm
	Reason        string  // of the state, for operators; set by Update

	state    State
	lapsedAt float64 // time when the state became Lapsed
}

// State returns the current state.
func (l *Lease) State() State { return l.state }

// MaxOut returns how many of the given number of members may be out at once.
func MaxOut(members int) int { return members / 3 }

// Update computes and returns the state.
func (l *Lease) Update(input *Input) State {
	before := l.state
	l.state, l.Reason = l.evaluate(input)
	if l.state == Lapsed && before == Held {
		l.lapsedAt = input.Now
	}
	return l.state
}

// evaluate returns the state and its reason.
func (l *Lease) evaluate(input *Input) (State, string) {
	if input.Self.Excluded {
		if withinMaxOut(input, func(m *Member) bool { return m.Excluded || m.State == Out }) {
			return Out, "shut out by hand"
		}
		return Held, "shut out by hand, but a third of the members are already"
	}
	term := l.Term
	if input.Self.LastUpdate == 0 || input.Now <= input.Self.LastUpdate+term {
		return Held, ""
	}
	lastContact := 0.0
	connected := 0 // others that were heard within the term
	fresher := 0   // of these, with a fresh update
	for i := range input.Others {
		m := &input.Others[i]
		lastContact = math.Max(lastContact, m.LastContact)
		if m.LastContact > 0 && input.Now <= m.LastContact+term {
			connected++
			if m.State == Held && m.UpdateLead > term/2 { // a smaller lead may be due to clocks, or to the time that updates take
				fresher++
			}
		}
	}
	switch {
	case lastContact == 0:
		return Held, "nobody was ever heard"
	case connected == 0:
		return l.evaluateIsolated(input, lastContact)
	case fresher < minFreshMembers:
		return Held, "nobody has a fresh word"
	case l.state == Held, input.Now < l.lapsedAt+lapsedWaitProbes*l.ProbeInterval:
		return Lapsed, "others have a fresh word"
	case l.state == Out || withinMaxOut(input, func(m *Member) bool { return m.State != Held || m.Excluded }):
		return Out, "others have a fresh word"
	}
	return Lapsed, "others have a fresh word, and a third of the members are out"
}

// evaluateIsolated returns the state of a member that reaches neither discovery nor any peer.
func (l *Lease) evaluateIsolated(input *Input, lastContact float64) (State, string) {
	// By what was known of the others at the last contact. In a large cluster few send a message within a term: they
	// are a sample of the rest.
	dead := 0
	sampled := 0          // others that were heard within a term before the last contact
	withoutDiscovery := 0 // of these
	for i := range input.Others {
		m := &input.Others[i]
		if m.DeadSince > 0 && m.DeadSince <= lastContact { // one declared dead later may be well: this member was isolated
			dead++
			continue
		}
		if m.LastContact > 0 && m.LastContact >= lastContact-l.Term {
			sampled++
			if m.lacksDiscovery() {
				withoutDiscovery++
			}
		}
	}
	if sampled == 0 {
		return Held, "cut off, and nobody is known to be well"
	}
	// The share of the sample without discovery is taken for that of all others, rounded up.
	unreachable := dead + (withoutDiscovery*(len(input.Others)-dead)+sampled-1)/sampled
	members := 1 + len(input.Others)
	// If discovery was lost some probe intervals before the peers, their last messages already told whether they had it.
	lostDiscoveryFirst := input.LastDiscovery < lastContact-isolationProbes*l.ProbeInterval
	switch {
	case withoutDiscovery == sampled:
		return Held, "cut off, and the others had no discovery either"
	case l.state == Out:
		return Out, "cut off"
	case lostDiscoveryFirst && unreachable+1 <= MaxOut(members):
		return Out, "cut off, after discovery was lost while others had it"
	case rank(input) < MaxOut(members)-unreachable:
		return Out, "cut off from discovery and all others"
	}
	return Held, "cut off, but not among the third that may take it for their own fault"
}

// lacksDiscovery reports whether the member was without a working discovery of its own at its last contact, or takes no
// new work anyway.
func (m *Member) lacksDiscovery() bool {
	return m.State != Held || m.Excluded || !m.DirectUpdate || m.LastContact > m.LastUpdate+discoveryUpdateInterval
}

// rank returns the position of this member in an order that no member can choose.
func rank(input *Input) (position int) {
	for i := range input.Others {
		if input.Others[i].Key < input.Self.Key {
			position++
		}
	}
	return position
}

// withinMaxOut reports whether this member is among the first MaxOut of the members that are out or candidates: members
// that are out come first, the rest in an order that is the same at all members.
func withinMaxOut(input *Input, candidate func(*Member) bool) bool {
	candidates := []Member{input.Self}
	for i := range input.Others {
		if input.Others[i].DeadSince > 0 || candidate(&input.Others[i]) {
			candidates = append(candidates, input.Others[i])
		}
	}
	slices.SortFunc(candidates, func(a, b Member) int {
		return cmp.Or(cmp.Compare(outRank(&b), outRank(&a)), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Name, b.Name))
	})
	return slices.IndexFunc(candidates, func(m Member) bool { return m.Name == input.Self.Name }) < MaxOut(1+len(input.Others))
}

// outRank is the sort key of members that are out or may be.
func outRank(m *Member) int {
	if m.State == Out || m.DeadSince > 0 {
		return 1
	}
	return 0
}
