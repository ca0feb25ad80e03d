// Package quota computes, from the cluster's view, the share of the budget of a worker in slow start that this dispatcher
// may use. It is pure, and errs on the safe side: members whose views differ never use more together than the budget.
//
// A turn is one overload window of a worker's slow start. In each turn only some dispatchers, its holders, may send to the
// worker (loadbalancer/slow_start.go).
//
// Of the members that a dispatcher counts, the holders of the turn of a worker in slow start are the first in an order
// that depends on the worker, the turn and the names alone. A dispatcher that counts more members than another comes no
// earlier in its own order. So as long as every dispatcher counts all that may be sending, the shares of the holders sum
// to at most one budget, however their views differ otherwise. Hence
//
//   - a member that leaves is not counted from then on: it announces that once it has stopped;
//   - a dead member may be isolated and sending. It is counted until StopTimeout has passed, and longer at members
//     that have not been in contact with more than half of all known members, dead ones included, for as long;
//   - a member in contact with less than half, or with half if the other half may be connected as well, uses
//     CautiousFraction of its share: all such members together use that fraction of a budget;
//   - a member that joins, returns or was paused uses CautiousFraction of its share until enough other members have
//     confirmed that they count it and, while it knows fewer than are configured, until all others would have found
//     it.
//
// A member that has been in contact with nobody since its start uses the configured numbers.
package quota

import (
	"slices"
	"strconv"

	"cinderroad/internal/shared/membership"
)

const (
	stopSuspicions     = 2.0  // longest suspicions in StopTimeout: each side of a partition detects it within one
	stopProbeIntervals = 10.0 // and probe intervals, for the probes and the broadcasts
	// joinProbeIntervals is how long a member that knows fewer members than are configured, those that left included,
	// is cautious after it joined: it may have met only others that have just joined. All members ping seeds and dead
	// members within 12.5 probe intervals; after twice that it would have been contacted.
	joinProbeIntervals = 25.0
	// CautiousFraction is the fraction of its share that a member uses whom others may not count. A turn's budget is
	// four tenths of a worker's capacity, and two turns may fall into one span, so a quarter more would be all that is
	// left; half of that is for requests in flight.
	CautiousFraction = 0.125
)

// Config is what a share is computed by.
type Config struct {
	Instances     int     // configured number of dispatchers
	Index         int     // configured index of this one
	ProbeInterval float64 // of the membership, in seconds
	LoadDecay     float64 // seconds for which a worker's load lasts after the last request
	AllMembers    bool    // all dispatchers are members; else at least Instances are counted
}

// Reason says what a share is based on. /api/fleet shows it.
type Reason string

// The reasons for a share.
const (
	Alone        Reason = "alone"     // no contact with any member: the configured numbers
	Partial      Reason = "partial"   // not all dispatchers are members: the configured numbers
	Full         Reason = "full"      // the members that may be sending
	Waiting      Reason = "waiting"   // the same; contact with half only, so no dead member is discounted
	Unrecognized Reason = "uncounted" // others may not count this member
	CutOff       Reason = "cut off"   // contact with less than half: the others may continue without this member
)

// Share is this dispatcher's share of the budget of a worker in slow start.
type Share struct {
	Instances int      // dispatchers among whom the budget is divided
	Index     int      // of this one
	Fraction  float64  // of the share that this one may use
	Keys      []uint64 // of all that are counted, this one's at Index; nil: the order is as configured
	Reason    Reason
}

// Equal reports whether two shares lead to the same decisions.
func (s *Share) Equal(other *Share) bool {
	return s.Instances == other.Instances && s.Index == other.Index && s.Fraction == other.Fraction &&
		s.Reason == other.Reason && slices.Equal(s.Keys, other.Keys)
}

// Calculator computes shares. It remembers which dead members are no longer counted. It is not safe for concurrent use.
type Calculator struct {
	Config        Config
	removed       map[string]uint64 // generation of each dead member that is no longer counted, by name
	majoritySince float64           // time since when contact with more than half has not been interrupted; 0: there is none
}

// New returns a Calculator.
func New(config Config) *Calculator { return &Calculator{Config: config, removed: map[string]uint64{}} }

// StopTimeout returns the seconds after which a dead member has certainly stopped, or reduced its use to
// CautiousFraction: each side of a partition detects it within the longest suspicion, and the load of its last requests
// lasts for LoadDecay.
func (c *Calculator) StopTimeout(known int) float64 {
	interval := c.Config.ProbeInterval
	return stopSuspicions*membership.MaxSuspicionTimeout(known, interval) + stopProbeIntervals*interval + c.Config.LoadDecay
}

// Share computes the share by a view.
func (c *Calculator) Share(now float64, view *membership.View) Share {
	configured := Share{Instances: c.Config.Instances, Index: c.Config.Index, Fraction: 1, Reason: Alone}
	if !view.Contacted {
		return configured
	}
	known, alive := countMembers(view)
	share := Share{Fraction: 1, Reason: c.reason(now, view, known, alive)}
	if share.Reason == CutOff || share.Reason == Unrecognized {
		share.Fraction = CautiousFraction
	}
	switch {
	case share.Reason != Full:
		c.majoritySince = 0
	case c.majoritySince == 0:
		c.majoritySince = now
	}
	// Members out of contact knew to be the minority only once this side was the majority.
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
	if !c.Config.AllMembers { // dispatchers that are no members count as well, and do not use keys
		configured.Fraction = share.Fraction
		configured.Reason = Partial
		return configured
	}
	if share.Fraction < 1 { // there may be as many unknown members as are configured
		// The zero byte keeps their keys apart from those of real names.
		for i := share.Instances; i < c.Config.Instances; i++ {
			share.Keys = append(share.Keys, membership.Key("\x00"+strconv.Itoa(i)))
		}
		share.Instances = len(share.Keys)
	}
	return share
}

// countMembers returns the number of members that have not left, and of those in contact.
func countMembers(view *membership.View) (known, alive int) {
	for i := range view.Members {
		switch view.Members[i].State {
		case membership.Alive:
			known++
			alive++
		case membership.Suspect, membership.Dead:
			known++
		}
	}
	return known, alive
}

// reason returns what a share is based on after the first contact.
func (c *Calculator) reason(now float64, view *membership.View, known, alive int) Reason {
	hasJustJoined := now < view.JoinedAt+joinProbeIntervals*c.Config.ProbeInterval
	knowsTooFew := len(view.Members) < c.Config.Instances
	switch {
	case view.Withdrawn || view.Left || 2*alive < known:
		return CutOff
	case !view.Recognized || knowsTooFew && hasJustJoined:
		return Unrecognized
	case 2*alive == known:
		return Waiting
	}
	return Full
}

// mayBeSending reports whether a member may be sending. majorityEstablished says whether this side has been the
// majority for StopTimeout.
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
