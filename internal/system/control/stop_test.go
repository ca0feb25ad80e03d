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
