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

// newRunners starts the runners of a scenario, under a referee without any slack.
func newRunners(t *testing.T) *runners {
	t.Helper()
	list, err := fakeplatform.Start(fakeplatform.Options{Address: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(list.Close)
	rs, err := startRunners(policysim.Screening(), map[string]string{"west-a": "west", "west-b": "west",
		"east-a": "east"}, list,
		checker.New(checker.Bounds{}, nil))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { rs.close() })
	return rs
}

// ask sends a request with an id straight to a runner.
func (rs *runners) ask(t *testing.T, r *runner.Runner, id string, route *checker.Route) int {
	t.Helper()
	q, err := http.NewRequest(http.MethodPost, "http://"+r.Address().String()+"/lookup/1", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	q.Host = host
	q.Header.Set(answer.TryID, id)
	if route != nil {
		rs.referee.Asked(checker.Try{ID: id, Method: http.MethodPost, Host: host, URI: "/lookup/1",
			Body: checker.Hash([]byte("x")), Route: route})
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

func TestRunnersReportToTheReferee(t *testing.T) {
	lookups := &checker.Route{Name: "lookup", Services: []string{"api"}, Homes: []string{"west"}}
	for _, test := range []struct {
		name string
		do   func(t *testing.T, rs *runners, r *runner.Runner)
		want checker.Rule
	}{
		{"a proper request", func(t *testing.T, rs *runners, r *runner.Runner) { rs.ask(t, r, "1", lookups) }, ""},
		{"one that nobody sent", func(t *testing.T, rs *runners, r *runner.Runner) { rs.ask(t, r, "1", nil) },
			checker.Unasked},
		{"one that runs twice", func(t *testing.T, rs *runners, r *runner.Runner) {
			rs.ask(t, r, "1", lookups)
			rs.arriveAgain(t, r, "1")
		}, checker.Twice},
		{"another service", func(t *testing.T, rs *runners, r *runner.Runner) { rs.ask(t, rs.pick("llm"), "1", lookups) },
			checker.Routed},
		{"a runner that drains", func(t *testing.T, rs *runners, r *runner.Runner) {
			rs.drain(r, 0)
			rs.ask(t, r, "1", lookups)
		}, checker.Drain},
	} {
		t.Run(test.name, func(t *testing.T) {
			rs := newRunners(t)
			test.do(t, rs, rs.pick("api"))
			breaches := rs.referee.Breaches()
			if test.want == "" && len(breaches) == 0 {
				return
			}
			if len(breaches) == 0 || breaches[0].Rule != test.want {
				t.Errorf("%v, want %q", breaches, test.want)
			}
		})
	}
}

// arriveAgain sends a request with an id that was sent before.
func (rs *runners) arriveAgain(t *testing.T, r *runner.Runner, id string) {
	t.Helper()
	if status := rs.ask(t, r, id, nil); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

func TestADrainingRunnerIsNotPicked(t *testing.T) {
	rs := newRunners(t)
	first := rs.pick("api")
	rs.drain(first, 0)
	if rs.pick("api") == first {
		t.Error("a runner that drains was picked")
	}
}
