package auditlog

import (
	"cmp"
	"slices"
)

// The states of a worker in an entry. All but workerReady get no new work.
const (
	workerReady    = "ready"
	workerDraining = "draining"
	workerGone     = "gone"
)

// replayState is what a dispatcher knows during the replay.
type replayState struct {
	list      map[string]string // state of each worker by the own list
	peerFacts map[string]Worker // by peers
	epoch     listEpoch
	revision  int64
	blocked   map[string]bool // workers that get no new work
	leaseOut  bool
	paused    bool // nothing was confirmed since a pause
}

// replay derives the timeline from its entries, which are at least one.
func (t *timeline) replay() {
	slices.SortFunc(t.entries, func(x, y *Entry) int { return cmp.Compare(x.Number, y.Number) })
	t.entries = slices.CompactFunc(t.entries, func(x, y *Entry) bool { return x.Number == y.Number }) // a file may be given twice
	t.blocked = map[string][]transition{}
	t.drains = map[string][]progress{}
	t.first = t.entries[0].Time
	t.last = max(t.last, t.entries[len(t.entries)-1].Time)
	state := replayState{list: map[string]string{}, peerFacts: map[string]Worker{}, blocked: map[string]bool{}}
	nextNumber := uint64(1)
	previousTime := t.first
	for _, entry := range t.entries {
		if entry.Number != nextNumber {
			t.gaps = append(t.gaps, gap{from: nextNumber, to: entry.Number - 1, interval: interval{previousTime, entry.Time}})
		}
		nextNumber = entry.Number + 1
		previousTime = entry.Time
		t.lostLines = max(t.lostLines, entry.LostLines)
		t.replayEntry(entry, &state)
	}
}

// replayEntry applies an entry to the state, and records what it changed.
func (t *timeline) replayEntry(entry *Entry, state *replayState) {
	wasOut := state.isOutOfService()
	switch entry.Kind {
	case ListApplied, FactsReceived, FactsDoubted, CaughtUp:
		state.apply(entry)
		t.recordDrains(entry)
		t.recordBlocked(entry, state)
		t.recordProgress(entry)
	case NewerKnown:
		t.newerKnown = append(t.newerKnown, newProgress(entry))
	case DiscoverySilent:
		t.discoverySilences = append(t.discoverySilences, interval{entry.Time - entry.LateSeconds, inf})
	case DiscoveryResumed:
		endLast(t.discoverySilences, entry.Time)
	case LeaseChanged:
		state.leaseOut = entry.Out
	case Paused:
		t.pauses = append(t.pauses, interval{entry.Time - entry.LateSeconds, inf})
		state.paused = true
	case Resumed:
		endLast(t.pauses, entry.Time)
		state.paused = false
	case Ended:
		t.ended = true
	}
	if out := state.isOutOfService(); out != wasOut {
		t.outOfService = append(t.outOfService, transition{entry: entry.Number, at: entry.Time, blocked: out})
	}
}

// endLast ends the last interval, if there is one.
func endLast(intervals []interval, at float64) {
	if last := len(intervals) - 1; last >= 0 {
		intervals[last].to = at
	}
}

// newProgress returns the version that an entry names.
func newProgress(entry *Entry) progress {
	return progress{
		at:       entry.Time,
		epoch:    listEpoch{entry.Source, entry.Epoch},
		revision: entry.Revision,
		entry:    entry.Number,
	}
}

// recordDrains records the workers of an entry that get no new work.
func (t *timeline) recordDrains(entry *Entry) {
	if entry.Kind == FactsDoubted {
		return
	}
	for _, worker := range entry.Workers {
		if worker.State == workerReady {
			continue
		}
		drained := newProgress(entry)
		drained.revision = cmp.Or(worker.Revision, entry.Revision)
		drained.byPeer = entry.Kind == FactsReceived
		t.drains[worker.Name] = append(t.drains[worker.Name], drained)
	}
}

// recordBlocked records the workers that get no new work since an entry, and those that do again.
func (t *timeline) recordBlocked(entry *Entry, state *replayState) {
	names := map[string]bool{}
	for name := range state.blocked {
		names[name] = true
	}
	for _, worker := range entry.Workers {
		names[worker.Name] = true
	}
	for name := range names {
		isBlocked := state.isBlocked(name)
		if isBlocked == state.blocked[name] {
			continue
		}
		t.blocked[name] = append(t.blocked[name], transition{entry.Number, entry.Time, isBlocked})
		if isBlocked {
			state.blocked[name] = true
		} else {
			delete(state.blocked, name)
		}
	}
}

// recordProgress records the version that an entry completes.
func (t *timeline) recordProgress(entry *Entry) {
	isOwnList := entry.Kind == ListApplied && !entry.Cached
	isFromPeers := entry.Kind == CaughtUp
	if !isOwnList && !isFromPeers {
		return
	}
	reached := newProgress(entry)
	reached.byPeer = isFromPeers
	t.progress = append(t.progress, reached)
}

// apply applies what an entry says of workers.
func (s *replayState) apply(entry *Entry) {
	switch entry.Kind {
	case ListApplied:
		s.applyList(entry)
	case FactsReceived:
		if s.epoch != (listEpoch{entry.Source, entry.Epoch}) {
			return
		}
		for _, worker := range entry.Workers {
			known, isKnown := s.peerFacts[worker.Name]
			if worker.Revision > s.revision && (!isKnown || worker.Revision >= known.Revision) {
				s.peerFacts[worker.Name] = worker
			}
		}
	case FactsDoubted:
		for _, worker := range entry.Workers {
			delete(s.peerFacts, worker.Name)
		}
	}
}

// applyList applies a version of the own list. It supersedes the peers' facts up to it, and all of another epoch.
func (s *replayState) applyList(entry *Entry) {
	epoch := listEpoch{entry.Source, entry.Epoch}
	if epoch != s.epoch || entry.Revision < s.revision {
		s.epoch = epoch
		clear(s.peerFacts)
	}
	s.revision = entry.Revision
	for _, worker := range entry.Workers {
		s.list[worker.Name] = worker.State
	}
	for name, fact := range s.peerFacts {
		if fact.Revision <= s.revision {
			delete(s.peerFacts, name)
		}
	}
}

// isBlocked reports whether a worker gets no new work.
func (s *replayState) isBlocked(name string) bool {
	fact := s.peerFacts[name]
	return isBlockedState(s.list[name]) || fact.Revision > s.revision && isBlockedState(fact.State)
}

func isBlockedState(state string) bool { return state == workerDraining || state == workerGone }

// isOutOfService reports whether no attempt may be made.
func (s *replayState) isOutOfService() bool { return s.leaseOut || s.paused }
