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
func (p *Share) Equal(o *Share) bool {
	return p.Instances == o.Instances && p.Index == o.Index && p.Fraction == o.Fraction && p.Reason == o.Reason && slices.Equal(p.Keys, o.Keys)
}

// Calculator remembers who has left the count.
type Calculator struct {
	Config        Config
	removed       map[string]uint64 // found dead, and out of the count; by name, the life that is
	majoritySince float64           // since when more than half are heard without a break; 0: they are not
}

// New makes a Divisor.
func New(r Config) *Calculator { return &Calculator{Config: r, removed: map[string]uint64{}} }

// StopTimeout is how long after one was found dead it has surely stopped, or taken to its cautious part: each side of a cut finds
// the other dead within a suspicion's longest time, and what was sent last lasts for a fall time.
func (d *Calculator) StopTimeout(known int) float64 {
	return stopSuspicions*membership.MaxSuspicionTimeout(known, d.Config.ProbeInterval) + stopProbeIntervals*d.Config.ProbeInterval + d.Config.LoadDecay
}

// Share works out the place by a view at a time.
func (d *Calculator) Share(now float64, v *membership.View) Share {
	configured := Share{Instances: d.Config.Instances, Index: d.Config.Index, Fraction: 1, Reason: Alone}
	if !v.Contacted {
		return configured
	}
	known, heard := 0, 0
	for i := range v.Members {
		switch s := &v.Members[i]; s.State {
		case membership.Alive:
			known, heard = known+1, heard+1
		case membership.Suspect, membership.Dead:
			known++
		}
	}
	p := Share{Fraction: 1, Reason: Full}
	switch {
	case v.Withdrawn || v.Left || 2*heard < known:
		p.Fraction, p.Reason = CautiousFraction, CutOff
	case !v.Recognized, len(v.Members) < d.Config.Instances && now < v.JoinedAt+joinProbeIntervals*d.Config.ProbeInterval:
		p.Fraction, p.Reason = CautiousFraction, Unrecognized
	case 2*heard == known:
		p.Reason = Waiting
	}
	switch {
	case p.Reason != Full:
		d.majoritySince = 0
	case d.majoritySince == 0:
		d.majoritySince = now
	}
	// Those that are not heard knew that they are the smaller part only once this one was the larger.
	lease := d.StopTimeout(known)
	over := p.Reason == Full && now >= d.majoritySince+lease
	for i := range v.Members {
		s := &v.Members[i]
		if s.Self {
			p.Index = len(p.Keys)
		} else if !d.mayBeSending(now, s, over, lease) {
			continue
		}
		p.Keys = append(p.Keys, s.Key)
	}
	p.Instances = len(p.Keys)
	if p.Instances >= d.Config.Instances {
		return p
	}
	if !d.Config.AllMembers { // those that are no members count, too, and know nothing of keys
		configured.Fraction, configured.Reason = p.Fraction, Partial
		return configured
	}
	if p.Fraction < 1 { // others that are not known yet may be as many as was configured
		for i := p.Instances; i < d.Config.Instances; i++ {
			p.Keys = append(p.Keys, membership.Key("\x00"+strconv.Itoa(i)))
		}
		p.Instances = len(p.Keys)
	}
	return p
}

// mayBeSending says whether a member may be sending; over says whether this part was the larger one for a lease.
func (d *Calculator) mayBeSending(now float64, s *membership.Member, over bool, lease float64) bool {
	switch s.State {
	case membership.Left:
		delete(d.removed, s.Name)
		return false
	case membership.Dead:
		if d.removed[s.Name] == s.Generation {
			return false
		}
		if over && now >= s.Since+lease {
			d.removed[s.Name] = s.Generation
			return false
		}
		return true
	}
	delete(d.removed, s.Name)
	return true
}
