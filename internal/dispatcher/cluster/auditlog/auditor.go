package auditlog

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

var inf = math.Inf(1)

// Rules are the bounds by which an audit judges, in seconds.
type Rules struct {
	Grace          float64 // time after a drain was received in which new work may still start
	StragglerDelay float64 // delay after the first dispatcher from which one that learns a version is a straggler
}

// DefaultRules are the protocol's grace, and a second: some rounds of gossip.
var DefaultRules = Rules{Grace: 0.3, StragglerDelay: 1}

// Auditor combines the logs of many dispatchers. Call AddEntry for all entries, then Finish, then CheckAttempt for all
// attempts, then Report.
type Auditor struct {
	Rules Rules

	timelines    map[string][]*timeline // by dispatcher, in order of their starts
	byGeneration map[generationKey]*timeline
	clocks       *clockSolver
	mentioned    map[string]bool // dispatchers that others' entries mention and that have no log
	report       Report
	drains       map[string][]*drain // by worker
	violations   map[violationKey]*Violation

	stragglers        []*Straggler
	latestStragglerOf map[string]*Straggler // by dispatcher
}

// generationKey identifies one run of a dispatcher's process.
type generationKey struct{ dispatcher, generation string }

// NewAuditor returns an auditor without entries.
func NewAuditor(rules Rules) *Auditor {
	return &Auditor{
		Rules:             rules,
		timelines:         map[string][]*timeline{},
		byGeneration:      map[generationKey]*timeline{},
		clocks:            newClockSolver(),
		mentioned:         map[string]bool{},
		drains:            map[string][]*drain{},
		violations:        map[violationKey]*Violation{},
		latestStragglerOf: map[string]*Straggler{},
	}
}

// AddEntry adds an entry. Entries may come in any order, and more than once.
func (a *Auditor) AddEntry(entry *Entry) {
	t := a.ensureTimeline(generationKey{entry.Dispatcher, entry.Generation})
	t.entries = append(t.entries, entry)
	a.clocks.add(entry.Dispatcher)
	if entry.From != "" {
		a.mentioned[entry.From] = true
	}
	if entry.Kind == ClockReceived && validTime(entry.PeerClock) {
		a.clocks.addMessage(entry.Dispatcher, entry.Time, entry.From, entry.PeerClock)
	}
}

// ensureTimeline returns the timeline of a generation. A new one has no entries.
func (a *Auditor) ensureTimeline(key generationKey) *timeline {
	t := a.byGeneration[key]
	if t == nil {
		t = &timeline{dispatcher: key.dispatcher, generation: key.generation}
		a.byGeneration[key] = t
	}
	return t
}

// Finish combines the entries: clocks, versions, drains.
func (a *Auditor) Finish() {
	a.replayTimelines()
	offsets := a.clocks.solve()
	a.reportClocks(offsets)
	for _, t := range a.allTimelines() {
		t.correctClock(offsets[t.dispatcher].Lead)
	}
	a.reportGaps()
	a.analyzeVersions(offsets)
	a.findDrains(offsets)
}

func (a *Auditor) replayTimelines() {
	for _, t := range a.byGeneration {
		t.replay()
		a.timelines[t.dispatcher] = append(a.timelines[t.dispatcher], t)
	}
	for dispatcher, timelines := range a.timelines {
		slices.SortFunc(timelines, func(x, y *timeline) int { return cmp.Compare(x.first, y.first) })
		delete(a.mentioned, dispatcher)
	}
}

// reportClocks reports the offsets of the dispatchers that have a log.
func (a *Auditor) reportClocks(offsets map[string]ClockOffset) {
	for _, dispatcher := range slices.Sorted(maps.Keys(offsets)) {
		if a.timelines[dispatcher] == nil {
			continue
		}
		offset := offsets[dispatcher]
		a.report.Clocks = append(a.report.Clocks, offset)
		if !offset.Known {
			a.addInconclusive("%s: %s", dispatcher, offset.Reason)
		}
	}
}

// reportGaps reports the entries and logs that are missing.
func (a *Auditor) reportGaps() {
	for _, t := range a.allTimelines() {
		for _, gap := range t.gaps {
			a.addGap("%s: entries %d to %d of life %s are missing", t.dispatcher, gap.from, gap.to, t.generation)
		}
		if t.lostLines > 0 {
			a.addGap("%s: life %s lost %d lines by itself: its disk was slow or full", t.dispatcher, t.generation, t.lostLines)
		}
	}
	for _, dispatcher := range slices.Sorted(maps.Keys(a.mentioned)) {
		a.addGap("%s: others name it, and there is no ledger of it", dispatcher)
	}
}

func (a *Auditor) addGap(format string, args ...any) {
	a.report.Gaps = append(a.report.Gaps, fmt.Sprintf(format, args...))
}

// addInconclusive reports, once, what could not be judged.
func (a *Auditor) addInconclusive(format string, args ...any) {
	if text := fmt.Sprintf(format, args...); !slices.Contains(a.report.Inconclusive, text) {
		a.report.Inconclusive = append(a.report.Inconclusive, text)
	}
}

// allTimelines returns the timelines in a fixed order.
func (a *Auditor) allTimelines() (all []*timeline) {
	for _, dispatcher := range slices.Sorted(maps.Keys(a.timelines)) {
		all = append(all, a.timelines[dispatcher]...)
	}
	return all
}

// Report returns the result. Finish must have been called.
func (a *Auditor) Report() *Report {
	report := a.report
	for _, key := range slices.SortedFunc(maps.Keys(a.violations), violationKey.compare) {
		report.Violations = append(report.Violations, *a.violations[key])
	}
	for _, straggler := range a.stragglers {
		report.Stragglers = append(report.Stragglers, *straggler)
	}
	slices.SortFunc(report.Stragglers, func(x, y Straggler) int {
		return cmp.Or(cmp.Compare(x.Since, y.Since), cmp.Compare(x.Dispatcher, y.Dispatcher))
	})
	slices.Sort(report.Inconclusive)
	return &report
}
