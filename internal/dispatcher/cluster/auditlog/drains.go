package auditlog

import (
	"cmp"
	"slices"
)

// drain is a worker that gets no new work from a revision on.
type drain struct {
	epoch       listEpoch
	worker      string
	revision    int64
	at          float64 // when the first dispatcher knew
	uncertainty float64 // of at, in seconds
	liftedAt    float64 // when the first dispatcher knew that the worker is ready again; +Inf: never
}

// drainKey identifies a drain.
type drainKey struct {
	epoch    listEpoch
	worker   string
	revision int64
}

// findDrains finds the workers that got no new work, and from when to when that was known.
func (a *Auditor) findDrains(offsets map[string]ClockOffset) {
	for _, found := range a.findFirstDrains(offsets) {
		a.drains[found.worker] = append(a.drains[found.worker], found)
	}
	for worker, drains := range a.drains {
		slices.SortFunc(drains, func(x, y *drain) int {
			return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.revision, y.revision))
		})
		for _, t := range a.allTimelines() {
			for _, change := range t.blocked[worker] {
				if !change.blocked {
					liftDrains(drains, change.at-t.clockLead)
				}
			}
		}
	}
}

// findFirstDrains returns each drain with the time when the first dispatcher knew it.
func (a *Auditor) findFirstDrains(offsets map[string]ClockOffset) map[drainKey]*drain {
	found := map[drainKey]*drain{}
	for _, t := range a.allTimelines() {
		for worker, reports := range t.drains {
			for _, report := range reports {
				key := drainKey{report.epoch, worker, report.revision}
				if earlier := found[key]; earlier != nil && earlier.at <= report.at {
					continue
				}
				found[key] = &drain{
					epoch:       report.epoch,
					worker:      worker,
					revision:    report.revision,
					at:          report.at,
					uncertainty: offsets[t.dispatcher].Uncertainty,
					liftedAt:    inf,
				}
			}
		}
	}
	return found
}

// liftDrains records that a worker's drains before a time are lifted from then on.
func liftDrains(drains []*drain, at float64) {
	for _, earlier := range drains {
		if earlier.at < at {
			earlier.liftedAt = min(earlier.liftedAt, at)
		}
	}
}
