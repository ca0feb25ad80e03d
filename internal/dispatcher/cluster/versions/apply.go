package versions

import (
	"fmt"
	"maps"
	"slices"
)

// This file takes the lists of the own discovery.

// HandleDiscoveryContact records that the own discovery replied, if only that nothing has changed.
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

// ApplyList applies a version of the own list: the entries that changed, with State Gone for those that are no longer
// in it. cached says that the list was read from disk.
func (t *Table) ApplyList(now float64, source string, revision int64, cached bool, entries []Entry) {
	t.updateVersion(now, source, revision)
	t.hasVersion = true
	t.versionSince = now
	t.cached = cached
	if !cached && t.firstLiveAt == 0 {
		t.firstLiveAt = now
	}
	t.epochs[source] = max(t.epochs[source], t.version.Epoch)
	if !cached {
		t.HandleDiscoveryContact(now)
	}
	var changed []Fact
	for _, entry := range entries {
		if !t.applyEntry(entry) {
			continue
		}
		news := Fact{entry.Worker, entry.State, entry.Start, revision}
		changed = append(changed, news)
		known := t.facts[entry.Worker]
		isOutdated := known != nil && known.Revision > revision // the worker stays restricted by the peer's fact
		if !cached && !isOutdated {
			t.addFact(&fact{Fact: news, receivedAt: now})
		}
	}
	t.OnEvent(now, &Event{Kind: ListApplied, Version: t.version, Cached: cached, Facts: changed})
	t.updateRestrictions()
}

// applyEntry applies an entry of the own list. It reports whether that changes what other members must know of the worker.
func (t *Table) applyEntry(entry Entry) (isNews bool) {
	before, known := t.workers[entry.Worker]
	if entry.State == Gone {
		delete(t.workers, entry.Worker)
	} else {
		t.workers[entry.Worker] = entry
	}
	if entry.State != Ready {
		return !known || before.State != entry.State
	}
	hasChanged := known && (before.State != Ready || before.Start != entry.Start)
	return hasChanged || t.facts[entry.Worker] != nil
}

// updateVersion sets the version of the own list. A revision that goes back begins a new epoch, unless the list so far was
// read from disk.
func (t *Table) updateVersion(now float64, source string, revision int64) {
	switch {
	case !t.hasVersion || source != t.version.Source:
		t.version = Version{Source: source, Epoch: t.epochs[source], Revision: revision}
		t.firstLiveAt = 0
		t.epochStart = 0
		t.dropFacts()
	case revision < t.version.Revision && t.cached: // the cached list may be of an earlier epoch: it tells nothing
		t.version.Revision = revision
		t.dropFacts()
	case revision < t.version.Revision: // a new epoch, which others may know already
		t.version.Epoch = max(t.version.Epoch+1, t.epochs[source])
		t.version.Revision = revision
		t.epochStart = now
		t.dropFacts()
		t.Log(fmt.Sprintf("revision of the list has decreased to %d, starting epoch %d", revision, t.version.Epoch))
	default:
		t.version.Revision = revision
	}
}

// completeUpTo returns the newest revision of which all facts are known here.
func (t *Table) completeUpTo() int64 { return max(t.version.Revision, t.caughtUpTo) }

// dropFacts drops all that no longer compares with the own list.
func (t *Table) dropFacts() {
	t.caughtUpTo = 0
	t.newestKnown = 0
	clear(t.facts)
	t.pendingFacts = 0
}

// addFact replaces a worker's fact. If there is no room the oldest fact is dropped, which may be this one.
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
