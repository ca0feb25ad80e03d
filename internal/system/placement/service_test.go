package placement

import (
	"testing"
	"time"

	"cinderroad/internal/system/configuration"
)

// The utilization of a service's runners goes by the aims of its own routes: a look-up service with an aim of 200 ms must
// not make an engine whose answers have 800 ms look full.
func TestLatencyTargetsOfServicesAreIndependent(t *testing.T) {
	utilization := func(others ...*configuration.Route) float64 {
		p := startedTestPlacer(t, append(testRunners("llm", 3), testRunners("api", 3)...))
		long := &configuration.Route{Name: "long", Type: configuration.Streaming, LatencyTarget: 800 * time.Millisecond,
			Timeout: 5 * time.Second, MaxAttempts: 1}
		ask := func(service string, route *configuration.Route) {
			r := testRequest(testStart, service, route)
			if c, refusal := p.Place(testStart, r); refusal == nil {
				p.EndAttempt(testStart, p.StartAttempt(testStart, r, c), Succeeded, Progress{})
			}
		}
		ask("llm", long)
		for _, route := range others {
			ask("api", route)
		}
		s, w := p.services["llm"], p.runners["llm-0"]
		s.prefillSpeed, w.excessWait = 40000, 0.3
		p.planService(testStart, s)
		return w.utilization
	}
	alone, beside := utilization(), utilization(testRoute())
	if alone <= 0 || beside > alone {
		t.Errorf("utilization %v alone and %v beside a service with a tighter aim", alone, beside)
	}
}
