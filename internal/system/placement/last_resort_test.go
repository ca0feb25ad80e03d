package placement

import "testing"

// TestTriedRunnerIsTheLastResort: a runner that the request was sent to before is chosen only if no other may take it, even an
// ejected one, and is chosen then.
func TestTriedRunnerIsTheLastResort(t *testing.T) {
	p := startedTestPlacer(t, testRunners("api", 2))
	request := testRequest(testStart, "api", testRoute())
	first, rejection := p.Place(testStart, request)
	if rejection != nil {
		t.Fatal(rejection)
	}
	request.RecordAttempt(first.Runner, true)
	for id, runner := range p.runners {
		if id != first.Runner {
			runner.ejection.EjectedUntil = (testStart + planPeriod).Seconds()
		}
	}
	second, rejection := p.Place(testStart, request)
	if rejection != nil || second.Runner == first.Runner {
		t.Fatalf("%+v, %+v: the other runner is ejected, and was not tried", second, rejection)
	}
	p.SetRunners(testStart, []Runner{*testRunnerNamed(t, first.Runner)})
	third, rejection := p.Place(testStart, request)
	if rejection != nil || third.Runner != first.Runner {
		t.Errorf("%+v, %+v: there is no other runner", third, rejection)
	}
}

// testRunnerNamed returns one of testRunners.
func testRunnerNamed(t *testing.T, id string) *Runner {
	t.Helper()
	for _, runner := range testRunners("api", 2) {
		if runner.ID == id {
			return &runner
		}
	}
	t.Fatalf("there is no runner %s", id)
	return nil
}
