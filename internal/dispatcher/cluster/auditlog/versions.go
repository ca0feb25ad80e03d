package auditlog

import (
	"cmp"
	"maps"
	"slices"
)

// versionKey identifies a version of a source's list.
type versionKey struct {
	epoch    listEpoch
	revision int64
}

func (k versionKey) compare(other versionKey) int {
	return cmp.Or(
		cmp.Compare(k.epoch.source, other.epoch.source),
		cmp.Compare(k.epoch.number, other.epoch.number),
		cmp.Compare(k.revision, other.revision),
	)
}

// firstAdoption is by whom and when a version was known first.
type firstAdoption struct {
	timeline *timeline
	at       float64
}

// analyzeVersions computes when each dispatcher learned each version, and who was late.
func (a *Auditor) analyzeVersions(offsets map[string]ClockOffset) {
	firstAdoptions := a.findFirstAdoptions()
	for _, version := range slices.SortedFunc(maps.Keys(firstAdoptions), versionKey.compare) {
		a.report.Versions = append(a.report.Versions, a.analyzeVersion(version, firstAdoptions[version], offsets))
	}
}

func (a *Auditor) findFirstAdoptions() map[versionKey]firstAdoption {
	found := map[versionKey]firstAdoption{}
	for _, t := range a.allTimelines() {
		for _, reached := range t.progress {
			version := versionKey{reached.epoch, reached.revision}
			if first, known := found[version]; !known || reached.at < first.at {
				found[version] = firstAdoption{t, reached.at}
			}
		}
	}
	return found
}

// analyzeVersion computes when the dispatchers that ran learned a version. Call it for the versions in their order, since
// it joins the versions that a straggler lacked.
func (a *Auditor) analyzeVersion(version versionKey, first firstAdoption, offsets map[string]ClockOffset) Version {
	result := Version{
		Source:   version.epoch.source,
		Epoch:    version.epoch.number,
		Revision: version.revision,
		First:    first.timeline.dispatcher,
		At:       first.at,
	}
	for _, t := range a.allTimelines() {
		isOther := t.dispatcher != first.timeline.dispatcher
		isRunning := t.first <= first.at && first.at < t.last
		if !isOther || !isRunning || !t.followsEpoch(version.epoch, first.at) {
			continue
		}
		uncertainty := offsets[t.dispatcher].Uncertainty + offsets[first.timeline.dispatcher].Uncertainty
		reached, ok := t.reached(version.epoch, version.revision)
		lackedUntil := t.last
		if ok {
			lackedUntil = reached.at
			result.Adoptions = append(result.Adoptions, Adoption{t.dispatcher, reached.at - first.at, uncertainty, reached.byPeer})
		} else {
			result.Never = append(result.Never, t.dispatcher)
		}
		if lackedUntil-first.at > a.Rules.StragglerDelay+uncertainty {
			a.addStraggler(t, version, interval{first.at, lackedUntil}, !ok)
		}
	}
	slices.SortFunc(result.Adoptions, func(x, y Adoption) int {
		return cmp.Or(cmp.Compare(x.After, y.After), cmp.Compare(x.Dispatcher, y.Dispatcher))
	})
	return result
}
