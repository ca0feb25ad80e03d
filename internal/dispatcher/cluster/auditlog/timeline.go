package auditlog

import (
	"slices"
	"sort"
)

// listEpoch is an epoch of a source's lists. Versions of one epoch compare.
type listEpoch struct {
	source string
	number uint64
}

// interval is a time interval. to is +Inf if it has no end.
type interval struct{ from, to float64 }

// transition is a change of state at an entry.
type transition struct {
	entry   uint64
	at      float64
	blocked bool // no new work from this entry on
}

// progress is a version reached at an entry.
type progress struct {
	at       float64
	epoch    listEpoch
	revision int64 // all up to it is known, from the own list or from peers
	byPeer   bool  // from peers
	entry    uint64
}

// timeline is what one run of a dispatcher's process recorded, in order. Times are corrected by correctClock, except
// those of entries and transitions.
type timeline struct {
	dispatcher        string
	generation        string
	entries           []*Entry
	first             float64 // time of its first entry
	last              float64 // time of its last entry or answer
	ended             bool
	gaps              []gap
	blocked           map[string][]transition // workers that get no new work, by the own list and peers' facts
	outOfService      []transition            // no attempt may be made: the lease is out, or nothing was confirmed since a pause
	pauses            []interval
	discoverySilences []interval
	progress          []progress            // versions of which all facts were known
	newerKnown        []progress            // versions known to exist, before their facts were known
	drains            map[string][]progress // versions since which a worker gets no new work, by worker
	lostLines         uint64                // that the dispatcher could not write
	clockLead         float64               // seconds that its clock is ahead of the reference
}

// gap is a run of missing entries.
type gap struct {
	from, to uint64   // numbers of the first and the last missing entry
	interval interval // the time between the entries around
}

// correctClock corrects the timeline's times. Those that only compare with the own clock stay.
func (t *timeline) correctClock(lead float64) {
	t.clockLead = lead
	t.first -= lead
	t.last -= lead
	for i := range t.pauses {
		t.pauses[i].subtract(lead)
	}
	for i := range t.discoverySilences {
		t.discoverySilences[i].subtract(lead)
	}
	for i := range t.gaps {
		t.gaps[i].interval.subtract(lead)
	}
	subtractFromAll(t.progress, lead)
	subtractFromAll(t.newerKnown, lead)
	for _, drains := range t.drains {
		subtractFromAll(drains, lead)
	}
}

func (i *interval) subtract(seconds float64) {
	i.from -= seconds
	i.to -= seconds
}

func subtractFromAll(all []progress, seconds float64) {
	for i := range all {
		all[i].at -= seconds
	}
}

// followsEpoch reports whether a timeline was in an epoch at a time, or had no list yet.
func (t *timeline) followsEpoch(epoch listEpoch, at float64) bool {
	follows := true
	for _, r := range t.progress {
		if r.at > at {
			return follows || r.epoch == epoch
		}
		follows = r.epoch == epoch
	}
	return follows
}

// transitionAt returns whether new work was blocked at a mark, by the last of the transitions up to it, and since when by
// the own clock; false before the first. The transitions must be in the order of their entries.
func transitionAt(transitions []transition, mark uint64) (since float64, blocked bool) {
	i := sort.Search(len(transitions), func(i int) bool { return transitions[i].entry > mark })
	if i == 0 {
		return 0, false
	}
	return transitions[i-1].at, transitions[i-1].blocked
}

// reached returns when a revision of an epoch was known here.
func (t *timeline) reached(epoch listEpoch, revision int64) (reached progress, ok bool) {
	for _, r := range t.progress {
		if r.epoch == epoch && r.revision >= revision {
			return r, true
		}
	}
	return progress{}, false
}

// drainedAt returns when this timeline first had a worker get no new work since a revision. A worker's fact may be
// known before the revision is complete.
func (t *timeline) drainedAt(epoch listEpoch, worker string, revision int64) (known progress, ok bool) {
	reached, ok := t.reached(epoch, revision)
	for _, drained := range t.drains[worker] {
		if drained.epoch == epoch && drained.revision >= revision && (!ok || drained.at < reached.at) {
			return drained, true
		}
	}
	return reached, ok
}

// inGap reports whether an entry may be missing in a time.
func (t *timeline) inGap(within interval) bool {
	return slices.ContainsFunc(t.gaps, func(g gap) bool { return overlap(g.interval, within) >= 0 })
}

// overlap returns the length of the part that two intervals have in common; below 0: there is none.
func overlap(x, y interval) float64 { return min(x.to, y.to) - max(x.from, y.from) }

// longestOverlap returns the longest overlap of any interval with a time; 0: there is none.
func longestOverlap(intervals []interval, within interval) (longest float64) {
	for _, each := range intervals {
		longest = max(longest, overlap(each, within))
	}
	return longest
}
