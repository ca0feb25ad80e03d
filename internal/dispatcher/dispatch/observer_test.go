package dispatch

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cinderroad/loadbalancer"
)

// recorder is an Observer that retains what it is told.
type recorder struct {
	answers  []AnswerRecord
	attempts []AttemptRecord
	margins  []float64
	reports  int
}

func (r *recorder) ObserveAnswer(answer *AnswerRecord) {
	clone := *answer
	clone.Attempts = append([]AttemptRecord(nil), answer.Attempts...)
	r.answers = append(r.answers, clone)
}
func (r *recorder) ObserveAttempt(attempt *AttemptRecord)                             { r.attempts = append(r.attempts, *attempt) }
func (r *recorder) ObserveMembers(loadbalancer.ListKind, []Member)                    {}
func (r *recorder) ObserveLoadReport(loadbalancer.WorkerID, float64, []float32, bool) { r.reports++ }
func (r *recorder) ObserveDrain(_ loadbalancer.WorkerID, margin float64) {
	r.margins = append(r.margins, margin)
}

func newRecordedTestbed(t *testing.T) (*testbed, *recorder) {
	t.Helper()
	b, observer := newTestbed(t), &recorder{}
	b.dispatcher.Observer = observer
	return b, observer
}

// answerCase is a request and how its attempts end.
type answerCase struct {
	name    string
	class   int
	ends    []loadbalancer.Result // of the attempts in turn; none: no outcome
	noReady bool                  // no member is ready
	verdict Verdict
	reason  Reason
	won     int
}

// answerCases are requests with each reason that an operator would give.
var answerCases = []answerCase{
	{"served", 0, []loadbalancer.Result{loadbalancer.OK}, false, Served, ReasonNone, 0},
	{"served by the second attempt", 0, []loadbalancer.Result{loadbalancer.Rejected, loadbalancer.OK}, false, Served, ReasonNone, 1},
	{
		name:    "errors",
		ends:    []loadbalancer.Result{loadbalancer.Error, loadbalancer.Error, loadbalancer.Error},
		verdict: Rejected,
		reason:  ReasonBackendError,
		won:     -1,
	},
	{"connection lost, not idempotent", 2, []loadbalancer.Result{loadbalancer.Reset}, false, Failed, ReasonConnectionLost, -1},
	{"timeout", 2, nil, false, Failed, ReasonDeadlineExceeded, -1},
	{
		name:    "rejected",
		ends:    []loadbalancer.Result{loadbalancer.Rejected, loadbalancer.Rejected, loadbalancer.Rejected},
		verdict: Rejected,
		reason:  ReasonRejected,
		won:     -1,
	},
	{
		name:    "unreachable",
		ends:    []loadbalancer.Result{loadbalancer.ConnectFailed, loadbalancer.ConnectFailed, loadbalancer.ConnectFailed},
		verdict: Rejected,
		reason:  ReasonUnreachable,
		won:     -1,
	},
	{"no ready member", 0, nil, true, Rejected, ReasonDeadlineExceeded, -1}, // queued until its deadline
	{"unknown class", 9, nil, false, Failed, ReasonUnknownClass, -1},
}

// The Observer gets one record for each request and one for each attempt, with the reason that an operator would give.
func TestAnswerRecordReason(t *testing.T) {
	for _, tc := range answerCases {
		t.Run(tc.name, tc.run)
	}
}

func (tc *answerCase) run(t *testing.T) {
	b, recorder := newRecordedTestbed(t)
	if tc.noReady {
		b.updateMembers()
	}
	b.onStart = func(attempt Attempt) {
		if i := len(b.started); i <= len(tc.ends) {
			b.dispatcher.HandleOutcome(attempt.ID, Outcome{Result: tc.ends[i-1], Report: []float32{1}})
		}
	}
	b.submit(tc.class, 1)
	b.run(b.now + 3)
	if len(recorder.answers) != 1 {
		t.Fatalf("%d answer records", len(recorder.answers))
	}
	answer := recorder.answers[0]
	if answer.Verdict != tc.verdict || answer.Reason != tc.reason || answer.WinningAttempt != tc.won {
		t.Errorf("verdict %v for %s, served by %d; want %v for %s by %d",
			answer.Verdict, answer.Reason, answer.WinningAttempt, tc.verdict, tc.reason, tc.won)
	}
	if len(recorder.attempts) != len(b.started) || recorder.reports != len(tc.ends) || len(answer.Attempts) != len(b.started) {
		t.Errorf("%d attempts started, %d recorded, %d in the answer record; %d reports",
			len(b.started), len(recorder.attempts), len(answer.Attempts), recorder.reports)
	}
	var results []loadbalancer.Result
	for _, a := range recorder.attempts {
		results = append(results, a.Result)
	}
	if d := cmp.Diff(tc.ends, results); len(tc.ends) > 0 && d != "" {
		t.Error(d)
	}
}

// A disconnect is recorded once; the ends of its attempts are recorded later without another answer record.
func TestDisconnectIsRecordedOnce(t *testing.T) {
	b, recorder := newRecordedTestbed(t)
	id := b.submit(0, 1)
	b.dispatcher.HandleDisconnect(id)
	b.dispatcher.HandleDisconnect(id)
	b.run(b.now + 3)
	if len(recorder.answers) != 1 || recorder.answers[0].Verdict != Disconnected || len(recorder.attempts) != 1 {
		t.Errorf("%+v, %d attempts", recorder.answers, len(recorder.attempts))
	}
}

// Answers after the class's latency target are late; expected work extends the target.
func TestLateAnswers(t *testing.T) {
	b, recorder := newRecordedTestbed(t)
	for _, wait := range []float64{0.05, 0.15} {
		b.submit(0, 1)
		b.run(b.now + wait)
		b.dispatcher.HandleOutcome(b.started[len(b.started)-1].ID, Outcome{Result: loadbalancer.OK})
	}
	if len(recorder.answers) != 2 || recorder.answers[0].Late() || !recorder.answers[1].Late() {
		t.Errorf("%+v", recorder.answers)
	}
	b.dispatcher.settings.Classes[0].Stretch = 2
	if got := b.dispatcher.targetTime(&Job{Class: 0, Work: 0.3, Deadline: 1e9}, 100); math.Abs(got-100.7) > 1e-9 {
		t.Errorf("target %v", got)
	}
}

// A drain is observed once, with what was left of the grace: all of it, since nothing starts after it. A job that does
// start after it, which the Dispatcher prevents, would show.
func TestDrainMargin(t *testing.T) {
	b, recorder := newRecordedTestbed(t)
	b.submit(0, 1)
	if _, confirmed := b.dispatcher.ConfirmSend(b.started[0].ID); !confirmed {
		t.Fatal("not confirmed")
	}
	b.run(b.now + 0.1)
	b.updateMembers(loadbalancer.Draining, loadbalancer.Draining)
	b.updateMembers(loadbalancer.Draining, loadbalancer.Draining)
	b.run(b.now + 0.1)
	if len(recorder.margins) > 0 {
		t.Error("observed before the grace was over")
	}
	b.run(b.now + 0.3)
	if d := cmp.Diff([]float64{drainGrace, drainGrace}, recorder.margins); d != "" {
		t.Error(d)
	}
	b.updateMembers(loadbalancer.Ready, loadbalancer.Ready)
	b.updateMembers(loadbalancer.Ready) // the other one departs
	b.dispatcher.members[2].lastStart = b.now + 0.2
	b.run(b.now + 0.4)
	if len(recorder.margins) != 3 || math.Abs(recorder.margins[2]-0.1) > 1e-9 {
		t.Error(recorder.margins)
	}
}

// Hedged attempts are told from retries, and a front's own rejection is recorded like any other.
func TestHedgedAttemptsAndDirectRejections(t *testing.T) {
	b, recorder := newRecordedTestbed(t)
	b.dispatcher.RecordAnswer(Job{ID: "x", Front: "f", Class: 0}, Rejected, ReasonEvacuated, 0.5)
	want := []AnswerRecord{{
		ID:             "x",
		Front:          "f",
		Verdict:        Rejected,
		Reason:         ReasonEvacuated,
		ArrivedAt:      b.now,
		TargetAt:       b.now,
		AnsweredAt:     b.now,
		RetryAfter:     0.5,
		WinningAttempt: -1,
	}}
	withoutTarget := cmp.Transformer("target", func(f AnswerRecord) AnswerRecord {
		f.TargetAt = f.ArrivedAt
		f.Attempts = nil
		return f
	})
	if d := cmp.Diff(want, recorder.answers, withoutTarget); d != "" {
		t.Error(d)
	}
	id := b.submit(0, 1)
	for _, request := range b.dispatcher.requestsByID {
		actions{b.dispatcher}.Send(request.id, 2, 0)
	}
	b.dispatcher.HandleOutcome(b.started[1].ID, Outcome{Result: loadbalancer.OK})
	b.run(b.now + 2)
	f := recorder.answers[1]
	if f.WinningAttempt != 1 || !f.Attempts[1].Hedged || f.Attempts[0].Hedged {
		t.Errorf("%v: %+v", id, f)
	}
}

func TestReasonNamesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for r := range ReasonCount {
		if seen[r.String()] {
			t.Errorf("reason %d shares its name: %q", r, r)
		}
		seen[r.String()] = true
	}
}
