// Package lease decides whether this dispatcher may take new work by what it knows. It is pure.
//
// A member renews its lease by a fresh word of discovery: of its own, or one that a peer passes on and that confirms all that is
// known here. One that gets no such word takes no new work, but only where others do (F9), and never more than a third at once. What
// it cannot know it takes for the world's trouble and serves on, as it would alone (F1): where nobody has a fresh word, where
// it never had peers, and where it lost discovery and all peers at once while its name is not among the third that may take that
// for their own cut-off (F6).
package lease

import (
	"cmp"
	"math"
	"slices"
)

// State is how a member stands to its lease.
type State uint8

// The states.
const (
	Held   State = iota
	Lapsed       // no fresh word, though others have one: it waits to see who else is so
	Out          // takes no new work
	states
)

// String is the state as logs show it.
func (s State) String() string {
	if s >= states {
		return "unknown"
	}
	return [...]string{"held", "lapsed", "out"}[s]
}

const (
	silenceMultiple  = 3.0  // of a watch of discovery, after which it counts as dead, in a term
	probeMultiple    = 20.0 // and periods of the view: a word passes the fleet in a few, also where much gets lost
	lapsedWaitProbes = 6.0  // periods that one whose lease has lapsed waits: the others' laments have come by then
	discoverySilence = 6.0  // seconds after which discovery has said something new to whoever hears it
	minFreshMembers  = 2    // members that must have a fresh word: one alone may be wrong
)

// Term is how long a lease lasts without a fresh word where nobody says otherwise, in seconds, by the watch's silence and the
// view's period.
func Term(silence, period float64) float64 {
	return math.Max(silenceMultiple*silence, probeMultiple*period)
}

// MinTerm is how short it may be: discovery's pauses must not end it, nor the way of a word through the fleet.
func MinTerm(silence, period float64) float64 { return math.Max(silence+1, probeMultiple*period) }

// Member is another one as this one knows it.
type Member struct {
	Name         string
	Key          uint64
	LastContact  float64 // when it was last heard directly; 0: never
	LastUpdate   float64 // when it last told a new word of discovery that is of the same list as the own; 0: never
	DirectUpdate bool    // that was of its own discovery
	UpdateLead   float64 // seconds by which that word is newer than this one's, by the clocks of those that heard them from discovery
	State        State   // of its lease, as it says
	Excluded     bool    // shut out by hand
	DeadSince    float64 // since when it is held dead; 0: it is not. It may be cut off, and out for all that is known
}

// Input is what is known at a time. Times are of the own clock, in seconds.
type Input struct {
	Now           float64
	Self          Member   // Heard says nothing; Word is the last that confirmed all that is known here
	LastDiscovery float64  // when the own discovery last spoke; 0: never
	Others        []Member // all that may be sending
}

// Lease is one member's.
type Lease struct {
	ProbeInterval float64 // of the view, in seconds
	Term          float64 // seconds
	Reason        string  // of the state, for people

	state    State
	lapsedAt float64 // since when
}

// State is how the member stands.
func (l *Lease) State() State { return l.state }

// MaxOut is how many of so many members may be out at once.
func MaxOut(members int) int { return members / 3 }

// Update works the state out.
func (l *Lease) Update(in *Input) State {
	was := l.state
	l.state, l.Reason = l.evaluate(in)
	if l.state == Lapsed && was == Held {
		l.lapsedAt = in.Now
	}
	return l.state
}

func (l *Lease) evaluate(in *Input) (State, string) {
	if in.Self.Excluded {
		if withinQuota(in, func(m *Member) bool { return m.Excluded || m.State == Out }) {
			return Out, "shut out by hand"
		}
		return Held, "shut out by hand, but a third of the members are already"
	}
	term := l.Term
	if in.Self.LastUpdate == 0 || in.Now <= in.Self.LastUpdate+term {
		return Held, ""
	}
	connected, fresher, lastContact := 0, 0, 0.0
	for i := range in.Others {
		m := &in.Others[i]
		lastContact = math.Max(lastContact, m.LastContact)
		if m.LastContact > 0 && in.Now <= m.LastContact+term {
			connected++
			if m.State == Held && m.UpdateLead > term/2 {
				fresher++
			}
		}
	}
	switch {
	case lastContact == 0:
		return Held, "nobody was ever heard"
	case connected == 0:
		return l.evaluateIsolated(in, lastContact)
	case fresher < minFreshMembers:
		return Held, "nobody has a fresh word"
	case l.state == Held, in.Now < l.lapsedAt+lapsedWaitProbes*l.ProbeInterval:
		return Lapsed, "others have a fresh word"
	case l.state == Out || withinQuota(in, func(m *Member) bool { return m.State != Held || m.Excluded }):
		return Out, "others have a fresh word"
	}
	return Lapsed, "others have a fresh word, and a third of the members are out"
}

// evaluateIsolated judges one that hears neither discovery nor anybody.
func (l *Lease) evaluateIsolated(in *Input, lastContact float64) (State, string) {
	// What was known of the others when they were last heard. In a large fleet few are heard within a term: they stand for the rest.
	considered, withoutDiscovery, dead := 0, 0, 0
	for i := range in.Others {
		if m := &in.Others[i]; m.DeadSince > 0 && m.DeadSince <= lastContact { // before: else it is this one that was lost
			dead++
		}
		if m := &in.Others[i]; m.LastContact > 0 && m.LastContact >= lastContact-l.Term {
			if m.DeadSince > 0 && m.DeadSince <= lastContact {
				continue
			}
			if considered++; m.State != Held || m.Excluded || !m.DirectUpdate || m.LastContact > m.LastUpdate+discoverySilence {
				withoutDiscovery++
			}
		}
	}
	if considered == 0 {
		return Held, "cut off, and nobody is known to be well"
	}
	unreachable := dead + (withoutDiscovery*(len(in.Others)-dead)+considered-1)/considered
	discoveryKnown := withoutDiscovery < considered
	members := 1 + len(in.Others)
	switch {
	case !discoveryKnown:
		return Held, "cut off, and the others had no discovery either"
	case l.state == Out:
		return Out, "cut off"
	case in.LastDiscovery < lastContact-2*l.ProbeInterval && unreachable+1 <= MaxOut(members): // it lost discovery first, as the others saw
		return Out, "cut off, after discovery was lost while others had it"
	case rank(in) < MaxOut(members)-unreachable:
		return Out, "cut off from discovery and all others"
	}
	return Held, "cut off, but not among the third that may take it for their own fault"
}

// rank is this member's place in an order of all that none of them can choose.
func rank(in *Input) (place int) {
	for i := range in.Others {
		if in.Others[i].Key < in.Self.Key {
			place++
		}
	}
	return place
}

// withinQuota says whether this member is among those that the quota has room for: those that are out already go before, then by an order
// that is the same everywhere.
func withinQuota(in *Input, candidate func(*Member) bool) bool {
	candidates := []Member{in.Self}
	for i := range in.Others {
		if in.Others[i].DeadSince > 0 || candidate(&in.Others[i]) {
			candidates = append(candidates, in.Others[i])
		}
	}
	slices.SortFunc(candidates, func(x, y Member) int {
		return cmp.Or(cmp.Compare(outFirst(&y), outFirst(&x)), cmp.Compare(x.Key, y.Key), cmp.Compare(x.Name, y.Name))
	})
	return slices.IndexFunc(candidates, func(m Member) bool { return m.Name == in.Self.Name }) < MaxOut(1+len(in.Others))
}

func outFirst(m *Member) int {
	if m.State == Out || m.DeadSince > 0 {
		return 1
	}
	return 0
}
