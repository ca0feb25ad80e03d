package proxy

import (
	"testing"
	"time"
)

func TestPlanShutdown(t *testing.T) {
	ms := time.Millisecond
	for grace, want := range map[time.Duration]shutdownPlan{
		20 * time.Second: {1500 * ms, 2500 * ms, 19500 * ms, 19625 * ms},
		8 * time.Second:  {1500 * ms, 2400 * ms, 7500 * ms, 7625 * ms},
		2400 * ms:        {600 * ms, 720 * ms, 2200 * ms, 2250 * ms},
		0:                {1500 * ms, 2400 * ms, 7500 * ms, 7625 * ms},
	} {
		if got := planShutdown(grace); got != want {
			t.Errorf("grace of %v: %+v, want %+v", grace, got, want)
		}
	}
}

// For any grace period the plan keeps to what the platform allows: requests are cut off only in its last sixth, before
// its end, and only if they were accepted within three seconds of the signal; others end by their own deadline.
func TestPlanShutdownFitsGracePeriod(t *testing.T) {
	for grace := 100 * time.Millisecond; grace < time.Minute; grace += 70 * time.Millisecond {
		plan := planShutdown(grace)
		ordered := plan.sweepIdle <= plan.closeListener && plan.closeListener < plan.lastResponses && plan.lastResponses < plan.exit && plan.exit < grace
		if !ordered || float64(plan.lastResponses) < cutAllowedFrom*float64(grace) || plan.closeListener >= cutAllowedIfSentWithin {
			t.Errorf("grace of %v: %+v", grace, plan)
		}
		for after := time.Duration(0); after < grace; after += grace / 50 {
			if plan.accepts(after, plan.lastResponses) && after >= plan.closeListener || !plan.accepts(after, plan.lastResponses-deadlineGrace) {
				t.Errorf("grace of %v: wrong about a request %v after the signal", grace, after)
			}
		}
	}
}
