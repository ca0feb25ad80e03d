package loadbalancer

import (
	"encoding/json"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// newLearnedRecorder returns a recorder whose balancer has learnt from 60 requests, of which the last two are in flight.
// Worker 4 is in slow start.
func newLearnedRecorder(t *testing.T) *recorder {
	t.Helper()
	r := newRecorder(t, testSettings(), 1)
	r.list(ListFull, append(ready(3), Worker{ID: 4, State: Ready, StartedAt: r.now - 1})...)
	for i := range 60 {
		id := RequestID(i + 1)
		r.request(id, 0, 0.05)
		r.runTo(r.now + 0.02)
		for n, a := range r.attempts[id] {
			r.start(id, n)
			r.runTo(r.now + 0.03)
			if i < 58 {
				r.outcome(id, n, OK, float32(a.worker), 0.5, 3)
			}
		}
	}
	return r
}

// storedSnapshot returns a recorder's snapshot as a successor reads it, from JSON.
func storedSnapshot(t *testing.T, r *recorder) (snapshot Snapshot) {
	t.Helper()
	text, err := json.Marshal(r.balancer.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &snapshot); err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// Guards against a successor that knows nothing, trusts what was learnt of a worker that has restarted since, or spends a
// slow start budget anew.
func TestSnapshotIsRestored(t *testing.T) {
	old := newLearnedRecorder(t)
	next := newRecorder(t, testSettings(), 2)
	next.now = old.now
	if err := next.balancer.Restore(next.now, storedSnapshot(t, old)); err != nil {
		t.Fatal(err)
	}
	workers := append(ready(3), Worker{ID: 4, State: Ready, StartedAt: old.workers[4].StartedAt})
	workers[2].StartedAt = old.now // restarted
	next.list(ListFull, workers...)

	fresh := newRecorder(t, testSettings(), 2)
	fresh.now = old.now
	fresh.balancer.meanPace = next.balancer.meanPace
	fresh.list(ListFull, workers...)
	want := storedSnapshot(t, old)
	want.PlannedAt = next.now
	want.Workers[3] = fresh.balancer.Snapshot().Workers[3]
	isClose := cmp.Comparer(func(a, b float64) bool { return math.Abs(a-b) < 0.02 })
	if diff := cmp.Diff(want, next.balancer.Snapshot(), isClose); diff != "" {
		t.Errorf("restored (-want +got):\n%s", diff)
	}
	inFlight := want.Workers[1].OtherJobs + want.Workers[2].OtherJobs + want.Workers[4].OtherJobs
	if inFlight < 2 {
		t.Errorf("the jobs that are still in flight are not among the others': %v", inFlight)
	}
}

// Guards against a successor that accepts values that make no sense, or restores half of a snapshot that has some.
func TestInvalidSnapshotIsRejected(t *testing.T) {
	old := newLearnedRecorder(t)
	for name, spoil := range map[string]func(s *Snapshot){
		"another number of classes": func(s *Snapshot) { s.WorkByClass = s.WorkByClass[1:] },
		"no work":                   func(s *Snapshot) { s.WorkByClass[0] = 0 },
		"no pace":                   func(s *Snapshot) { s.Pace = 0 },
		"an endless period":         func(s *Snapshot) { s.ReportPeriod = math.Inf(1) },
		"a negative load limit":     func(s *Snapshot) { s.Workers[1].LoadLimit = -1 },
		"a budget of three spans":   func(s *Snapshot) { s.Workers[1].SentWork = s.Workers[1].SentWork[1:] },
		"a plan of tomorrow":        func(s *Snapshot) { s.PlannedAt = old.now + 1 },
		"no worker":                 func(s *Snapshot) { s.Workers[1] = nil },
		"a kind without a pace":     func(s *Snapshot) { s.Kinds[0] = KindSnapshot{} },
	} {
		t.Run(name, func(t *testing.T) {
			invalid := storedSnapshot(t, old)
			spoil(&invalid)
			successor := newRecorder(t, testSettings(), 2)
			before := successor.balancer.Snapshot()
			if err := successor.balancer.Restore(old.now, invalid); err == nil {
				t.Error("accepted")
			}
			if diff := cmp.Diff(before, successor.balancer.Snapshot()); diff != "" {
				t.Errorf("half of it was restored:\n%s", diff)
			}
		})
	}
}

// Guards against a worker of a large kind that gets the budget of the smallest of all, and against one that looks larger
// than its kind, since it had a queue when it reported, raising the budget of its kind.
func TestSlowStartBudgetFollowsKind(t *testing.T) {
	r := newRecorder(t, testSettings(), 1)
	r.list(ListFull, Worker{ID: 1, State: Ready}, Worker{ID: 2, State: Ready, Kind: 1}, Worker{ID: 3, State: Ready, Kind: 1},
		Worker{ID: 4, State: Ready, StartedAt: r.now}, Worker{ID: 5, State: Ready, Kind: 1, StartedAt: r.now})
	for id, free := range map[WorkerID]float32{1: 2, 2: 5, 3: 6} {
		r.balancer.learnReport(r.now, r.balancer.workersByID[id], []float32{0, 0, free})
	}
	r.balancer.rebuildPlan(r.now)
	small := r.balancer.slowStartBudgetLeft(r.now, r.balancer.workersByID[4])
	large := r.balancer.slowStartBudgetLeft(r.now, r.balancer.workersByID[5])
	if small <= 0 || math.Abs(large/small-2.5) > 1e-9 {
		t.Errorf("budgets %v and %v of kinds of 2 and 5 slots", small, large)
	}
}

// Guards against a job rejected because of one slow worker with a little more spare capacity, which would start it last.
func TestSlowWorkerCausesNoRejection(t *testing.T) {
	r := newRecorder(t, testSettings(), 1)
	r.list(ListFull, ready(2)...)
	slow, quick := r.balancer.workersByID[1], r.balancer.workersByID[2]
	slow.slots = 2
	slow.spareSlots = 0.5
	slow.runTime = 5
	quick.slots = 2
	quick.spareSlots = 0
	quick.runTime = 0.05
	r.request(1, 0, 0.05)
	if len(r.sends) != 1 || r.sends[0].worker != 2 {
		t.Errorf("sends %v, rejected %v; want worker 2", r.sends, r.rejected)
	}
	quick.spareSlots = -20
	quick.runTime = 5 // it would start late, too
	r.request(2, 0, 0.05)
	if !r.rejected[2] {
		t.Errorf("sends %v; want a rejection", r.sends)
	}
}

// Guards against a few long queues, known from old reports, that have a balancer of a large cluster reject everything: the
// mean that stands in for unknown workers is of the queues, the reports that weigh it grow old together, and a balancer that rejects
// everything gets no new reports.
func TestFewLongQueuesDoNotRejectEverything(t *testing.T) {
	s := testSettings()
	s.Instances = 60
	for _, after := range []float64{0, 4, 8} { // seconds
		r := newRecorder(t, s, 1)
		r.list(ListFull, ready(12)...)
		for id, w := range r.balancer.workersByID {
			w.runTime = 0.4
			if r.balancer.learnReport(r.now, w, []float32{0, 0, 4}); id <= 4 {
				w.otherJobs = 66
				w.inFlight = 66
			}
		}
		r.balancer.meanRunTime = 0.4
		r.runTo(r.now + after)
		r.balancer.rebuildPlan(r.now)
		if r.request(1, 0, 0.05); r.rejected[1] || len(r.sends) != 1 || r.sends[0].worker <= 4 {
			t.Errorf("after %v s: rejected %v, sends %v; eight of twelve workers were idle", after, r.rejected[1], r.sends)
		}
	}
}

// Guards against unknown zones that count as one zone: a job that may have run in one must not be retried in the other.
func TestUnknownZonesAreDistinct(t *testing.T) {
	r := newRecorder(t, testSettings(), 1)
	r.list(ListFull, Worker{ID: 1, Zone: -1, State: Ready}, Worker{ID: 2, Zone: -1, State: Ready})
	r.request(1, 4, 0.05)
	r.outcome(1, 0, Reset)
	r.runTo(r.now + 1)
	if len(r.sends) != 1 {
		t.Errorf("a job that may have run in an unknown zone was sent again: %v", r.sends)
	}
	r.list(ListDelta, Worker{ID: 1, Zone: 1, State: Ready}, Worker{ID: 2, Zone: 1, State: Ready})
	r.request(2, 4, 0.05)
	if r.outcome(2, 0, Reset); len(r.sends) != 3 {
		t.Errorf("sends %v; in a known zone it may be retried", r.sends)
	}
}
