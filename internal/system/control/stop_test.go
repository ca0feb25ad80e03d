package control

import (
	"testing"
	"time"

	"cinderroad/internal/system/control/api"
)

func TestPlanStop(t *testing.T) {
	for grace := time.Duration(0); grace < time.Minute; grace += 130 * time.Millisecond {
		plan := planStop(grace)
		if plan.serveOn < 0 || plan.finish < 0 || plan.serveOn+plan.finish > plan.within || plan.within > grace {
			t.Errorf("grace of %v: %+v", grace, plan)
		}
	}
	plan := planStop(8 * time.Second)
	if plan.serveOn != serveOnFor || plan.finish < 2*api.ResponseTimeout || plan.within-plan.serveOn-plan.finish < 2*time.Second {
		t.Errorf("a grace period as in service leaves too little for a part of it: %+v", plan)
	}
}
