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

// Rules are what is judged by, in seconds.
type Rules struct {
	Grace          float64 // after a drain was told new work may still start
	StragglerDelay float64 // after the first member one that takes a version up counts as a straggler
}

// DefaultRules are the protocol's grace, and a second: some rounds of the view.
var DefaultRules = Rules{Grace: 0.3, StragglerDelay: 1}

// Auditor puts the ledgers of many dispatchers together. Entries are taken first, then Close, then the sends.
type Auditor struct {
	Rules Rules

	timelines    map[string][]*timeline // by dispatcher, in order of their starts
	byGeneration map[[2]string]*timeline
	clocks       *clockSolver
	mentioned    map[string]bool // by others' entries
	report       Report
	drains       map[string][]*drain // by worker
	violations   map[string]*Violation

	stragglers []*Straggler
}

// Report is what came of an audit. Times are the reference's, but where a clock could not be set right.
type Report struct {
	Clocks       []ClockOffset `json:"clocks"`
	Versions     []Version     `json:"versions"`
	Violations   []Violation   `json:"broken"`
	Stragglers   []Straggler   `json:"stragglers"`
	Gaps         []string      `json:"holes"`
	Inconclusive []string      `json:"untold"` // what cannot be told, and why
	Attempts     int           `json:"sends"`
	Judged       int           `json:"judged"` // of them, by their marks
}

// Version is when each member took a version up.
type Version struct {
	Source    string     `json:"source"`
	Epoch     uint64     `json:"descent,omitempty"`
	Revision  int64      `json:"rev"`
	First     string     `json:"first"` // who knew it first
	At        float64    `json:"at"`
	Adoptions []Adoption `json:"taken"`           // by all others, the first first
	Never     []string   `json:"never,omitempty"` // ran, and did not
}

// Adoption is a member that took a version up.
type Adoption struct {
	Dispatcher  string  `json:"by"`
	After       float64 `json:"after_s"` // the first member
	Uncertainty float64 `json:"within_s"`
	ByPeer      bool    `json:"peer,omitempty"` // brought up by peers
}

// Violation is a rule that was broken, once or more.
type Violation struct {
	Dispatcher  string  `json:"by"`
	Rule        string  `json:"rule"`
	Node        string  `json:"node,omitempty"`
	Attempts    int     `json:"sends"`
	First       string  `json:"first"` // the id of its job
	At          float64 `json:"at"`
	LatestAfter float64 `json:"latest_s"` // how long after it was told the last of them was sent
}

// Straggler is a member that took versions up late.
type Straggler struct {
	Dispatcher   string  `json:"by"`
	Cause        string  `json:"cause"`
	Revision     int64   `json:"rev"` // the first that it lacked
	LastRevision int64   `json:"to"`  // and the last
	Since        float64 `json:"from"`
	Duration     float64 `json:"for_s"`
	Never        bool    `json:"never,omitempty"` // it had not caught up when its ledger ends
	Attempts     int     `json:"sends"`           // meanwhile, to workers of which others knew that they get nothing new
}

// The causes.
const (
	CausePaused      = "asleep"
	CauseIsolated    = "cut off"
	CauseSlow        = "told and slow"
	CauseNotInformed = "not told"
	CauseUnclear     = "cannot be told: entries are missing"
)

// drain is a worker that gets nothing new from a version on.
type drain struct {
	epoch       listEpoch
	worker      string
	revision    int64
	at          float64 // when the first member knew it
	uncertainty float64
	liftedAt    float64 // when the first member knew that it is ready again
}

// NewAuditor begins an audit.
func NewAuditor(r Rules) *Auditor {
	return &Auditor{Rules: r, timelines: map[string][]*timeline{}, byGeneration: map[[2]string]*timeline{}, clocks: newClockSolver(), mentioned: map[string]bool{},
		drains: map[string][]*drain{}, violations: map[string]*Violation{}}
}

func (a *Auditor) timeline(by, name string) *timeline {
	l := a.byGeneration[[2]string{by, name}]
	if l == nil {
		l = &timeline{dispatcher: by, generation: name}
		a.byGeneration[[2]string{by, name}] = l
	}
	return l
}

// AddEntry takes an entry.
func (a *Auditor) AddEntry(e *Entry) {
	l := a.timeline(e.Dispatcher, e.Generation)
	l.entries = append(l.entries, e)
	a.clocks.add(e.Dispatcher)
	if e.From != "" {
		a.mentioned[e.From] = true
	}
	if e.Kind == ClockReceived && validTime(e.PeerClock) {
		a.clocks.addMessage(e.Dispatcher, e.Time, e.From, e.PeerClock)
	}
}

// Finish puts the entries together: clocks, versions, drains.
func (a *Auditor) Finish() {
	for _, l := range a.byGeneration {
		l.replay()
		a.timelines[l.dispatcher] = append(a.timelines[l.dispatcher], l)
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
	for _, l := range a.allTimelines() {
		l.correctClock(offsets[l.dispatcher].Lead)
		for _, h := range l.gaps {
			a.report.Gaps = append(a.report.Gaps, fmt.Sprintf("%s: entries %d to %d of life %s are missing", l.dispatcher, h.from, h.to, l.generation))
		}
		if l.lostLines > 0 {
			a.report.Gaps = append(a.report.Gaps, fmt.Sprintf("%s: life %s lost %d lines by itself: its disk was slow or full", l.dispatcher, l.generation, l.lostLines))
		}
	}
	for _, by := range slices.Sorted(maps.Keys(a.mentioned)) {
		a.report.Gaps = append(a.report.Gaps, by+": others name it, and there is no ledger of it")
	}
	a.analyzeVersions(offsets)
	a.findDrains(offsets)
}

// allTimelines are the lives, in an order that is the same every time.
func (a *Auditor) allTimelines() (all []*timeline) {
	for _, by := range slices.Sorted(maps.Keys(a.timelines)) {
		all = append(all, a.timelines[by]...)
	}
	return all
}

// correctClock sets a life's times right; marks and what hangs on its own clock alone stay.
func (l *timeline) correctClock(ahead float64) {
	l.clockLead = ahead
	l.first -= ahead
	l.last -= ahead
	for _, spans := range [][]interval{l.pauses, l.discoverySilences} {
		for i := range spans {
			spans[i].from -= ahead
			spans[i].to -= ahead
		}
	}
	for i := range l.gaps {
		l.gaps[i].interval.from -= ahead
		l.gaps[i].interval.to -= ahead
	}
	rises := [][]progress{l.progress, l.newerKnown}
	for _, d := range l.drains {
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

// analyzeVersions works out when each member took each version up, and who was late.
func (a *Auditor) analyzeVersions(offsets map[string]ClockOffset) {
	type key struct {
		line listEpoch
		rev  int64
	}
	first := map[key]*timeline{}
	when := map[key]float64{}
	for _, l := range a.allTimelines() {
		for _, r := range l.progress {
			k := key{r.epoch, r.revision}
			if at, known := when[k]; !known || r.at < at {
				when[k], first[k] = r.at, l
			}
		}
	}
	keys := slices.SortedFunc(maps.Keys(when), func(x, y key) int {
		return cmp.Or(cmp.Compare(x.line.source, y.line.source), cmp.Compare(x.line.number, y.line.number), cmp.Compare(x.rev, y.rev))
	})
	open := map[string]*Straggler{}
	for _, k := range keys {
		at, l0 := when[k], first[k]
		v := Version{Source: k.line.source, Epoch: k.line.number, Revision: k.rev, First: l0.dispatcher, At: at}
		for _, l := range a.allTimelines() {
			if l == l0 || l.dispatcher == l0.dispatcher || l.first > at || l.last <= at || !l.followsEpoch(k.line, at) {
				continue // it did not run, or looked elsewhere
			}
			within := offsets[l.dispatcher].Uncertainty + offsets[l0.dispatcher].Uncertainty
			r, ok := l.reached(k.line, k.rev)
			until := l.last
			if ok {
				until = r.at
				v.Adoptions = append(v.Adoptions, Adoption{l.dispatcher, r.at - at, within, r.byPeer})
			} else {
				v.Never = append(v.Never, l.dispatcher)
			}
			if until-at <= a.Rules.StragglerDelay+within {
				continue
			}
			if s := open[l.dispatcher]; s != nil && at <= s.Since+s.Duration { // the same trouble
				s.LastRevision, s.Duration, s.Never = k.rev, max(s.Duration, until-s.Since), s.Never || !ok
				continue
			}
			open[l.dispatcher] = &Straggler{Dispatcher: l.dispatcher, Cause: a.stragglerCause(l, k.line, k.rev, at, until), Revision: k.rev, LastRevision: k.rev, Since: at, Duration: until - at, Never: !ok}
			a.stragglers = append(a.stragglers, open[l.dispatcher])
		}
		slices.SortFunc(v.Adoptions, func(x, y Adoption) int {
			return cmp.Or(cmp.Compare(x.After, y.After), cmp.Compare(x.Dispatcher, y.Dispatcher))
		})
		a.report.Versions = append(a.report.Versions, v)
	}
}

// followsEpoch says whether a life was on a line of descent, or had not said where it is, at a time.
func (l *timeline) followsEpoch(of listEpoch, at float64) bool {
	is := true
	for _, r := range l.progress {
		if r.at > at {
			return is || r.epoch == of
		}
		is = r.epoch == of
	}
	return is
}

// stragglerCause is why a life took a version up late.
func (a *Auditor) stragglerCause(l *timeline, of listEpoch, rev int64, from, to float64) string {
	half := a.Rules.StragglerDelay / 2
	switch {
	case l.inGap(from, to):
		return CauseUnclear
	case longestOverlap(l.pauses, from, to) > half:
		return CausePaused
	}
	heard := to // of a newer version
	for _, b := range l.newerKnown {
		if b.epoch == of && b.revision >= rev {
			heard = min(heard, max(b.at, from))
		}
	}
	switch mute := longestOverlap(l.discoverySilences, from, heard); { // what lasted longer
	case to-heard > half && to-heard >= mute:
		return CauseSlow
	case mute > half:
		return CauseIsolated
	}
	return CauseNotInformed
}

// findDrains finds the workers that get nothing new, and from when to when that was known.
func (a *Auditor) findDrains(offsets map[string]ClockOffset) {
	type key struct {
		line   listEpoch
		worker string
		rev    int64
	}
	found := map[key]*drain{}
	for _, l := range a.allTimelines() {
		for worker, rises := range l.drains {
			for _, r := range rises {
				k := key{r.epoch, worker, r.revision}
				if d := found[k]; d == nil || r.at < d.at {
					found[k] = &drain{epoch: r.epoch, worker: worker, revision: r.revision, at: r.at, uncertainty: offsets[l.dispatcher].Uncertainty, liftedAt: inf}
				}
			}
		}
	}
	for _, d := range found {
		a.drains[d.worker] = append(a.drains[d.worker], d)
	}
	for worker, all := range a.drains {
		slices.SortFunc(all, func(x, y *drain) int { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.revision, y.revision)) })
		for _, l := range a.allTimelines() {
			for _, t := range l.blocked[worker] {
				if at := t.at - l.clockLead; !t.blocked { // lifted
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

// CheckAttempt judges an attempt. Entries have been closed.
func (a *Auditor) CheckAttempt(s *Attempt) {
	a.report.Attempts++
	l := a.byGeneration[[2]string{s.Dispatcher, s.Generation}]
	switch {
	case s.Mark == 0:
		a.addInconclusive("%s: sends without a mark: made with the fleet off, or by an older form", s.Dispatcher)
		return
	case l == nil:
		a.addInconclusive("%s: sends of life %s, of which there is no ledger", s.Dispatcher, s.Generation)
		return
	case s.Mark > l.entries[len(l.entries)-1].Number:
		a.addInconclusive("%s: sends by entries after the last that is there of life %s (%d)", s.Dispatcher, l.generation, l.entries[len(l.entries)-1].Number)
		return
	}
	if i := sort.Search(len(l.gaps), func(i int) bool { return l.gaps[i].from > s.Mark }); i > 0 {
		a.addInconclusive("%s: sends after a hole in life %s are judged by what is there", s.Dispatcher, l.generation)
	}
	a.report.Judged++
	l.last = max(l.last, s.At-l.clockLead)
	if since, off := transitionAt(l.outOfService, s.Mark); off && s.At > since+a.Rules.Grace {
		a.addViolation(s, "sent out of its lease, or before it looked again after a sleep", "", s.At-since)
		return
	}
	if since, off := transitionAt(l.blocked[s.Node], s.Mark); off {
		if s.At > since+a.Rules.Grace {
			a.addViolation(s, "sent to a worker after it was told that it gets nothing new", s.Node, s.At-since)
		}
		return
	}
	// By an old version, while others knew a newer one.
	when := s.At - l.clockLead
	for _, d := range a.drains[s.Node] {
		if when <= d.at+d.uncertainty+a.Rules.Grace || when >= d.liftedAt || !l.followsEpoch(d.epoch, when) {
			continue
		}
		if r, told := l.drainedAt(d.epoch, d.worker, d.revision); told && r.at <= when {
			continue
		}
		for _, st := range a.stragglers {
			if st.Dispatcher == s.Dispatcher && when >= st.Since && when <= st.Since+st.Duration {
				st.Attempts++
				return
			}
		}
	}
}

// addViolation notes a rule that was broken.
func (a *Auditor) addViolation(s *Attempt, rule, node string, after float64) {
	key := s.Dispatcher + "\x00" + rule + "\x00" + node
	b := a.violations[key]
	if b == nil {
		b = &Violation{Dispatcher: s.Dispatcher, Rule: rule, Node: node, First: s.ID, At: s.At}
		a.violations[key] = b
	}
	b.Attempts++
	b.LatestAfter = max(b.LatestAfter, after)
}

// Report is what came of it.
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
