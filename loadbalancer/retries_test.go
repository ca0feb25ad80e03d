package loadbalancer

import (
	"fmt"
	"testing"
)

// For each class and outcome, what may follow. The recorder checks that nothing forbidden does.
func TestRetrySafetyByClassAndOutcome(t *testing.T) {
	const again, refuse, fail = "again", "refused", "failed"
	for _, c := range []struct {
		class  int
		result Result
		want   string
	}{
		{0, Error, again}, {0, Rejected, again}, {0, Timeout, again}, {0, ConnectFailed, again}, {0, Reset, again},
		{0, Cancelled, again}, {0, Withdrawn, again},
		{1, Error, again}, {1, Rejected, again}, {1, Reset, again}, {1, Cancelled, again}, {1, ConnectFailed, again},
		{3, Error, again}, {4, Error, again},
		{2, Error, fail}, {2, Timeout, fail}, {2, Reset, fail}, {2, Cancelled, fail},
		{2, Rejected, again}, {2, ConnectFailed, again}, {2, Withdrawn, again},
	} {
		t.Run(fmt.Sprintf("%s/%d", testSettings().Classes[c.class].Name, c.result), func(t *testing.T) {
			r := newRecorder(t, testSettings(), 1)
			r.list(ListFull, ready(3)...)
			r.request(1, c.class, 0.05)
			r.runTo(r.now + 0.01)
			r.outcome(1, 0, c.result)
			got := fmt.Sprint("nothing after ", len(r.sends), " sends")
			switch {
			case len(r.sends) == 2:
				got = again
			case r.failed[1]:
				got = fail
			case r.rejected[1]:
				got = refuse
			}
			if got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

func TestDeduplicatedRetryStaysInItsScope(t *testing.T) {
	for class, other := range map[int]Worker{1: {ID: 2, State: Ready, Cell: 7}, 4: {ID: 2, State: Ready, Zone: 1}} {
		r := newRecorder(t, testSettings(), 1)
		r.list(ListFull, ready(1)...)
		r.request(1, class, 0.05)
		r.list(ListDelta, other, Worker{ID: 1, State: Draining, Cell: 0})
		r.outcome(1, 0, Error)
		r.runTo(r.now + 12)
		if len(r.sends) != 1 || !r.failed[1] {
			t.Errorf("class %d: %d sends, failed %v; want one send and a failure", class, len(r.sends), r.failed[1])
		}
	}
}

func TestDeduplicatedRetryStopsAfterTheWindow(t *testing.T) {
	r := newRecorder(t, testSettings(), 1)
	r.list(ListFull, ready(1)...)
	r.request(1, 1, 0.05)
	r.runTo(r.now + 4.5)
	r.outcome(1, 0, Reset)
	r.runTo(r.now + 8)
	if len(r.sends) != 1 || !r.failed[1] {
		t.Errorf("%d sends, failed %v; want one send and a failure", len(r.sends), r.failed[1])
	}
}
