package loadbalancer

import (
	"testing"
)

// Guards against a wait of 0, which sends the client back into the same overload, and one longer than clients obey.
func TestRejectionCarriesRetryAfter(t *testing.T) {
	for _, allowed := range []bool{false, true} {
		settings := testSettings()
		settings.MayRetryAfter = allowed
		settings.MaxRetryAfter = 2
		r := newRecorder(t, settings, 1)
		r.list(ListFull, ready(1)...)
		for id := RequestID(1); id < 400 && len(r.rejected) == 0; id++ {
			r.request(id, 0, 0.2)
			if id < 8 {
				r.start(id, 0)
				r.runTo(r.now + 0.2)
				r.outcome(id, 0, OK, 1, 0.5, 1)
			}
			r.runTo(r.now + 0.01)
		}
		if len(r.rejected) == 0 {
			t.Fatal("nothing was rejected under overload")
		}
		for id := range r.rejected {
			if wait := r.waits[id]; allowed && !(wait > 0 && wait <= settings.MaxRetryAfter) || !allowed && wait != 0 {
				t.Errorf("retry-after allowed %v: wait %v", allowed, wait)
			}
		}
	}
}

// Guards against holding a request to its deadline when no worker is left that may serve it.
func TestUnservableRequestFailsAtOnce(t *testing.T) {
	r := newRecorder(t, testSettings(), 1)
	r.list(ListFull, Worker{ID: 1, State: Ready, Cell: 1}, Worker{ID: 2, State: Ready, Cell: 2})
	r.request(1, 1, 0.05)
	r.list(ListFull, Worker{ID: 3 - r.sends[0].worker, State: Ready, Cell: int(3 - r.sends[0].worker)})
	r.outcome(1, 0, Reset)
	if len(r.sends) != 1 || !r.failed[1] {
		t.Errorf("%d sends, failed %v; want one send and a failure at once", len(r.sends), r.failed[1])
	}
}

func TestEveryRequestIsAnsweredByItsDeadline(t *testing.T) {
	for _, workers := range [][]Worker{nil, ready(2)} {
		for class := range testSettings().Classes {
			r := newRecorder(t, testSettings(), 1)
			r.list(ListFull, workers...)
			r.request(1, class, 0.05)
			r.runTo(r.now + 11)
			if !r.answered[1] {
				t.Errorf("class %d with %d workers: no final answer", class, len(workers))
			}
		}
	}
}

// Guards against a sweep that stops for good when its timer comes a rounding before its time.
func TestSweepSurvivesARoundedClock(t *testing.T) {
	r := newRecorder(t, testSettings(), 1)
	r.list(ListFull, ready(1)...)
	for i := 0; i < 50; i++ {
		next := r.timers[len(r.timers)-1]
		r.now = next.at - 1e-7
		r.timers = nil
		r.balancer.HandleTimer(r.now, next.token)
		if len(r.timers) == 0 {
			t.Fatal("no further sweep was asked for")
		}
	}
}
