package dispatch

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cinderroad/loadbalancer"
)

// notes is an observer that keeps all it hears.
type notes struct {
	finals  []Final
	tries   []Try
	margins []float64
	reports int
}

func (n *notes) Answered(f *Final) {
	g := *f
	g.Tries = append([]Try(nil), f.Tries...)
	n.finals = append(n.finals, g)
}
func (n *notes) Tried(t *Try)                                             { n.tries = append(n.tries, *t) }
func (n *notes) Listed(loadbalancer.ListKind, []Member)                   {}
func (n *notes) Reported(loadbalancer.WorkerID, float64, []float32, bool) { n.reports++ }
func (n *notes) Drained(_ loadbalancer.WorkerID, margin float64) {
	n.margins = append(n.margins, margin)
}

func observed(t *testing.T) (*bench, *notes) {
	b, n := start(t), &notes{}
	b.c.Observer = n
	return b, n
}

// The books have one final for each req and one end for each attempt, with the reason that a person would give.
func TestTheBooksSayWhy(t *testing.T) {
	for _, tc := range []struct {
		name    string
		class   int
		ends    []loadbalancer.Result // of the attempts in turn; none is silence
		nobody  bool                  // is ready
		verdict Verdict
		reason  Reason
		won     int
	}{
		{"served", 0, []loadbalancer.Result{loadbalancer.OK}, false, Served, NoReason, 0},
		{"served by the second", 0, []loadbalancer.Result{loadbalancer.Rejected, loadbalancer.OK}, false, Served, NoReason, 1},
		{"errors", 0, []loadbalancer.Result{loadbalancer.Error, loadbalancer.Error, loadbalancer.Error}, false, Refused, BackendError, -1},
		{"broken and not repeatable", 2, []loadbalancer.Result{loadbalancer.Reset}, false, Failed, Broken, -1},
		{"silence", 2, nil, false, Failed, TooLate, -1},
		{"turned away", 0, []loadbalancer.Result{loadbalancer.Rejected, loadbalancer.Rejected, loadbalancer.Rejected}, false, Refused, Full, -1},
		{"nobody there", 0, []loadbalancer.Result{loadbalancer.ConnectFailed, loadbalancer.ConnectFailed, loadbalancer.ConnectFailed}, false, Refused, Unreachable, -1},
		{"nobody listed", 0, nil, true, Refused, TooLate, -1}, // held until its time is over
		{"unknown class", 9, nil, false, Failed, UnknownClass, -1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b, n := observed(t)
			if tc.nobody {
				b.list()
			}
			b.instant = func(f Fetch) {
				if i := len(b.begun); i <= len(tc.ends) {
					b.c.Ended(f.ID, End{Result: tc.ends[i-1], Report: []float32{1}})
				}
			}
			b.take(tc.class, 1)
			b.run(b.now + 3)
			if len(n.finals) != 1 {
				t.Fatalf("%d finals", len(n.finals))
			}
			f := n.finals[0]
			if f.Verdict != tc.verdict || f.Reason != tc.reason || f.Won != tc.won {
				t.Errorf("verdict %v for %s, won by %d; want %v for %s by %d", f.Verdict, f.Reason, f.Won, tc.verdict, tc.reason, tc.won)
			}
			if len(n.tries) != len(b.begun) || n.reports != len(tc.ends) || len(f.Tries) != len(b.begun) {
				t.Errorf("%d attempts begun, %d ended in the books, %d in the final; %d reports", len(b.begun), len(n.tries), len(f.Tries), n.reports)
			}
			var results []loadbalancer.Result
			for _, a := range n.tries {
				results = append(results, a.Result)
			}
			if d := cmp.Diff(tc.ends, results); len(tc.ends) > 0 && d != "" {
				t.Error(d)
			}
		})
	}
}

// A client that leaves is in the books once, and what its attempts come to later is noted without another final.
func TestTheBooksOfOneWhoLeft(t *testing.T) {
	b, n := observed(t)
	id := b.take(0, 1)
	b.c.Gone(id)
	b.c.Gone(id)
	b.run(b.now + 3)
	if len(n.finals) != 1 || n.finals[0].Verdict != Left || len(n.tries) != 1 {
		t.Errorf("%+v, %d attempts", n.finals, len(n.tries))
	}
}

// Answers that come after the class's objective are late; the hinted work stretches it.
func TestLate(t *testing.T) {
	b, n := observed(t)
	for _, wait := range []float64{0.05, 0.15} {
		b.take(0, 1)
		b.run(b.now + wait)
		b.c.Ended(b.begun[len(b.begun)-1].ID, End{Result: loadbalancer.OK})
	}
	if len(n.finals) != 2 || n.finals[0].Late() || !n.finals[1].Late() {
		t.Errorf("%+v", n.finals)
	}
	b.c.set.Classes[0].Stretch = 2
	if got := b.c.aim(&Job{Class: 0, Work: 0.3, Deadline: 1e9}, 100); math.Abs(got-100.7) > 1e-9 {
		t.Errorf("aim %v", got)
	}
}

// A drain is told of once, with what was left of the grace: all of it, since nothing starts after it; a job that does
// start after it, which the core never lets happen, would show.
func TestDrainsInTheBooks(t *testing.T) {
	b, n := observed(t)
	b.take(0, 1)
	if _, clear := b.c.Clear(b.begun[0].ID); !clear {
		t.Fatal("not clear")
	}
	b.run(b.now + 0.1)
	b.list(loadbalancer.Draining, loadbalancer.Draining)
	b.list(loadbalancer.Draining, loadbalancer.Draining)
	b.run(b.now + 0.1)
	if len(n.margins) > 0 {
		t.Error("told before the grace was over")
	}
	b.run(b.now + 0.3)
	if d := cmp.Diff([]float64{drainGrace, drainGrace}, n.margins); d != "" {
		t.Error(d)
	}
	b.list(loadbalancer.Ready, loadbalancer.Ready)
	b.list(loadbalancer.Ready) // left the list altogether
	b.c.members[2].started = b.now + 0.2
	b.run(b.now + 0.4)
	if len(n.margins) != 3 || math.Abs(n.margins[2]-0.1) > 1e-9 {
		t.Error(n.margins)
	}
}

// A copy is told from a repeat, and a front's own refusal is in the books like any other.
func TestCopiesAndTurns(t *testing.T) {
	b, n := observed(t)
	b.c.Turn(Job{ID: "x", Front: "f", Class: 0}, Refused, Evacuated, 0.5)
	if d := cmp.Diff([]Final{{ID: "x", Front: "f", Verdict: Refused, Reason: Evacuated, Arrived: b.now, Aim: b.now, Answered: b.now, Wait: 0.5, Won: -1}}, n.finals,
		cmp.Transformer("aim", func(f Final) Final { f.Aim, f.Tries = f.Arrived, nil; return f })); d != "" {
		t.Error(d)
	}
	id := b.take(0, 1)
	for _, q := range b.c.byID {
		actions{b.c}.Send(q.id, 2, 0)
	}
	b.c.Ended(b.begun[1].ID, End{Result: loadbalancer.OK})
	b.run(b.now + 2)
	f := n.finals[1]
	if f.Won != 1 || !f.Tries[1].Copy || f.Tries[0].Copy {
		t.Errorf("%v: %+v", id, f)
	}
}

func TestEveryReasonHasAName(t *testing.T) {
	seen := map[string]bool{}
	for r := range Reasons {
		if seen[r.String()] {
			t.Errorf("reason %d has the name of another: %q", r, r)
		}
		seen[r.String()] = true
	}
}
