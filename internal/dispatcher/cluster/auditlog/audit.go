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
	Grace float64 // after a drain was told new work may still start
	Late  float64 // after the first member one that takes a version up counts as a straggler
}

// DefaultRules are the protocol's grace, and a second: some rounds of the view.
var DefaultRules = Rules{Grace: 0.3, Late: 1}

// Audit puts the ledgers of many dispatchers together. Entries are taken first, then Close, then the sends.
type Audit struct {
	Rules Rules

	lives  map[string][]*life // by dispatcher, in order of their starts
	byName map[[2]string]*life
	clocks *clocks
	named  map[string]bool // by others' entries
	report Report
	drains map[string][]*drain // by worker
	broken map[string]*Broken

	stragglers []*Straggler
}

// Report is what came of an audit. Times are the reference's, but where a clock could not be set right.
type Report struct {
	Clocks     []Offset    `json:"clocks"`
	Versions   []Version   `json:"versions"`
	Broken     []Broken    `json:"broken"`
	Stragglers []Straggler `json:"stragglers"`
	Holes      []string    `json:"holes"`
	Untold     []string    `json:"untold"` // what cannot be told, and why
	Sends      int         `json:"sends"`
	Judged     int         `json:"judged"` // of them, by their marks
}

// Version is when each member took a version up.
type Version struct {
	Source  string   `json:"source"`
	Descent uint64   `json:"descent,omitempty"`
	Rev     int64    `json:"rev"`
	First   string   `json:"first"` // who knew it first
	At      float64  `json:"at"`
	Taken   []Taken  `json:"taken"`           // by all others, the first first
	Never   []string `json:"never,omitempty"` // ran, and did not
}

// Taken is a member that took a version up.
type Taken struct {
	By     string  `json:"by"`
	After  float64 `json:"after_s"` // the first member
	Within float64 `json:"within_s"`
	Peer   bool    `json:"peer,omitempty"` // brought up by peers
}

// Broken is a rule that was broken, once or more.
type Broken struct {
	By     string  `json:"by"`
	Rule   string  `json:"rule"`
	Node   string  `json:"node,omitempty"`
	Sends  int     `json:"sends"`
	First  string  `json:"first"` // the id of its job
	At     float64 `json:"at"`
	Latest float64 `json:"latest_s"` // how long after it was told the last of them was sent
}

// Straggler is a member that took versions up late.
type Straggler struct {
	By    string  `json:"by"`
	Cause string  `json:"cause"`
	Rev   int64   `json:"rev"` // the first that it lacked
	To    int64   `json:"to"`  // and the last
	From  float64 `json:"from"`
	For   float64 `json:"for_s"`
	Never bool    `json:"never,omitempty"` // it had not caught up when its ledger ends
	Sends int     `json:"sends"`           // meanwhile, to workers of which others knew that they get nothing new
}

// The causes.
const (
	Asleep  = "asleep"
	CutOff  = "cut off"
	Slow    = "told and slow"
	NotTold = "not told"
	Unclear = "cannot be told: entries are missing"
)

// drain is a worker that gets nothing new from a version on.
type drain struct {
	line   line
	worker string
	rev    int64
	at     float64 // when the first member knew it
	within float64
	over   float64 // when the first member knew that it is ready again
}

// NewAudit begins an audit.
func NewAudit(r Rules) *Audit {
	return &Audit{Rules: r, lives: map[string][]*life{}, byName: map[[2]string]*life{}, clocks: newClocks(), named: map[string]bool{},
		drains: map[string][]*drain{}, broken: map[string]*Broken{}}
}

func (a *Audit) life(by, name string) *life {
	l := a.byName[[2]string{by, name}]
	if l == nil {
		l = &life{by: by, name: name}
		a.byName[[2]string{by, name}] = l
	}
	return l
}

// Entry takes an entry.
func (a *Audit) Entry(e *Entry) {
	l := a.life(e.By, e.Life)
	l.entries = append(l.entries, e)
	a.clocks.name(e.By)
	if e.From != "" {
		a.named[e.From] = true
	}
	if e.What == Clock && sane(e.Theirs) {
		a.clocks.heard(e.By, e.Time, e.From, e.Theirs)
	}
}

// Close puts the entries together: clocks, versions, drains.
func (a *Audit) Close() {
	for _, l := range a.byName {
		l.replay()
		a.lives[l.by] = append(a.lives[l.by], l)
	}
	for by, lives := range a.lives {
		slices.SortFunc(lives, func(x, y *life) int { return cmp.Compare(x.first, y.first) })
		delete(a.named, by)
	}
	offsets := a.clocks.solve()
	for _, by := range slices.Sorted(maps.Keys(offsets)) {
		if a.lives[by] != nil {
			a.report.Clocks = append(a.report.Clocks, offsets[by])
			if !offsets[by].Known {
				a.untold("%s: %s", by, offsets[by].Why)
			}
		}
	}
	for _, l := range a.all() {
		l.right(offsets[l.by].Ahead)
		for _, h := range l.holes {
			a.report.Holes = append(a.report.Holes, fmt.Sprintf("%s: entries %d to %d of life %s are missing", l.by, h.from, h.to, l.name))
		}
		if l.lost > 0 {
			a.report.Holes = append(a.report.Holes, fmt.Sprintf("%s: life %s lost %d lines by itself: its disk was slow or full", l.by, l.name, l.lost))
		}
	}
	for _, by := range slices.Sorted(maps.Keys(a.named)) {
		a.report.Holes = append(a.report.Holes, by+": others name it, and there is no ledger of it")
	}
	a.versions(offsets)
	a.findDrains(offsets)
}

// all are the lives, in an order that is the same every time.
func (a *Audit) all() (all []*life) {
	for _, by := range slices.Sorted(maps.Keys(a.lives)) {
		all = append(all, a.lives[by]...)
	}
	return all
}

// right sets a life's times right; marks and what hangs on its own clock alone stay.
func (l *life) right(ahead float64) {
	l.ahead = ahead
	l.first -= ahead
	l.last -= ahead
	for _, spans := range [][]span{l.asleep, l.mute} {
		for i := range spans {
			spans[i].from -= ahead
			spans[i].to -= ahead
		}
	}
	for i := range l.holes {
		l.holes[i].span.from -= ahead
		l.holes[i].span.to -= ahead
	}
	rises := [][]rise{l.rises, l.behind}
	for _, d := range l.drains {
		rises = append(rises, d)
	}
	for _, r := range rises {
		for i := range r {
			r[i].at -= ahead
		}
	}
}

func (a *Audit) untold(format string, args ...any) {
	if text := fmt.Sprintf(format, args...); !slices.Contains(a.report.Untold, text) {
		a.report.Untold = append(a.report.Untold, text)
	}
}

// versions works out when each member took each version up, and who was late.
func (a *Audit) versions(offsets map[string]Offset) {
	type key struct {
		line line
		rev  int64
	}
	first := map[key]*life{}
	when := map[key]float64{}
	for _, l := range a.all() {
		for _, r := range l.rises {
			k := key{r.line, r.knows}
			if at, known := when[k]; !known || r.at < at {
				when[k], first[k] = r.at, l
			}
		}
	}
	keys := slices.SortedFunc(maps.Keys(when), func(x, y key) int {
		return cmp.Or(cmp.Compare(x.line.source, y.line.source), cmp.Compare(x.line.descent, y.line.descent), cmp.Compare(x.rev, y.rev))
	})
	open := map[string]*Straggler{}
	for _, k := range keys {
		at, l0 := when[k], first[k]
		v := Version{Source: k.line.source, Descent: k.line.descent, Rev: k.rev, First: l0.by, At: at}
		for _, l := range a.all() {
			if l == l0 || l.by == l0.by || l.first > at || l.last <= at || !l.follows(k.line, at) {
				continue // it did not run, or looked elsewhere
			}
			within := offsets[l.by].Within + offsets[l0.by].Within
			r, ok := l.reached(k.line, k.rev)
			until := l.last
			if ok {
				until = r.at
				v.Taken = append(v.Taken, Taken{l.by, r.at - at, within, r.peer})
			} else {
				v.Never = append(v.Never, l.by)
			}
			if until-at <= a.Rules.Late+within {
				continue
			}
			if s := open[l.by]; s != nil && at <= s.From+s.For { // the same trouble
				s.To, s.For, s.Never = k.rev, max(s.For, until-s.From), s.Never || !ok
				continue
			}
			open[l.by] = &Straggler{By: l.by, Cause: a.cause(l, k.line, k.rev, at, until), Rev: k.rev, To: k.rev, From: at, For: until - at, Never: !ok}
			a.stragglers = append(a.stragglers, open[l.by])
		}
		slices.SortFunc(v.Taken, func(x, y Taken) int { return cmp.Or(cmp.Compare(x.After, y.After), cmp.Compare(x.By, y.By)) })
		a.report.Versions = append(a.report.Versions, v)
	}
}

// follows says whether a life was on a line of descent, or had not said where it is, at a time.
func (l *life) follows(of line, at float64) bool {
	is := true
	for _, r := range l.rises {
		if r.at > at {
			return is || r.line == of
		}
		is = r.line == of
	}
	return is
}

// cause is why a life took a version up late.
func (a *Audit) cause(l *life, of line, rev int64, from, to float64) string {
	half := a.Rules.Late / 2
	switch {
	case l.inHole(from, to):
		return Unclear
	case longest(l.asleep, from, to) > half:
		return Asleep
	}
	heard := to // of a newer version
	for _, b := range l.behind {
		if b.line == of && b.knows >= rev {
			heard = min(heard, max(b.at, from))
		}
	}
	switch mute := longest(l.mute, from, heard); { // what lasted longer
	case to-heard > half && to-heard >= mute:
		return Slow
	case mute > half:
		return CutOff
	}
	return NotTold
}

// findDrains finds the workers that get nothing new, and from when to when that was known.
func (a *Audit) findDrains(offsets map[string]Offset) {
	type key struct {
		line   line
		worker string
		rev    int64
	}
	found := map[key]*drain{}
	for _, l := range a.all() {
		for worker, rises := range l.drains {
			for _, r := range rises {
				k := key{r.line, worker, r.knows}
				if d := found[k]; d == nil || r.at < d.at {
					found[k] = &drain{line: r.line, worker: worker, rev: r.knows, at: r.at, within: offsets[l.by].Within, over: inf}
				}
			}
		}
	}
	for _, d := range found {
		a.drains[d.worker] = append(a.drains[d.worker], d)
	}
	for worker, all := range a.drains {
		slices.SortFunc(all, func(x, y *drain) int { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.rev, y.rev)) })
		for _, l := range a.all() {
			for _, t := range l.workers[worker] {
				if at := t.at - l.ahead; !t.off { // lifted
					for _, d := range all {
						if d.at < at {
							d.over = min(d.over, at)
						}
					}
				}
			}
		}
	}
}

// Send judges an attempt. Entries have been closed.
func (a *Audit) Send(s *Send) {
	a.report.Sends++
	l := a.byName[[2]string{s.By, s.Life}]
	switch {
	case s.Mark == 0:
		a.untold("%s: sends without a mark: made with the fleet off, or by an older form", s.By)
		return
	case l == nil:
		a.untold("%s: sends of life %s, of which there is no ledger", s.By, s.Life)
		return
	case s.Mark > l.entries[len(l.entries)-1].N:
		a.untold("%s: sends by entries after the last that is there of life %s (%d)", s.By, l.name, l.entries[len(l.entries)-1].N)
		return
	}
	if i := sort.Search(len(l.holes), func(i int) bool { return l.holes[i].from > s.Mark }); i > 0 {
		a.untold("%s: sends after a hole in life %s are judged by what is there", s.By, l.name)
	}
	a.report.Judged++
	l.last = max(l.last, s.At-l.ahead)
	if since, off := at(l.held, s.Mark); off && s.At > since+a.Rules.Grace {
		a.rule(s, "sent out of its lease, or before it looked again after a sleep", "", s.At-since)
		return
	}
	if since, off := at(l.workers[s.Node], s.Mark); off {
		if s.At > since+a.Rules.Grace {
			a.rule(s, "sent to a worker after it was told that it gets nothing new", s.Node, s.At-since)
		}
		return
	}
	// By an old version, while others knew a newer one.
	when := s.At - l.ahead
	for _, d := range a.drains[s.Node] {
		if when <= d.at+d.within+a.Rules.Grace || when >= d.over || !l.follows(d.line, when) {
			continue
		}
		if r, told := l.drained(d.line, d.worker, d.rev); told && r.at <= when {
			continue
		}
		for _, st := range a.stragglers {
			if st.By == s.By && when >= st.From && when <= st.From+st.For {
				st.Sends++
				return
			}
		}
	}
}

// rule notes a rule that was broken.
func (a *Audit) rule(s *Send, rule, node string, after float64) {
	key := s.By + "\x00" + rule + "\x00" + node
	b := a.broken[key]
	if b == nil {
		b = &Broken{By: s.By, Rule: rule, Node: node, First: s.ID, At: s.At}
		a.broken[key] = b
	}
	b.Sends++
	b.Latest = max(b.Latest, after)
}

// Report is what came of it.
func (a *Audit) Report() *Report {
	r := a.report
	for _, key := range slices.Sorted(maps.Keys(a.broken)) {
		r.Broken = append(r.Broken, *a.broken[key])
	}
	for _, s := range a.stragglers {
		r.Stragglers = append(r.Stragglers, *s)
	}
	slices.SortFunc(r.Stragglers, func(x, y Straggler) int { return cmp.Or(cmp.Compare(x.From, y.From), cmp.Compare(x.By, y.By)) })
	slices.Sort(r.Untold)
	return &r
}
