package shutdown

import (
	"testing"
	"time"
)

func TestPlan(t *testing.T) {
	for grace := 50 * time.Millisecond; grace < time.Minute; grace += 70 * time.Millisecond {
		times := Plan(grace)
		ordered := times.LastResponses < times.ProxyEnd && times.ProxyEnd < times.AgentEnd && times.AgentEnd < grace
		if !ordered || times.LastResponses < grace*5/6 {
			t.Errorf("grace of %v: %+v", grace, times)
		}
	}
	if got := Plan(0); got != Plan(DefaultGracePeriod) {
		t.Errorf("no grace period is known: %+v", got)
	}
	if got := Plan(8 * time.Second); got.LastResponses != 7500*time.Millisecond {
		t.Errorf("%+v", got)
	}
}
