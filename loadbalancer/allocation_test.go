package loadbalancer

import (
	"fmt"
	"testing"
)

// discardActions carries out no action.
type discardActions struct{}

func (discardActions) Send(RequestID, WorkerID, float64) {}

func (discardActions) Reject(RequestID, float64) {}

func (discardActions) Fail(RequestID) {}

func (discardActions) Cancel(RequestID, int) {}

func (discardActions) Probe(WorkerID) {}

func (discardActions) SetTimer(uint32, float64) {}

func (discardActions) Watch(bool) {}

func (discardActions) Fetch() {}

func (discardActions) Log(string) {}

// arrivals returns a step that handles one arrival, its start, its outcome and a sweep.
func arrivals(t testing.TB, workers int) func() {
	t.Helper()
	return arrivalsThat(t, workers, []float32{1, 0.2, 3})
}

// arrivalsThat is like arrivals with workers that send the report with each answer, or none.
func arrivalsThat(t testing.TB, workers int, report []float32) func() {
	t.Helper()
	s := testSettings()
	if report == nil {
		s.ReportFields = nil
	}
	b, err := New(s, 1, discardActions{})
	if err != nil {
		t.Fatal(err)
	}
	now, id := 1000.0, RequestID(0)
	b.Start(now)
	b.UpdateWorkers(now, ListFull, ready(workers))
	return func() {
		id++
		now += 0.001
		b.HandleRequest(now, &Request{ID: id, Slots: 1, Work: 0.05, Deadline: now + 5})
		w := b.requests[id].attempts[0].worker.ID
		b.HandleProgress(now, &ProgressUpdate{Request: id, Started: true})
		b.HandleOutcome(now, &Outcome{Request: id, Worker: w, Result: OK, ClientAnswered: true, Report: report})
		b.HandleTimer(now, sweepToken)
	}
}

func TestSteadyStateDoesNotAllocate(t *testing.T) {
	for _, workers := range []int{16, 256} {
		step := arrivals(t, workers)
		for i := 0; i < 1000; i++ {
			step()
		}
		if n := testing.AllocsPerRun(1000, step); n > 0 {
			t.Errorf("%d workers: %v allocations for each arrival", workers, n)
		}
	}
}

// benchmarkWorkers are the numbers of workers of a small deployment, of a cluster and of a large one.
var benchmarkWorkers = []int{10, 60, 200}

func BenchmarkArrival(b *testing.B) {
	for _, workers := range benchmarkWorkers {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			step := arrivals(b, workers)
			b.ReportAllocs()
			for i := 0; i < b.N; i++ {
				step()
			}
		})
	}
}

func BenchmarkArrivalWithoutReports(b *testing.B) {
	for _, workers := range benchmarkWorkers {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			step := arrivalsThat(b, workers, nil)
			b.ReportAllocs()
			for i := 0; i < b.N; i++ {
				step()
			}
		})
	}
}
