package loadbalancer

import (
	"testing"
)

func TestFailedWatchIsRenewedInTime(t *testing.T) {
	s := testSettings()
	s.ListOnRequest = true
	r := newRecorder(t, s, 1)
	last := r.now
	for i := 0; i < 12; i++ {
		before := len(r.watches)
		r.list(ListFailed)
		for len(r.watches) == before && r.now < last+20 {
			r.runTo(r.now + 0.05)
		}
		if r.now-last > s.ListRefreshInterval {
			t.Fatalf("asked after %.1f s, allowed %.1f", r.now-last, s.ListRefreshInterval)
		}
		last = r.now
	}
	if len(r.watches) > 13 {
		t.Errorf("%d calls: more than one for each failure", len(r.watches))
	}
}
