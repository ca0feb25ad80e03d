package checker

import (
	"testing"
	"time"
)

// testbed is a checker with a manual clock.
type testbed struct {
	*Checker
	now time.Time
}

func newTestbed() *testbed {
	w := &testbed{now: time.Unix(1000, 0)}
	w.Checker = New(Limits{DrainGrace: 4 * time.Second, EvacuationGrace: 5 * time.Second, RetryRatio: 0.5,
		RetryWindow:    10 * time.Second,
		RetryAllowance: 1}, func() time.Time { return w.now })
	return w
}

var (
	generations = &Route{Name: "generations", Services: []string{"llm"}, HomeRegions: []string{"west"}}
	lookups     = &Route{Name: "lookups", Services: []string{"api"}, Idempotent: true}
	west        = &Runner{ID: "i-1", Service: "llm", Zone: "west-a", Region: "west"}
	east        = &Runner{ID: "i-2", Service: "llm", Zone: "east-a", Region: "east"}
	api         = &Runner{ID: "i-3", Service: "api", Zone: "west-a", Region: "west"}
)

func (bed *testbed) sendRequest(id string, route *Route) {
	bed.RequestSent(Attempt{ID: id, Method: "POST", Host: "h", URI: "/a", Body: Hash([]byte("x")), Route: route})
}

func (bed *testbed) receiveRequest(id string, runner *Runner) {
	bed.RequestReceived(ReceivedRequest{Runner: runner, ID: id, Method: "POST", Host: "h", URI: "/a", Body: Hash([]byte("x"))})
}

func TestRules(t *testing.T) {
	for _, test := range []struct {
		name string
		do   func(w *testbed)
		want []Rule
	}{
		{"a valid request", func(w *testbed) {
			w.sendRequest("1", generations)
			w.receiveRequest("1", west)
			w.ExecutionStarted(west, "1")
		}, nil},
		{"an unknown ID", func(w *testbed) { w.receiveRequest("1", west) }, []Rule{UnexpectedRequest}},
		{"a changed path", func(w *testbed) {
			w.sendRequest("1", generations)
			w.RequestReceived(ReceivedRequest{Runner: west, ID: "1", Method: "POST", Host: "h", URI: "/b", Body: Hash([]byte("x"))})
		}, []Rule{UnexpectedRequest}},
		{"a changed body", func(w *testbed) {
			w.sendRequest("1", generations)
			w.RequestReceived(ReceivedRequest{Runner: west, ID: "1", Method: "POST", Host: "h", URI: "/a", Body: Hash([]byte("y"))})
		}, []Rule{UnexpectedRequest}},
		{"executed twice", func(w *testbed) {
			w.sendRequest("1", generations)
			w.ExecutionStarted(west, "1")
			w.ExecutionStarted(west, "1")
		}, []Rule{DuplicateExecution}},
		{"an idempotent request executed twice", func(w *testbed) {
			w.sendRequest("1", lookups)
			w.ExecutionStarted(api, "1")
			w.ExecutionStarted(api, "1")
		}, nil},
		{"rejected after its execution", func(w *testbed) {
			w.sendRequest("1", generations)
			w.ExecutionStarted(west, "1")
			w.RequestRejected("1", 503)
		},
			[]Rule{ExecutedAfterRejection}},
		{"executed after a rejection", func(w *testbed) {
			w.sendRequest("1", generations)
			w.RequestRejected("1", 429)
			w.ExecutionStarted(west, "1")
		},
			[]Rule{ExecutedAfterRejection}},
		{"another service", func(w *testbed) { w.sendRequest("1", lookups); w.receiveRequest("1", west) }, []Rule{WrongService}},
		{"another region", func(w *testbed) { w.sendRequest("1", generations); w.receiveRequest("1", east) }, []Rule{WrongRegion}},
		{"a draining runner in time", func(w *testbed) {
			w.RunnerDraining("i-1", w.now)
			w.now = w.now.Add(4 * time.Second)
			w.sendRequest("1", generations)
			w.receiveRequest("1", west)
		}, nil},
		{"a draining runner too late", func(w *testbed) {
			w.RunnerDraining("i-1", w.now)
			w.now = w.now.Add(4*time.Second + 1)
			w.sendRequest("1", generations)
			w.receiveRequest("1", west)
		}, []Rule{SentToDraining}},
		{"an evacuated zone too late", func(w *testbed) {
			w.ZoneEvacuated("west-a", w.now)
			w.now = w.now.Add(6 * time.Second)
			w.sendRequest("1", generations)
			w.receiveRequest("1", west)
		}, []Rule{SentToEvacuatedZone}},
		{"a restored zone", func(w *testbed) {
			w.ZoneEvacuated("west-a", w.now)
			w.ZoneRestored("west-a")
			w.now = w.now.Add(6 * time.Second)
			w.sendRequest("1", generations)
			w.receiveRequest("1", west)
		}, nil},
		{"retries within the budget", func(w *testbed) { w.retryRequest(2, 2) }, nil},
		{"retries beyond the budget", func(w *testbed) { w.retryRequest(2, 3) }, []Rule{RetryBudgetExceeded}},
	} {
		w := newTestbed()
		test.do(w)
		var got []Rule
		for _, b := range w.Finish() {
			got = append(got, b.Rule)
		}
		if len(got) != len(test.want) || len(got) > 0 && got[0] != test.want[0] {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
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
