package dispatch

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cinderroad/loadbalancer"
)

// bench is a core with a scripted clock, one asker and scripted backends.
type bench struct {
	renewed int
	t       *testing.T
	c       *Core
	now     float64
	due     []*entry
	begun   []Fetch
	dropped int
	ran     bool // what Drop says
	answers []Answer
	instant func(f Fetch) // what a backend does from within Begin
}

type entry struct {
	at float64
	do func()
}

func (e *entry) Stop()           { e.do = nil }
func (b *bench) Now() float64    { return b.now }
func (b *bench) Answer(a Answer) { b.answers = append(b.answers, a) }
func (b *bench) At(at float64, do func()) Stop {
	e := &entry{at, do}
	b.due = append(b.due, e)
	return e
}
func (b *bench) Begin(f Fetch) {
	b.begun = append(b.begun, f)
	if b.instant != nil {
		b.instant(f)
	}
}
func (b *bench) Drop(FetchID) bool                               { b.dropped++; return b.ran }
func (b *bench) Renew()                                          { b.renewed++ }
func (b *bench) Probe(done func(loadbalancer.Result, []float32)) { done(loadbalancer.OK, nil) }

// run moves the clock a millisecond at a time.
func (b *bench) run(until float64) {
	for b.now < until {
		b.now += 0.001
		due := b.due
		b.due = nil
		for _, e := range due {
			if e.do == nil {
			} else if e.at <= b.now {
				do := e.do
				e.do = nil
				do()
			} else {
				b.due = append(b.due, e)
			}
		}
	}
}

func start(t *testing.T) *bench {
	b := &bench{t: t, now: 1000, ran: true}
	class := func(e loadbalancer.RetrySafety) loadbalancer.Class {
		return loadbalancer.Class{Name: "c", Objective: 0.1, Deadline: 2, DedupWindow: 5, Value: 1, RetrySafety: e, DedupScope: loadbalancer.DedupCell, Kind: -1}
	}
	var err error
	b.c, err = New(loadbalancer.Settings{Classes: []loadbalancer.Class{class(loadbalancer.RetrySafe), class(loadbalancer.RetryDeduplicated), class(loadbalancer.RetryUnsafe)}, Zones: 1,
		Instances: 1, MaxAttempts: 3, Tick: 0.004, SlowStartInitialShare: 0.3, OverloadMultiple: 3, OverloadWindow: 2, AnswerSlack: 0.01, MayCancel: true,
		ReportsStart: true}, 1, b)
	if err != nil {
		t.Fatal(err)
	}
	b.c.Start()
	b.list(loadbalancer.Ready, loadbalancer.Ready)
	return b
}

func (b *bench) list(states ...loadbalancer.WorkerState) {
	var members []Member
	for i, s := range states {
		members = append(members, Member{Worker: loadbalancer.Worker{ID: loadbalancer.WorkerID(i + 1), Cell: i, State: s}, Backend: b})
	}
	b.c.List(loadbalancer.ListFull, members)
}

func (b *bench) take(class int, wait float64) ReqID {
	return b.c.Take(Job{Class: class, Slots: 1, Deadline: b.now + wait}, b)
}

// Guards the promises of the core: one final answer, repeats as the class allows, one end for each fetch.
func TestEveryReqGetsOneAnswer(t *testing.T) {
	for _, tc := range []struct {
		name    string
		class   int
		ends    []loadbalancer.Result // of the fetches in turn; none is silence
		want    []Verdict
		fetches int
	}{
		{"served", 0, []loadbalancer.Result{loadbalancer.OK, loadbalancer.OK}, []Verdict{Served}, 1},
		{"safe is repeated", 0, []loadbalancer.Result{loadbalancer.Error, loadbalancer.OK}, []Verdict{Served}, 2},
		{"keyed stays in its cell", 1, []loadbalancer.Result{loadbalancer.Reset, loadbalancer.OK}, []Verdict{Served}, 2},
		{"unsafe that may have run", 2, []loadbalancer.Result{loadbalancer.Reset}, []Verdict{Failed}, 1},
		{"unsafe that never ran", 2, []loadbalancer.Result{loadbalancer.ConnectFailed, loadbalancer.OK}, []Verdict{Served}, 2},
		{"attempts run out", 0, []loadbalancer.Result{loadbalancer.Error, loadbalancer.Error, loadbalancer.Error}, []Verdict{Refused}, 3},
		{"silence, safe", 0, nil, []Verdict{Refused}, 1},
		{"silence, unsafe", 2, nil, []Verdict{Failed}, 1},
		{"unknown class", 9, nil, []Verdict{Failed}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := start(t)
			b.instant = func(f Fetch) { // an end from within the Send must not re-enter the decisions
				if n := len(b.begun); n <= len(tc.ends) {
					open := b.c.Counts().OpenFetches
					b.c.Ended(f.ID, End{Result: tc.ends[n-1]})
					if b.c.Counts().OpenFetches != open {
						t.Error("an end was handled within the Send")
					}
					b.c.Ended(f.ID, End{Result: loadbalancer.OK}) // a second word on a fetch that is over
				}
			}
			b.take(tc.class, 1)
			b.run(b.now + 3)
			var got []Verdict
			for _, a := range b.answers {
				got = append(got, a.Verdict)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" || len(b.begun) != tc.fetches {
				t.Errorf("%d fetches, want %d; answers (-want +got):\n%s", len(b.begun), tc.fetches, diff)
			}
			if n := b.c.Counts(); n.OpenReqs != 0 || n.OpenFetches != 0 || n.Overdue != 0 {
				t.Errorf("left over: %+v", n)
			}
		})
	}
}

// Guards against work for a backend that has begun to drain, for a client that is gone, and after the deadline,
// while the fetch still waits for its connection.
func TestAFetchNotYetWrittenIsLookedAtAgain(t *testing.T) {
	for _, tc := range []struct {
		name   string
		happen func(b *bench, id ReqID)
		want   loadbalancer.Result
	}{
		{"nothing", func(*bench, ReqID) {}, loadbalancer.OK},
		{"drain", func(b *bench, _ ReqID) { b.list(loadbalancer.Draining, loadbalancer.Draining) }, loadbalancer.ConnectFailed},
		{"left the list", func(b *bench, _ ReqID) { b.c.List(loadbalancer.ListFull, nil) }, loadbalancer.ConnectFailed},
		{"client gone", func(b *bench, id ReqID) { b.c.Gone(id) }, loadbalancer.Withdrawn},
		{"deadline", func(b *bench, _ ReqID) { b.run(b.now + 2.1) }, loadbalancer.Withdrawn},
	} {
		b := start(t)
		id := b.take(2, 2)
		tc.happen(b, id)
		if got, _ := b.c.Clear(b.begun[0].ID); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// Guards against a deadline that the decisions forgot: the core answers by itself, once.
func TestTheCoreAnswersWhatTheDecisionsForgot(t *testing.T) {
	b := start(t)
	b.take(2, 0.5)
	b.due = b.due[:0] // every timer of the decisions is lost
	r, _ := b.c.reqs.Get(1 << 32)
	b.c.do(func() { b.c.overdue(r) })
	b.c.Ended(b.begun[0].ID, End{Result: loadbalancer.OK})
	if len(b.answers) != 1 || b.answers[0].Verdict != Failed || b.c.Counts().Overdue != 1 {
		t.Errorf("answers %+v, counts %+v", b.answers, b.c.Counts())
	}
}

// Guards against a process that swells with every machine that was ever replaced.
func TestMembersThatLeftAreForgotten(t *testing.T) {
	b := start(t)
	for i := range 500 {
		name := fmt.Sprint("s-", i)
		b.c.List(loadbalancer.ListFull, []Member{{Worker: loadbalancer.Worker{ID: b.c.Number(name), State: loadbalancer.Ready}, Backend: b, Name: name}})
		b.take(0, 1)
	}
	if n, m := len(b.c.members), len(b.c.byName); n > 2*manyGone || m > 2*manyGone {
		t.Errorf("%d members and %d names kept", n, m)
	}
	for _, f := range b.begun { // what was out there still ends
		b.c.Ended(f.ID, End{Result: loadbalancer.OK})
	}
	if len(b.answers) != 500 {
		t.Errorf("%d answers", len(b.answers))
	}
}

// Guards against an exclusion that a list, a restart or a reconnect lifts, that sends what is on its way, or from
// which a worker comes back as the one it was.
func TestExclusion(t *testing.T) {
	b := start(t)
	id := b.c.Number("w")
	list := func(kind loadbalancer.ListKind, state loadbalancer.WorkerState, since float64) {
		b.c.List(kind, []Member{{Worker: loadbalancer.Worker{ID: id, State: state, StartedAt: since}, Backend: b, Name: "w"}})
	}
	seen := func(want loadbalancer.WorkerState, since float64) {
		t.Helper()
		m := b.c.members[id]
		if diff := cmp.Diff([]any{want, since}, []any{m.State, m.StartedAt}); diff != "" {
			t.Errorf("the decisions see (-want +got):\n%s", diff)
		}
	}
	change := func(ch Change, known bool) {
		t.Helper()
		if b.c.Apply(ch.Out); ch.Known != known || ch.Full {
			t.Errorf("change %+v", ch)
		}
	}
	list(loadbalancer.ListFull, loadbalancer.Ready, 100)
	change(b.c.Exclude("nobody"), false)
	change(b.c.Include("nobody"), false)
	change(b.c.Include("w"), true) // nothing to do
	b.take(0, 1)
	if _, clear := b.c.Clear(b.begun[0].ID); !clear {
		t.Fatal("a fetch is held up for nothing")
	}
	change(b.c.Exclude("w"), true)
	if result, clear := b.c.Clear(b.begun[0].ID); clear || result != loadbalancer.ConnectFailed {
		t.Errorf("a fetch on its way to a member that is out: %v, %v", result, clear)
	}
	for _, since := range []float64{100, b.now + 1} { // the second is a restart
		list(loadbalancer.ListDelta, loadbalancer.Ready, since)
		seen(loadbalancer.Draining, 100)
	}
	list(loadbalancer.ListDelta, loadbalancer.Departed, 0)
	seen(loadbalancer.Departed, 100)
	change(b.c.Exclude("w"), true)
	list(loadbalancer.ListFull, loadbalancer.Ready, b.now+1)
	seen(loadbalancer.Draining, 100)
	other := start(t) // the next process
	other.c.Apply(b.c.Exclusions())
	other.c.Number("w")
	other.c.List(loadbalancer.ListFull, []Member{{Worker: loadbalancer.Worker{ID: id, State: loadbalancer.Ready, StartedAt: 100}, Backend: other, Name: "w"}})
	if got := other.c.members[id].State; got != loadbalancer.Draining {
		t.Errorf("in the next process: %v", got)
	}
	b.now += 2
	change(b.c.Include("w"), true)
	seen(loadbalancer.Ready, b.now-1)
	if b.renewed != 1 {
		t.Errorf("connections dropped %d times", b.renewed)
	}
	list(loadbalancer.ListDelta, loadbalancer.Ready, 100) // late news of before
	seen(loadbalancer.Ready, 100)
	change(b.c.Exclude("w"), true)
	change(b.c.Include("w"), true)
	seen(loadbalancer.Ready, b.now) // nobody has told of its restart
	list(loadbalancer.ListDelta, loadbalancer.Ready, 100)
	seen(loadbalancer.Ready, b.now)
	b.now++
	list(loadbalancer.ListDelta, loadbalancer.Ready, b.now-0.5)
	seen(loadbalancer.Ready, b.now-0.5)
}
