package emulator

import (
	"net/http"
	"strings"
	"testing"

	"cinderroad/internal/system/policysim"
	"cinderroad/internal/testkit/answer"
	"cinderroad/internal/testkit/checker"
	"cinderroad/internal/testkit/fakeplatform"
	"cinderroad/internal/testkit/runner"
)

// newTestFleet starts the runners of a scenario, with a checker that allows no slack.
func newTestFleet(t *testing.T) *runnerFleet {
	t.Helper()
	list, err := fakeplatform.Start(fakeplatform.Options{Address: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(list.Close)
	regions := map[string]string{
		"west-a": "west",
		"west-b": "west",
		"east-a": "east",
	}
	fleet, err := startFleet(policysim.Screening(), regions, list, checker.New(checker.Limits{}, nil))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { fleet.close() })
	return fleet
}

// request sends a request with an id directly to a runner.
func (f *runnerFleet) request(t *testing.T, r *runner.Runner, id string, route *checker.Route) int {
	t.Helper()
	q, err := http.NewRequest(http.MethodPost, "http://"+r.Address().String()+"/lookup/1", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	q.Host = routeHost
	q.Header.Set(answer.HeaderAttemptID, id)
	if route != nil {
		f.checker.RequestSent(checker.Attempt{
			ID:     id,
			Method: http.MethodPost,
			Host:   routeHost,
			URI:    "/lookup/1",
			Body:   checker.Hash([]byte("x")),
			Route:  route,
		})
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

func TestRunnersReportToChecker(t *testing.T) {
	lookups := &checker.Route{Name: "lookup", Services: []string{"api"}, HomeRegions: []string{"west"}}
	for _, test := range []struct {
		name string
		do   func(t *testing.T, rs *runnerFleet, r *runner.Runner)
		want checker.Rule
	}{
		{"a proper request", func(t *testing.T, rs *runnerFleet, r *runner.Runner) { rs.request(t, r, "1", lookups) },
			""},
		{"one that nobody sent", func(t *testing.T, rs *runnerFleet, r *runner.Runner) { rs.request(t, r, "1", nil) },
			checker.UnexpectedRequest},
		{"one that runs twice", func(t *testing.T, rs *runnerFleet, r *runner.Runner) {
			rs.request(t, r, "1", lookups)
			rs.repeatRequest(t, r, "1")
		}, checker.DuplicateExecution},
		{"another service", func(t *testing.T, rs *runnerFleet, r *runner.Runner) {
			rs.request(t, rs.pickRunner("llm"), "1", lookups)
		},
			checker.WrongService},
		{"a runner that drains", func(t *testing.T, rs *runnerFleet, r *runner.Runner) {
			rs.drain(r, 0, extraDrainTime)
			rs.request(t, r, "1", lookups)
		}, checker.SentToDraining},
	} {
		t.Run(test.name, func(t *testing.T) {
			rs := newTestFleet(t)
			test.do(t, rs, rs.pickRunner("api"))
			violations := rs.checker.Violations()
			if test.want == "" && len(violations) == 0 {
				return
			}
			if len(violations) == 0 || violations[0].Rule != test.want {
				t.Errorf("%v, want %q", violations, test.want)
			}
		})
	}
}

// repeatRequest sends a request with an id that was sent before.
func (f *runnerFleet) repeatRequest(t *testing.T, r *runner.Runner, id string) {
	t.Helper()
	if status := f.request(t, r, id, nil); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

func TestPickRunnerSkipsDraining(t *testing.T) {
	rs := newTestFleet(t)
	first := rs.pickRunner("api")
	rs.drain(first, 0, extraDrainTime)
	if rs.pickRunner("api") == first {
		t.Error("a runner that drains was picked")
	}
}
