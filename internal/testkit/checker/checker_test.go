package checker

import (
	"slices"
	"testing"
	"time"
)

// testbed is a checker with a manual clock.
type testbed struct {
	*Checker
	now time.Time
}

func newTestbed() *testbed {
	limits := Limits{
		DrainGrace:      4 * time.Second,
		EvacuationGrace: 5 * time.Second,
		RetryRatio:      0.5,
		RetryWindow:     10 * time.Second,
		RetryAllowance:  1,
	}
	bed := &testbed{now: time.Unix(1000, 0)}
	bed.Checker = New(limits, func() time.Time { return bed.now })
	return bed
}

var (
	generations = &Route{Name: "generations", Services: []string{"llm"}, HomeRegions: []string{"west"}}
	lookups     = &Route{Name: "lookups", Services: []string{"api"}, Idempotent: true}
	west        = &Runner{ID: "i-1", Service: "llm", Zone: "west-a", Region: "west"}
	east        = &Runner{ID: "i-2", Service: "llm", Zone: "east-a", Region: "east"}
	api         = &Runner{ID: "i-3", Service: "api", Zone: "west-a", Region: "west"}
)

func (bed *testbed) sendRequest(id string, route *Route) {
	bed.RequestSent(Attempt{
		ID:     id,
		Method: "POST",
		Host:   "h",
		URI:    "/a",
		Body:   Hash([]byte("x")),
		Route:  route,
	})
}

func (bed *testbed) receiveRequest(id string, runner *Runner) {
	bed.receiveAltered(id, runner, "/a", "x")
}

// receiveAltered delivers a request with another path or body than that of sendRequest.
func (bed *testbed) receiveAltered(id string, runner *Runner, path, body string) {
	bed.RequestReceived(ReceivedRequest{
		Runner: runner,
		ID:     id,
		Method: "POST",
		Host:   "h",
		URI:    path,
		Body:   Hash([]byte(body)),
	})
}

// ruleCase is what happens in a run, and the rules that it violates.
type ruleCase struct {
	name string
	do   func(bed *testbed)
	want []Rule
}

// checkRules runs each case on a testbed of its own.
func checkRules(t *testing.T, cases []ruleCase) {
	t.Helper()
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			bed := newTestbed()
			test.do(bed)
			var got []Rule
			for _, violation := range bed.Finish() {
				got = append(got, violation.Rule)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}

func TestRulesOfArrival(t *testing.T) {
	checkRules(t, []ruleCase{
		{"a valid request", func(bed *testbed) {
			bed.sendRequest("1", generations)
			bed.receiveRequest("1", west)
			bed.ExecutionStarted(west, "1")
		}, nil},
		{"an unknown ID", func(bed *testbed) {
			bed.receiveRequest("1", west)
		}, []Rule{UnexpectedRequest}},
		{"a changed path", func(bed *testbed) {
			bed.sendRequest("1", generations)
			bed.receiveAltered("1", west, "/b", "x")
		}, []Rule{UnexpectedRequest}},
		{"a changed body", func(bed *testbed) {
			bed.sendRequest("1", generations)
			bed.receiveAltered("1", west, "/a", "y")
		}, []Rule{UnexpectedRequest}},
		{"another service", func(bed *testbed) {
			bed.sendRequest("1", lookups)
			bed.receiveRequest("1", west)
		}, []Rule{WrongService}},
		{"another region", func(bed *testbed) {
			bed.sendRequest("1", generations)
			bed.receiveRequest("1", east)
		}, []Rule{WrongRegion}},
	})
}

func TestRulesOfExecution(t *testing.T) {
	checkRules(t, []ruleCase{
		{"executed twice", func(bed *testbed) {
			bed.sendRequest("1", generations)
			bed.ExecutionStarted(west, "1")
			bed.ExecutionStarted(west, "1")
		}, []Rule{DuplicateExecution}},
		{"an idempotent request executed twice", func(bed *testbed) {
			bed.sendRequest("1", lookups)
			bed.ExecutionStarted(api, "1")
			bed.ExecutionStarted(api, "1")
		}, nil},
		{"rejected after its execution", func(bed *testbed) {
			bed.sendRequest("1", generations)
			bed.ExecutionStarted(west, "1")
			bed.RequestRejected("1", 503)
		}, []Rule{ExecutedAfterRejection}},
		{"executed after a rejection", func(bed *testbed) {
			bed.sendRequest("1", generations)
			bed.RequestRejected("1", 429)
			bed.ExecutionStarted(west, "1")
		}, []Rule{ExecutedAfterRejection}},
	})
}

func TestRulesOfDrainAndEvacuation(t *testing.T) {
	checkRules(t, []ruleCase{
		{"a draining runner in time", func(bed *testbed) {
			bed.RunnerDraining("i-1", bed.now)
			bed.now = bed.now.Add(4 * time.Second)
			bed.sendRequest("1", generations)
			bed.receiveRequest("1", west)
		}, nil},
		{"a draining runner too late", func(bed *testbed) {
			bed.RunnerDraining("i-1", bed.now)
			bed.now = bed.now.Add(4*time.Second + 1)
			bed.sendRequest("1", generations)
			bed.receiveRequest("1", west)
		}, []Rule{SentToDraining}},
		{"an evacuated zone too late", func(bed *testbed) {
			bed.ZoneEvacuated("west-a", bed.now)
			bed.now = bed.now.Add(6 * time.Second)
			bed.sendRequest("1", generations)
			bed.receiveRequest("1", west)
		}, []Rule{SentToEvacuatedZone}},
		{"a restored zone", func(bed *testbed) {
			bed.ZoneEvacuated("west-a", bed.now)
			bed.ZoneRestored("west-a")
			bed.now = bed.now.Add(6 * time.Second)
			bed.sendRequest("1", generations)
			bed.receiveRequest("1", west)
		}, nil},
	})
}

func TestRetryBudget(t *testing.T) {
	checkRules(t, []ruleCase{
		{"retries within the budget", func(bed *testbed) { bed.retryRequest(2, 2) }, nil},
		{"retries beyond the budget", func(bed *testbed) { bed.retryRequest(2, 3) }, []Rule{RetryBudgetExceeded}},
	})
}

// retryRequest sends requests, and delivers the first of them again for each retry.
func (bed *testbed) retryRequest(requests, retries int) {
	for i := range requests {
		bed.sendRequest(string(rune('a'+i)), lookups)
	}
	bed.now = bed.now.Add(time.Second)
	for range retries + 1 {
		bed.receiveRequest("a", api)
	}
}
