package auditlog

// addStraggler reports that a dispatcher lacked a version for a time. Versions that it lacked at the same time are one
// fault: they extend the straggler that was reported for the first of them.
func (a *Auditor) addStraggler(t *timeline, version versionKey, lacked interval, never bool) {
	latest := a.latestStragglerOf[t.dispatcher]
	if latest != nil && lacked.from <= latest.Since+latest.Duration {
		latest.LastRevision = version.revision
		latest.Duration = max(latest.Duration, lacked.to-latest.Since)
		latest.Never = latest.Never || never
		return
	}
	straggler := &Straggler{
		Dispatcher:   t.dispatcher,
		Cause:        a.stragglerCause(t, version, lacked),
		Revision:     version.revision,
		LastRevision: version.revision,
		Since:        lacked.from,
		Duration:     lacked.to - lacked.from,
		Never:        never,
	}
	a.latestStragglerOf[t.dispatcher] = straggler
	a.stragglers = append(a.stragglers, straggler)
}

// stragglerCause returns why a dispatcher lacked a version for a time.
func (a *Auditor) stragglerCause(t *timeline, version versionKey, lacked interval) string {
	half := a.Rules.StragglerDelay / 2
	switch {
	case t.inGap(lacked):
		return CauseUnclear
	case longestOverlap(t.pauses, lacked) > half:
		return CausePaused
	}
	informedAt := lacked.to // when it knew that there is a newer version
	for _, newer := range t.newerKnown {
		if newer.epoch == version.epoch && newer.revision >= version.revision {
			informedAt = min(informedAt, max(newer.at, lacked.from))
		}
	}
	slow := lacked.to - informedAt
	isolated := longestOverlap(t.discoverySilences, interval{lacked.from, informedAt})
	switch { // the cause is what lasted longer
	case slow > half && slow >= isolated:
		return CauseSlow
	case isolated > half:
		return CauseIsolated
	}
	return CauseNotInformed
}

// stragglerAt returns the straggler that a dispatcher was at a time; nil: it was none.
func (a *Auditor) stragglerAt(dispatcher string, at float64) *Straggler {
	for _, straggler := range a.stragglers {
		if straggler.Dispatcher == dispatcher && at >= straggler.Since && at <= straggler.Since+straggler.Duration {
			return straggler
		}
	}
	return nil
}
