package dispatch

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cinderroad/loadbalancer"
)

// testbed is a Dispatcher with a scripted clock, and is itself the one requester and the backend of all members.
type testbed struct {
	connectionResets int
	t                *testing.T
	dispatcher       *Dispatcher
	now              float64
	timers           []*fakeTimer
	started          []Attempt
	cancelled        int
	mayHaveRun       bool // result of Cancel
	answers          []Answer
	onStart          func(f Attempt) // called from within Start
}

type fakeTimer struct {
	at       float64
	callback func()
}

func (t *fakeTimer) Stop()         { t.callback = nil }
func (b *testbed) Now() float64    { return b.now }
func (b *testbed) Answer(a Answer) { b.answers = append(b.answers, a) }
func (b *testbed) At(at float64, do func()) Timer {
	e := &fakeTimer{at, do}
	b.timers = append(b.timers, e)
	return e
}
func (b *testbed) Start(f Attempt) {
	b.started = append(b.started, f)
	if b.onStart != nil {
		b.onStart(f)
	}
}
func (b *testbed) Cancel(AttemptID) bool                           { b.cancelled++; return b.mayHaveRun }
func (b *testbed) ResetConnections()                               { b.connectionResets++ }
func (b *testbed) Probe(done func(loadbalancer.Result, []float32)) { done(loadbalancer.OK, nil) }

// run advances the clock by a millisecond at a time.
func (b *testbed) run(until float64) {
	for b.now < until {
		b.now += 0.001
		due := b.timers
		b.timers = nil
		for _, e := range due {
			if e.callback == nil {
			} else if e.at <= b.now {
				do := e.callback
				e.callback = nil
				do()
			} else {
				b.timers = append(b.timers, e)
			}
		}
	}
}

func newTestbed(t *testing.T) *testbed {
	t.Helper()
	b := &testbed{t: t, now: 1000, mayHaveRun: true}
	class := func(safety loadbalancer.RetrySafety) loadbalancer.Class {
		return loadbalancer.Class{
			Name:        "c",
			Objective:   0.1,
			Deadline:    2,
			DedupWindow: 5,
			Value:       1,
			RetrySafety: safety,
			DedupScope:  loadbalancer.DedupCell,
			Kind:        -1,
		}
	}
	var err error
	b.dispatcher, err = New(loadbalancer.Settings{
		Classes: []loadbalancer.Class{
			class(loadbalancer.RetrySafe),
			class(loadbalancer.RetryDeduplicated),
			class(loadbalancer.RetryUnsafe),
		},
		Zones:                 1,
		Instances:             1,
		MaxAttempts:           3,
		Tick:                  0.004,
		SlowStartInitialShare: 0.3,
		OverloadMultiple:      3,
		OverloadWindow:        2,
		AnswerSlack:           0.01,
		MayCancel:             true,
		ReportsStart:          true,
	}, 1, b)
	if err != nil {
		t.Fatal(err)
	}
	b.dispatcher.Start()
	b.updateMembers(loadbalancer.Ready, loadbalancer.Ready)
	return b
}

func (b *testbed) updateMembers(states ...loadbalancer.WorkerState) {
	var members []Member
	for i, s := range states {
		members = append(members, Member{Worker: loadbalancer.Worker{ID: loadbalancer.WorkerID(i + 1), Cell: i, State: s}, Backend: b})
	}
	b.dispatcher.UpdateMembers(loadbalancer.ListFull, members)
}

// updateMember lists the member "w".
func (b *testbed) updateMember(kind loadbalancer.ListKind, id loadbalancer.WorkerID, state loadbalancer.WorkerState, startedAt float64) {
	b.dispatcher.UpdateMembers(kind, []Member{{
		Worker:  loadbalancer.Worker{ID: id, State: state, StartedAt: startedAt},
		Backend: b,
		Name:    "w",
	}})
}

// applyExclusion applies a change and checks whether it was of a known member.
func (b *testbed) applyExclusion(change ExclusionChange, known bool) {
	b.t.Helper()
	if b.dispatcher.ApplyExclusions(change.Exclusions); change.Known != known || change.LimitReached {
		b.t.Errorf("change %+v", change)
	}
}

func (b *testbed) submit(class int, wait float64) RequestID {
	return b.dispatcher.Submit(Job{Class: class, Slots: 1, Deadline: b.now + wait}, b)
}

// A request gets one final answer, retries as its class allows, and one end for each attempt.
func TestEveryRequestGetsOneAnswer(t *testing.T) {
	for _, tc := range []struct {
		name     string
		class    int
		ends     []loadbalancer.Result // of the attempts in turn; none: no outcome
		want     []Verdict
		attempts int
	}{
		{"served", 0, []loadbalancer.Result{loadbalancer.OK, loadbalancer.OK}, []Verdict{Served}, 1},
		{"safe is retried", 0, []loadbalancer.Result{loadbalancer.Error, loadbalancer.OK}, []Verdict{Served}, 2},
		{"deduplicated stays in its cell", 1, []loadbalancer.Result{loadbalancer.Reset, loadbalancer.OK}, []Verdict{Served}, 2},
		{"unsafe that may have run", 2, []loadbalancer.Result{loadbalancer.Reset}, []Verdict{Failed}, 1},
		{"unsafe that never ran", 2, []loadbalancer.Result{loadbalancer.ConnectFailed, loadbalancer.OK}, []Verdict{Served}, 2},
		{"attempts run out", 0, []loadbalancer.Result{loadbalancer.Error, loadbalancer.Error, loadbalancer.Error}, []Verdict{Rejected}, 3},
		{"timeout, safe", 0, nil, []Verdict{Rejected}, 1},
		{"timeout, unsafe", 2, nil, []Verdict{Failed}, 1},
		{"unknown class", 9, nil, []Verdict{Failed}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newTestbed(t)
			b.onStart = func(f Attempt) { // an outcome from within Send must not re-enter the balancer
				if n := len(b.started); n <= len(tc.ends) {
					open := b.dispatcher.Counts().OpenAttempts
					b.dispatcher.HandleOutcome(f.ID, Outcome{Result: tc.ends[n-1]})
					if b.dispatcher.Counts().OpenAttempts != open {
						t.Error("an outcome was handled within Send")
					}
					b.dispatcher.HandleOutcome(f.ID, Outcome{Result: loadbalancer.OK}) // a second outcome has no effect
				}
			}
			b.submit(tc.class, 1)
			b.run(b.now + 3)
			var got []Verdict
			for _, a := range b.answers {
				got = append(got, a.Verdict)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" || len(b.started) != tc.attempts {
				t.Errorf("%d attempts, want %d; answers (-want +got):\n%s", len(b.started), tc.attempts, diff)
			}
			if n := b.dispatcher.Counts(); n.OpenRequests != 0 || n.OpenAttempts != 0 || n.Overdue != 0 {
				t.Errorf("left over: %+v", n)
			}
		})
	}
}

// An attempt that still waits for its connection is not sent to a backend that has begun to drain, for a client that has
// disconnected, or after the deadline.
func TestConfirmSendRechecksUnsentAttempt(t *testing.T) {
	for _, tc := range []struct {
		name   string
		happen func(b *testbed, id RequestID)
		want   loadbalancer.Result
	}{
		{"nothing", func(*testbed, RequestID) {}, loadbalancer.OK},
		{
			name:   "drain",
			happen: func(b *testbed, _ RequestID) { b.updateMembers(loadbalancer.Draining, loadbalancer.Draining) },
			want:   loadbalancer.ConnectFailed,
		},
		{"departed", func(b *testbed, _ RequestID) { b.dispatcher.UpdateMembers(loadbalancer.ListFull, nil) }, loadbalancer.ConnectFailed},
		{"client disconnected", func(b *testbed, id RequestID) { b.dispatcher.HandleDisconnect(id) }, loadbalancer.Withdrawn},
		{"deadline", func(b *testbed, _ RequestID) { b.run(b.now + 2.1) }, loadbalancer.Withdrawn},
	} {
		b := newTestbed(t)
		id := b.submit(2, 2)
		tc.happen(b, id)
		if got, _ := b.dispatcher.ConfirmSend(b.started[0].ID); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// A request that the balancer has lost is answered by the Dispatcher, once.
func TestOverdueRequestIsAnswered(t *testing.T) {
	b := newTestbed(t)
	b.submit(2, 0.5)
	b.timers = b.timers[:0] // the balancer's timers are lost
	r, _ := b.dispatcher.requests.Get(1 << 32)
	b.dispatcher.handle(func() { b.dispatcher.answerOverdue(r) })
	b.dispatcher.HandleOutcome(b.started[0].ID, Outcome{Result: loadbalancer.OK})
	if len(b.answers) != 1 || b.answers[0].Verdict != Failed || b.dispatcher.Counts().Overdue != 1 {
		t.Errorf("answers %+v, counts %+v", b.answers, b.dispatcher.Counts())
	}
}

// The memory of departed members is bounded.
func TestDepartedMembersAreForgotten(t *testing.T) {
	b := newTestbed(t)
	for i := range 500 {
		name := fmt.Sprint("s-", i)
		b.dispatcher.UpdateMembers(loadbalancer.ListFull, []Member{{
			Worker:  loadbalancer.Worker{ID: b.dispatcher.WorkerID(name), State: loadbalancer.Ready},
			Backend: b,
			Name:    name,
		}})
		b.submit(0, 1)
	}
	if n, m := len(b.dispatcher.members), len(b.dispatcher.workerIDs); n > 2*maxDeparted || m > 2*maxDeparted {
		t.Errorf("%d members and %d names kept", n, m)
	}
	for _, f := range b.started { // attempts at departed members still end
		b.dispatcher.HandleOutcome(f.ID, Outcome{Result: loadbalancer.OK})
	}
	if len(b.answers) != 500 {
		t.Errorf("%d answers", len(b.answers))
	}
}

// A name that no list has filled in yet keeps its ID while departed members are forgotten.
func TestNamedMembersAreKept(t *testing.T) {
	b := newTestbed(t)
	named := b.dispatcher.WorkerID("named")
	list := func(kind loadbalancer.ListKind, state loadbalancer.WorkerState, names ...string) {
		var members []Member
		for _, name := range names {
			members = append(members, Member{
				Worker:  loadbalancer.Worker{ID: b.dispatcher.WorkerID(name), State: state},
				Backend: b,
				Name:    name,
			})
		}
		b.dispatcher.UpdateMembers(kind, members)
	}
	var departing []string
	for i := range maxDeparted + 1 {
		departing = append(departing, fmt.Sprint("departing-", i))
	}
	list(loadbalancer.ListFull, loadbalancer.Ready, departing...)
	list(loadbalancer.ListDelta, loadbalancer.Departed, departing...)
	if len(b.dispatcher.members) != 1 || b.dispatcher.members[named] == nil {
		t.Fatalf("%d members are known, want the named one alone", len(b.dispatcher.members))
	}
	list(loadbalancer.ListDelta, loadbalancer.Ready, "named")
	if m := b.dispatcher.members[named]; m.Name != "named" || m.State != loadbalancer.Ready {
		t.Errorf("the named member is %+v", m)
	}
	list(loadbalancer.ListDelta, loadbalancer.Departed, append(departing, "named")...)
	if n, m := len(b.dispatcher.members), len(b.dispatcher.workerIDs); n != 0 || m != 0 {
		t.Errorf("%d members and %d names are kept of those that have departed", n, m)
	}
}

// An exclusion outlasts lists, restarts and reconnects, holds back attempts that are not sent yet, and makes the member
// start anew when it ends.
func TestExclusion(t *testing.T) {
	b := newTestbed(t)
	id := b.dispatcher.WorkerID("w")
	list := func(kind loadbalancer.ListKind, state loadbalancer.WorkerState, since float64) {
		b.updateMember(kind, id, state, since)
	}
	wantVisible := func(want loadbalancer.WorkerState, since float64) {
		t.Helper()
		m := b.dispatcher.members[id]
		if diff := cmp.Diff([]any{want, since}, []any{m.State, m.StartedAt}); diff != "" {
			t.Errorf("the balancer sees (-want +got):\n%s", diff)
		}
	}
	apply := func(change ExclusionChange, known bool) {
		t.Helper()
		b.applyExclusion(change, known)
	}
	list(loadbalancer.ListFull, loadbalancer.Ready, 100)
	apply(b.dispatcher.Exclude("nobody"), false)
	apply(b.dispatcher.Include("nobody"), false)
	apply(b.dispatcher.Include("w"), true) // nothing to do
	b.submit(0, 1)
	if _, confirmed := b.dispatcher.ConfirmSend(b.started[0].ID); !confirmed {
		t.Fatal("an attempt is held back without reason")
	}
	apply(b.dispatcher.Exclude("w"), true)
	if result, confirmed := b.dispatcher.ConfirmSend(b.started[0].ID); confirmed || result != loadbalancer.ConnectFailed {
		t.Errorf("an unsent attempt at an excluded member: %v, %v", result, confirmed)
	}
	for _, since := range []float64{100, b.now + 1} { // the second is a restart
		list(loadbalancer.ListDelta, loadbalancer.Ready, since)
		wantVisible(loadbalancer.Draining, 100)
	}
	list(loadbalancer.ListDelta, loadbalancer.Departed, 0)
	wantVisible(loadbalancer.Departed, 100)
	apply(b.dispatcher.Exclude("w"), true)
	list(loadbalancer.ListFull, loadbalancer.Ready, b.now+1)
	wantVisible(loadbalancer.Draining, 100)
	other := newTestbed(t) // the next process
	other.dispatcher.ApplyExclusions(b.dispatcher.Exclusions())
	other.dispatcher.WorkerID("w")
	other.updateMember(loadbalancer.ListFull, id, loadbalancer.Ready, 100)
	if got := other.dispatcher.members[id].State; got != loadbalancer.Draining {
		t.Errorf("in the next process: %v", got)
	}
	b.now += 2
	apply(b.dispatcher.Include("w"), true)
	wantVisible(loadbalancer.Ready, b.now-1)
	if b.connectionResets != 1 {
		t.Errorf("connections reset %d times", b.connectionResets)
	}
	list(loadbalancer.ListDelta, loadbalancer.Ready, 100) // an outdated list
	wantVisible(loadbalancer.Ready, 100)
	apply(b.dispatcher.Exclude("w"), true)
	apply(b.dispatcher.Include("w"), true)
	wantVisible(loadbalancer.Ready, b.now) // its restart was never listed
	list(loadbalancer.ListDelta, loadbalancer.Ready, 100)
	wantVisible(loadbalancer.Ready, b.now)
	b.now++
	list(loadbalancer.ListDelta, loadbalancer.Ready, b.now-0.5)
	wantVisible(loadbalancer.Ready, b.now-0.5)
}
