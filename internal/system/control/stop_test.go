package control

import (
	"testing"
	"time"

	"cinderroad/internal/system/control/api"
)

func TestStopPlan(t *testing.T) {
	for grace := time.Duration(0); grace < time.Minute; grace += 130 * time.Millisecond {
		plan := newStopPlan(grace)
		if plan.announce < 0 || plan.drain < 0 || plan.announce+plan.drain > plan.total || plan.total > grace {
			t.Errorf("grace of %v: %+v", grace, plan)
		}
	}
	plan := newStopPlan(8 * time.Second)
	if plan.announce != announceTime || plan.drain < 2*api.ResponseTimeout || plan.total-plan.announce-plan.drain < 2*time.Second {
		t.Errorf("a grace period as deployed leaves too little for a part of it: %+v", plan)
	}
}

// Limits of calls that the shutdown of a control machine must let end; see http.Server.Shutdown.
const (
	deployedGracePeriod = 8 * time.Second
	slowestIdleClose    = 550 * time.Millisecond // after Shutdown begins, idle connections are closed so much later at most
	largeBody           = 512 << 10
)

// Whenever a call arrives on a connection that is still open, and however long it takes, its response comes before the
// process stops waiting for calls.
func TestStopPlanLetsCallsEnd(t *testing.T) {
	plan := newStopPlan(deployedGracePeriod)
	serversClosed := plan.announce + plan.drain
	for _, body := range []int{0, 64 << 10, largeBody} {
		for arrival := time.Duration(0); arrival <= plan.announce+slowestIdleClose; arrival += 10 * time.Millisecond {
			if answered := arrival + api.ResponseTimeout + api.ParseAllowance(body); answered > serversClosed {
				t.Fatalf("a call with %d bytes that arrives %v after the signal may be answered after %v, the servers end after %v",
					body, arrival, answered, serversClosed)
			}
		}
	}
}
