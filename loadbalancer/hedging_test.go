package loadbalancer

import (
	"testing"
)

func TestNoHedgeWhereNotAllowed(t *testing.T) {
	s := testSettings()
	s.ParallelAttempts = false
	for _, parallel := range []bool{false, true} {
		s.ParallelAttempts = parallel
		r := newRecorder(t, s, 1)
		r.list(ListFull, ready(3)...)
		r.reportFree(3)
		r.request(1, 0, 0.05)
		r.runTo(r.now + 1)
		if copied := len(r.sends) > 1; copied != parallel {
			t.Errorf("parallel %v: %d sends of a job that does not start", parallel, len(r.sends))
		}
	}
}

// A hedged request of a running job costs all its work again and feeds an overload.
func TestRunningJobIsNotHedged(t *testing.T) {
	r := newRecorder(t, testSettings(), 1)
	r.list(ListFull, ready(3)...)
	r.reportFree(3)
	r.request(1, 0, 0.05)
	r.start(1, 0)
	r.runTo(r.now + 2)
	if len(r.sends) != 1 {
		t.Errorf("%d sends of a job that runs", len(r.sends))
	}
}

func TestStartedStreamIsNotInterrupted(t *testing.T) {
	r := newRecorder(t, testSettings(), 1)
	r.list(ListFull, ready(2)...)
	r.request(1, 0, 0.05)
	r.answered[1] = true // the client owns it
	r.balancer.HandleFirstByte(r.now, 1, 0)
	r.runTo(r.now + 8)
	if len(r.sends) != 1 || r.cancels != 0 {
		t.Errorf("%d sends, %d cancels after the stream began", len(r.sends), r.cancels)
	}
}
