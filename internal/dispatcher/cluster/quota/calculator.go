// Package divisor works out, from the fleet's view, among whom cold workers are shared: the place that the decisions take
// for nInstances and me. It is pure, and errs to one side: members whose views differ never give out more together than
// the rule allows.
//
// The rule (F4). Of the members that a dispatcher counts, the holders of a cold worker's turn are those that come first in an
// order drawn from the worker, the turn and the names alone. Whoever counts more members than another comes no earlier in
// its own order. So as long as everybody counts all that may be sending, the holders' shares sum to one budget at most, however
// the views differ beyond that. Hence
//
//   - a member that leaves by word leaves the count at once: it says so when it has stopped;
//   - one that is found dead may be cut off and sending. It leaves the count after the lease, and only at members that hear
//     more than half of all that are known, those that were found dead among them, and have for as long;
//   - one that hears less than half, for which a half that hears each other may stand in, takes an eighth of its share:
//     all such together take an eighth of a budget;
//   - one that joins, comes back or has slept takes an eighth of its share until enough others have told that they count it,
//     and, while it knows fewer than are configured, until all others would have found it.
//
// One that has heard nobody since its start decides by the configured numbers.
package quota

import (
	"slices"
	"strconv"

	"cinderroad/internal/shared/membership"
)

const (
	stopSuspicions     = 2.0  // longest suspicions in a lease: each side of a cut notices it within one
	stopProbeIntervals = 10.0 // and periods, for the probes and the news of it
	// A member that has begun and has known fewer than are configured, those that left among them, may have met only others that have just begun, too. All
	// that run ask seeds and the dead within 12.5 periods: after twice that somebody would have been heard.
	joinProbeIntervals = 25.0
	// CautiousFraction is the part of its share that a member takes which others may not count. A turn's budget is four tenths of
	// what a worker bears, and two turns may fall into one span: a quarter more would be all that is left, and half of that
	// is for what is on its way.
	CautiousFraction = 0.125
)

// Config are what the place is worked out by.
type Config struct {
	Instances     int     // as configured
	Index         int     // likewise
	ProbeInterval float64 // of the membership, in seconds
	LoadDecay     float64 // seconds for which what was sent last still counts: the fall time
	AllMembers    bool    // all dispatchers are members; else the configured number is the least
}

// Reason says what a place rests on.
type Reason string

// The reasons.
const (
	Alone        Reason = "alone"     // nobody was heard from: the configured numbers
	Partial      Reason = "partial"   // not all dispatchers are members: likewise
	Full         Reason = "full"      // the members that may be sending
	Waiting      Reason = "waiting"   // the same, not lessened: too few are heard to say who has stopped
	Unrecognized Reason = "uncounted" // others may not count this one
	CutOff       Reason = "cut off"   // less than half are heard: the others may go on without this one
)

// Share is among whom cold workers are shared.
type Share struct {
	Instances int
	Index     int
	Fraction  float64  // of its share that is taken
	Keys      []uint64 // of all that are counted, this one at Me; nil: places are as configured
	Reason    Reason
}

// Equal says whether two places decide alike.
func (p *Share) Equal(other *Share) bool {
	return p.Instances == other.Instances && p.Index == other.Index && p.Fraction == other.Fraction && p.Reason == other.Reason && slices.Equal(p.Keys, other.Keys)
}

// Calculator remembers who has left the count.
type Calculator struct {
	Config        Config
	removed       map[string]uint64 // found dead, and out of the count; by name, the life that is
	majoritySince float64           // since when more than half are heard without a break; 0: they are not
}

// New makes a Divisor.
func New(config Config) *Calculator { return &Calculator{Config: config, removed: map[string]uint64{}} }

// StopTimeout is how long after one was found dead it has surely stopped, or taken to its cautious part: each side of a cut finds
// the other dead within a suspicion's longest time, and what was sent last lasts for a fall time.
func (c *Calculator) StopTimeout(known int) float64 {
	return stopSuspicions*membership.MaxSuspicionTimeout(known, c.Config.ProbeInterval) + stopProbeIntervals*c.Config.ProbeInterval + c.Config.LoadDecay
}

// Share works out the place by a view at a time.
func (c *Calculator) Share(now float64, view *membership.View) Share {
	configured := Share{Instances: c.Config.Instances, Index: c.Config.Index, Fraction: 1, Reason: Alone}
	if !view.Contacted {
		return configured
	}
	known, alive := 0, 0
	for i := range view.Members {
		switch member := &view.Members[i]; member.State {
		case membership.Alive:
			known, alive = known+1, alive+1
		case membership.Suspect, membership.Dead:
			known++
		}
	}
	share := Share{Fraction: 1, Reason: Full}
	switch {
	case view.Withdrawn || view.Left || 2*alive < known:
		share.Fraction, share.Reason = CautiousFraction, CutOff
	case !view.Recognized, len(view.Members) < c.Config.Instances && now < view.JoinedAt+joinProbeIntervals*c.Config.ProbeInterval:
		share.Fraction, share.Reason = CautiousFraction, Unrecognized
	case 2*alive == known:
		share.Reason = Waiting
	}
	switch {
	case share.Reason != Full:
		c.majoritySince = 0
	case c.majoritySince == 0:
		c.majoritySince = now
	}
	// Those that are not heard knew that they are the smaller part only once this one was the larger.
	stopTimeout := c.StopTimeout(known)
	established := share.Reason == Full && now >= c.majoritySince+stopTimeout
	for i := range view.Members {
		member := &view.Members[i]
		if member.Self {
			share.Index = len(share.Keys)
		} else if !c.mayBeSending(now, member, established, stopTimeout) {
			continue
		}
		share.Keys = append(share.Keys, member.Key)
	}
	share.Instances = len(share.Keys)
	if share.Instances >= c.Config.Instances {
		return share
	}
	if !c.Config.AllMembers { // those that are no members count, too, and know nothing of keys
		configured.Fraction, configured.Reason = share.Fraction, Partial
		return configured
	}
	if share.Fraction < 1 { // others that are not known yet may be as many as was configured
		for i := share.Instances; i < c.Config.Instances; i++ {
			share.Keys = append(share.Keys, membership.Key("\x00"+strconv.Itoa(i)))
		}
		share.Instances = len(share.Keys)
	}
	return share
}

// mayBeSending says whether a member may be sending; over says whether this part was the larger one for a lease.
func (c *Calculator) mayBeSending(now float64, member *membership.Member, majorityEstablished bool, stopTimeout float64) bool {
	switch member.State {
	case membership.Left:
		delete(c.removed, member.Name)
		return false
	case membership.Dead:
		if c.removed[member.Name] == member.Generation {
			return false
		}
		if majorityEstablished && now >= member.Since+stopTimeout {
			c.removed[member.Name] = member.Generation
			return false
		}
		return true
	}
	delete(c.removed, member.Name)
	return true
}
