package placement

import (
	"testing"
	"time"

	"cinderroad/internal/system/configuration"
)

// The utilization of a service's runners follows the latency targets of its own routes: a lookup service with a target of
// 200 ms must not make an engine with a target of 800 ms look full.
func TestLatencyTargetsOfServicesAreIndependent(t *testing.T) {
	utilization := func(others ...*configuration.Route) float64 {
		placer := startedTestPlacer(t, append(testRunners("llm", 3), testRunners("api", 3)...))
		long := &configuration.Route{
			Name:          "long",
			Type:          configuration.Streaming,
			LatencyTarget: 800 * time.Millisecond,
			Timeout:       5 * time.Second,
			MaxAttempts:   1,
		}
		ask := func(service string, route *configuration.Route) {
			r := testRequest(testStart, service, route)
			if c, rejection := placer.Place(testStart, r); rejection == nil {
				placer.EndAttempt(testStart, placer.StartAttempt(testStart, r, c), Succeeded, Progress{})
			}
		}
		ask("llm", long)
		for _, route := range others {
			ask("api", route)
		}
		s, runner := placer.services["llm"], placer.runners["llm-0"]
		s.prefillSpeed = 40000
		runner.excessWait = 0.3
		placer.planService(testStart, s)
		return runner.utilization
	}
	alone, beside := utilization(), utilization(testRoute())
	if alone <= 0 || beside > alone {
		t.Errorf("utilization %v alone and %v beside a service with a tighter latency target", alone, beside)
	}
}
