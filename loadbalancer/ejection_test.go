package loadbalancer

import (
	"testing"
)

// A worker that fails fast looks empty; the lower bound of its limits alone would let it attract every job.
func TestFailingWorkerDoesNotAttractJobs(t *testing.T) {
	r := newRecorder(t, testSettings(), 1)
	r.list(ListFull, ready(4)...)
	late := 0
	for id := RequestID(1); id <= 300; id++ {
		r.request(id, 0, 0.05)
		r.runTo(r.now + 0.01)
		for n := 0; n < len(r.attempts[id]); n++ {
			if !r.attempts[id][n].inFlight {
				continue
			}
			if r.attempts[id][n].worker == 1 {
				if id > 200 {
					late++
				}
				r.outcome(id, n, Error)
				continue
			}
			r.start(id, n)
			r.outcome(id, n, OK)
		}
	}
	if late > 10 {
		t.Errorf("%d of the last 100 requests went to the failing worker", late)
	}
}

// Guards against a zone of dead workers that attracts attempts: many failed connects make failures look common to all.
func TestManyDeadWorkersAreEjected(t *testing.T) {
	r := newRecorder(t, testSettings(), 1)
	fleet := ready(12)
	dead := func(w WorkerID) bool { return w%3 == 0 }
	r.list(ListFull, fleet...)
	lost, last := 0, 0
	for id := RequestID(1); id <= 400; id++ {
		r.request(id, 0, 0.05)
		for n := 0; n < len(r.attempts[id]) && !r.answered[id]; n++ {
			if dead(r.attempts[id][n].worker) {
				lost++
				if r.now > 1005 {
					last++
				}
				r.outcome(id, n, ConnectFailed)
			} else {
				r.start(id, n)
				r.outcome(id, n, OK, 1, 0.2, 3)
			}
		}
		r.runTo(r.now + 0.025)
	}
	if lost == 0 || last > 30 {
		t.Errorf("%d attempts at dead workers, %d of them after five seconds", lost, last)
	}
}

// In a large cluster each of hundreds of instances would lose a job to learn that a worker is dead; probes find it out.
func TestFailedProbeEjectsWorker(t *testing.T) {
	s := testSettings()
	s.MayProbe = true
	s.ReportsByProbe = true
	r := newRecorder(t, s, 1)
	r.list(ListFull, ready(2)...)
	for i := 0; i < 3; i++ {
		r.balancer.HandleProbeResult(r.now, 1, ConnectFailed, nil)
		r.balancer.HandleProbeResult(r.now, 2, OK, []float32{1, 0.3, 3})
		r.balancer.HandleProbeResult(r.now, 2, Rejected, nil)
	}
	for id := RequestID(1); id < 6; id++ {
		if r.request(id, 0, 0.05); r.attempts[id][0].worker != 2 {
			t.Errorf("request %d went to the worker whose probes found nobody", id)
		}
	}
}

func TestSharedFaultEjectsNobody(t *testing.T) {
	r := newRecorder(t, testSettings(), 1)
	r.list(ListFull, ready(4)...)
	for id := RequestID(1); id <= 200; id++ {
		r.request(id, 2, 0.05)
		r.runTo(r.now + 0.01)
		r.outcome(id, 0, Error)
	}
	for _, w := range r.balancer.workers {
		if w.ejection.EjectedUntil > r.now {
			t.Errorf("worker %d was ejected", w.ID)
		}
	}
}
