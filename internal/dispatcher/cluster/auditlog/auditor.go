package auditlog

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
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
	violations   map[string]*Violation

	stragglers []*Straggler
}

// Report is the result of an audit. Times are the reference's, except for clocks that could not be corrected. Its JSON
// is a public format.
type Report struct {
	Clocks       []ClockOffset `json:"clocks"`
	Versions     []Version     `json:"versions"`
	Violations   []Violation   `json:"broken"`
	Stragglers   []Straggler   `json:"stragglers"`
	Gaps         []string      `json:"holes"`
	Inconclusive []string      `json:"untold"` // what could not be judged, and why
	Attempts     int           `json:"sends"`
	Judged       int           `json:"judged"` // attempts that were judged by their marks
}

// Version is when each dispatcher learned a version.
type Version struct {
	Source    string     `json:"source"`
	Epoch     uint64     `json:"descent,omitempty"`
	Revision  int64      `json:"rev"`
	First     string     `json:"first"` // the dispatcher that knew it first
	At        float64    `json:"at"`
	Adoptions []Adoption `json:"taken"`           // by the others, in order of time
	Never     []string   `json:"never,omitempty"` // dispatchers that ran and did not learn it
}

// Adoption is when a dispatcher learned a version.
type Adoption struct {
	Dispatcher  string  `json:"by"`
	After       float64 `json:"after_s"` // seconds after the first dispatcher
	Uncertainty float64 `json:"within_s"`
	ByPeer      bool    `json:"peer,omitempty"` // learned from peers
}

// Violation is a rule that a dispatcher broke, once or more.
type Violation struct {
	Dispatcher  string  `json:"by"`
	Rule        string  `json:"rule"`
	Node        string  `json:"node,omitempty"`
	Attempts    int     `json:"sends"`
	First       string  `json:"first"` // ID of the first such request
	At          float64 `json:"at"`
	LatestAfter float64 `json:"latest_s"` // greatest delay of such an attempt after the rule applied
}

// Straggler is a dispatcher that learned versions late.
type Straggler struct {
	Dispatcher   string  `json:"by"`
	Cause        string  `json:"cause"`
	Revision     int64   `json:"rev"` // the first that it lacked
	LastRevision int64   `json:"to"`  // the last that it lacked
	Since        float64 `json:"from"`
	Duration     float64 `json:"for_s"`
	Never        bool    `json:"never,omitempty"` // it had not caught up when its log ends
	Attempts     int     `json:"sends"`           // attempts meanwhile at workers that others knew to get no new work
}

// The causes of a late version.
const (
	CausePaused      = "asleep"
	CauseIsolated    = "cut off"
	CauseSlow        = "told and slow"
	CauseNotInformed = "not told"
	CauseUnclear     = "cannot be told: entries are missing"
)

// drain is a worker that gets no new work from a revision on.
type drain struct {
	epoch       listEpoch
	worker      string
	revision    int64
	at          float64 // when the first dispatcher knew
	uncertainty float64
	liftedAt    float64 // when the first dispatcher knew that the worker is ready again
}

// generationKey identifies one run of a dispatcher's process.
type generationKey struct{ dispatcher, generation string }

// NewAuditor returns an auditor without entries.
func NewAuditor(rules Rules) *Auditor {
	return &Auditor{Rules: rules, timelines: map[string][]*timeline{},
		byGeneration: map[generationKey]*timeline{}, clocks: newClockSolver(), mentioned: map[string]bool{},
		drains: map[string][]*drain{}, violations: map[string]*Violation{}}
}

func (a *Auditor) timeline(dispatcher, generation string) *timeline {
	t := a.byGeneration[generationKey{dispatcher, generation}]
	if t == nil {
		t = &timeline{dispatcher: dispatcher, generation: generation}
		a.byGeneration[generationKey{dispatcher, generation}] = t
	}
	return t
}

// AddEntry adds an entry.
func (a *Auditor) AddEntry(entry *Entry) {
	t := a.timeline(entry.Dispatcher, entry.Generation)
	t.entries = append(t.entries, entry)
	a.clocks.add(entry.Dispatcher)
	if entry.From != "" {
		a.mentioned[entry.From] = true
	}
	if entry.Kind == ClockReceived && validTime(entry.PeerClock) {
		a.clocks.addMessage(entry.Dispatcher, entry.Time, entry.From, entry.PeerClock)
	}
}

// Finish combines the entries: clocks, versions, drains.
func (a *Auditor) Finish() {
	for _, t := range a.byGeneration {
		t.replay()
		a.timelines[t.dispatcher] = append(a.timelines[t.dispatcher], t)
	}
	for by, lives := range a.timelines {
		slices.SortFunc(lives, func(x, y *timeline) int { return cmp.Compare(x.first, y.first) })
		delete(a.mentioned, by)
	}
	offsets := a.clocks.solve()
	for _, by := range slices.Sorted(maps.Keys(offsets)) {
		if a.timelines[by] != nil {
			a.report.Clocks = append(a.report.Clocks, offsets[by])
			if !offsets[by].Known {
				a.addInconclusive("%s: %s", by, offsets[by].Reason)
			}
		}
	}
	for _, t := range a.allTimelines() {
		t.correctClock(offsets[t.dispatcher].Lead)
		for _, h := range t.gaps {
			a.report.Gaps = append(a.report.Gaps,
				fmt.Sprintf("%s: entries %d to %d of life %s are missing", t.dispatcher, h.from, h.to, t.generation))
		}
		if t.lostLines > 0 {
			a.report.Gaps = append(a.report.Gaps,
				fmt.Sprintf("%s: life %s lost %d lines by itself: its disk was slow or full", t.dispatcher, t.generation, t.lostLines))
		}
	}
	for _, by := range slices.Sorted(maps.Keys(a.mentioned)) {
		a.report.Gaps = append(a.report.Gaps, by+": others name it, and there is no ledger of it")
	}
	a.analyzeVersions(offsets)
	a.findDrains(offsets)
}

// allTimelines returns the timelines in a fixed order.
func (a *Auditor) allTimelines() (all []*timeline) {
	for _, by := range slices.Sorted(maps.Keys(a.timelines)) {
		all = append(all, a.timelines[by]...)
	}
	return all
}

// correctClock corrects the timeline's times. Those that only compare with the own clock stay.
func (t *timeline) correctClock(ahead float64) {
	t.clockLead = ahead
	t.first -= ahead
	t.last -= ahead
	for _, spans := range [][]interval{t.pauses, t.discoverySilences} {
		for i := range spans {
			spans[i].from -= ahead
			spans[i].to -= ahead
		}
	}
	for i := range t.gaps {
		t.gaps[i].interval.from -= ahead
		t.gaps[i].interval.to -= ahead
	}
	rises := [][]progress{t.progress, t.newerKnown}
	for _, d := range t.drains {
		rises = append(rises, d)
	}
	for _, r := range rises {
		for i := range r {
			r[i].at -= ahead
		}
	}
}

func (a *Auditor) addInconclusive(format string, args ...any) {
	if text := fmt.Sprintf(format, args...); !slices.Contains(a.report.Inconclusive, text) {
		a.report.Inconclusive = append(a.report.Inconclusive, text)
	}
}

// analyzeVersions computes when each dispatcher learned each version, and who was late.
func (a *Auditor) analyzeVersions(offsets map[string]ClockOffset) {
	type key struct {
		epoch    listEpoch
		revision int64
	}
	first := map[key]*timeline{}
	firstAt := map[key]float64{}
	for _, t := range a.allTimelines() {
		for _, r := range t.progress {
			k := key{r.epoch, r.revision}
			if at, known := firstAt[k]; !known || r.at < at {
				firstAt[k], first[k] = r.at, t
			}
		}
	}
	keys := slices.SortedFunc(maps.Keys(firstAt), func(x, y key) int {
		return cmp.Or(cmp.Compare(x.epoch.source, y.epoch.source), cmp.Compare(x.epoch.number, y.epoch.number), cmp.Compare(x.revision, y.revision))
	})
	open := map[string]*Straggler{}
	for _, k := range keys {
		at, firstTimeline := firstAt[k], first[k]
		version := Version{Source: k.epoch.source, Epoch: k.epoch.number, Revision: k.revision, First: firstTimeline.dispatcher, At: at}
		for _, t := range a.allTimelines() {
			if t == firstTimeline || t.dispatcher == firstTimeline.dispatcher || t.first > at || t.last <= at ||
				!t.followsEpoch(k.epoch, at) {
				continue // it did not run, or followed another source
			}
			uncertainty := offsets[t.dispatcher].Uncertainty + offsets[firstTimeline.dispatcher].Uncertainty
			r, ok := t.reached(k.epoch, k.revision)
			until := t.last
			if ok {
				until = r.at
				version.Adoptions = append(version.Adoptions, Adoption{t.dispatcher, r.at - at, uncertainty, r.byPeer})
			} else {
				version.Never = append(version.Never, t.dispatcher)
			}
			if until-at <= a.Rules.StragglerDelay+uncertainty {
				continue
			}
			if straggler := open[t.dispatcher]; straggler != nil && at <= straggler.Since+straggler.Duration { // the same fault
				straggler.LastRevision, straggler.Duration, straggler.Never = k.revision, max(straggler.Duration, until-straggler.Since), straggler.Never || !ok
				continue
			}
			open[t.dispatcher] = &Straggler{Dispatcher: t.dispatcher, Cause: a.stragglerCause(t, k.epoch, k.revision, at, until),
				Revision: k.revision, LastRevision: k.revision, Since: at, Duration: until - at, Never: !ok}
			a.stragglers = append(a.stragglers, open[t.dispatcher])
		}
		slices.SortFunc(version.Adoptions, func(x, y Adoption) int {
			return cmp.Or(cmp.Compare(x.After, y.After), cmp.Compare(x.Dispatcher, y.Dispatcher))
		})
		a.report.Versions = append(a.report.Versions, version)
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

// stragglerCause returns why a dispatcher learned a version late.
func (a *Auditor) stragglerCause(t *timeline, epoch listEpoch, revision int64, from, to float64) string {
	half := a.Rules.StragglerDelay / 2
	switch {
	case t.inGap(from, to):
		return CauseUnclear
	case longestOverlap(t.pauses, from, to) > half:
		return CausePaused
	}
	informed := to // when it knew that there is a newer version
	for _, b := range t.newerKnown {
		if b.epoch == epoch && b.revision >= revision {
			informed = min(informed, max(b.at, from))
		}
	}
	switch silent := longestOverlap(t.discoverySilences, from, informed); { // the cause is what lasted longer
	case to-informed > half && to-informed >= silent:
		return CauseSlow
	case silent > half:
		return CauseIsolated
	}
	return CauseNotInformed
}

// findDrains finds the workers that got no new work, and from when to when that was known.
func (a *Auditor) findDrains(offsets map[string]ClockOffset) {
	type key struct {
		epoch    listEpoch
		worker   string
		revision int64
	}
	found := map[key]*drain{}
	for _, t := range a.allTimelines() {
		for worker, reports := range t.drains {
			for _, r := range reports {
				k := key{r.epoch, worker, r.revision}
				if d := found[k]; d == nil || r.at < d.at {
					found[k] = &drain{epoch: r.epoch, worker: worker, revision: r.revision, at: r.at,
						uncertainty: offsets[t.dispatcher].Uncertainty, liftedAt: inf}
				}
			}
		}
	}
	for _, d := range found {
		a.drains[d.worker] = append(a.drains[d.worker], d)
	}
	for worker, all := range a.drains {
		slices.SortFunc(all, func(x, y *drain) int { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.revision, y.revision)) })
		for _, t := range a.allTimelines() {
			for _, change := range t.blocked[worker] {
				if at := change.at - t.clockLead; !change.blocked { // lifted
					for _, d := range all {
						if d.at < at {
							d.liftedAt = min(d.liftedAt, at)
						}
					}
				}
			}
		}
	}
}

// CheckAttempt judges an attempt. Finish must have been called.
func (a *Auditor) CheckAttempt(attempt *Attempt) {
	a.report.Attempts++
	t := a.byGeneration[generationKey{attempt.Dispatcher, attempt.Generation}]
	switch {
	case attempt.Mark == 0:
		a.addInconclusive("%s: sends without a mark: made with the fleet off, or by an older form", attempt.Dispatcher)
		return
	case t == nil:
		a.addInconclusive("%s: sends of life %s, of which there is no ledger", attempt.Dispatcher, attempt.Generation)
		return
	case attempt.Mark > t.entries[len(t.entries)-1].Number:
		a.addInconclusive("%s: sends by entries after the last that is there of life %s (%d)", attempt.Dispatcher, t.generation, t.entries[len(t.entries)-1].Number)
		return
	}
	if i := sort.Search(len(t.gaps), func(i int) bool { return t.gaps[i].from > attempt.Mark }); i > 0 {
		a.addInconclusive("%s: sends after a hole in life %s are judged by what is there", attempt.Dispatcher, t.generation)
	}
	a.report.Judged++
	t.last = max(t.last, attempt.At-t.clockLead)
	if since, off := transitionAt(t.outOfService, attempt.Mark); off && attempt.At > since+a.Rules.Grace {
		a.addViolation(attempt, "sent out of its lease, or before it looked again after a sleep", "", attempt.At-since)
		return
	}
	if since, off := transitionAt(t.blocked[attempt.Node], attempt.Mark); off {
		if attempt.At > since+a.Rules.Grace {
			a.addViolation(attempt, "sent to a worker after it was told that it gets nothing new", attempt.Node, attempt.At-since)
		}
		return
	}
	// By an old version, while others knew a newer one.
	when := attempt.At - t.clockLead
	for _, d := range a.drains[attempt.Node] {
		if when <= d.at+d.uncertainty+a.Rules.Grace || when >= d.liftedAt || !t.followsEpoch(d.epoch, when) {
			continue
		}
		if r, told := t.drainedAt(d.epoch, d.worker, d.revision); told && r.at <= when {
			continue
		}
		for _, st := range a.stragglers {
			if st.Dispatcher == attempt.Dispatcher && when >= st.Since && when <= st.Since+st.Duration {
				st.Attempts++
				return
			}
		}
	}
}

// addViolation records that an attempt broke a rule.
func (a *Auditor) addViolation(attempt *Attempt, rule, node string, after float64) {
	key := attempt.Dispatcher + "\x00" + rule + "\x00" + node
	violation := a.violations[key]
	if violation == nil {
		violation = &Violation{Dispatcher: attempt.Dispatcher, Rule: rule, Node: node, First: attempt.ID, At: attempt.At}
		a.violations[key] = violation
	}
	violation.Attempts++
	violation.LatestAfter = max(violation.LatestAfter, after)
}

// Report returns the result.
func (a *Auditor) Report() *Report {
	r := a.report
	for _, key := range slices.Sorted(maps.Keys(a.violations)) {
		r.Violations = append(r.Violations, *a.violations[key])
	}
	for _, s := range a.stragglers {
		r.Stragglers = append(r.Stragglers, *s)
	}
	slices.SortFunc(r.Stragglers, func(x, y Straggler) int {
		return cmp.Or(cmp.Compare(x.Since, y.Since), cmp.Compare(x.Dispatcher, y.Dispatcher))
	})
	slices.Sort(r.Inconclusive)
	return &r
}
