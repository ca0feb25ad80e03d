package checker

import (
	"testing"
	"time"
)

// world is a referee with a clock of its own.
type world struct {
	*Checker
	now time.Time
}

func newWorld() *world {
	w := &world{now: time.Unix(1000, 0)}
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

func (w *world) ask(id string, route *Route) {
	w.RequestSent(Attempt{ID: id, Method: "POST", Host: "h", URI: "/a", Body: Hash([]byte("x")), Route: route})
}

func (w *world) arrive(id string, runner *Runner) {
	w.RequestReceived(ReceivedRequest{Runner: runner, ID: id, Method: "POST", Host: "h", URI: "/a", Body: Hash([]byte("x"))})
}

func TestBreaches(t *testing.T) {
	for _, test := range []struct {
		name string
		do   func(w *world)
		want []Rule
	}{
		{"a proper request", func(w *world) { w.ask("1", generations); w.arrive("1", west); w.ExecutionStarted(west, "1") }, nil},
		{"an id that nobody sent", func(w *world) { w.arrive("1", west) }, []Rule{UnexpectedRequest}},
		{"a changed path", func(w *world) {
			w.ask("1", generations)
			w.RequestReceived(ReceivedRequest{Runner: west, ID: "1", Method: "POST", Host: "h", URI: "/b", Body: Hash([]byte("x"))})
		}, []Rule{UnexpectedRequest}},
		{"a changed body", func(w *world) {
			w.ask("1", generations)
			w.RequestReceived(ReceivedRequest{Runner: west, ID: "1", Method: "POST", Host: "h", URI: "/a", Body: Hash([]byte("y"))})
		}, []Rule{UnexpectedRequest}},
		{"run twice", func(w *world) { w.ask("1", generations); w.ExecutionStarted(west, "1"); w.ExecutionStarted(west, "1") }, []Rule{DuplicateExecution}},
		{"an idempotent one run twice", func(w *world) { w.ask("1", lookups); w.ExecutionStarted(api, "1"); w.ExecutionStarted(api, "1") }, nil},
		{"refused after it ran", func(w *world) { w.ask("1", generations); w.ExecutionStarted(west, "1"); w.RequestRejected("1", 503) },
			[]Rule{ExecutedAfterRejection}},
		{"run after it was refused", func(w *world) { w.ask("1", generations); w.RequestRejected("1", 429); w.ExecutionStarted(west, "1") },
			[]Rule{ExecutedAfterRejection}},
		{"another service", func(w *world) { w.ask("1", lookups); w.arrive("1", west) }, []Rule{WrongService}},
		{"another region", func(w *world) { w.ask("1", generations); w.arrive("1", east) }, []Rule{WrongRegion}},
		{"a draining runner in time", func(w *world) {
			w.RunnerDraining("i-1", w.now)
			w.now = w.now.Add(4 * time.Second)
			w.ask("1", generations)
			w.arrive("1", west)
		}, nil},
		{"a draining runner too late", func(w *world) {
			w.RunnerDraining("i-1", w.now)
			w.now = w.now.Add(4*time.Second + 1)
			w.ask("1", generations)
			w.arrive("1", west)
		}, []Rule{SentToDraining}},
		{"an evacuated zone too late", func(w *world) {
			w.ZoneEvacuated("west-a", w.now)
			w.now = w.now.Add(6 * time.Second)
			w.ask("1", generations)
			w.arrive("1", west)
		}, []Rule{SentToEvacuatedZone}},
		{"an evacuated zone that was taken back", func(w *world) {
			w.ZoneEvacuated("west-a", w.now)
			w.ZoneRestored("west-a")
			w.now = w.now.Add(6 * time.Second)
			w.ask("1", generations)
			w.arrive("1", west)
		}, nil},
		{"repeats within the budget", func(w *world) { w.repeat(2, 2) }, nil},
		{"repeats beyond the budget", func(w *world) { w.repeat(2, 3) }, []Rule{RetryBudgetExceeded}},
	} {
		w := newWorld()
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

// repeat asks so many times, and sends the first one so many times again.
func (w *world) repeat(asked, repeats int) {
	for i := range asked {
		w.ask(string(rune('a'+i)), lookups)
	}
	w.now = w.now.Add(time.Second)
	for range repeats + 1 {
		w.arrive("a", api)
	}
}
