package proxy

import (
	"testing"
	"time"

	"cinderroad/internal/system/shutdown"
)

func TestPlanShutdown(t *testing.T) {
	ms := time.Millisecond
	schedule := func(lastResponses, proxyEnd, agentEnd time.Duration) shutdown.Schedule {
		return shutdown.Schedule{LastResponses: lastResponses, ProxyEnd: proxyEnd, AgentEnd: agentEnd}
	}
	for grace, want := range map[time.Duration]shutdownPlan{
		20 * time.Second: {schedule(19500*ms, 19625*ms, 19750*ms), 1500 * ms, 2500 * ms},
		8 * time.Second:  {schedule(7500*ms, 7625*ms, 7750*ms), 1500 * ms, 2400 * ms},
		2400 * ms:        {schedule(2200*ms, 2250*ms, 2300*ms), 600 * ms, 720 * ms},
		0:                {schedule(7500*ms, 7625*ms, 7750*ms), 1500 * ms, 2400 * ms},
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
		ordered := plan.sweepIdle <= plan.closeListener &&
			plan.closeListener < plan.LastResponses &&
			plan.LastResponses < plan.ProxyEnd &&
			plan.ProxyEnd < grace
		if !ordered || float64(plan.LastResponses) < cutAllowedFrom*float64(grace) || plan.closeListener >= cutAllowedIfSentWithin {
			t.Errorf("grace of %v: %+v", grace, plan)
		}
		for after := time.Duration(0); after < grace; after += grace / 50 {
			acceptsTooLong := after >= plan.closeListener && plan.accepts(after, plan.LastResponses)
			if acceptsTooLong || !plan.accepts(after, plan.LastResponses-deadlineGrace) {
				t.Errorf("grace of %v: wrong about a request %v after the signal", grace, after)
			}
		}
	}
}
