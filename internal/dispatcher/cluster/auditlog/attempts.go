package auditlog

import "cmp"

// violationKey tells violations apart.
type violationKey struct{ dispatcher, rule, node string }

func (k violationKey) compare(other violationKey) int {
	return cmp.Or(
		cmp.Compare(k.dispatcher, other.dispatcher),
		cmp.Compare(k.rule, other.rule),
		cmp.Compare(k.node, other.node),
	)
}

// CheckAttempt judges an attempt by what its dispatcher knew at the attempt's mark. Finish must have been called.
func (a *Auditor) CheckAttempt(attempt *Attempt) {
	a.report.Attempts++
	t := a.byGeneration[generationKey{attempt.Dispatcher, attempt.Generation}]
	if !a.isConclusive(attempt, t) {
		return
	}
	a.report.Judged++
	t.last = max(t.last, attempt.At-t.clockLead)
	if since, blocked := transitionAt(t.outOfService, attempt.Mark); blocked && attempt.At > since+a.Rules.Grace {
		a.addViolation(attempt, "sent out of its lease, or before it looked again after a sleep", "", attempt.At-since)
		return
	}
	if since, blocked := transitionAt(t.blocked[attempt.Node], attempt.Mark); blocked {
		if attempt.At > since+a.Rules.Grace {
			a.addViolation(attempt, "sent to a worker after it was told that it gets nothing new", attempt.Node, attempt.At-since)
		}
		return
	}
	a.countStragglerAttempt(attempt, t)
}

// isConclusive reports whether an attempt can be judged by a timeline, which is nil if there is none. If not, or if
// entries before the attempt are missing, it reports why.
func (a *Auditor) isConclusive(attempt *Attempt, t *timeline) bool {
	if attempt.Mark == 0 {
		a.addInconclusive("%s: sends without a mark: made with the fleet off, or by an older form", attempt.Dispatcher)
		return false
	}
	if t == nil {
		a.addInconclusive("%s: sends of life %s, of which there is no ledger", attempt.Dispatcher, attempt.Generation)
		return false
	}
	lastEntry := t.entries[len(t.entries)-1].Number
	if attempt.Mark > lastEntry {
		a.addInconclusive("%s: sends by entries after the last that is there of life %s (%d)",
			attempt.Dispatcher, t.generation, lastEntry)
		return false
	}
	if len(t.gaps) > 0 && t.gaps[0].from <= attempt.Mark {
		a.addInconclusive("%s: sends after a hole in life %s are judged by what is there", attempt.Dispatcher, t.generation)
	}
	return true
}

// countStragglerAttempt counts an attempt by an old version, at a worker that others knew to get no new work, with the
// straggler that its dispatcher was at that time.
func (a *Auditor) countStragglerAttempt(attempt *Attempt, t *timeline) {
	at := attempt.At - t.clockLead
	for _, drain := range a.drains[attempt.Node] {
		isDraining := at > drain.at+drain.uncertainty+a.Rules.Grace && at < drain.liftedAt
		if !isDraining || !t.followsEpoch(drain.epoch, at) {
			continue
		}
		if known, ok := t.drainedAt(drain.epoch, drain.worker, drain.revision); ok && known.at <= at {
			continue
		}
		if straggler := a.stragglerAt(attempt.Dispatcher, at); straggler != nil {
			straggler.Attempts++
			return
		}
	}
}

// addViolation records that an attempt broke a rule, so many seconds after the rule applied.
func (a *Auditor) addViolation(attempt *Attempt, rule, node string, after float64) {
	key := violationKey{attempt.Dispatcher, rule, node}
	violation := a.violations[key]
	if violation == nil {
		violation = &Violation{Dispatcher: attempt.Dispatcher, Rule: rule, Node: node, First: attempt.ID, At: attempt.At}
		a.violations[key] = violation
	}
	violation.Attempts++
	violation.LatestAfter = max(violation.LatestAfter, after)
}
